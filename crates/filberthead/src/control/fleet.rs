//! Distribution of routes, evacuations and the endpoint list to gateways: connects the fleet's
//! [`Registry`] to the replica. Also holds the state that orders, reads and membership share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_consensus::{Members, Role};
use filberthead_fleet::{Message, OrderId, Outbound, Registry};
use filberthead_peer::{Body, Origin};
use filberthead_types::{Moment, ReplicaId, ServiceName};
use log::info;
use tokio::sync::watch;

use super::core::Core;
use super::evacuation_orders::{OutcomeReplyTo, RevisionReplyTo};
use super::handle::{HandleRequest, PublishedState};
use super::orders::{ReadReplyTo, ReplyTo, Waiting};

/// How often a replica asks the leader for a newer endpoint list, in case a push was lost.
const LIST_REQUEST_PERIOD: Duration = Duration::from_millis(1000);

/// How often a replica sends the others the gateways that report to it: twice per report period
/// of a gateway, so that their data is hardly older.
const GATEWAY_RELAY_PERIOD: Duration = Duration::from_millis(250);
/// How often a replica asks the leader to prove its routes, on behalf of the gateways that report
/// to it.
const PROOF_PERIOD: Duration = Duration::from_millis(150);

/// Term of an endpoint list read by a replica that wasn't the leader and had no list.
const NO_TERM: u64 = 0;
/// How long a starting replica waits for a leader's endpoint list before it reads the platform's
/// list itself.
const LEADER_LIST_TIMEOUT: Duration = Duration::from_millis(150);

/// Most unknown services to log. The endpoint list is written by another program and may contain
/// any number of them.
const MAX_LOGGED_SERVICES: usize = 64;

/// Settings of a group that changes its membership by itself.
#[derive(Clone, Debug)]
pub(crate) struct AutoMembership {
    /// Number of replicas that may fail at the same time.
    pub(crate) tolerated_failures: usize,
    /// Whether this replica creates the group.
    pub(crate) is_founder: bool,
}

/// State of gateway distribution, orders, reads and membership.
pub(crate) struct Fleet {
    pub(super) registry: Registry,
    pub(super) auto_membership: Option<AutoMembership>,
    /// Waiting orders and reads, with the time at which each fails.
    pub(super) waiting: Vec<(Moment, Waiting)>,
    /// Token of the last order or read forwarded to the leader.
    pub(super) next_token: u64,
    /// Since when this replica has been the leader; `None` if it isn't.
    pub(super) led_since: Option<Moment>,
    /// When each learner was first seen among the members, in this leadership.
    pub(super) learner_since: BTreeMap<ReplicaId, Moment>,
    next_list: Moment,
    next_gateway_relay: Moment,
    next_proof: Moment,
    published: watch::Sender<PublishedState>,
    /// The leader and members last logged.
    logged_membership: (Option<ReplicaId>, Members),
    /// Services logged as having endpoints but no route.
    logged_unrouted: BTreeSet<ServiceName>,
}

impl Fleet {
    pub(crate) fn new(
        auto_membership: Option<AutoMembership>,
        published: watch::Sender<PublishedState>,
    ) -> Self {
        Self {
            registry: Registry::default(),
            auto_membership,
            waiting: Vec::new(),
            // Random, so that a late reply to a request from before a restart isn't taken for the
            // reply to another one.
            next_token: rand::random(),
            led_since: None,
            learner_since: BTreeMap::new(),
            next_list: Moment::ZERO,
            next_gateway_relay: Moment::ZERO,
            next_proof: Moment::ZERO,
            published,
            logged_membership: Default::default(),
            logged_unrouted: BTreeSet::new(),
        }
    }

    /// Logs each service, once, that has endpoints but no route.
    fn log_unrouted(&mut self) {
        for (service, endpoints) in self.registry.unrouted_services() {
            if self.logged_unrouted.len() < MAX_LOGGED_SERVICES
                && self.logged_unrouted.insert(service.clone())
            {
                info!(service:%, endpoints; "no request goes to endpoints of an unknown service");
            }
        }
    }

    /// Whether this replica is to create the group.
    pub(super) fn should_found_group(&self) -> bool {
        self.auto_membership
            .as_ref()
            .is_some_and(|auto_membership| auto_membership.is_founder)
    }
}

impl Core {
    /// Handles a request of an adapter.
    pub(super) async fn handle_adapter_request(&mut self, req: HandleRequest) {
        match req {
            HandleRequest::Order {
                id,
                order,
                deadline,
                reply,
            } => {
                self.order(id, order, deadline, ReplyTo::Local(reply)).await;
            }
            HandleRequest::OrderRevision {
                domain,
                deadline,
                reply,
            } => self.query_order_revision(domain, deadline, reply).await,
            HandleRequest::EvacuationOrder {
                order,
                deadline,
                reply,
            } => self.evacuation_order(order, deadline, reply).await,
            HandleRequest::Routes { deadline, reply } => self.read_routes(deadline, reply).await,
            HandleRequest::EndpointList { term, list } => self.update_endpoint_list(term, list),
        }
    }

    fn update_endpoint_list(&mut self, asked_in: u64, list: Vec<filberthead_fleet::Endpoint>) {
        let now = self.clock.now();
        let replica = self.replica.status(now);
        let before = self.fleet.registry.revisions().endpoints;
        // Another leader may have read a newer list since an earlier term.
        let term = if replica.holds_lease && replica.term.0 == asked_in {
            replica.term.0
        } else if before.seq == 0 {
            // Superseded by any leader's list, even an older one.
            NO_TERM
        } else {
            return;
        };
        let out = self.fleet.registry.set_endpoints(now, term, list);
        self.fleet.log_unrouted();
        self.send_fleet(out);
        let current = self.fleet.registry.revisions().endpoints;
        if current == before {
            return;
        }
        info!(term = current.term, seq = current.seq; "list of endpoints changed");
        let replicas = self.address_book.discovery_targets();
        if let Some(update) = self.fleet.registry.endpoints_since(now, before) {
            for to in replicas {
                self.send(to, Body::Fleet(update.clone()));
            }
        }
    }

    /// Handles a message from a gateway or another replica.
    pub(super) async fn handle_fleet_message(&mut self, origin: &Origin, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Order { token, order } => {
                let to = origin.addr;
                let id = OrderId(token);
                info!(order:% = id, from:% = to, content:% = order, term = self.term(); "forwarded order received");
                self.forwarded_order(id, order, ReplyTo::Replica { to, token })
                    .await;
            }
            Message::OrderDone { token, result } => self.forwarded_order_done(token, result).await,
            Message::ReadIndex { token } => {
                let to = origin.addr;
                self.start_read(ReadReplyTo::Replica { to, token }).await;
            }
            Message::ReadIndexResult {
                token,
                result,
                gateways,
            } => {
                self.handle_read_index(token, result, gateways);
            }
            Message::OrderRevisionQuery { token, domain } => {
                let to = origin.addr;
                let reply_to = RevisionReplyTo::Replica { to, token };
                self.read_order_revision(domain, reply_to).await;
            }
            Message::OrderRevision { token, result } => self.handle_order_revision(token, result),
            Message::EvacuationOrder { token, order } => {
                let to = origin.addr;
                let reply_to = OutcomeReplyTo::Replica { to, token };
                self.propose_evacuation_order(order, reply_to).await;
            }
            Message::EvacuationOrderDone { token, result } => {
                self.forwarded_evacuation_done(token, result);
            }
            Message::Features(features) => {
                if let Some(id) = origin.replica {
                    self.address_book.record_features(id, features);
                }
            }
            other => {
                self.observe_pause();
                let proven = self.replica.lease_until(now).is_some();
                let registry = &mut self.fleet.registry;
                let out = registry.receive(now, origin.addr, other, proven);
                self.send_fleet(out);
            }
        }
    }

    /// Lets the registry know whether what this duty reads has waited. Called at least as often as the
    /// duty ticks, so that a time without messages isn't taken for a pause.
    pub(super) fn observe_pause(&mut self) {
        let since = self.stalls.unread_since();
        self.fleet.registry.set_unread_since(since);
    }

    pub(super) fn send_fleet(&mut self, out: Vec<Outbound>) {
        for (to, message) in out {
            self.send(to, Body::Fleet(message));
        }
    }

    /// Distributes what the applied entries have changed. Called after each entry, before its
    /// outcome is reported.
    pub(super) fn distribute_orders(&mut self, now: Moment) {
        let newest = self.machine.routes.newest().cloned();
        let revision = self.machine.routes_revision;
        let newer = revision > self.fleet.registry.revisions().routes;
        if let Some(change) = newest.filter(|_| newer) {
            info!(version = change.version, revision, routes = change.table.routes.len();
                "routes in force");
            let table = Arc::new(change.table.clone());
            let registry = &mut self.fleet.registry;
            let out = registry.set_routes(now, revision, change.version, table);
            self.send_fleet(out);
        }
        let known = self.fleet.registry.revisions();
        if newer || self.machine.evacuated_revision > known.evacuated {
            self.save_note();
        }
        let revision = self.machine.evacuated_revision;
        if revision > self.fleet.registry.revisions().evacuated {
            info!(revision, domains:? = self.machine.evacuated; "evacuated failure domains");
        }
        let registry = &mut self.fleet.registry;
        let out = registry.set_evacuated(now, revision, &self.machine.evacuated);
        self.send_fleet(out);
        self.complete_applied_reads();
    }

    /// Periodic work: membership, waiting orders and reads, the endpoint list, proofs and the
    /// published state.
    pub(super) async fn tick_fleet(&mut self, now: Moment) {
        self.update_replica_addresses();
        self.update_leadership(now);
        self.retry_waiting(now).await;
        self.request_endpoint_list(now);
        self.relay_gateways(now);
        if now >= self.fleet.next_proof {
            self.fleet.next_proof = now + PROOF_PERIOD;
            self.request_proofs(now);
        }
        self.publish_state(now);
        if self.fleet.auto_membership.is_some() {
            self.reconcile_membership(now).await;
        }
        self.enable_conditional_orders(now).await;
    }

    fn update_leadership(&mut self, now: Moment) {
        let replica = self.replica.status(now);
        if replica.role != Role::Leader {
            self.fleet.led_since = None;
            self.fleet.learner_since.clear();
        } else if self.fleet.led_since.is_none() {
            self.fleet.led_since = Some(now);
        }
        let is_member = replica.members.voters.contains(&self.id)
            || replica.members.learners.contains(&self.id);
        if is_member {
            // The leader has added this replica, so it has this replica's address.
            self.address_book.clear_leader_hint();
        }
        let membership = (replica.leader, replica.members);
        if self.fleet.logged_membership != membership {
            info!(leader:? = membership.0, term = replica.term.0, voters:? = membership.1.voters,
                learners:? = membership.1.learners, lease = replica.holds_lease;
                "leadership or membership");
            self.fleet.logged_membership = membership;
        }
    }

    /// Address of the leader; `None` if it is this replica or unknown.
    pub(super) fn leader_addr(&self, now: Moment) -> Option<SocketAddr> {
        let leader = self.replica.status(now).leader?;
        let known = self
            .address_book
            .get(leader)
            .filter(|_| leader != self.id)?;
        Some(known.addr)
    }

    fn request_endpoint_list(&mut self, now: Moment) {
        if now < self.fleet.next_list {
            return;
        }
        self.fleet.next_list = now + LIST_REQUEST_PERIOD;
        if let Some(leader) = self.leader_addr(now) {
            let stamp = self.fleet.registry.revisions().endpoints;
            self.send(leader, Body::Fleet(Message::PullEndpoints(stamp)));
        }
    }

    /// Sends the other replicas the gateways that report here.
    fn relay_gateways(&mut self, now: Moment) {
        if now < self.fleet.next_gateway_relay {
            return;
        }
        self.fleet.next_gateway_relay = now + GATEWAY_RELAY_PERIOD;
        let Some(roster) = self.fleet.registry.roster(now) else {
            return;
        };
        for to in self.address_book.discovery_targets() {
            self.send(to, Body::Fleet(roster.clone()));
        }
    }

    fn publish_state(&mut self, now: Moment) {
        let gateways = self.fleet.registry.ready_gateways(now);
        let replica = self.replica.status(now);
        let has_no_list = self.fleet.registry.revisions().endpoints.seq == 0;
        let reads_without_leader =
            has_no_list && replica.leader.is_none() && now >= LEADER_LIST_TIMEOUT;
        let endpoint_list_term = if replica.holds_lease {
            Some(replica.term.0)
        } else {
            reads_without_leader.then_some(NO_TERM)
        };
        self.fleet.published.send_if_modified(|published| {
            let unchanged = published.endpoint_list_term == endpoint_list_term
                && *published.gateways == *gateways;
            if !unchanged {
                *published = PublishedState {
                    gateways: gateways.into(),
                    endpoint_list_term,
                };
            }
            !unchanged
        });
    }
}
