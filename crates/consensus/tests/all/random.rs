//! Random schedules, far longer than the explorer can reach: messages late, lost,
//! duplicated and reordered, crashes, wiped disks, suspended replicas, membership changes,
//! snapshots.

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use filberthead_consensus::{Config, Durable, Guards, Proposal};
use filberthead_types::{Moment, ReplicaId};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::cluster::{Cluster, Violation, id};

const SCHEDULES: u64 = 400;
const STEPS: usize = 150;

/// One step of a schedule. Numbers select a replica or message modulo those present.
#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum Step {
    /// Runs without faults for this many hundredths of a second.
    Run(u8),
    /// Suspends one replica while the others run; its messages are held.
    Suspend(u8, u8),
    /// Only advances the clock.
    AdvanceClock(u8),
    Tick(u8),
    Deliver(u8),
    Duplicate(u8),
    Lose(u8),
    Sync(u8),
    /// Crashes a replica; whether its pending sync completes.
    Crash(u8, bool),
    Restart,
    /// Replaces a replica by an empty one with a new identity.
    Wipe(u8),
    Isolate(u8),
    Heal,
    Command(u8),
    AddLearner(u8),
    Promote(u8),
    Remove(u8),
}

struct Schedule {
    cluster: Cluster,
    next_id: u64,
}

impl Schedule {
    fn new(voters: u64, guards: Guards) -> Self {
        let cfg = Config::builder().snapshot_after(6).guards(guards).build();
        let mut cluster = Cluster::new(voters, cfg);
        cluster.advance(3000, &[]);
        Self {
            cluster,
            next_id: voters + 1,
        }
    }

    /// Whether a step is skipped, so that lasting faults are rare enough to allow progress.
    fn is_skipped(step: &Step) -> bool {
        match step {
            Step::Wipe(n) => *n >= 20,
            Step::Remove(n) | Step::Isolate(n) => *n >= 80,
            Step::Crash(n, _) => *n >= 128,
            _ => false,
        }
    }

    fn step(&mut self, step: Step) {
        let cluster = &mut self.cluster;
        match step {
            Step::Run(n) => cluster.advance(u64::from(n) * 10, &[]),
            Step::Suspend(replica, n) => {
                let replica = self.replica_at(replica);
                self.cluster.advance(u64::from(n) * 20, &[replica]);
            }
            Step::AdvanceClock(n) => cluster.now += Moment::from_millis(u64::from(n) * 10),
            Step::Tick(replica) => {
                let replica = self.replica_at(replica);
                self.cluster.tick(replica);
            }
            Step::Deliver(_) | Step::Duplicate(_) | Step::Lose(_) => self.network_step(step),
            Step::Command(_) | Step::AddLearner(_) | Step::Promote(_) | Step::Remove(_) => {
                self.proposal_step(step);
            }
            _ => self.fault_step(step),
        }
    }

    fn network_step(&mut self, step: Step) {
        let net = &mut self.cluster.net;
        let (Step::Deliver(n) | Step::Duplicate(n) | Step::Lose(n)) = step else {
            return;
        };
        if net.is_empty() {
            return;
        }
        let at = usize::from(n) % net.len();
        let envelope = match step {
            Step::Duplicate(_) => net[at].clone(),
            _ => net.swap_remove(at),
        };
        if !matches!(step, Step::Lose(_)) {
            self.cluster.deliver(envelope);
        }
    }

    fn fault_step(&mut self, step: Step) {
        match step {
            Step::Sync(n) => self.cluster.sync(self.replica_at(n)),
            Step::Crash(n, synced) => self.cluster.crash(self.replica_at(n), synced),
            Step::Restart => self.restart_all(),
            Step::Wipe(n) => {
                let replica = self.replica_at(n);
                self.cluster.nodes.remove(&replica);
                self.cluster.add(id(self.next_id), Durable::default());
                self.next_id += 1;
            }
            Step::Isolate(n) => self.cluster.isolate(self.replica_at(n)),
            Step::Heal => self.cluster.heal(),
            _ => {}
        }
    }

    fn proposal_step(&mut self, step: Step) {
        // Half of the proposals go to the leader, the others to the replica selected by `n`.
        let (Step::Command(n) | Step::AddLearner(n) | Step::Promote(n) | Step::Remove(n)) = step
        else {
            return;
        };
        let leader = self.cluster.leader().filter(|_| n % 2 == 0);
        let to = leader.unwrap_or_else(|| self.replica_at(n));
        let target = self.replica_at(n / 2);
        let proposal = match step {
            Step::AddLearner(_) => Proposal::AddLearner(target),
            Step::Promote(_) => Proposal::Promote(target),
            Step::Remove(_) => Proposal::Remove(target),
            _ => Proposal::Command(vec![n]),
        };
        self.cluster.propose(to, proposal);
        self.cluster.read_is_served(to);
    }

    fn restart_all(&mut self) {
        let ids: Vec<_> = self.cluster.nodes.keys().copied().collect();
        for id in ids {
            if self.cluster.status(id).is_none() {
                self.cluster.restart(id);
            }
        }
    }

    fn replica_at(&self, n: u8) -> ReplicaId {
        let mut ids = self.cluster.nodes.keys();
        let at = usize::from(n) % self.cluster.nodes.len();
        ids.nth(at).copied().unwrap_or_default()
    }

    /// Ends all faults. Unless disks were lost, the cluster must commit changes again.
    fn recover(&mut self) {
        self.cluster.heal();
        self.restart_all();
        self.cluster.advance(8000, &[]);
        let leader = self.cluster.leader().expect("a leader after all faults");
        let token = self.cluster.propose_command(leader, 1);
        self.cluster.advance(2000, &[]);
        assert!(self.cluster.proposed[&token].is_ok());
    }
}

/// Runs the schedule of a seed. bolero's own loop uses new seeds in each run, but a test
/// must be reproducible.
fn run_schedule(seed: u64, guards: Guards, allowed: fn(&Step) -> bool) -> Schedule {
    let options = Options::default().with_max_len(1 << 16);
    let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
    let mut schedule = Schedule::new(3 + seed % 3, guards);
    for _ in 0..STEPS {
        let step = Step::generate(&mut driver).expect("the driver has bytes left");
        if allowed(&step)
            && !Schedule::is_skipped(&step)
            && schedule.cluster.history.violation.is_none()
        {
            schedule.step(step);
        }
    }
    schedule
}

#[test]
fn random_schedules_break_no_rule() {
    let mut accepted = 0;
    let mut snapshots = 0;
    let mut changes = 0;
    for seed in 0..SCHEDULES {
        let cluster = run_schedule(seed, Guards::default(), |_| true).cluster;
        assert_eq!(cluster.history.violation, None, "seed {seed}");
        accepted += cluster.history.accepted;
        let nodes = cluster.nodes.values();
        snapshots += nodes.filter(|n| n.disk.snapshot.index > 1).count();
        let committed = cluster.history.committed.values();
        changes += committed.filter(|e| is_membership(e)).count();
    }
    println!("{accepted} accepted, {snapshots} replicas with snapshots, {changes} changes");
    assert!(accepted > SCHEDULES && snapshots > 100 && changes > 100);
}

fn is_membership(entry: &filberthead_consensus::Entry) -> bool {
    matches!(entry.payload, filberthead_consensus::Payload::Members(_))
}

/// Once faults end, the cluster commits changes again. Wipes and removals are excluded, as
/// they may leave no majority.
#[test]
fn cluster_recovers_when_faults_end() {
    let keeps_majority = |step: &Step| !matches!(step, Step::Wipe(_) | Step::Remove(_));
    for seed in 0..SCHEDULES / 2 {
        let mut schedule = run_schedule(seed, Guards::default(), keeps_majority);
        schedule.recover();
        assert_eq!(schedule.cluster.history.violation, None, "seed {seed}");
    }
}

/// With one rule disabled, a schedule must violate a rule. The explorer tests this for
/// every rule; here a few show that the schedules reach far enough.
#[track_caller]
fn assert_violates(remove: fn(&mut Guards)) -> (u64, Violation) {
    let mut guards = Guards::default();
    remove(&mut guards);
    let first_violation = (0..SCHEDULES).find_map(|seed| {
        let violation = run_schedule(seed, guards, |_| true)
            .cluster
            .history
            .violation;
        violation.map(|violation| (seed, violation))
    });
    println!("{first_violation:?}");
    first_violation.expect("no schedule broke a rule")
}

#[test]
fn schedules_detect_a_lease_that_never_expires() {
    assert_violates(|g| g.lease_expires = false);
}

#[test]
fn schedules_detect_votes_for_outdated_logs() {
    assert_violates(|g| g.compare_logs = false);
}

#[test]
fn schedules_detect_votes_while_a_leader_is_live() {
    assert_violates(|g| g.refuse_votes_while_leader_is_live = false);
}
