//! Exhaustive exploration of the real step function in a small cluster: two entries of one
//! failure domain and one elsewhere, one key, every order of events up to a depth. A packet
//! that is never delivered stands for one that is lost or late.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use filberthead_ledger::{Event, Guards, Message};
use pathfinding::directed::bfs::bfs;

use crate::cluster::{Cluster, FAILOVER_TIMEOUT, config};
use crate::wire::Packet;

/// How many more events of each kind may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct EventBudget {
    depth: u8,
    sends: u8,
    timeouts: u8,
    crashes: u8,
    boots: u8,
    stops: u8,
    duplicates: u8,
}

#[derive(Clone, Debug)]
struct State {
    cluster: Cluster,
    key: Rc<str>,
    budget: EventBudget,
}

/// Two states are equal if the same events are possible from them, whatever led to them.
impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.budget == other.budget && self.cluster.is_equivalent(&other.cluster)
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.budget.hash(state);
        self.cluster.hash_into(state);
    }
}

impl State {
    fn new(cluster: Cluster, key: &str, budget: EventBudget) -> Self {
        Self {
            cluster,
            key: key.into(),
            budget,
        }
    }

    /// The state after `f`, in a form that doesn't depend on the order of the packets in
    /// flight.
    fn after(&self, spend: impl FnOnce(&mut EventBudget), f: impl FnOnce(&mut Cluster)) -> Self {
        let mut next = self.clone();
        next.budget.depth -= 1;
        spend(&mut next.budget);
        f(&mut next.cluster);
        next.cluster.decisions.clear();
        // Drops heartbeats: the guarantees must hold without them.
        let heartbeat = |packet: &Packet| match packet {
            Packet::Message { body, .. } => matches!(body.message(), Message::HeldHomes { .. }),
            _ => false,
        };
        let wire = std::mem::take(&mut next.cluster.wire);
        let wire: BTreeSet<_> = wire.into_iter().filter(|p| !heartbeat(p)).collect();
        next.cluster.wire = wire.into_iter().collect();
        next
    }

    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        if self.budget.depth == 0 {
            return next;
        }
        let budget = self.budget;
        for index in 0..self.cluster.wire.len() {
            next.push(self.after(|_| {}, |cluster| cluster.deliver(index)));
            if budget.duplicates > 0 {
                let packet = self.cluster.wire[index].clone();
                next.push(self.after(|b| b.duplicates -= 1, |cluster| cluster.arrive(&packet)));
            }
        }
        for index in 0..self.cluster.started.len() {
            if !self.cluster.started[index].ran {
                next.push(self.after(|_| {}, |cluster| cluster.run(index)));
                next.push(self.after(|_| {}, |cluster| cluster.give_up(index)));
            } else {
                next.push(self.after(|_| {}, |cluster| cluster.finish(index)));
            }
        }
        self.faults(&mut next);
        next
    }

    fn faults(&self, next: &mut Vec<Self>) {
        let budget = self.budget;
        let live: Vec<_> = self.cluster.nodes.keys().copied().collect();
        if budget.sends > 0 {
            for slot in &live {
                next.push(self.after(|b| b.sends -= 1, |cluster| cluster.send(*slot, &self.key)));
            }
        }
        if budget.timeouts > 0 {
            next.push(self.after(|b| b.timeouts -= 1, run_out_failover_timeout));
        }
        if budget.crashes > 0 {
            for slot in live.iter().filter(|slot| **slot < 2) {
                next.push(self.after(|b| b.crashes -= 1, |cluster| cluster.crash(*slot)));
            }
        }
        if budget.boots > 0 {
            for slot in (0..2).filter(|slot| !live.contains(slot)) {
                let boot = |cluster: &mut Cluster| {
                    cluster.boot(slot);
                    cluster.announce_members();
                };
                next.push(self.after(|b| b.boots -= 1, boot));
            }
        }
        if budget.stops > 0 {
            for slot in live.iter().filter(|slot| **slot < 2) {
                next.push(self.after(|b| b.stops -= 1, |cluster| cluster.step(*slot, Event::Stop)));
            }
        }
    }
}

/// Advances the time by more than the failover timeout without delivering anything.
fn run_out_failover_timeout(cluster: &mut Cluster) {
    for _ in 0..5 {
        cluster.now += FAILOVER_TIMEOUT / 4;
        cluster.tick();
    }
}

/// Explores from `start`. Returns the violation and the number of steps that led to it, if
/// there is one, and the number of states explored.
fn explore(start: State) -> (Option<(String, usize)>, usize) {
    let mut explored = 0;
    let successors = |state: &State| {
        explored += 1;
        state.successors()
    };
    let path = bfs(&start, successors, |state| {
        state.cluster.violation.is_some()
    });
    let violation = path.and_then(|path| {
        let last = path.last()?;
        Some((last.cluster.violation.clone()?, path.len() - 1))
    });
    (violation, explored)
}

/// A cluster in which entry 0 is the primary of a home, entry 1 its backup, and nothing is
/// in flight.
fn primary_with_backup(guards: Guards) -> Cluster {
    let mut cluster = Cluster::new(config(guards).build(), &["a", "a", "b"]);
    cluster.settle(Duration::from_secs(1));
    cluster
}

const BUDGET: EventBudget = EventBudget {
    depth: 9,
    sends: 2,
    timeouts: 1,
    crashes: 1,
    boots: 0,
    stops: 0,
    duplicates: 0,
};

fn crash_or_timeout(guards: Guards) -> State {
    let cluster = primary_with_backup(guards);
    let key = cluster.key(0, "order");
    State::new(cluster, &key, BUDGET)
}

fn planned_stop(guards: Guards) -> State {
    let cluster = primary_with_backup(guards);
    let key = cluster.key(0, "order");
    let budget = EventBudget {
        timeouts: 1,
        crashes: 0,
        stops: 1,
        ..BUDGET
    };
    State::new(cluster, &key, budget)
}

/// A key has run at entry 0, whose backup is about to be replaced by a new process of the
/// same name, while copies of everything ever sent to the old process are still in flight.
fn backup_restarted(guards: Guards) -> State {
    let mut cluster = Cluster::new(config(guards).build(), &["a", "a", "b"]);
    let mut old_packets = BTreeSet::new();
    let end = Duration::from_secs(1);
    while cluster.now < end {
        while !cluster.wire.is_empty() {
            let packet = cluster.wire[0].clone();
            if is_append_from(&packet, 0) {
                old_packets.insert(packet);
            }
            cluster.deliver(0);
        }
        cluster.now += Duration::from_millis(50);
        cluster.tick();
    }
    cluster.drain();
    let key = cluster.key(0, "order");
    cluster.send(0, &key);
    cluster.drain();
    cluster.run(0);
    cluster.crash(1);
    cluster.wire = old_packets.into_iter().collect();
    let budget = EventBudget {
        depth: 11,
        sends: 1,
        crashes: 0,
        boots: 1,
        ..BUDGET
    };
    State::new(cluster, &key, budget)
}

fn is_append_from(packet: &Packet, from: usize) -> bool {
    let Packet::Message {
        from: sender, body, ..
    } = packet
    else {
        return false;
    };
    *sender == from && matches!(body.message(), Message::Append { ops, .. } if !ops.is_empty())
}

#[test]
fn every_order_of_events_keeps_the_guarantees() {
    let scenarios = [
        ("crash or failover timeout", crash_or_timeout(Guards::ALL)),
        ("planned stop", planned_stop(Guards::ALL)),
        ("backup restarted", backup_restarted(Guards::ALL)),
    ];
    for (name, start) in scenarios {
        let depth = start.budget.depth;
        let (violation, explored) = explore(start);
        println!("{name}: {explored} states to depth {depth}");
        assert_eq!(violation, None, "{name}");
        assert!(explored > 1_000, "{name}: only {explored} states");
    }
}

#[test]
fn exploration_detects_a_disabled_guard() {
    let all = Guards::ALL;
    let variants = [
        (
            "record before start",
            crash_or_timeout(Guards {
                record_before_start: false,
                ..all
            }),
        ),
        (
            "epoch",
            crash_or_timeout(Guards {
                check_epoch: false,
                ..all
            }),
        ),
        (
            "closing of refused keys",
            crash_or_timeout(Guards {
                close_refused: false,
                ..all
            }),
        ),
        (
            "backup",
            backup_restarted(Guards {
                check_backup_incarnation: false,
                ..all
            }),
        ),
    ];
    for (guard, start) in variants {
        let (violation, explored) = explore(start);
        println!("without {guard}: {violation:?} after {explored} states");
        assert!(
            violation.is_some(),
            "no violation without the guard `{guard}`"
        );
    }
}
