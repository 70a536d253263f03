//! What spreads to gateways: the fleet's [`Registry`] joined to the replica; and the state
//! that orders, reads and the keeping of membership share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_consensus::{Members, Role};
use filberthead_fleet::{Message, Outbound, Registry};
use filberthead_peer::{Body, Origin};
use filberthead_types::{Moment, ReplicaId, ServiceName};
use log::info;
use tokio::sync::watch;

use super::core::Core;
use super::desk::{DeskRequest, Shown};
use super::orders::{Asker, Reader, Waiting};

/// How often a replica asks the leader for a newer list of endpoints, in case the push
/// was lost.
const LIST_CATCH_UP: Duration = Duration::from_millis(1000);

/// How often a replica tells the others of the gateways that report to it: twice in a
/// gateway's report period, so that what they know of it is hardly older.
const ROSTER_PERIOD: Duration = Duration::from_millis(250);
/// How often the leader is asked to prove routes to the gateways that report here.
const PROOF_PERIOD: Duration = Duration::from_millis(150);

/// Term of a list that was read by a replica that doesn't lead and had none.
const NO_TERM: u64 = 0;
/// How long a replica that starts waits for a leader's list before it reads its own.
const LISTLESS: Duration = Duration::from_millis(150);

/// Unknown services that the log names: entries of the list that another program writes may
/// make up as many as they like.
const UNSERVED: usize = 64;

/// How the group keeps itself.
#[derive(Clone, Debug)]
pub(crate) struct SelfKeeping {
    /// Replicas that may be lost at once.
    pub(crate) tolerate: usize,
    /// Whether this replica begins the group.
    pub(crate) founds: bool,
}

/// State of this part of the duty.
pub(crate) struct Fleet {
    pub(super) registry: Registry,
    pub(super) keeping: Option<SelfKeeping>,
    pub(super) waiting: Vec<(Moment, Waiting)>,
    pub(super) next_token: u64,
    pub(super) led_since: Option<Moment>,
    /// When learners were first seen in this leadership.
    pub(super) joined: BTreeMap<ReplicaId, Moment>,
    next_list: Moment,
    next_roster: Moment,
    next_proof: Moment,
    shown: watch::Sender<Shown>,
    /// What members of the group were last seen as, for the log.
    belief: (Option<ReplicaId>, Members),
    /// Services of endpoints that the log says no route goes to.
    unserved: BTreeSet<ServiceName>,
}

impl Fleet {
    pub(crate) fn new(keeping: Option<SelfKeeping>, shown: watch::Sender<Shown>) -> Self {
        Self {
            registry: Registry::default(),
            keeping,
            waiting: Vec::new(),
            // A word on what this replica passed on before it was restarted may still come,
            // and must not be taken for the word on something else.
            next_token: rand::random(),
            led_since: None,
            joined: BTreeMap::new(),
            next_list: Moment::ZERO,
            next_roster: Moment::ZERO,
            next_proof: Moment::ZERO,
            shown,
            belief: Default::default(),
            unserved: BTreeSet::new(),
        }
    }

    /// One line for each service that the list names and the routes in force don't.
    fn note_unserved(&mut self) {
        for (service, endpoints) in self.registry.unrouted_services() {
            if self.unserved.len() < UNSERVED && self.unserved.insert(service.clone()) {
                info!(service:%, endpoints; "no request goes to endpoints of an unknown service");
            }
        }
    }

    /// Whether nobody has begun the group yet and this replica is to.
    pub(super) fn is_to_found(&self) -> bool {
        self.keeping.as_ref().is_some_and(|keeping| keeping.founds)
    }
}

impl Core {
    /// Takes a request of an adapter.
    pub(super) async fn take_desk(&mut self, req: DeskRequest) {
        match req {
            DeskRequest::Order { order, reply } => self.order(order, Asker::Here(reply)).await,
            DeskRequest::Routes { reply } => self.read_routes(reply).await,
            DeskRequest::Listed(list) => self.take_list(list),
        }
    }

    fn take_list(&mut self, list: Vec<filberthead_fleet::Endpoint>) {
        let now = self.clock.now();
        let replica = self.replica.status(now);
        let before = self.fleet.registry.revisions().endpoints;
        let term = if replica.holds_lease {
            replica.term.0
        } else if before.seq == 0 {
            // Any leader's list, older ones included, takes the place of this one.
            NO_TERM
        } else {
            return;
        };
        let out = self.fleet.registry.set_endpoints(now, term, list);
        self.fleet.note_unserved();
        self.tell(out);
        let listed = self.fleet.registry.revisions().endpoints;
        if listed == before {
            return;
        }
        info!(term = listed.term, seq = listed.seq; "list of endpoints changed");
        let replicas = self.book.to_greet();
        if let Some(news) = self.fleet.registry.endpoints_since(now, before) {
            for to in replicas {
                self.send(to, Body::Fleet(news.clone()));
            }
        }
    }

    /// Takes a message of a gateway or another replica.
    pub(super) async fn take_fleet(&mut self, origin: &Origin, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Order { token, order } => {
                let to = origin.addr;
                self.order(order, Asker::Replica { to, token }).await;
            }
            Message::OrderDone { token, result } => self.passed_done(token, result).await,
            Message::ReadIndex { token } => {
                let to = origin.addr;
                self.prove(Reader::Replica { to, token }).await;
            }
            Message::ReadIndexResult { token, result } => self.asked_done(now, token, result),
            other => {
                let proven = self.replica.lease_until(now).is_some();
                let registry = &mut self.fleet.registry;
                let out = registry.receive(now, origin.addr, other, proven);
                self.tell(out);
            }
        }
    }

    pub(super) fn tell(&mut self, out: Vec<Outbound>) {
        for (to, message) in out {
            self.send(to, Body::Fleet(message));
        }
    }

    /// Comes after each committed entry, before anybody is told of its outcome.
    pub(super) fn spread_orders(&mut self, now: Moment) {
        let held = self.machine.routes.newest().cloned();
        let revision = self.machine.routes_at;
        let newer = revision > self.fleet.registry.revisions().routes;
        if let Some(change) = held.filter(|_| newer) {
            info!(version = change.version, revision, routes = change.table.routes.len();
                "routes in force");
            let table = Arc::new(change.table.clone());
            let registry = &mut self.fleet.registry;
            let out = registry.set_routes(now, revision, change.version, table);
            self.tell(out);
        }
        let held = self.fleet.registry.revisions();
        if newer || self.machine.evacuated_at > held.evacuated {
            self.note_in_force();
        }
        let revision = self.machine.evacuated_at;
        if revision > self.fleet.registry.revisions().evacuated {
            info!(revision, domains:? = self.machine.evacuated; "evacuated failure domains");
        }
        let registry = &mut self.fleet.registry;
        let out = registry.set_evacuated(now, revision, &self.machine.evacuated);
        self.tell(out);
        self.answer_those_behind();
    }

    /// Membership, waiting orders, lists and what is shown.
    pub(super) async fn tick_fleet(&mut self, now: Moment) {
        self.learn_located();
        self.note_leadership(now);
        self.retry_waiting(now).await;
        self.catch_up_on_list(now);
        self.relay_gateways(now);
        if now >= self.fleet.next_proof {
            self.fleet.next_proof = now + PROOF_PERIOD;
            self.ask_for_proofs(now);
        }
        self.show(now);
        if self.fleet.keeping.is_some() {
            self.keep_membership(now).await;
        }
    }

    fn note_leadership(&mut self, now: Moment) {
        let replica = self.replica.status(now);
        if replica.role != Role::Leader {
            self.fleet.led_since = None;
            self.fleet.joined.clear();
        } else if self.fleet.led_since.is_none() {
            self.fleet.led_since = Some(now);
        }
        let is_member = replica.members.voters.contains(&self.id)
            || replica.members.learners.contains(&self.id);
        if is_member {
            // Whoever leads has taken this replica in and knows where it is.
            self.book.forget_told();
        }
        let belief = (replica.leader, replica.members);
        if self.fleet.belief != belief {
            info!(leader:? = belief.0, term = replica.term.0, voters:? = belief.1.voters,
                learners:? = belief.1.learners, lease = replica.holds_lease;
                "leadership or membership");
            self.fleet.belief = belief;
        }
    }

    /// Address of the leader, if that is another replica.
    pub(super) fn leader_addr(&self, now: Moment) -> Option<SocketAddr> {
        let leader = self.replica.status(now).leader?;
        let known = self.book.get(leader).filter(|_| leader != self.id)?;
        Some(known.addr)
    }

    fn catch_up_on_list(&mut self, now: Moment) {
        if now < self.fleet.next_list {
            return;
        }
        self.fleet.next_list = now + LIST_CATCH_UP;
        if let Some(leader) = self.leader_addr(now) {
            let have = self.fleet.registry.revisions().endpoints;
            self.send(leader, Body::Fleet(Message::PullEndpoints(have)));
        }
    }

    /// Tells the other replicas of the gateways that report here.
    fn relay_gateways(&mut self, now: Moment) {
        if now < self.fleet.next_roster {
            return;
        }
        self.fleet.next_roster = now + ROSTER_PERIOD;
        let Some(roster) = self.fleet.registry.roster(now) else {
            return;
        };
        for to in self.book.to_greet() {
            self.send(to, Body::Fleet(roster.clone()));
        }
    }

    fn show(&mut self, now: Moment) {
        let gateways = self.fleet.registry.ready_gateways(now);
        let replica = self.replica.status(now);
        let leads = replica.holds_lease;
        let listless = self.fleet.registry.revisions().endpoints.seq == 0;
        let reads = leads || (listless && replica.leader.is_none() && now >= LISTLESS);
        self.fleet.shown.send_if_modified(|shown| {
            let same = shown.reads == reads && *shown.gateways == *gateways;
            if !same {
                *shown = Shown {
                    gateways: gateways.into(),
                    reads,
                };
            }
            !same
        });
    }
}
