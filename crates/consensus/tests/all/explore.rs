//! Exhaustive exploration of the step function: from a few initial states, every order of
//! messages (lost, late, duplicated, reordered), timers, syncs, crashes and proposals, to
//! a given depth. Time advances in whole seconds: heartbeat 1, lease 2, election timeout 3.
//!
//! Each safety rule is then disabled in turn, and the same exploration must find a
//! violation: a checker that can't fail proves nothing.

use std::cell::RefCell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use filberthead_consensus::{Config, Guards, Proposal};
use filberthead_types::{Moment, ReplicaId};
use pathfinding::directed::bfs::bfs_reach;

use crate::cluster::{Cluster, Violation, bootstrap, id, voters};

/// Maximum messages in flight on one link; older ones are lost.
const MAX_MESSAGES_PER_LINK: usize = 2;

/// How often each kind of event may still occur.
#[derive(Clone, Copy, Debug, Hash)]
pub(crate) struct Budget {
    pub(crate) seconds: u8,
    pub(crate) elections: u8,
    pub(crate) duplicates: u8,
    pub(crate) slow_syncs: u8,
    pub(crate) crashes: u8,
    pub(crate) wipes: u8,
    pub(crate) proposals: u8,
    pub(crate) removals: u8,
}

impl Budget {
    pub(crate) const NONE: Self = Self {
        seconds: 0,
        elections: 0,
        duplicates: 0,
        slow_syncs: 0,
        crashes: 0,
        wipes: 0,
        proposals: 0,
        removals: 0,
    };
}

/// An initial state, the events allowed after it, and the depth of the exploration.
pub(crate) struct Scenario {
    pub(crate) cluster: Cluster,
    pub(crate) budget: Budget,
    pub(crate) depth: u8,
    /// Whether a wiped replica returns under its old identity.
    pub(crate) wiped_keeps_identity: bool,
}

/// One step from a state to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Transition {
    AdvanceSecond,
    Tick(ReplicaId),
    Deliver(usize),
    /// Delivers a message and keeps a copy in flight.
    DeliverTwice(usize),
    /// Delivers a message and leaves the sync that it starts pending.
    DeliverUnsynced(usize),
    Sync(ReplicaId),
    /// Restarts a replica; whether its pending sync completes.
    Crash(ReplicaId, bool),
    Wipe(ReplicaId),
    Propose(ReplicaId),
    /// Proposes on the first replica to remove the second.
    Remove(ReplicaId, ReplicaId),
}

#[derive(Clone, Debug)]
struct State {
    cluster: Cluster,
    budget: Budget,
    depth: u8,
    trace: Option<Rc<TraceStep>>,
}

/// The transitions that led to a state, as a list from the last to the first.
#[derive(Debug)]
struct TraceStep {
    last: Transition,
    previous: Option<Rc<TraceStep>>,
}

/// A state, compared by a digest of 64 bits: the chance that any two of a million states
/// share one is one in thirty million. The state is dropped once its successors are known.
#[derive(Clone)]
struct Node {
    /// Digest of the cluster without the budget.
    cluster_digest: u64,
    digest: u64,
    state: Rc<RefCell<Option<State>>>,
    violation: Option<Rc<(Violation, Vec<Transition>)>>,
}

impl PartialEq for Node {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl Eq for Node {}

impl Hash for Node {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.digest.hash(hasher);
    }
}

impl Node {
    fn new(mut state: State) -> Self {
        normalize_network(&mut state.cluster);
        let mut hasher = DefaultHasher::new();
        let cluster = &state.cluster;
        (cluster.now, &cluster.nodes, &cluster.net, &cluster.history).hash(&mut hasher);
        let cluster_digest = hasher.finish();
        state.budget.hash(&mut hasher);
        let violation = state.cluster.history.violation.clone();
        Self {
            cluster_digest,
            digest: hasher.finish(),
            violation: violation.map(|v| Rc::new((v, state.trace()))),
            state: Rc::new(RefCell::new(Some(state))),
        }
    }
}

/// Sorts messages by link, so that states which differ only in the order of messages on
/// different links are equal, and drops the oldest ones of a link beyond the maximum.
fn normalize_network(cluster: &mut Cluster) {
    cluster.net.sort_by_key(|e| (e.from, e.to));
    let net = std::mem::take(&mut cluster.net);
    for (at, envelope) in net.iter().enumerate() {
        let link = |other: &&_| same_link(envelope, other);
        if net[at + 1..].iter().filter(link).count() < MAX_MESSAGES_PER_LINK {
            cluster.net.push(envelope.clone());
        }
    }
}

fn same_link(one: &crate::cluster::Envelope, other: &crate::cluster::Envelope) -> bool {
    (one.from, one.to) == (other.from, other.to)
}

/// The result of an exploration: the states visited, and a violation with its trace.
#[derive(Debug)]
pub(crate) struct Exploration {
    pub(crate) states: usize,
    pub(crate) violation: Option<(Violation, Vec<Transition>)>,
}

/// Visits the states of a scenario in breadth-first order until a rule is violated.
pub(crate) fn explore(scenario: Scenario) -> Exploration {
    let depth = scenario.depth;
    let wiped_keeps_identity = scenario.wiped_keeps_identity;
    let start = State {
        cluster: scenario.cluster,
        budget: scenario.budget,
        depth: 0,
        trace: None,
    };
    let successors = |node: &Node| {
        let state = node.state.borrow_mut().take();
        let state = state.filter(|s| s.depth < depth);
        state.map_or_else(Vec::new, |state| {
            state.successors(node.cluster_digest, wiped_keeps_identity)
        })
    };
    let mut states = 0;
    for node in bfs_reach(Node::new(start), successors) {
        states += 1;
        if let Some(violation) = node.violation.as_deref().cloned() {
            let violation = Some(violation);
            return Exploration { states, violation };
        }
    }
    Exploration {
        states,
        violation: None,
    }
}

impl State {
    /// Omits transitions that leave the cluster unchanged, as they only spend the budget.
    fn successors(&self, cluster_digest: u64, wiped_keeps_identity: bool) -> Vec<Node> {
        let next = |transition: Transition| self.after(transition, wiped_keeps_identity);
        let nodes = self.transitions().into_iter().filter_map(next);
        nodes
            .filter(|node| node.cluster_digest != cluster_digest)
            .collect()
    }

    fn trace(&self) -> Vec<Transition> {
        let mut transitions = Vec::new();
        let mut at = self.trace.as_ref();
        while let Some(step) = at {
            transitions.push(step.last);
            at = step.previous.as_ref();
        }
        transitions.reverse();
        transitions
    }

    fn transitions(&self) -> Vec<Transition> {
        let mut transitions = vec![Transition::AdvanceSecond];
        for at in 0..self.cluster.net.len() {
            transitions.push(Transition::Deliver(at));
            transitions.push(Transition::DeliverTwice(at));
            transitions.push(Transition::DeliverUnsynced(at));
        }
        for (id, node) in &self.cluster.nodes {
            transitions.push(Transition::Tick(*id));
            transitions.push(Transition::Propose(*id));
            transitions.push(Transition::Wipe(*id));
            transitions.push(Transition::Crash(*id, false));
            let others = self.cluster.nodes.keys().filter(|other| *other != id);
            transitions.extend(others.map(|other| Transition::Remove(*id, *other)));
            if node.unsynced.is_some() {
                transitions.push(Transition::Sync(*id));
                transitions.push(Transition::Crash(*id, true));
            }
        }
        transitions
    }

    /// The state after a transition, if the budget allows it.
    fn after(&self, transition: Transition, wiped_keeps_identity: bool) -> Option<Node> {
        let budget = self.budget.spend(transition, &self.cluster)?;
        let mut cluster = self.cluster.clone();
        match transition {
            Transition::AdvanceSecond => cluster.now += Moment::from_secs(1),
            Transition::Tick(id) => cluster.tick(id),
            Transition::Deliver(at) | Transition::DeliverUnsynced(at) => {
                let envelope = cluster.net.remove(at);
                cluster.deliver(envelope);
            }
            Transition::DeliverTwice(at) => cluster.deliver(cluster.net[at].clone()),
            Transition::Sync(id) => cluster.sync(id),
            Transition::Crash(id, synced) => {
                cluster.crash(id, synced);
                cluster.restart(id);
            }
            Transition::Wipe(id) => wipe(&mut cluster, id, wiped_keeps_identity),
            Transition::Propose(id) => drop(cluster.propose_command(id, 1)),
            Transition::Remove(id, other) => drop(cluster.propose(id, Proposal::Remove(other))),
        }
        match transition {
            Transition::DeliverUnsynced(_) if !started_sync(&cluster, &self.cluster) => {
                return None;
            }
            Transition::DeliverUnsynced(_) => {}
            _ => finish_new_syncs(&mut cluster, &self.cluster),
        }
        let previous = self.trace.clone();
        let trace = Some(Rc::new(TraceStep {
            last: transition,
            previous,
        }));
        let depth = self.depth + 1;
        Some(Node::new(State {
            cluster,
            budget,
            depth,
            trace,
        }))
    }
}

impl Budget {
    fn spend(mut self, transition: Transition, cluster: &Cluster) -> Option<Self> {
        let unlimited = &mut u8::MAX.clone();
        let holds_lease = |id: ReplicaId| cluster.status(id).is_some_and(|s| s.holds_lease);
        let allowance = match transition {
            Transition::AdvanceSecond => &mut self.seconds,
            Transition::Tick(id) if !is_leader(cluster, id) => &mut self.elections,
            Transition::DeliverTwice(_) => &mut self.duplicates,
            Transition::DeliverUnsynced(_) => &mut self.slow_syncs,
            Transition::Crash(..) => &mut self.crashes,
            Transition::Wipe(_) => &mut self.wipes,
            Transition::Propose(id) if holds_lease(id) => &mut self.proposals,
            Transition::Remove(id, _) if holds_lease(id) => &mut self.removals,
            Transition::Propose(_) | Transition::Remove(..) => return None,
            _ => unlimited,
        };
        *allowance = allowance.checked_sub(1)?;
        Some(self)
    }
}

fn is_leader(cluster: &Cluster, id: ReplicaId) -> bool {
    let role = cluster.status(id).map(|s| s.role);
    role == Some(filberthead_consensus::Role::Leader)
}

fn started_sync(cluster: &Cluster, previous: &Cluster) -> bool {
    let syncs = |c: &Cluster| c.nodes.values().filter(|n| n.unsynced.is_some()).count();
    syncs(cluster) > syncs(previous)
}

/// Completes the syncs that this transition started; one that was pending before it stays
/// pending.
fn finish_new_syncs(cluster: &mut Cluster, previous: &Cluster) {
    let ids: Vec<_> = cluster.nodes.keys().copied().collect();
    for id in ids {
        let was_unsynced = previous
            .nodes
            .get(&id)
            .is_some_and(|n| n.unsynced.is_some());
        while !was_unsynced && cluster.nodes[&id].unsynced.is_some() {
            cluster.sync(id);
        }
    }
}

/// Wipes a disk. The replica returns with the initial state of a new cluster, as if its VM
/// were set up again from the same settings.
fn wipe(cluster: &mut Cluster, wiped: ReplicaId, wiped_keeps_identity: bool) {
    let members = voters(3);
    cluster.nodes.remove(&wiped);
    let id = if wiped_keeps_identity {
        wiped
    } else {
        id(wiped.0 + 10)
    };
    cluster.add(id, bootstrap(members));
}

/// Times in whole seconds, one entry per message, no jitter.
pub(crate) fn config(guards: Guards) -> Config {
    let second = Moment::from_secs(1);
    Config::builder()
        .heartbeat(second)
        .lease(2 * second)
        .election_timeout(3 * second)
        .election_jitter(Moment::ZERO)
        .max_batch_bytes(1)
        .guards(guards)
        .build()
}

/// All guards except the pre-vote, which is not for safety.
pub(crate) fn all_safety_rules() -> Guards {
    Guards {
        pre_vote: false,
        ..Guards::default()
    }
}
