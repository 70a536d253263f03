//! Random order, loss and duplication of messages, cuts and restarts.

use std::collections::BTreeMap;
use std::time::Duration;

use bolero::{TypeGenerator, check};
use filberthead_table::View;
use filberthead_types::Version;

use crate::network::Network;

const FIVE: [&str; 5] = ["a-1-a", "a-1-b", "a-1-c", "b-1-a", "b-1-b"];

/// A change, fault or pause.
#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum Operation {
    Change { region: u8, weight: u8 },
    Remove { region: u8 },
    Pass { steps: u8 },
    Lose { nth: u8 },
    Duplicate { nth: u8 },
    Delay { nth: u8 },
    CutOff { second: bool },
    Heal,
    Kill { entry: u8 },
    Restart { entry: u8 },
    Elect { replica: u8 },
}

/// A run and the state that its checks need.
struct Checker {
    network: Network,
    accepted: BTreeMap<Version, View>,
    term: u64,
    /// Highest version that each entry's earlier processes have acted on.
    acted_on: BTreeMap<&'static str, Version>,
}

impl Checker {
    fn new() -> Self {
        let mut network = Network::new(&FIVE);
        network.persist_watermarks();
        network.run(Duration::from_secs(2));
        let accepted = BTreeMap::from([(Version(0), network.table.clone())]);
        Self {
            network,
            accepted,
            term: 1,
            acted_on: BTreeMap::new(),
        }
    }

    fn apply(&mut self, operation: Operation) {
        let network = &mut self.network;
        match operation {
            Operation::Change { region, weight } => {
                network.change(&format!("r{}", region % 4), u32::from(weight));
            }
            Operation::Remove { region } => {
                network.remove(&format!("r{}", region % 4));
            }
            Operation::Pass { steps } => {
                network.run(Duration::from_millis(50) * u32::from(steps));
            }
            Operation::Lose { nth } => drop(take_packet(network, nth)),
            Operation::Duplicate { nth } => {
                if let Some(packet) = take_packet(network, nth) {
                    network.queue.extend([packet.clone(), packet]);
                }
            }
            Operation::Delay { nth } => {
                let packet = take_packet(network, nth);
                network.queue.extend(packet);
            }
            Operation::CutOff { second } => network.cut_off(if second { "b-1" } else { "a-1" }),
            Operation::Heal => network.heal(),
            Operation::Kill { entry } => network.kill(name(entry)),
            Operation::Restart { entry } => self.restart(name(entry)),
            Operation::Elect { replica } => {
                self.term += 1;
                network.elect(usize::from(replica % 3), self.term);
            }
        }
        let table = self.network.table.clone();
        self.accepted.insert(table.version, table);
    }

    fn restart(&mut self, name: &'static str) {
        let entry = self.network.entry(name);
        if let Some(version) = entry.in_force.last() {
            let acted_on = self.acted_on.entry(name).or_default();
            *acted_on = (*acted_on).max(*version);
        }
        self.network.start(name);
    }

    /// Checks that every view acted on has been accepted, and that no process acts on a lower
    /// version than an earlier one of its name. The network checks that versions only increase.
    fn check(&self) {
        for (name, entry) in &self.network.entries {
            let Some(view) = &entry.view else { continue };
            assert_eq!(Some(&**view), self.accepted.get(&view.version));
            let acted_on = self.acted_on.get(name.as_str()).copied();
            assert!(
                entry.in_force.first().copied() >= acted_on,
                "{name} reverted"
            );
        }
    }

    /// Repairs all faults and checks that every entry reaches the newest version and lists all
    /// entries.
    fn converge(&mut self) {
        self.network.heal();
        for name in FIVE {
            if !self.network.is_up(self.network.entry(name)) {
                self.restart(name);
            }
        }
        let newest = self.network.table.version;
        self.network.run_until("converged", |net| {
            net.all_at(newest) && net.entries.values().all(|e| e.listed_names() == FIVE)
        });
        for entry in self.network.entries.values() {
            assert_eq!(entry.view.as_deref(), Some(&self.network.table));
        }
    }
}

fn name(entry: u8) -> &'static str {
    FIVE[usize::from(entry) % FIVE.len()]
}

fn take_packet(network: &mut Network, nth: u8) -> Option<crate::network::Packet> {
    let index = usize::from(nth) % network.queue.len().max(1);
    network.queue.remove(index)
}

#[test]
fn versions_never_decrease_and_all_entries_converge() {
    check!()
        .with_iterations(400)
        .with_type::<Vec<Operation>>()
        .for_each(|operations| {
            let mut checker = Checker::new();
            for operation in operations.iter().take(64) {
                checker.apply(*operation);
                checker.check();
            }
            checker.converge();
            checker.check();
        });
}
