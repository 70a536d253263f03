//! The consensus duty: connects the replica's state machine to disk, peers and operators.
//!
//! It owns all of its state. Its invariant: an operator is sent "accepted" only once the replica
//! reports the entry as committed, and the table only once it reports that its lease is valid at
//! that moment. So a process that was suspended or cut off can't answer from stale state.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_consensus::{
    self as consensus, Action, Config, Durable, Entry, Event, Members, Payload, Persist, Proposal,
    ProposeError, Replica, Snapshot, Token,
};
use filberthead_fleet::{OrderError, OrderId, OrderOutcome};
use filberthead_ledger::{Claim, Message};
use filberthead_peer::{Body, HelloInfo, Origin};
use filberthead_ring::{PushError, Receiver, Sender};
use filberthead_spread::Leader;
use filberthead_steer::Message as Steer;
use filberthead_table::{Command, Operation, Outcome, Table};
use filberthead_types::{FailureDomain, Moment, NodeName, ReplicaId};
use log::{error, info, warn};
use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval};

use super::address_book::AddressBook;
use super::evacuation_orders::{OutcomeReplyTo, RevisionReplyTo};
use super::fleet::Fleet;
use super::gauges::Gauges;
use super::input::{AdminRequest, DiskJob, InitialiseError, Input, SubmitError};
use super::machine::{self, Applied, Machine};
use super::orders::{ReadReplyTo, ReplyTo, order_error};
use super::shares::Shares;
use super::spreading::{Leadership, Spreading};
use crate::peers::Outgoing;
use crate::stop::Stop;
use crate::{Clock, StallMonitor};

/// A quarter of the default heartbeat.
const TICK: Duration = Duration::from_millis(50);
/// How often the metrics are updated.
const METRICS_PERIOD: Duration = Duration::from_secs(1);
/// Interval of hellos to the other replicas while some of them haven't been heard from.
const DISCOVERY_HELLO_PERIOD: Duration = Duration::from_secs(1);
/// Interval of hellos otherwise, for replicas that have restarted.
const STEADY_HELLO_PERIOD: Duration = Duration::from_secs(5);
/// Interval at which the duty retries while the queue to the disk duty is full.
const DISK_QUEUE_RETRY: Duration = Duration::from_millis(1);

/// Requests that wait for the outcome of a proposal or read.
pub(super) enum Pending {
    /// A command on the table.
    Submit(oneshot::Sender<Result<Outcome, SubmitError>>),
    /// A command that declares an entry gone.
    ForgetEntry(oneshot::Sender<Result<Outcome, SubmitError>>),
    /// A read of the table.
    Read(oneshot::Sender<Result<Arc<Table>, SubmitError>>),
    /// A change of the membership.
    Members(oneshot::Sender<Result<(), SubmitError>>),
    /// An entry's claim on a home of idempotency keys.
    Claim { to: SocketAddr, claim: Claim },
    /// An operator's order about routes, or about evacuations without a condition.
    Order(OrderId, ReplyTo),
    /// A conditional order about an evacuation.
    EvacuationOrder(OrderId, OutcomeReplyTo),
    /// A read of the order revision of a failure domain.
    OrderRevision(FailureDomain, RevisionReplyTo),
    /// A read of the routes here, or of the newest index for another replica.
    RoutesRead(ReadReplyTo),
    /// A change that the leader proposes by itself and repeats until it is done.
    NoReply,
    /// The roster of a failure domain. Entries renew again until they get a grant by it.
    Roster(FailureDomain),
}

/// Identity of this replica, as shown to operators.
pub(crate) struct Identity {
    pub(crate) cluster: String,
    pub(crate) node: NodeName,
    pub(crate) peer_addr: SocketAddr,
}

/// Everything the duty needs at start.
pub(crate) struct Parts {
    pub(crate) id: ReplicaId,
    pub(crate) clock: Clock,
    pub(crate) cfg: Config,
    pub(crate) durable: Durable,
    pub(crate) address_book: AddressBook,
    pub(crate) hello: HelloInfo,
    pub(crate) identity: Identity,
    pub(crate) out: Sender<Outgoing>,
    pub(crate) disk: Sender<DiskJob>,
    pub(crate) gauges: Gauges,
    pub(crate) fleet: Fleet,
}

/// State of the duty.
pub(crate) struct Core {
    pub(super) id: ReplicaId,
    pub(super) clock: Clock,
    cfg: Config,
    pub(super) replica: Replica,
    pub(super) machine: Machine,
    /// Index of the last applied log entry.
    pub(super) applied: u64,
    /// Outcomes of applied commands by log index, until their requests are answered.
    outcomes: BTreeMap<u64, Outcome>,
    /// The same for conditional orders.
    order_outcomes: BTreeMap<u64, OrderOutcome>,
    pub(super) pending: HashMap<Token, Pending>,
    next_token: u64,
    pub(super) address_book: AddressBook,
    /// The parts of this replica's hello that don't change.
    pub(super) hello: HelloInfo,
    pub(super) identity: Identity,
    pub(super) next_hello: Moment,
    next_metrics: Moment,
    pub(super) spreading: Spreading,
    pub(super) shares: Shares,
    pub(super) out: Sender<Outgoing>,
    pub(super) disk: Sender<DiskJob>,
    pub(super) gauges: Gauges,
    pub(super) fleet: Fleet,
    /// Number of recoveries of the data folder; jobs of earlier epochs are dropped.
    disk_epoch: u64,
    /// Whether the data folder can't be written. The replica takes no part in consensus
    /// meanwhile.
    disk_failed: bool,
    pub(super) stalls: StallMonitor,
}

impl Core {
    /// Starts from what was loaded from the data folder.
    pub(crate) fn new(parts: Parts) -> Self {
        let now = parts.clock.now();
        let applied = parts.durable.snapshot.index;
        let machine = decode_machine(&parts.durable.snapshot);
        let mut address_book = parts.address_book;
        load_addresses_from_log(&mut address_book, &parts.durable);
        let replica = Replica::new(parts.id, parts.cfg.clone(), parts.durable, now);
        let spreading = Spreading::new(address_book.discovery_targets().into_iter().collect());
        let mut core = Self {
            id: parts.id,
            clock: parts.clock,
            cfg: parts.cfg,
            replica,
            machine,
            applied,
            outcomes: BTreeMap::new(),
            order_outcomes: BTreeMap::new(),
            pending: HashMap::new(),
            next_token: 0,
            address_book,
            hello: parts.hello,
            identity: parts.identity,
            next_hello: now,
            next_metrics: now,
            spreading,
            shares: Shares::default(),
            out: parts.out,
            disk: parts.disk,
            gauges: parts.gauges,
            fleet: parts.fleet,
            disk_epoch: 0,
            disk_failed: false,
            stalls: StallMonitor::with_clock(parts.clock),
        };
        core.update_addresses();
        core.spread_committed(now);
        core.distribute_orders(now);
        core
    }

    /// Runs until the process stops or all senders of inputs are gone.
    pub(crate) async fn run(mut self, mut rx: Receiver<Input>, mut stop: Stop) {
        if self.fleet.should_found_group() {
            // Fails without effect if the folder already holds a group.
            let (reply, _) = oneshot::channel();
            self.initialise(reply).await;
        }
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick().await,
                input = rx.recv() => match input {
                    Some(input) => self.handle_input(input).await,
                    None => return,
                },
                () = stop.wait() => return,
            }
        }
    }

    async fn tick(&mut self) {
        self.observe_pause();
        self.step(Event::Tick).await;
        let now = self.clock.now();
        if now >= self.next_metrics {
            self.next_metrics = now + METRICS_PERIOD;
            self.update_metrics(now);
        }
        if now >= self.next_hello {
            let unseen = self.address_book.has_unseen_replicas();
            self.next_hello = now
                + if unseen {
                    DISCOVERY_HELLO_PERIOD
                } else {
                    STEADY_HELLO_PERIOD
                };
            self.send_hellos(now);
            self.announce_features();
        }
        self.sync_lessor(now);
        self.tick_fleet(now).await;
        let leadership = self.leadership(now);
        let out = self.spreading.tick(now, leadership);
        self.send_spread(out);
    }

    fn leadership(&self, now: Moment) -> Leadership {
        let replica = self.replica.status(now);
        match self.replica.lease_until(now) {
            Some(until) => Leadership::Leads {
                term: replica.term,
                until,
            },
            None => Leadership::Follows {
                leader: self.leader(&replica),
            },
        }
    }

    fn leader(&self, replica: &consensus::Status) -> Option<Leader> {
        let known = self.address_book.get(replica.leader?)?;
        Some(Leader {
            term: replica.term,
            addr: known.addr,
        })
    }

    async fn handle_input(&mut self, input: Input) {
        match input {
            Input::Peer { origin, body } => self.receive(origin, body).await,
            Input::Admin(req) => self.handle_admin(req).await,
            Input::Persisted { seq } => self.step(Event::Persisted { seq }).await,
            Input::DiskFailed => self.disk_failed(),
            Input::DiskRecovered { epoch, durable } => self.disk_recovered(epoch, durable),
            Input::Initialised(durable) => self.initialised(durable),
            Input::Seeds(seeds) => self.address_book.configure(seeds),
            Input::Adapter(req) => self.handle_adapter_request(req).await,
        }
    }

    async fn receive(&mut self, origin: Origin, body: Body) {
        let now = self.clock.now();
        self.address_book.record_contact(now, &origin);
        match body {
            Body::Consensus(message) => {
                if let Some(from) = origin.replica {
                    self.step(Event::Received { from, message }).await;
                }
            }
            Body::Hello(hello) => {
                if let Some(from) = origin.replica {
                    self.handle_hello(now, from, origin.addr, &hello);
                }
            }
            Body::Spread(message) => {
                let out = self.spreading.receive(now, &origin, message);
                self.send_spread(out);
            }
            Body::Fleet(message) => self.handle_fleet_message(&origin, message).await,
            Body::Steer(Steer::Renew(renew)) => self.handle_renewal(&origin, &renew).await,
            Body::Ledger(Message::Claim(claim)) => self.handle_claim(&origin, claim).await,
            // Samples are handled by a duty of their own.
            Body::Steer(_) | Body::Ledger(_) | Body::Quarantine(_) | Body::Samples(_) => {}
        }
    }

    async fn handle_admin(&mut self, req: AdminRequest) {
        match req {
            AdminRequest::Submit { command, reply } => self.submit(command, reply).await,
            AdminRequest::Read { reply } => {
                let token = self.add_pending(Pending::Read(reply));
                self.step(Event::Read { token }).await;
            }
            AdminRequest::Status { reply } => {
                // The operator may have disconnected; then nothing needs the reply.
                let _ = reply.send(self.status());
            }
            AdminRequest::Workspaces { reply } => {
                let _ = reply.send(self.workspaces());
            }
            AdminRequest::Members { proposal, reply } => {
                let token = self.add_pending(Pending::Members(reply));
                self.step(Event::Propose { token, proposal }).await;
            }
            AdminRequest::Initialise { reply } => self.initialise(reply).await,
        }
    }

    async fn submit(
        &mut self,
        command: Command,
        reply: oneshot::Sender<Result<Outcome, SubmitError>>,
    ) {
        if self.forgets_live_entry(&command) {
            let _ = reply.send(Err(SubmitError::EntryMayBeAlive));
            return;
        }
        let forgets_entry = matches!(command.operation, Operation::ForgetEntry(_));
        let Ok(buf) = postcard::to_stdvec(&machine::Entry::Table(command)) else {
            error!("can't encode a command");
            let _ = reply.send(Err(SubmitError::Busy));
            return;
        };
        let token = self.add_pending(if forgets_entry {
            Pending::ForgetEntry(reply)
        } else {
            Pending::Submit(reply)
        });
        let proposal = Proposal::Command(buf);
        self.step(Event::Propose { token, proposal }).await;
    }

    /// This replica's term, for logs.
    pub(super) fn term(&self) -> u64 {
        self.replica.status(self.clock.now()).term.0
    }

    pub(super) fn add_pending(&mut self, pending: Pending) -> Token {
        self.next_token += 1;
        let token = Token(self.next_token);
        self.pending.insert(token, pending);
        token
    }

    async fn initialise(&mut self, reply: oneshot::Sender<Result<(), InitialiseError>>) {
        // The storage would treat this as a resend of the first request, but its sender believes
        // the group to be new, which a group of several voters isn't.
        let now = self.clock.now();
        if self.replica.status(now).members.voters.len() > 1 {
            let _ = reply.send(Err(InitialiseError::AlreadyInitialised));
            return;
        }
        let members = Members {
            voters: BTreeSet::from([self.id]),
            learners: BTreeSet::new(),
        };
        self.queue_for_disk(DiskJob::Initialise { members, reply })
            .await;
    }

    fn initialised(&mut self, durable: Durable) {
        let now = self.clock.now();
        // A resent request reaches a replica that is already running, which must not be reset.
        if self.replica.status(now).last_index > 0 {
            return;
        }
        info!(members:? = durable.snapshot.members; "initial membership created");
        self.applied = durable.snapshot.index;
        self.replica = Replica::new(self.id, self.cfg.clone(), durable, now);
    }

    pub(super) async fn step(&mut self, event: Event) {
        if self.disk_failed {
            self.step_without_disk(event);
            return;
        }
        let now = self.clock.now();
        for action in self.replica.step(now, event) {
            self.perform(action).await;
        }
    }

    /// Drops the event. Without a disk nothing may be promised, so the replica sends nothing and
    /// the others treat it as down.
    fn step_without_disk(&mut self, event: Event) {
        if let Event::Propose { token, .. } | Event::Read { token } = event {
            self.fail_pending(token, ProposeError::NotLeader { leader: None });
        }
    }

    fn disk_failed(&mut self) {
        self.disk_failed = true;
        let pending: Vec<_> = self.pending.keys().copied().collect();
        for token in pending {
            self.fail_pending(token, ProposeError::OutcomeUnknown);
        }
        self.outcomes.clear();
        self.order_outcomes.clear();
    }

    /// Restarts the replica from the data folder, as a new process would. What was distributed
    /// before stays valid: it was committed.
    fn disk_recovered(&mut self, epoch: u64, durable: Durable) {
        let now = self.clock.now();
        self.disk_failed = false;
        self.disk_epoch = epoch;
        self.applied = durable.snapshot.index;
        self.machine = decode_machine(&durable.snapshot);
        load_addresses_from_log(&mut self.address_book, &durable);
        self.replica = Replica::new(self.id, self.cfg.clone(), durable, now);
    }

    async fn perform(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => self.send_to_replica(to, Body::Consensus(message)),
            Action::Persist(persist) => self.persist(persist).await,
            Action::Apply(entries) => entries.into_iter().for_each(|entry| self.apply(entry)),
            Action::Restore(snapshot) => self.restore(&snapshot),
            Action::Proposed { token, result } => self.proposed(token, result),
            Action::ReadReady { token } => self.read_ready(token),
            Action::ReadRefused { token, leader } => {
                self.fail_pending(token, ProposeError::NotLeader { leader });
            }
            Action::TakeSnapshot => self.take_snapshot().await,
        }
    }

    fn apply(&mut self, entry: Entry) {
        self.applied = entry.index;
        let Payload::Command(buf) = entry.payload else {
            return;
        };
        match postcard::from_bytes(&buf) {
            Ok(command) => self.apply_command(entry.index, &command),
            // Only a newer version of the program writes what this one can't decode. Skipping the
            // entry would make this replica's state diverge, so the process aborts.
            Err(e) => {
                error!(index = entry.index, error:% = e; "can't decode a committed command");
                std::process::abort();
            }
        }
    }

    fn apply_command(&mut self, index: u64, command: &machine::Entry) {
        let applied = self.machine.apply(index, command);
        self.log_order(index, command, &applied);
        self.distribute_orders(self.clock.now());
        let outcome = match applied {
            Applied::Table(outcome) => outcome,
            Applied::EntryForgotten(outcome, name) => {
                self.shares.forget(&name);
                outcome
            }
            Applied::EvacuationOrder(outcome) => {
                if !self.pending.is_empty() {
                    self.order_outcomes.insert(index, outcome);
                }
                return;
            }
            Applied::Claim(_) | Applied::NoOutcome => return,
        };
        // Only requests made at this replica wait for outcomes.
        if !self.pending.is_empty() {
            self.outcomes.insert(index, outcome);
        }
        self.update_addresses();
        self.spread_committed(self.clock.now());
    }

    /// Logs what an order about evacuations has changed.
    fn log_order(&self, index: u64, command: &machine::Entry, applied: &Applied) {
        let evacuated = &self.machine.evacuated;
        match (command, applied) {
            (machine::Entry::Order(order), _) => {
                info!(index, content:% = order, evacuated:? = evacuated; "order applied");
            }
            (machine::Entry::EvacuationOrder(order), Applied::EvacuationOrder(outcome)) => {
                info!(order:% = order.id, index, content:% = order, received_by:% = order.received_by,
                    expected = order.expected, outcome:? = outcome, evacuated:? = evacuated;
                    "order applied");
            }
            _ => {}
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        info!(index = snapshot.index; "table restored from a snapshot");
        self.machine = decode_machine(snapshot);
        self.applied = snapshot.index;
        self.update_addresses();
        let now = self.clock.now();
        self.spread_committed(now);
        self.distribute_orders(now);
    }

    async fn take_snapshot(&mut self) {
        let Ok(data) = self.machine.encode() else {
            warn!("can't encode the state for a snapshot");
            return;
        };
        let event = Event::SnapshotTaken {
            index: self.applied,
            data,
        };
        let now = self.clock.now();
        for action in self.replica.step(now, event) {
            Box::pin(self.perform(action)).await;
        }
    }

    fn proposed(&mut self, token: Token, result: Result<u64, ProposeError>) {
        match result {
            Ok(index) => self.committed(token, index),
            Err(e) => self.fail_pending(token, e),
        }
        if self.pending.is_empty() {
            self.outcomes.clear();
            self.order_outcomes.clear();
        }
    }

    fn committed(&mut self, token: Token, index: u64) {
        match self.pending.remove(&token) {
            Some(Pending::Submit(reply) | Pending::ForgetEntry(reply)) => {
                let outcome = self.outcomes.remove(&index);
                let _ = reply.send(outcome.ok_or(SubmitError::OutcomeUnknown));
            }
            Some(Pending::Members(reply)) => {
                let _ = reply.send(Ok(()));
            }
            Some(Pending::Claim { to, claim }) => {
                self.send_claim_result(to, &claim);
            }
            Some(Pending::Order(id, reply_to)) => {
                info!(order:% = id, index; "order committed");
                self.finish_order(reply_to, Ok(()));
            }
            Some(Pending::EvacuationOrder(id, reply_to)) => {
                let outcome = self.order_outcomes.remove(&index);
                info!(order:% = id, index, outcome:? = outcome; "order committed");
                let result = outcome.ok_or(OrderError::OutcomeUnknown);
                self.finish_evacuation_order(reply_to, result);
            }
            Some(
                Pending::Read(_)
                | Pending::RoutesRead(_)
                | Pending::OrderRevision(..)
                | Pending::NoReply
                | Pending::Roster(_),
            )
            | None => {}
        }
    }

    fn read_ready(&mut self, token: Token) {
        match self.pending.remove(&token) {
            Some(Pending::Read(reply)) => {
                let _ = reply.send(Ok(Arc::clone(&self.machine.table)));
            }
            Some(Pending::RoutesRead(reply_to)) => self.finish_read(reply_to, Ok(())),
            Some(Pending::OrderRevision(domain, reply_to)) => {
                self.finish_order_revision(&domain, reply_to, Ok(()));
            }
            _ => {}
        }
    }

    fn fail_pending(&mut self, token: Token, error: ProposeError) {
        let address = |id| {
            self.address_book
                .get(id)
                .and_then(|known| known.operator_addr)
        };
        let for_order = order_error(error);
        let error = SubmitError::from_propose(error, address);
        match self.pending.remove(&token) {
            Some(Pending::Order(id, reply_to)) => {
                info!(order:% = id, error:? = for_order; "order failed");
                self.finish_order(reply_to, Err(for_order));
            }
            Some(Pending::RoutesRead(reply_to)) => self.finish_read(reply_to, Err(for_order)),
            Some(Pending::OrderRevision(domain, reply_to)) => {
                self.finish_order_revision(&domain, reply_to, Err(for_order));
            }
            Some(Pending::EvacuationOrder(id, reply_to)) => {
                info!(order:% = id, error:? = for_order; "order failed");
                self.finish_evacuation_order(reply_to, Err(for_order));
            }
            Some(Pending::Submit(reply) | Pending::ForgetEntry(reply)) => {
                let _ = reply.send(Err(error));
            }
            Some(Pending::Read(reply)) => {
                let _ = reply.send(Err(error));
            }
            Some(Pending::Members(reply)) => {
                let _ = reply.send(Err(error));
            }
            // The entry repeats its claim, by then perhaps to the leader.
            Some(Pending::Claim { .. } | Pending::NoReply | Pending::Roster(_)) | None => {}
        }
    }

    fn update_addresses(&mut self) {
        for (id, registration) in self.machine.table.replicas() {
            let addr = registration.peer_addr;
            self.address_book
                .add_registered(*id, addr, registration.operator_addr);
        }
        let replicas = self.address_book.discovery_targets().into_iter().collect();
        self.spreading.set_replicas(replicas);
    }

    /// Called before the reply to the operator, so that a version is already being distributed
    /// when its acceptance is reported.
    fn spread_committed(&mut self, now: Moment) {
        let view = Arc::new(self.machine.table.view());
        self.shares.set_table(Arc::clone(&view));
        let out = self.spreading.committed(now, view);
        self.send_spread(out);
    }

    fn send_spread(&mut self, out: Vec<(SocketAddr, filberthead_spread::Message)>) {
        for (to, message) in out {
            self.send(to, Body::Spread(message));
        }
    }

    fn send_to_replica(&mut self, to: ReplicaId, body: Body) {
        if let Some(addr) = self.address_book.get(to).map(|known| known.addr) {
            self.send(addr, body);
        }
    }

    pub(super) fn send(&mut self, to: SocketAddr, body: Body) {
        // Dropped if the queue is full; the protocol repeats what needs an answer.
        let _ = self.out.push(Outgoing { to, body });
    }

    async fn persist(&mut self, persist: Persist) {
        let epoch = self.disk_epoch;
        self.queue_for_disk(DiskJob::Persist { epoch, persist })
            .await;
    }

    async fn queue_for_disk(&mut self, job: DiskJob) {
        let mut job = job;
        while let Err(PushError::Full(back)) = self.disk.push(job) {
            job = back;
            tokio::time::sleep(DISK_QUEUE_RETRY).await;
        }
    }
}

/// Loads replica addresses from log entries that may not be committed. An address is only a hint
/// and may be wrong, but without any, replicas that start together after a power cut could not
/// find each other to learn what is committed.
fn load_addresses_from_log(address_book: &mut AddressBook, durable: &Durable) {
    for entry in &durable.entries {
        let Payload::Command(buf) = &entry.payload else {
            continue;
        };
        if let Ok(machine::Entry::ReplicaAddress { id, addr }) = postcard::from_bytes(buf) {
            address_book.add_from_log(id, addr);
        }
    }
}

fn decode_machine(snapshot: &Snapshot) -> Machine {
    if snapshot.data.is_empty() {
        return Machine::default();
    }
    match Machine::decode(&snapshot.data) {
        Ok(machine) => machine,
        // The checksum is valid, so another version of the program wrote this. Starting from an
        // empty table would revert every accepted change.
        Err(e) => {
            error!(index = snapshot.index, error:% = e; "can't decode the snapshot");
            std::process::abort();
        }
    }
}

#[cfg(test)]
mod tests;
