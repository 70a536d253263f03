//! Operators' orders about routes and evacuations, and reads of what is in force.
//!
//! Any replica accepts an order or a read. One that isn't the leader forwards it to the leader
//! and waits for the result. One that knows no leader holds it for a moment, since an election
//! usually ends within a second, and then reports that the outcome is unknown or that there is no
//! leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_consensus::{Event, Proposal, ProposeError};
use filberthead_fleet::{Message, Order, OrderError, OrderId, ProofRequest};
use filberthead_peer::Body;
use filberthead_route::Change;
use filberthead_types::{FailureDomain, Moment};
use log::{info, warn};
use tokio::sync::oneshot;

use super::core::{Core, Pending};
use super::evacuation_orders::{OutcomeReply, RevisionReply};
use super::fleet::Fleet;
use super::machine::Entry;
use super::membership_policy::MAX_VOTERS;

/// How long a read for the proofs of gateways waits for the leader's reply.
const MAX_PROOF_WAIT: Duration = Duration::from_millis(850);
/// Most orders and reads that wait at the same time.
const MAX_WAITING: usize = 256;
/// How long a leader holds an order that another replica forwarded, while the group is being formed.
const MAX_FORWARDED_WAIT: Duration = Duration::from_millis(850);
/// How long a group that is being formed may hold back orders. If some of its VMs never start,
/// the group has to work with the others.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(6);

/// Where the result of an order goes.
pub(super) enum ReplyTo {
    /// An adapter in this process.
    Local(oneshot::Sender<Result<(), OrderError>>),
    /// The replica that forwarded it, under this token.
    Replica { to: SocketAddr, token: u64 },
}

/// Where the result of a read goes.
pub(super) enum ReadReplyTo {
    /// An adapter in this process.
    Local(oneshot::Sender<Result<Option<Arc<Change>>, OrderError>>),
    /// The replica that forwarded it, under this token.
    Replica { to: SocketAddr, token: u64 },
}

/// A request that waits for a leader, for the leader's reply, or for the log to be applied.
pub(super) enum Waiting {
    /// An order that waits for a leader.
    Order(OrderId, Order, ReplyTo),
    /// A read that waits for a leader.
    Read(oneshot::Sender<Result<Option<Arc<Change>>, OrderError>>),
    /// An order forwarded to the leader under this token.
    Forwarded(u64, oneshot::Sender<Result<(), OrderError>>),
    /// A read that waits for the leader's reply under this token.
    LeaderQuery(u64, UnprovenRead),
    /// A read that can be answered once the log is applied up to this index.
    AwaitingApply(u64, UnprovenRead),
    /// A query for the order revision of a failure domain that waits for a leader.
    OrderRevision(FailureDomain, RevisionReply),
    /// Such a query that was sent to the leader under this token.
    ForwardedRevision(u64, RevisionReply),
    /// A conditional order forwarded to the leader under this token.
    ForwardedEvacuation(u64, OutcomeReply),
}

/// A read on a follower, which needs the leader's newest index before it can be answered.
pub(super) enum UnprovenRead {
    /// A read of the routes.
    Read(oneshot::Sender<Result<Option<Arc<Change>>, OrderError>>),
    /// Requests of gateways to prove their routes.
    ProofRequests {
        /// The requests.
        requests: Vec<ProofRequest>,
        /// Number of gateways that the leader counts; `None` until it has replied, and if it doesn't
        /// know.
        gateways: Option<u32>,
    },
}

impl Fleet {
    pub(super) fn new_token(&mut self) -> u64 {
        self.next_token = self.next_token.wrapping_add(1);
        self.next_token
    }

    /// Lets a request wait until its deadline, which is set once, as the request comes in.
    pub(super) fn enqueue(&mut self, deadline: Moment, request: Waiting) {
        if self.waiting.len() >= MAX_WAITING {
            fail(request, OrderError::Busy);
            return;
        }
        self.waiting.push((deadline, request));
    }

    /// Takes the first request that matches, with its deadline.
    pub(super) fn take_waiting(
        &mut self,
        matches: impl Fn(&Waiting) -> bool,
    ) -> Option<(Moment, Waiting)> {
        let position = self
            .waiting
            .iter()
            .position(|(_, request)| matches(request))?;
        Some(self.waiting.swap_remove(position))
    }
}

impl Core {
    /// Handles an order that another replica forwarded. It is held only by a leader: held by
    /// another replica it could take effect long after its operator has given up.
    pub(super) async fn forwarded_order(&mut self, id: OrderId, order: Order, reply_to: ReplyTo) {
        let now = self.clock.now();
        if !self.replica.status(now).holds_lease {
            info!(order:% = id; "forwarded order rejected, this replica doesn't lead");
            self.finish_order(reply_to, Err(OrderError::NoLeader));
            return;
        }
        self.order(id, order, now + MAX_FORWARDED_WAIT, reply_to)
            .await;
    }

    /// Proposes an order if this replica leads, else forwards it or lets it wait.
    pub(super) async fn order(
        &mut self,
        id: OrderId,
        order: Order,
        deadline: Moment,
        reply_to: ReplyTo,
    ) {
        if self.lacks_condition(&order) {
            info!(order:% = id, content:% = order; "order rejected, as it has no condition");
            self.finish_order(reply_to, Err(OrderError::NoLeader));
            return;
        }
        let now = self.clock.now();
        if self.replica.status(now).holds_lease {
            if self.is_forming(now) {
                let waiting = Waiting::Order(id, order, reply_to);
                self.fleet.enqueue(deadline, waiting);
                return;
            }
            self.propose_order(id, order, reply_to).await;
            return;
        }
        match (self.leader_addr(now), reply_to) {
            (Some(leader), ReplyTo::Local(reply)) => {
                info!(order:% = id, content:% = order, to:% = leader, term = self.term();
                    "order forwarded to the leader");
                let token = id.0;
                self.send(leader, Body::Fleet(Message::Order { token, order }));
                self.fleet
                    .enqueue(deadline, Waiting::Forwarded(token, reply));
            }
            (_, reply_to) => {
                let waiting = Waiting::Order(id, order, reply_to);
                self.fleet.enqueue(deadline, waiting);
            }
        }
    }

    /// Whether this is an order without a condition about a failure domain, in a group that has
    /// conditional ones: the group has changed to these since its replica asked.
    fn lacks_condition(&self, order: &Order) -> bool {
        self.machine.orders.is_conditional && !matches!(order, Order::Routes(_))
    }

    /// Whether the group still has too few voters for the number of failures that it is to
    /// tolerate, and hasn't had the time to form.
    pub(super) fn is_forming(&self, now: Moment) -> bool {
        let Some(auto_membership) = &self.fleet.auto_membership else {
            return false;
        };
        let voters = self.replica.status(now).members.voters.len();
        let since = self.fleet.led_since.unwrap_or(now);
        let required = (2 * auto_membership.tolerated_failures + 1).min(MAX_VOTERS);
        voters < required && now < since + FORMATION_TIMEOUT
    }

    async fn propose_order(&mut self, id: OrderId, order: Order, reply_to: ReplyTo) {
        if self.is_superseded(&order) {
            self.finish_order(reply_to, Ok(()));
            return;
        }
        info!(order:% = id, content:% = order, term = self.term(); "order proposed");
        let Ok(buf) = postcard::to_stdvec(&Entry::Order(order)) else {
            warn!("can't encode an order");
            self.finish_order(reply_to, Err(OrderError::Busy));
            return;
        };
        let token = self.add_pending(Pending::Order(id, reply_to));
        let proposal = Proposal::Command(buf);
        self.step(Event::Propose { token, proposal }).await;
    }

    /// Whether a committed order makes this one have no effect. It isn't logged again: a long one
    /// that is resent faster than it is committed would fill the log.
    fn is_superseded(&self, order: &Order) -> bool {
        let Order::Routes(change) = order else {
            return false;
        };
        let newest = self.machine.routes.newest();
        newest.is_some_and(|newest| newest.version >= change.version)
    }

    /// Sends the result of an order.
    pub(super) fn finish_order(&mut self, reply_to: ReplyTo, result: Result<(), OrderError>) {
        match reply_to {
            ReplyTo::Local(reply) => {
                let _ = reply.send(result);
            }
            ReplyTo::Replica { to, token } => {
                self.send(to, Body::Fleet(Message::OrderDone { token, result }));
            }
        }
    }

    pub(super) async fn forwarded_order_done(
        &mut self,
        token: u64,
        result: Result<(), OrderError>,
    ) {
        let matching =
            |item: &Waiting| matches!(item, Waiting::Forwarded(sent, _) if *sent == token);
        if let Some((_, Waiting::Forwarded(_, reply))) = self.fleet.take_waiting(matching) {
            let _ = reply.send(result);
        }
    }

    /// Reads the routes, if necessary after a query to the leader for its newest index.
    pub(super) async fn read_routes(
        &mut self,
        deadline: Moment,
        reply: oneshot::Sender<Result<Option<Arc<Change>>, OrderError>>,
    ) {
        let now = self.clock.now();
        if self.replica.status(now).holds_lease {
            self.start_read(ReadReplyTo::Local(reply)).await;
            return;
        }
        match self.leader_addr(now) {
            Some(leader) => self.query_leader(deadline, leader, UnprovenRead::Read(reply)),
            None => self.fleet.enqueue(deadline, Waiting::Read(reply)),
        }
    }

    fn query_leader(&mut self, deadline: Moment, leader: SocketAddr, read: UnprovenRead) {
        let token = self.fleet.new_token();
        self.send(leader, Body::Fleet(Message::ReadIndex { token }));
        self.fleet
            .enqueue(deadline, Waiting::LeaderQuery(token, read));
    }

    /// Asks the leader for the index that proves the routes held here, for the gateways that
    /// report here. Without a leader they get no proof, and ask other replicas.
    pub(super) fn request_proofs(&mut self, now: Moment) {
        let requests = self.fleet.registry.take_proof_requests();
        let leader = self.leader_addr(now).filter(|_| !requests.is_empty());
        if let Some(leader) = leader {
            let read = UnprovenRead::ProofRequests {
                requests,
                gateways: None,
            };
            self.query_leader(now + MAX_PROOF_WAIT, leader, read);
        }
    }

    fn complete_read(&mut self, read: UnprovenRead) {
        match read {
            UnprovenRead::Read(reply) => {
                // The receiver may be gone; nothing else needs the reply.
                let _ = reply.send(Ok(self.machine.routes.newest().cloned()));
            }
            UnprovenRead::ProofRequests { requests, gateways } => {
                let out = self.fleet.registry.prove(requests, gateways);
                self.send_fleet(out);
            }
        }
    }

    /// Has the replica confirm its lease; [`Self::finish_read`] follows.
    pub(super) async fn start_read(&mut self, reply_to: ReadReplyTo) {
        let token = self.add_pending(Pending::RoutesRead(reply_to));
        self.step(Event::Read { token }).await;
    }

    /// Sends the result of a read: as the lease is valid now, everything ever accepted is applied
    /// here.
    pub(super) fn finish_read(&mut self, reply_to: ReadReplyTo, result: Result<(), OrderError>) {
        match reply_to {
            ReadReplyTo::Local(reply) => {
                let _ = reply.send(result.map(|()| self.machine.routes.newest().cloned()));
            }
            ReadReplyTo::Replica { to, token } => {
                let result = result.map(|()| self.applied);
                let gateways = self.fleet.registry.counted_gateways(self.clock.now());
                let message = Message::ReadIndexResult {
                    token,
                    result,
                    gateways,
                };
                self.send(to, Body::Fleet(message));
            }
        }
    }

    /// Handles the leader's reply to a query for its newest index.
    pub(super) fn handle_read_index(
        &mut self,
        token: u64,
        result: Result<u64, OrderError>,
        counted: Option<u32>,
    ) {
        let matching =
            |item: &Waiting| matches!(item, Waiting::LeaderQuery(sent, _) if *sent == token);
        let taken = self.fleet.take_waiting(matching);
        let Some((deadline, Waiting::LeaderQuery(_, mut read))) = taken else {
            return;
        };
        if let UnprovenRead::ProofRequests { gateways, .. } = &mut read {
            *gateways = counted;
        }
        match result {
            Ok(index) if index <= self.applied => self.complete_read(read),
            Ok(index) => self
                .fleet
                .enqueue(deadline, Waiting::AwaitingApply(index, read)),
            Err(e) => read.fail(e),
        }
    }

    /// Completes reads whose index has been applied.
    pub(super) fn complete_applied_reads(&mut self) {
        let applied = self.applied;
        let caught_up =
            |item: &Waiting| matches!(item, Waiting::AwaitingApply(index, _) if *index <= applied);
        while let Some((_, Waiting::AwaitingApply(_, read))) = self.fleet.take_waiting(caught_up) {
            self.complete_read(read);
        }
    }

    /// Fails expired requests, and handles again those that waited for a leader once there is one.
    pub(super) async fn retry_waiting(&mut self, now: Moment) {
        let waiting = std::mem::take(&mut self.fleet.waiting);
        let (expired, rest): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|(at, _)| now >= *at);
        for (_, request) in expired {
            let error = match request {
                Waiting::Forwarded(..) | Waiting::ForwardedEvacuation(..) => {
                    OrderError::OutcomeUnknown
                }
                _ => OrderError::NoLeader,
            };
            fail(request, error);
        }
        self.fleet.waiting = rest;
        let may_lead = self.replica.status(now).holds_lease && !self.is_forming(now);
        if !may_lead && self.leader_addr(now).is_none() {
            return;
        }
        let is_held = |item: &Waiting| {
            matches!(
                item,
                Waiting::Order(..) | Waiting::Read(_) | Waiting::OrderRevision(..)
            )
        };
        let mut retried = Vec::new();
        while let Some(request) = self.fleet.take_waiting(is_held) {
            retried.push(request);
        }
        for (deadline, request) in retried {
            match request {
                Waiting::Order(id, order, reply_to) => {
                    self.order(id, order, deadline, reply_to).await;
                }
                Waiting::Read(reply) => self.read_routes(deadline, reply).await,
                Waiting::OrderRevision(domain, reply) => {
                    self.query_order_revision(domain, deadline, reply).await;
                }
                _ => {}
            }
        }
    }
}

impl UnprovenRead {
    fn fail(self, error: OrderError) {
        match self {
            Self::Read(reply) => {
                let _ = reply.send(Err(error));
            }
            // Gateways ask again with each report.
            Self::ProofRequests { .. } => {}
        }
    }
}

fn fail(request: Waiting, error: OrderError) {
    // The receiver may be gone; nothing else needs the reply.
    match request {
        Waiting::Order(_, _, ReplyTo::Local(reply)) | Waiting::Forwarded(_, reply) => {
            let _ = reply.send(Err(error));
        }
        Waiting::Read(reply) => {
            let _ = reply.send(Err(error));
        }
        Waiting::LeaderQuery(_, read) | Waiting::AwaitingApply(_, read) => read.fail(error),
        Waiting::OrderRevision(_, reply) | Waiting::ForwardedRevision(_, reply) => {
            let _ = reply.send(Err(error));
        }
        Waiting::ForwardedEvacuation(_, reply) => {
            let _ = reply.send(Err(error));
        }
        // The replica that forwarded it times out by itself.
        Waiting::Order(_, _, ReplyTo::Replica { .. }) => {}
    }
}

/// The error of an order whose proposal failed.
pub(super) fn order_error(error: ProposeError) -> OrderError {
    match error {
        ProposeError::OutcomeUnknown => OrderError::OutcomeUnknown,
        ProposeError::Overloaded => OrderError::Busy,
        ProposeError::NotLeader { .. }
        | ProposeError::MembershipRefused
        | ProposeError::LearnerBehind => OrderError::NoLeader,
    }
}
