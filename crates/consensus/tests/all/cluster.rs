//! A simulated cluster: replicas, their disks, the messages between them, and the history
//! against which every step is checked. It is a plain value that the explorer can clone
//! and hash.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use filberthead_consensus::{
    Action, Config, Durable, Entry, Event, Members, Message, Persist, Proposal, ProposeError,
    Replica, Role, Snapshot, Status, Token,
};
use filberthead_types::{Epoch, Moment, ReplicaId};

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Envelope {
    pub(crate) from: ReplicaId,
    pub(crate) to: ReplicaId,
    pub(crate) message: Message,
}

/// A replica with its disk. Of its state machine only the applied index is kept.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Node {
    /// `None` while it is crashed.
    pub(crate) replica: Option<Replica>,
    pub(crate) disk: Durable,
    /// Changes whose sync is pending.
    pub(crate) unsynced: Option<Persist>,
    pub(crate) applied: u64,
}

/// A violated rule of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Violation {
    /// Two replicas led in this term.
    TwoLeaders(Epoch),
    /// Two replicas applied different entries at this index.
    CommittedChanged(u64),
    /// The newest leader's log has no or another entry at this committed index.
    LeaderLacksCommitted(u64),
    /// Two replicas held a lease at once.
    TwoLeases,
    /// A replica may serve reads without having applied an accepted proposal.
    StaleRead,
}

/// What the cluster has guaranteed so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct History {
    pub(crate) leaders: BTreeMap<Epoch, ReplicaId>,
    /// Entries that any replica has applied.
    pub(crate) committed: BTreeMap<u64, Entry>,
    /// Highest index of a proposal reported as committed.
    pub(crate) accepted: u64,
    pub(crate) violation: Option<Violation>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Cluster {
    pub(crate) cfg: Config,
    pub(crate) now: Moment,
    pub(crate) nodes: BTreeMap<ReplicaId, Rc<Node>>,
    pub(crate) net: Vec<Envelope>,
    /// Directed links whose messages are lost.
    pub(crate) cut_links: BTreeSet<(ReplicaId, ReplicaId)>,
    pub(crate) history: History,
    /// Results of proposals, by token.
    pub(crate) proposed: BTreeMap<u64, Result<u64, ProposeError>>,
    /// Results of reads, by token.
    pub(crate) reads: BTreeMap<u64, bool>,
    next_token: u64,
}

pub(crate) fn id(n: u64) -> ReplicaId {
    ReplicaId(n)
}

/// Membership with voters 1 to `n`.
pub(crate) fn voters(n: u64) -> Members {
    Members {
        voters: (1..=n).map(id).collect(),
        learners: BTreeSet::new(),
    }
}

/// The stored state of a replica in a new cluster.
pub(crate) fn bootstrap(members: Members) -> Durable {
    Durable {
        snapshot: Snapshot {
            index: 1,
            members,
            ..Snapshot::default()
        },
        ..Durable::default()
    }
}

impl Cluster {
    pub(crate) fn new(n: u64, cfg: Config) -> Self {
        let mut cluster = Self {
            cfg,
            now: Moment::ZERO,
            nodes: BTreeMap::new(),
            net: Vec::new(),
            cut_links: BTreeSet::new(),
            history: History::default(),
            proposed: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_token: 0,
        };
        for i in 1..=n {
            cluster.add(id(i), bootstrap(voters(n)));
        }
        cluster
    }

    pub(crate) fn add(&mut self, id: ReplicaId, disk: Durable) {
        let node = Node {
            replica: None,
            applied: disk.snapshot.index,
            disk,
            unsynced: None,
        };
        self.nodes.insert(id, Rc::new(node));
        self.restart(id);
    }

    pub(crate) fn restart(&mut self, id: ReplicaId) {
        let cfg = self.cfg.clone();
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id).map(Rc::make_mut) else {
            return;
        };
        node.applied = node.disk.snapshot.index;
        node.replica = Some(Replica::new(id, cfg, node.disk.clone(), now));
    }

    /// Stops a replica. Its unsynced changes are on disk afterwards if `synced`, else lost.
    pub(crate) fn crash(&mut self, id: ReplicaId, synced: bool) {
        let Some(node) = self.nodes.get_mut(&id).map(Rc::make_mut) else {
            return;
        };
        node.replica = None;
        if let Some(persist) = node.unsynced.take().filter(|_| synced) {
            apply_persist(&mut node.disk, persist);
        }
    }

    pub(crate) fn step(&mut self, id: ReplicaId, event: Event) {
        let now = self.now;
        let node = self.nodes.get_mut(&id).map(Rc::make_mut);
        let Some(replica) = node.and_then(|n| n.replica.as_mut()) else {
            return;
        };
        let actions = replica.step(now, event);
        for action in actions {
            self.perform(id, action);
        }
        self.check();
    }

    fn node_mut(&mut self, id: ReplicaId) -> &mut Node {
        Rc::make_mut(self.nodes.get_mut(&id).expect("a replica of the cluster"))
    }

    pub(crate) fn tick(&mut self, id: ReplicaId) {
        self.step(id, Event::Tick);
    }

    /// Completes the pending sync of `id`, if any.
    pub(crate) fn sync(&mut self, id: ReplicaId) {
        let Some(node) = self.nodes.get_mut(&id).map(Rc::make_mut) else {
            return;
        };
        let Some(persist) = node.unsynced.take() else {
            return;
        };
        let seq = persist.seq;
        apply_persist(&mut node.disk, persist);
        self.step(id, Event::Persisted { seq });
    }

    pub(crate) fn deliver(&mut self, envelope: Envelope) {
        let Envelope { from, to, message } = envelope;
        self.step(to, Event::Received { from, message });
    }

    /// Proposes on `id`, and returns the key of the result in `proposed`.
    pub(crate) fn propose(&mut self, id: ReplicaId, proposal: Proposal) -> u64 {
        self.next_token += 1;
        let token = Token(self.next_token);
        self.step(id, Event::Propose { token, proposal });
        token.0
    }

    pub(crate) fn propose_command(&mut self, id: ReplicaId, byte: u8) -> u64 {
        self.propose(id, Proposal::Command(vec![byte]))
    }

    /// Whether `id` serves a read now.
    pub(crate) fn read_is_served(&mut self, id: ReplicaId) -> bool {
        self.next_token += 1;
        let token = Token(self.next_token);
        self.step(id, Event::Read { token });
        self.reads.remove(&token.0).unwrap_or(false)
    }

    fn perform(&mut self, id: ReplicaId, action: Action) {
        match action {
            Action::Send { to, message } => self.send(id, to, message),
            Action::Persist(persist) => {
                let node = self.node_mut(id);
                assert!(node.unsynced.is_none(), "one sync at a time");
                node.unsynced = Some(persist);
            }
            Action::Apply(entries) => entries.into_iter().for_each(|e| self.apply(id, e)),
            Action::Restore(snapshot) => {
                self.node_mut(id).applied = snapshot.index;
            }
            Action::Proposed { token, result } => {
                if let Ok(index) = result {
                    self.history.accepted = self.history.accepted.max(index);
                }
                self.proposed.insert(token.0, result);
            }
            Action::ReadReady { token } => {
                let applied = self.nodes[&id].applied;
                if applied < self.history.accepted {
                    self.report_violation(Violation::StaleRead);
                }
                self.reads.insert(token.0, true);
            }
            Action::ReadRefused { token, .. } => {
                self.reads.insert(token.0, false);
            }
            Action::TakeSnapshot => {
                let index = self.nodes[&id].applied;
                let data = index.to_le_bytes().to_vec();
                self.step(id, Event::SnapshotTaken { index, data });
            }
        }
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, message: Message) {
        if !self.cut_links.contains(&(from, to)) {
            self.net.push(Envelope { from, to, message });
        }
    }

    fn apply(&mut self, id: ReplicaId, entry: Entry) {
        let node = self.node_mut(id);
        assert_eq!(entry.index, node.applied + 1, "applied in order");
        node.applied = entry.index;
        let index = entry.index;
        let first_applied = self.history.committed.entry(index).or_insert(entry.clone());
        if *first_applied != entry {
            self.report_violation(Violation::CommittedChanged(index));
        }
    }

    fn report_violation(&mut self, violation: Violation) {
        self.history.violation.get_or_insert(violation);
    }

    /// Checks the rules that must hold in every state.
    fn check(&mut self) {
        let mut leases = 0;
        let ids: Vec<_> = self.nodes.keys().copied().collect();
        for id in ids {
            let Some(status) = self.status(id) else {
                continue;
            };
            if status.role == Role::Leader {
                self.check_leader(&status);
            }
            if status.holds_lease {
                leases += 1;
                if self.nodes[&id].applied < self.history.accepted {
                    self.report_violation(Violation::StaleRead);
                }
            }
        }
        if leases > 1 {
            self.report_violation(Violation::TwoLeases);
        }
    }

    fn check_leader(&mut self, status: &Status) {
        let first = *self.history.leaders.entry(status.term).or_insert(status.id);
        if first != status.id {
            self.report_violation(Violation::TwoLeaders(status.term));
        }
        // A leader of an older term may lack what a newer one committed.
        if self.history.leaders.keys().next_back() != Some(&status.term) {
            return;
        }
        let Some((last, entry)) = self.history.committed.last_key_value() else {
            return;
        };
        if self
            .term_at(status.id, *last)
            .is_some_and(|term| term != entry.term)
        {
            let last = *last;
            self.report_violation(Violation::LeaderLacksCommitted(last));
        }
    }

    /// Term of an entry in the log of `id`, synced or not: `None` if it is not among the
    /// entries here (as when covered by a snapshot), zero if the log ends before it.
    fn term_at(&self, id: ReplicaId, index: u64) -> Option<Epoch> {
        let node = &self.nodes[&id];
        let last_index = self.status(id)?.last_index;
        let unsynced = node.unsynced.iter().flat_map(|p| &p.entries);
        let stored = unsynced.chain(&node.disk.entries);
        let term = stored.filter(|e| e.index == index).map(|e| e.term).next();
        term.or((index > last_index).then_some(Epoch(0)))
    }

    pub(crate) fn status(&self, id: ReplicaId) -> Option<Status> {
        let replica = self.nodes.get(&id)?.replica.as_ref()?;
        Some(replica.status(self.now))
    }

    /// The replica that holds the lease, if any.
    pub(crate) fn leader(&self) -> Option<ReplicaId> {
        let mut ids = self.nodes.keys().copied();
        ids.find(|id| self.status(*id).is_some_and(|s| s.holds_lease))
    }

    /// Advances by `ms` as [`Self::advance`] does, and asserts that no rule was violated.
    pub(crate) fn run_with_suspended(&mut self, ms: u64, suspended: &[ReplicaId]) {
        self.advance(ms, suspended);
        assert_eq!(self.history.violation, None);
    }

    /// Runs the cluster for `ms`. The replicas `suspended` don't tick or sync, and messages to
    /// them are held.
    pub(crate) fn advance(&mut self, ms: u64, suspended: &[ReplicaId]) {
        const STEP: u64 = 10;
        for _ in 0..ms / STEP {
            self.now += Moment::from_millis(STEP);
            let ids: Vec<_> = self.nodes.keys().copied().collect();
            let (held, due): (Vec<_>, Vec<_>) = std::mem::take(&mut self.net)
                .into_iter()
                .partition(|e| suspended.contains(&e.to));
            self.net = held;
            due.into_iter().for_each(|e| self.deliver(e));
            for id in ids.into_iter().filter(|id| !suspended.contains(id)) {
                self.tick(id);
                self.sync(id);
            }
        }
    }

    pub(crate) fn run(&mut self, ms: u64) {
        self.run_with_suspended(ms, &[]);
    }

    /// Cuts the links between `isolated` and all others, in both directions.
    pub(crate) fn isolate(&mut self, isolated: ReplicaId) {
        for other in self.nodes.keys().copied() {
            self.cut_links.insert((isolated, other));
            self.cut_links.insert((other, isolated));
        }
        self.net.retain(|e| e.from != isolated && e.to != isolated);
    }

    pub(crate) fn heal(&mut self) {
        self.cut_links.clear();
    }
}

/// Applies a [`Persist`] to a disk, as a sync does.
pub(crate) fn apply_persist(disk: &mut Durable, persist: Persist) {
    if let Some(hard_state) = persist.hard_state {
        disk.hard_state = hard_state;
    }
    if let Some(snapshot) = persist.snapshot {
        let same = |e: &Entry| e.index == snapshot.index && e.term == snapshot.term;
        if disk.entries.iter().any(same) {
            disk.entries.retain(|e| e.index > snapshot.index);
        } else {
            disk.entries.clear();
        }
        disk.snapshot = snapshot;
    }
    if let Some(first) = persist.entries.first() {
        disk.entries.retain(|e| e.index < first.index);
    }
    for entry in persist.entries {
        let last = disk.entries.last().map_or(disk.snapshot.index, |e| e.index);
        assert_eq!(entry.index, last + 1, "no gap on disk");
        disk.entries.push(entry);
    }
}
