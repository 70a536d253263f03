//! Orders of operators, reads of what is in force, and what spreads to gateways: the
//! fleet's [`Registry`] joined to the replica.
//!
//! Any replica takes an order or a read. One that doesn't lead passes it on to the leader
//! and waits for its word; one that knows no leader holds it for a moment, since an
//! election is usually over within a second, and then says that it can't tell.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_consensus::{Event, Members, Proposal, ProposeError, Role};
use filberthead_fleet::{Message, Order, OrderError, Outbound, Registry};
use filberthead_peer::{Body, Origin};
use filberthead_route::Change;
use filberthead_types::{FailureDomain, Moment, ReplicaId};
use log::{info, warn};
use serde::{Deserialize, Serialize};
use tokio::sync::{oneshot, watch};

use super::core::{Core, Pending};
use super::desk::{DeskRequest, Shown};
use super::input::DiskJob;
use super::machine::Entry;
use super::roster::{self, Next, Seen, View};

/// How long an order or read waits for a leader, or for the leader's word. An operator
/// waits a second for an answer; after that a late one would be lost on it.
const WAIT: Duration = Duration::from_millis(850);
/// Orders and reads that wait here at the same time.
const MAX_WAITING: usize = 256;
/// How long a group in the making may hold back orders. A group whose VMs never come up
/// in full has to work with those that did.
const MAKING: Duration = Duration::from_secs(6);
/// How often a replica asks the leader for a newer list of endpoints, in case the push
/// was lost.
const LIST_CATCH_UP: Duration = Duration::from_millis(1000);

/// Term of a list that was read by a replica that doesn't lead and had none.
const NO_TERM: u64 = 0;
/// How long a replica that starts waits for a leader's list before it reads its own.
const LISTLESS: Duration = Duration::from_millis(150);

/// Whom the word on an order goes to.
pub(super) enum Asker {
    /// An adapter in this process.
    Here(oneshot::Sender<Result<(), OrderError>>),
    /// A replica that passed it on.
    Replica { to: SocketAddr, token: u64 },
}

/// Whom the word on the newest state goes to.
pub(super) enum Reader {
    /// An adapter in this process.
    Here(oneshot::Sender<Result<Option<Arc<Change>>, OrderError>>),
    /// A replica that passed it on.
    Replica { to: SocketAddr, token: u64 },
}

/// Something that waits for a leader, for its word, or for the log.
enum Waiting {
    Order(Order, Asker),
    Read(oneshot::Sender<Result<Option<Arc<Change>>, OrderError>>),
    /// An order passed on under this token.
    Passed(u64, oneshot::Sender<Result<(), OrderError>>),
    /// A read passed on under this token.
    Asked(
        u64,
        oneshot::Sender<Result<Option<Arc<Change>>, OrderError>>,
    ),
    /// A read that may be answered once the log is applied up to this index.
    Behind(
        u64,
        oneshot::Sender<Result<Option<Arc<Change>>, OrderError>>,
    ),
}

/// What was in force, for gateways that start together with this replica. A replica that
/// starts knows its log but not how much of it is committed, and learns that only from the
/// next leader; until then gateways would have nothing to serve by. All that is noted here
/// was committed once, so it never has to be taken back; it may be overtaken.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct InForce {
    /// The change, and its revision.
    routes: Option<(u64, Arc<Change>)>,
    evacuated: BTreeSet<FailureDomain>,
    evacuated_at: u64,
}

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
    keeping: Option<SelfKeeping>,
    waiting: Vec<(Moment, Waiting)>,
    next_token: u64,
    led_since: Option<Moment>,
    next_list: Moment,
    shown: watch::Sender<Shown>,
    /// What members of the group were last seen as, for the log.
    belief: (Option<ReplicaId>, Members),
}

impl Fleet {
    pub(crate) fn new(keeping: Option<SelfKeeping>, shown: watch::Sender<Shown>) -> Self {
        Self {
            registry: Registry::default(),
            keeping,
            waiting: Vec::new(),
            next_token: 0,
            led_since: None,
            next_list: Moment::ZERO,
            shown,
            belief: Default::default(),
        }
    }

    /// Takes up what was in force when this replica last ran.
    pub(crate) fn recall(&mut self, now: Moment, note: Option<&[u8]>) {
        let Some(note) = note else {
            return;
        };
        let noted: InForce = match postcard::from_bytes(note) {
            Ok(noted) => noted,
            Err(e) => {
                // Another version of the program wrote it; the log has all that counts.
                warn!(error:% = e; "the note of what was in force can't be read");
                return;
            }
        };
        // Nobody has reported yet, so there is nobody to tell.
        if let Some((revision, change)) = noted.routes {
            info!(version = change.version, revision; "routes were in force before the start");
            let table = Arc::new(change.table.clone());
            self.registry
                .set_routes(now, revision, change.version, table);
        }
        self.registry
            .set_evacuated(now, noted.evacuated_at, &noted.evacuated);
    }

    /// Whether nobody has begun the group yet and this replica is to.
    pub(super) fn is_to_found(&self) -> bool {
        self.keeping.as_ref().is_some_and(|keeping| keeping.founds)
    }

    fn token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    fn wait(&mut self, now: Moment, what: Waiting) {
        if self.waiting.len() >= MAX_WAITING {
            fail(what, OrderError::Busy);
            return;
        }
        self.waiting.push((now + WAIT, what));
    }

    fn take(&mut self, matches: impl Fn(&Waiting) -> bool) -> Option<Waiting> {
        let place = self.waiting.iter().position(|(_, what)| matches(what))?;
        Some(self.waiting.swap_remove(place).1)
    }
}

fn fail(what: Waiting, error: OrderError) {
    // Whoever asked may have gone; nobody else needs the answer.
    match what {
        Waiting::Order(_, Asker::Here(reply)) | Waiting::Passed(_, reply) => {
            let _ = reply.send(Err(error));
        }
        Waiting::Read(reply) | Waiting::Asked(_, reply) | Waiting::Behind(_, reply) => {
            let _ = reply.send(Err(error));
        }
        // The replica that passed it on gives up by itself.
        Waiting::Order(_, Asker::Replica { .. }) => {}
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
        let before = self.fleet.registry.have().endpoints;
        let term = if replica.holds_lease {
            replica.term.0
        } else if before.seq == 0 {
            // Any leader's list, older ones included, takes the place of this one.
            NO_TERM
        } else {
            return;
        };
        let out = self.fleet.registry.listed(now, term, list);
        self.tell(out);
        if self.fleet.registry.have().endpoints == before {
            return;
        }
        let replicas = self.book.to_greet();
        if let Some(news) = self.fleet.registry.endpoints_for(now, before) {
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
            Message::Newest { token } => {
                let to = origin.addr;
                self.prove(Reader::Replica { to, token }).await;
            }
            Message::NewestIs { token, result } => self.asked_done(now, token, result),
            other => {
                let out = self.fleet.registry.receive(now, origin.addr, other);
                self.tell(out);
            }
        }
    }

    fn tell(&mut self, out: Vec<Outbound>) {
        for (to, message) in out {
            self.send(to, Body::Fleet(message));
        }
    }

    async fn order(&mut self, order: Order, asker: Asker) {
        let now = self.clock.now();
        if self.replica.status(now).holds_lease {
            if self.is_in_the_making(now) {
                self.fleet.wait(now, Waiting::Order(order, asker));
                return;
            }
            self.propose_order(order, asker).await;
            return;
        }
        match (self.leader_addr(now), asker) {
            (Some(leader), Asker::Here(reply)) => {
                let token = self.fleet.token();
                self.send(leader, Body::Fleet(Message::Order { token, order }));
                self.fleet.wait(now, Waiting::Passed(token, reply));
            }
            (_, asker) => self.fleet.wait(now, Waiting::Order(order, asker)),
        }
    }

    /// Whether the group is still too small to keep what it accepts through as many
    /// losses as it is to tolerate.
    fn is_in_the_making(&self, now: Moment) -> bool {
        let Some(keeping) = &self.fleet.keeping else {
            return false;
        };
        let voters = self.replica.status(now).members.voters.len();
        let since = self.fleet.led_since.unwrap_or(now);
        voters < 2 * keeping.tolerate + 1 && now < since + MAKING
    }

    async fn propose_order(&mut self, order: Order, asker: Asker) {
        let Ok(buf) = postcard::to_stdvec(&Entry::Order(order)) else {
            warn!("an order can't be encoded");
            self.answer_order(asker, Err(OrderError::Busy));
            return;
        };
        let token = self.pend(Pending::Order(asker));
        let proposal = Proposal::Command(buf);
        self.step(Event::Propose { token, proposal }).await;
    }

    /// Gives the word on an order to whoever asked.
    pub(super) fn answer_order(&mut self, asker: Asker, result: Result<(), OrderError>) {
        match asker {
            Asker::Here(reply) => {
                let _ = reply.send(result);
            }
            Asker::Replica { to, token } => {
                self.send(to, Body::Fleet(Message::OrderDone { token, result }));
            }
        }
    }

    async fn passed_done(&mut self, token: u64, result: Result<(), OrderError>) {
        let mine = |what: &Waiting| matches!(what, Waiting::Passed(held, _) if *held == token);
        if let Some(Waiting::Passed(_, reply)) = self.fleet.take(mine) {
            let _ = reply.send(result);
        }
    }

    async fn read_routes(
        &mut self,
        reply: oneshot::Sender<Result<Option<Arc<Change>>, OrderError>>,
    ) {
        let now = self.clock.now();
        if self.replica.status(now).holds_lease {
            self.prove(Reader::Here(reply)).await;
            return;
        }
        match self.leader_addr(now) {
            Some(leader) => {
                let token = self.fleet.token();
                self.send(leader, Body::Fleet(Message::Newest { token }));
                self.fleet.wait(now, Waiting::Asked(token, reply));
            }
            None => self.fleet.wait(now, Waiting::Read(reply)),
        }
    }

    async fn prove(&mut self, reader: Reader) {
        let token = self.pend(Pending::Newest(reader));
        self.step(Event::Read { token }).await;
    }

    /// Gives the word on a read: as the lease stands at this moment, all that was ever
    /// accepted is applied here.
    pub(super) fn answer_read(&mut self, reader: Reader, result: Result<(), OrderError>) {
        match reader {
            Reader::Here(reply) => {
                let _ = reply.send(result.map(|()| self.machine.routes.newest().cloned()));
            }
            Reader::Replica { to, token } => {
                let result = result.map(|()| self.applied);
                self.send(to, Body::Fleet(Message::NewestIs { token, result }));
            }
        }
    }

    fn asked_done(&mut self, now: Moment, token: u64, result: Result<u64, OrderError>) {
        let mine = |what: &Waiting| matches!(what, Waiting::Asked(held, _) if *held == token);
        let Some(Waiting::Asked(_, reply)) = self.fleet.take(mine) else {
            return;
        };
        match result {
            Ok(index) if index <= self.applied => {
                let _ = reply.send(Ok(self.machine.routes.newest().cloned()));
            }
            Ok(index) => self.fleet.wait(now, Waiting::Behind(index, reply)),
            Err(e) => {
                let _ = reply.send(Err(e));
            }
        }
    }

    /// Comes after each committed entry, before anybody is told of its outcome.
    pub(super) fn spread_orders(&mut self, now: Moment) {
        let held = self.machine.routes.newest().cloned();
        let revision = self.machine.routes_at;
        let newer = revision > self.fleet.registry.have().routes;
        if let Some(change) = held.filter(|_| newer) {
            info!(version = change.version, revision, routes = change.table.routes.len();
                "routes in force");
            let table = Arc::new(change.table.clone());
            let registry = &mut self.fleet.registry;
            let out = registry.set_routes(now, revision, change.version, table);
            self.tell(out);
        }
        let held = self.fleet.registry.have();
        if newer || self.machine.evacuated_at > held.evacuated {
            self.note_in_force();
        }
        let revision = self.machine.evacuated_at;
        if revision > self.fleet.registry.have().evacuated {
            info!(revision, domains:? = self.machine.evacuated; "evacuated failure domains");
        }
        let registry = &mut self.fleet.registry;
        let out = registry.set_evacuated(now, revision, &self.machine.evacuated);
        self.tell(out);
        self.answer_those_behind();
    }

    /// Has the disk duty keep what is in force. With its ring full it is dropped: the disk
    /// is far behind then, and the next change is noted again.
    fn note_in_force(&mut self) {
        let routes = self.machine.routes.newest().cloned();
        let noted = InForce {
            routes: routes.map(|change| (self.machine.routes_at, change)),
            evacuated: self.machine.evacuated.clone(),
            evacuated_at: self.machine.evacuated_at,
        };
        match postcard::to_stdvec(&noted) {
            Ok(note) => {
                let _ = self.disk.push(DiskJob::Remember(note));
            }
            Err(e) => warn!(error:% = e; "what is in force can't be noted"),
        }
    }

    fn answer_those_behind(&mut self) {
        let applied = self.applied;
        let caught_up =
            |what: &Waiting| matches!(what, Waiting::Behind(index, _) if *index <= applied);
        while let Some(Waiting::Behind(_, reply)) = self.fleet.take(caught_up) {
            let _ = reply.send(Ok(self.machine.routes.newest().cloned()));
        }
    }

    /// Membership, waiting orders, lists and what is shown.
    pub(super) async fn tick_fleet(&mut self, now: Moment) {
        self.learn_located();
        self.note_leadership(now);
        self.retry_waiting(now).await;
        self.catch_up_on_list(now);
        self.show(now);
        if self.fleet.keeping.is_some() {
            self.keep_membership(now).await;
        }
    }

    fn note_leadership(&mut self, now: Moment) {
        let replica = self.replica.status(now);
        if replica.role != Role::Leader {
            self.fleet.led_since = None;
        } else if self.fleet.led_since.is_none() {
            self.fleet.led_since = Some(now);
        }
        let belief = (replica.leader, replica.members);
        if self.fleet.belief != belief {
            info!(leader:? = belief.0, term = replica.term.0, voters:? = belief.1.voters,
                learners:? = belief.1.learners, lease = replica.holds_lease;
                "leadership or membership");
            self.fleet.belief = belief;
        }
    }

    async fn retry_waiting(&mut self, now: Moment) {
        let waiting = std::mem::take(&mut self.fleet.waiting);
        let (late, rest): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|(at, _)| now >= *at);
        for (_, what) in late {
            let error = match what {
                Waiting::Passed(..) => OrderError::OutcomeUnknown,
                _ => OrderError::NoLeader,
            };
            fail(what, error);
        }
        self.fleet.waiting = rest;
        let may_lead = self.replica.status(now).holds_lease && !self.is_in_the_making(now);
        if !may_lead && self.leader_addr(now).is_none() {
            return;
        }
        let held = |what: &Waiting| matches!(what, Waiting::Order(..) | Waiting::Read(_));
        let mut again = Vec::new();
        while let Some(what) = self.fleet.take(held) {
            again.push(what);
        }
        for what in again {
            match what {
                Waiting::Order(order, asker) => self.order(order, asker).await,
                Waiting::Read(reply) => self.read_routes(reply).await,
                _ => {}
            }
        }
    }

    /// Address of the leader, if that is another replica.
    fn leader_addr(&self, now: Moment) -> Option<SocketAddr> {
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
            let have = self.fleet.registry.have();
            self.send(leader, Body::Fleet(Message::Ask(have)));
        }
    }

    fn show(&mut self, now: Moment) {
        let gateways = self.fleet.registry.ready(now);
        let replica = self.replica.status(now);
        let leads = replica.holds_lease;
        let listless = self.fleet.registry.have().endpoints.seq == 0;
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

    /// Tells everybody where replicas are that the log names.
    fn learn_located(&mut self) {
        for (id, addr) in &self.machine.located {
            self.book.located(*id, *addr);
        }
        let mut replicas: Vec<_> = self.book.to_greet().into_iter().collect();
        replicas.push(self.about.peer_addr);
        self.fleet.registry.set_replicas(replicas);
    }

    async fn keep_membership(&mut self, now: Moment) {
        let replica = self.replica.status(now);
        let Some(led_since) = self.fleet.led_since.filter(|_| replica.holds_lease) else {
            return;
        };
        let mut seen: BTreeMap<_, _> = self.book.seen().collect();
        let own = Seen {
            addr: self.about.peer_addr,
            heard: Some(now),
        };
        seen.insert(self.id, own);
        let progress: HashMap<_, _> = replica.progress.iter().copied().collect();
        let learners = replica.members.learners.iter().copied();
        let held = |id: &ReplicaId| progress.get(id).copied().unwrap_or(0) >= replica.commit;
        let caught_up: Vec<_> = learners.filter(held).collect();
        let view = View {
            now,
            led_since,
            own: self.id,
            members: &replica.members,
            seen: &seen,
            located: &self.machine.located,
            caught_up: &caught_up,
        };
        match roster::next(view) {
            Next::Rest => {}
            Next::Locate(id, addr) => self.propose_location(id, addr).await,
            Next::Change(proposal) => {
                // Asked again at each tick until it is done, so its outcome is not awaited.
                let token = self.pend(Pending::Nobody);
                self.step(Event::Propose { token, proposal }).await;
            }
        }
    }

    async fn propose_location(&mut self, id: ReplicaId, addr: SocketAddr) {
        let under_way = self.pending.values().any(|p| matches!(p, Pending::Nobody));
        if under_way {
            return;
        }
        let Ok(buf) = postcard::to_stdvec(&Entry::Locate { id, addr }) else {
            warn!("a location can't be encoded");
            return;
        };
        let token = self.pend(Pending::Nobody);
        let proposal = Proposal::Command(buf);
        self.step(Event::Propose { token, proposal }).await;
    }
}

/// What a failed proposal means to whoever ordered it.
pub(super) fn order_error(error: ProposeError) -> OrderError {
    match error {
        ProposeError::OutcomeUnknown => OrderError::OutcomeUnknown,
        ProposeError::Overloaded => OrderError::Busy,
        ProposeError::NotLeader { .. }
        | ProposeError::MembershipRefused
        | ProposeError::LearnerBehind => OrderError::NoLeader,
    }
}

impl From<&super::book::Known> for Seen {
    fn from(known: &super::book::Known) -> Self {
        Self {
            addr: known.addr,
            heard: known.heard,
        }
    }
}
