//! Exhaustive exploration of the real step function over a small configuration: two
//! entries of one failure domain and one elsewhere, one key, every order of events up to
//! a depth. What isn't delivered stands for what is lost or late.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use filberthead_ledger::{Event, Guards, Message};
use pathfinding::directed::bfs::bfs;

use crate::cluster::{FAILOVER_TIMEOUT, World, config};
use crate::wire::Packet;

/// How often each kind of event may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    depth: u8,
    sends: u8,
    silences: u8,
    crashes: u8,
    boots: u8,
    stops: u8,
    duplicates: u8,
}

#[derive(Clone, Debug)]
struct State {
    world: World,
    key: Rc<str>,
    budget: Budget,
}

/// Two states are one if the same can happen from them; how they came about doesn't count.
impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.budget == other.budget && self.world.is_same(&other.world)
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.budget.hash(state);
        self.world.hash_into(state);
    }
}

impl State {
    fn new(world: World, key: &str, budget: Budget) -> Self {
        Self {
            world,
            key: key.into(),
            budget,
        }
    }

    /// The state after `f`, brought into a form that doesn't depend on the order of
    /// what is on the wire.
    fn after(&self, spend: impl FnOnce(&mut Budget), f: impl FnOnce(&mut World)) -> Self {
        let mut next = self.clone();
        next.budget.depth -= 1;
        spend(&mut next.budget);
        f(&mut next.world);
        next.world.told.clear();
        // Heartbeats only inform; a key must be safe without them.
        let heartbeat = |packet: &Packet| match packet {
            Packet::Message { body, .. } => matches!(body.message(), Message::HeldHomes { .. }),
            _ => false,
        };
        let wire = std::mem::take(&mut next.world.wire);
        let wire: BTreeSet<_> = wire.into_iter().filter(|p| !heartbeat(p)).collect();
        next.world.wire = wire.into_iter().collect();
        next
    }

    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        if self.budget.depth == 0 {
            return next;
        }
        let budget = self.budget;
        for index in 0..self.world.wire.len() {
            next.push(self.after(|_| {}, |w| w.deliver(index)));
            if budget.duplicates > 0 {
                let packet = self.world.wire[index].clone();
                next.push(self.after(|b| b.duplicates -= 1, |w| w.arrive(&packet)));
            }
        }
        for index in 0..self.world.started.len() {
            if !self.world.started[index].ran {
                next.push(self.after(|_| {}, |w| w.run(index)));
                next.push(self.after(|_| {}, |w| w.give_up(index)));
            } else {
                next.push(self.after(|_| {}, |w| w.finish(index)));
            }
        }
        self.faults(&mut next);
        next
    }

    fn faults(&self, next: &mut Vec<Self>) {
        let budget = self.budget;
        let live: Vec<_> = self.world.nodes.keys().copied().collect();
        if budget.sends > 0 {
            for slot in &live {
                next.push(self.after(|b| b.sends -= 1, |w| w.send(*slot, &self.key)));
            }
        }
        if budget.silences > 0 {
            next.push(self.after(|b| b.silences -= 1, silence));
        }
        if budget.crashes > 0 {
            for slot in live.iter().filter(|slot| **slot < 2) {
                next.push(self.after(|b| b.crashes -= 1, |w| w.crash(*slot)));
            }
        }
        if budget.boots > 0 {
            for slot in (0..2).filter(|slot| !live.contains(slot)) {
                let boot = |w: &mut World| {
                    w.boot(slot);
                    w.spread_members();
                };
                next.push(self.after(|b| b.boots -= 1, boot));
            }
        }
        if budget.stops > 0 {
            for slot in live.iter().filter(|slot| **slot < 2) {
                next.push(self.after(|b| b.stops -= 1, |w| w.step(*slot, Event::Stop)));
            }
        }
    }
}

/// Time passes without any message arriving, until each suspects the other one.
fn silence(world: &mut World) {
    for _ in 0..5 {
        world.now += FAILOVER_TIMEOUT / 4;
        world.tick();
    }
}

/// Explores from `start`; the broken promise and the steps to it if there is one, and
/// how many states were seen.
fn explore(start: State) -> (Option<(String, usize)>, usize) {
    let mut seen = 0;
    let successors = |state: &State| {
        seen += 1;
        state.successors()
    };
    let path = bfs(&start, successors, |state| state.world.broken.is_some());
    let broken = path.and_then(|path| {
        let last = path.last()?;
        Some((last.world.broken.clone()?, path.len() - 1))
    });
    (broken, seen)
}

/// Entry 0 holds a home whose backup is entry 1; nothing is on its way.
fn paired(guards: Guards) -> World {
    let mut world = World::new(config(guards).build(), &["a", "a", "b"]);
    world.settle(Duration::from_secs(1));
    world
}

const BUDGET: Budget = Budget {
    depth: 9,
    sends: 2,
    silences: 1,
    crashes: 1,
    boots: 0,
    stops: 0,
    duplicates: 0,
};

fn crash_or_silence(guards: Guards) -> State {
    let world = paired(guards);
    let key = world.key(0, "order");
    State::new(world, &key, BUDGET)
}

fn planned_stop(guards: Guards) -> State {
    let world = paired(guards);
    let key = world.key(0, "order");
    let budget = Budget {
        silences: 1,
        crashes: 0,
        stops: 1,
        ..BUDGET
    };
    State::new(world, &key, budget)
}

/// A key has run at entry 0, whose backup is about to be replaced by a new process of
/// the same name, while copies of everything ever sent to the old one are still about.
fn backup_restarted(guards: Guards) -> State {
    let mut world = World::new(config(guards).build(), &["a", "a", "b"]);
    let mut old = BTreeSet::new();
    let end = Duration::from_secs(1);
    while world.now < end {
        while !world.wire.is_empty() {
            let packet = world.wire[0].clone();
            if is_append_of_home(&packet, 0) {
                old.insert(packet);
            }
            world.deliver(0);
        }
        world.now += Duration::from_millis(50);
        world.tick();
    }
    world.drain();
    let key = world.key(0, "order");
    world.send(0, &key);
    world.drain();
    world.run(0);
    world.crash(1);
    world.wire = old.into_iter().collect();
    let budget = Budget {
        depth: 11,
        sends: 1,
        crashes: 0,
        boots: 1,
        ..BUDGET
    };
    State::new(world, &key, budget)
}

fn is_append_of_home(packet: &Packet, from: usize) -> bool {
    let Packet::Message {
        from: sender, body, ..
    } = packet
    else {
        return false;
    };
    *sender == from && matches!(body.message(), Message::Append { ops, .. } if !ops.is_empty())
}

#[test]
fn every_order_of_events_keeps_the_promises() {
    let scenarios = [
        ("crash or silence", crash_or_silence(Guards::ALL)),
        ("planned stop", planned_stop(Guards::ALL)),
        ("backup restarted", backup_restarted(Guards::ALL)),
    ];
    for (name, start) in scenarios {
        let depth = start.budget.depth;
        let (broken, seen) = explore(start);
        println!("{name}: {seen} states to depth {depth}");
        assert_eq!(broken, None, "{name}");
        assert!(seen > 1_000, "{name}: only {seen} states");
    }
}

#[test]
fn exploration_notices_a_guard_switched_off() {
    let all = Guards::ALL;
    let twins = [
        (
            "record before start",
            crash_or_silence(Guards {
                record_before_start: false,
                ..all
            }),
        ),
        (
            "config",
            crash_or_silence(Guards {
                check_epoch: false,
                ..all
            }),
        ),
        (
            "closing of refused keys",
            crash_or_silence(Guards {
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
    for (guard, start) in twins {
        let (broken, seen) = explore(start);
        println!("without {guard}: {broken:?} after {seen} states");
        assert!(
            broken.is_some(),
            "nothing breaks without the guard `{guard}`"
        );
    }
}
