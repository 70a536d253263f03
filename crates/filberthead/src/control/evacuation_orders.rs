//! Conditional orders about evacuations.
//!
//! Any replica accepts an order. It asks the leader for the order revision of the failure domain,
//! checks that the operator still waits, and proposes the order on condition that the revision is
//! unchanged. So an order that was held up anywhere takes effect only if no other one about its
//! failure domain has been committed since. A replica that doesn't lead rejects what was
//! forwarded to it at once: the replica that received the order begins again.

use std::net::SocketAddr;

use filberthead_consensus::{Event, Proposal};
use filberthead_fleet::{EvacuationOrder, Message, OrderError, OrderOutcome};
use filberthead_peer::Body;
use filberthead_types::{FailureDomain, Moment};
use log::{info, warn};
use tokio::sync::oneshot;

use super::core::{Core, Pending};
use super::machine::Entry;
use super::orders::Waiting;

/// Features of this release, as announced to other replicas: conditional orders.
const FEATURES: u32 = 1;

/// Receives an order revision; `None` while the group can't commit conditional orders yet.
pub(super) type RevisionReply = oneshot::Sender<Result<Option<u64>, OrderError>>;
/// Receives the outcome of an order.
pub(super) type OutcomeReply = oneshot::Sender<Result<OrderOutcome, OrderError>>;

/// Where an order revision goes.
pub(super) enum RevisionReplyTo {
    /// An adapter in this process.
    Local(RevisionReply),
    /// The replica that asked for it, under this token.
    Replica { to: SocketAddr, token: u64 },
}

/// Where the outcome of an order goes.
pub(super) enum OutcomeReplyTo {
    /// An adapter in this process.
    Local(OutcomeReply),
    /// The replica that forwarded it, under this token.
    Replica { to: SocketAddr, token: u64 },
}

impl Core {
    /// Returns the order revision of a failure domain to an adapter, or waits for a leader.
    pub(super) async fn query_order_revision(
        &mut self,
        domain: FailureDomain,
        deadline: Moment,
        reply: RevisionReply,
    ) {
        let now = self.clock.now();
        let leads = self.replica.status(now).holds_lease;
        if leads && !self.is_forming(now) {
            let reply_to = RevisionReplyTo::Local(reply);
            self.read_order_revision(domain, reply_to).await;
            return;
        }
        match self.leader_addr(now).filter(|_| !leads) {
            None => {
                let waiting = Waiting::OrderRevision(domain, reply);
                self.fleet.enqueue(deadline, waiting);
            }
            // A leader of an earlier release doesn't answer.
            Some(_) if !self.leader_has_features(now) => {
                let _ = reply.send(Ok(None));
            }
            Some(leader) => {
                let token = self.fleet.new_token();
                let query = Message::OrderRevisionQuery { token, domain };
                self.send(leader, Body::Fleet(query));
                let waiting = Waiting::ForwardedRevision(token, reply);
                self.fleet.enqueue(deadline, waiting);
            }
        }
    }

    fn leader_has_features(&self, now: Moment) -> bool {
        let leader = self.replica.status(now).leader;
        let announced = leader.map_or(0, |id| self.address_book.features(id));
        self.machine.orders.is_conditional || announced >= FEATURES
    }

    /// Has the replica confirm its lease; [`Self::finish_order_revision`] follows.
    pub(super) async fn read_order_revision(
        &mut self,
        domain: FailureDomain,
        reply_to: RevisionReplyTo,
    ) {
        if self.is_forming(self.clock.now()) {
            self.finish_order_revision(&domain, reply_to, Err(OrderError::NoLeader));
            return;
        }
        let token = self.add_pending(Pending::OrderRevision(domain, reply_to));
        self.step(Event::Read { token }).await;
    }

    /// Sends an order revision: as the lease is valid now, everything ever acknowledged is applied
    /// here.
    pub(super) fn finish_order_revision(
        &mut self,
        domain: &FailureDomain,
        reply_to: RevisionReplyTo,
        result: Result<(), OrderError>,
    ) {
        let orders = &self.machine.orders;
        let result = result.map(|()| {
            let revision = orders.revisions.get(domain);
            orders.is_conditional.then_some(revision)
        });
        match reply_to {
            RevisionReplyTo::Local(reply) => {
                let _ = reply.send(result);
            }
            RevisionReplyTo::Replica { to, token } => {
                let message = Message::OrderRevision { token, result };
                self.send(to, Body::Fleet(message));
            }
        }
    }

    /// Handles the leader's answer to a query.
    pub(super) fn handle_order_revision(
        &mut self,
        token: u64,
        result: Result<Option<u64>, OrderError>,
    ) {
        let matching =
            |item: &Waiting| matches!(item, Waiting::ForwardedRevision(sent, _) if *sent == token);
        if let Some((_, Waiting::ForwardedRevision(_, reply))) = self.fleet.take_waiting(matching) {
            let _ = reply.send(result);
        }
    }

    /// Proposes an order of an adapter, or forwards it to the leader.
    pub(super) async fn evacuation_order(
        &mut self,
        order: EvacuationOrder,
        deadline: Moment,
        reply: OutcomeReply,
    ) {
        let now = self.clock.now();
        if self.replica.status(now).holds_lease {
            let reply_to = OutcomeReplyTo::Local(reply);
            self.propose_evacuation_order(order, reply_to).await;
            return;
        }
        let Some(leader) = self.leader_addr(now) else {
            let _ = reply.send(Err(OrderError::NoLeader));
            return;
        };
        info!(order:% = order.id, to:% = leader, term = self.term(); "order forwarded to the leader");
        let token = self.fleet.new_token();
        let message = Message::EvacuationOrder { token, order };
        self.send(leader, Body::Fleet(message));
        let waiting = Waiting::ForwardedEvacuation(token, reply);
        self.fleet.enqueue(deadline, waiting);
    }

    /// Proposes an order. If this replica doesn't lead, the proposal fails at once.
    pub(super) async fn propose_evacuation_order(
        &mut self,
        order: EvacuationOrder,
        reply_to: OutcomeReplyTo,
    ) {
        info!(order:% = order.id, content:% = order, received_by:% = order.received_by,
            expected = order.expected, term = self.term(); "order proposed");
        let id = order.id;
        let Ok(buf) = postcard::to_stdvec(&Entry::EvacuationOrder(order)) else {
            warn!("can't encode an order");
            self.finish_evacuation_order(reply_to, Err(OrderError::Busy));
            return;
        };
        let token = self.add_pending(Pending::EvacuationOrder(id, reply_to));
        let proposal = Proposal::Command(buf);
        self.step(Event::Propose { token, proposal }).await;
    }

    /// Sends the outcome of an order.
    pub(super) fn finish_evacuation_order(
        &mut self,
        reply_to: OutcomeReplyTo,
        result: Result<OrderOutcome, OrderError>,
    ) {
        match reply_to {
            OutcomeReplyTo::Local(reply) => {
                let _ = reply.send(result);
            }
            OutcomeReplyTo::Replica { to, token } => {
                let message = Message::EvacuationOrderDone { token, result };
                self.send(to, Body::Fleet(message));
            }
        }
    }

    /// Handles the leader's answer to a forwarded order.
    pub(super) fn forwarded_evacuation_done(
        &mut self,
        token: u64,
        result: Result<OrderOutcome, OrderError>,
    ) {
        let matching = |item: &Waiting| matches!(item, Waiting::ForwardedEvacuation(sent, _) if *sent == token);
        if let Some((_, Waiting::ForwardedEvacuation(_, reply))) = self.fleet.take_waiting(matching)
        {
            let _ = reply.send(result);
        }
    }

    /// Tells the other replicas what this release supports.
    pub(super) fn announce_features(&mut self) {
        for to in self.address_book.discovery_targets() {
            self.send(to, Body::Fleet(Message::Features(FEATURES)));
        }
    }

    /// Lets the group commit conditional orders once every member can decode them.
    pub(super) async fn enable_conditional_orders(&mut self, now: Moment) {
        let replica = self.replica.status(now);
        if self.machine.orders.is_conditional || !replica.holds_lease {
            return;
        }
        let supports = |id| id == self.id || self.address_book.features(id) >= FEATURES;
        if !replica.members.all().all(supports) || self.has_unanswered_change() {
            return;
        }
        let Ok(buf) = postcard::to_stdvec(&Entry::EnableConditionalOrders) else {
            warn!("can't encode an entry");
            return;
        };
        info!(term = replica.term.0; "all members support conditional orders");
        let token = self.add_pending(Pending::NoReply);
        let proposal = Proposal::Command(buf);
        self.step(Event::Propose { token, proposal }).await;
    }
}
