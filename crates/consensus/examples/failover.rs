//! Prints the time to the first leader and to a new one after the leader stopped, one
//! `name: value unit` per line. Time is simulated, so the results don't depend on the
//! machine.
//!
//! `cargo run --release -p filberthead-consensus --example failover`

use std::collections::BTreeMap;
use std::time::Duration;

use filberthead_consensus::{Action, Config, Durable, Event, Members, Message, Replica, Snapshot};
use filberthead_types::{Moment, ReplicaId};

/// One-way delay between two regions.
const ONE_WAY_DELAY: Duration = Duration::from_millis(35);
const TICK: Duration = Duration::from_millis(5);
const SEEDS: u64 = 500;
const REPLICAS: u64 = 3;

struct Cluster {
    replicas: BTreeMap<ReplicaId, Replica>,
    net: Vec<(Moment, ReplicaId, Event)>,
    now: Moment,
}

impl Cluster {
    fn new(seed: u64) -> Self {
        let ids = (1..=REPLICAS).map(ReplicaId);
        let members = Members {
            voters: ids.clone().collect(),
            ..Members::default()
        };
        let durable = Durable {
            snapshot: Snapshot {
                index: 1,
                members,
                ..Snapshot::default()
            },
            ..Durable::default()
        };
        let replica = |id: ReplicaId| {
            let cfg = Config::builder().seed(seed * REPLICAS + id.0).build();
            (id, Replica::new(id, cfg, durable.clone(), Moment::ZERO))
        };
        Self {
            replicas: ids.map(replica).collect(),
            net: Vec::new(),
            now: Moment::ZERO,
        }
    }

    fn step(&mut self, at: ReplicaId, event: Event) {
        let Some(replica) = self.replicas.get_mut(&at) else {
            return;
        };
        for action in replica.step(self.now, event) {
            match action {
                Action::Send { to, message } => self.send(at, to, message),
                Action::Persist(persist) => {
                    let event = Event::Persisted { seq: persist.seq };
                    self.net.push((self.now, at, event));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, message: Message) {
        let event = Event::Received { from, message };
        self.net.push((self.now + ONE_WAY_DELAY, to, event));
    }

    fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        let due: Vec<_> = self.net.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, to, event) in due {
            self.step(to, event);
        }
        let ids: Vec<_> = self.replicas.keys().copied().collect();
        for id in ids {
            self.step(id, Event::Tick);
        }
    }

    fn leader(&self) -> Option<ReplicaId> {
        let mut all = self.replicas.values().map(|r| r.status(self.now));
        all.find(|status| status.holds_lease).map(|s| s.id)
    }

    /// Runs until a replica holds the lease, and returns how long that took.
    fn run_until_led(&mut self) -> Duration {
        let began = self.now;
        while self.leader().is_none() {
            self.tick();
        }
        self.now - began
    }
}

fn print_quantiles(name: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    for (quantile, percent) in [("p50", 50), ("p99", 99), ("max", 100)] {
        let at = (times.len() * percent / 100).min(times.len() - 1);
        println!("{name}_{quantile}: {} ms", times[at].as_millis());
    }
}

fn main() {
    let mut first = Vec::new();
    let mut next = Vec::new();
    for seed in 0..SEEDS {
        let mut cluster = Cluster::new(seed);
        first.push(cluster.run_until_led());
        for _ in 0..200 {
            cluster.tick();
        }
        if let Some(leader) = cluster.leader() {
            cluster.replicas.remove(&leader);
            next.push(cluster.run_until_led());
        }
    }
    print_quantiles("first_leader", first);
    print_quantiles("leader_replaced", next);
}
