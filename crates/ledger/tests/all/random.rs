//! Random orders of events: loss, delay, duplicates, crashes, cut links and clock jumps.

use std::time::Duration;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use filberthead_ledger::{Event, Guards};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::cluster::{Cluster, Counts, FAILOVER_TIMEOUT, RETENTION, START_WINDOW, config};

const SEEDS: u64 = 400;
const STEPS: usize = 600;
/// Number of the newest keys that are sent again; older ones come only in delayed packets.
const RESENT_KEYS: usize = 6;

/// The next event. A number selects what it applies to, modulo the number of candidates;
/// `…More` variants repeat an event to make it more frequent.
#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum Step {
    Deliver(u8),
    DeliverMore(u8),
    DeliverAll,
    Duplicate(u8),
    Lose(u8),
    NewKey(u8),
    Resend(u8, u8),
    Finish(u8),
    Run(u8),
    GiveUp(u8),
    Wait,
    WaitMore,
    FailoverTimeout,
    Jump(u8),
    Crash(u8),
    Boot(u8),
    Members,
    Stop(u8),
    Cut(u8, u8),
    CutControl(u8),
    Heal,
    Sync(u8),
    SyncMore(u8),
    BootFromDisk(u8),
    Wipe(u8),
}

struct RandomRun {
    cluster: Cluster,
    keys: Vec<String>,
    keys_made: usize,
}

impl RandomRun {
    fn new(guards: Guards, journal: bool) -> Self {
        let cfg = config(guards).max_keys(20).max_closed(3).journal(journal);
        let mut cluster = Cluster::new(cfg.build(), &["a", "a", "a", "b"]);
        cluster.settle(Duration::from_secs(1));
        Self {
            cluster,
            keys: Vec::new(),
            keys_made: 0,
        }
    }

    fn pick(number: u8, len: usize) -> Option<usize> {
        (len > 0).then(|| usize::from(number) % len)
    }

    fn apply(&mut self, step: Step) {
        let cluster = &mut self.cluster;
        let in_flight = cluster.wire.len();
        let started = cluster.started.len();
        let slots = cluster.members.len();
        match step {
            Step::Deliver(n) | Step::DeliverMore(n) => {
                if let Some(index) = Self::pick(n, in_flight) {
                    cluster.deliver(index);
                }
            }
            Step::DeliverAll => {
                for _ in 0..in_flight {
                    cluster.deliver(0);
                }
            }
            Step::Duplicate(n) => {
                if let Some(index) = Self::pick(n, in_flight) {
                    let packet = cluster.wire[index].clone();
                    cluster.arrive(&packet);
                }
            }
            Step::Lose(n) => {
                if let Some(index) = Self::pick(n, in_flight) {
                    cluster.wire.remove(index);
                }
            }
            Step::NewKey(n) => self.new_key(usize::from(n) % slots),
            Step::Resend(n, k) => {
                if let Some(index) = Self::pick(k, self.keys.len()) {
                    cluster.send(usize::from(n) % slots, &self.keys[index]);
                }
            }
            Step::Finish(n) => {
                if let Some(index) = Self::pick(n, started) {
                    cluster.finish(index);
                }
            }
            Step::Run(n) => {
                if let Some(index) = Self::pick(n, started) {
                    cluster.run(index);
                }
            }
            Step::GiveUp(n) => {
                if let Some(index) = Self::pick(n, started) {
                    cluster.give_up(index);
                }
            }
            Step::Wait | Step::WaitMore => self.wait(Duration::from_millis(200), 1),
            Step::FailoverTimeout => self.wait(FAILOVER_TIMEOUT / 4, 5),
            Step::Jump(n) if n < 24 => {
                let jumps = [FAILOVER_TIMEOUT, START_WINDOW, RETENTION];
                self.wait(jumps[usize::from(n) % jumps.len()], 1);
            }
            Step::Jump(_) => self.wait(Duration::from_secs(1), 1),
            Step::Crash(n) if n < 64 => cluster.crash(usize::from(n) % slots),
            Step::Boot(n) => {
                let slot = usize::from(n) % slots;
                if !cluster.nodes.contains_key(&slot) {
                    cluster.boot(slot);
                    cluster.announce_members();
                }
            }
            Step::Members => cluster.announce_members(),
            Step::Stop(n) if n < 24 => {
                let slot = usize::from(n) % slots;
                if let Some(member) = cluster.members.get_mut(&slot) {
                    member.leaving = true;
                }
                cluster.step(slot, Event::Stop);
            }
            Step::Cut(a, b) if a < 64 => {
                cluster
                    .cut
                    .insert((usize::from(a) % slots, usize::from(b) % slots));
            }
            Step::CutControl(n) if n < 32 => {
                cluster.control_cut.insert(usize::from(n) % slots);
            }
            Step::Heal => {
                cluster.cut.clear();
                cluster.control_cut.clear();
            }
            Step::Sync(n) | Step::SyncMore(n) => cluster.sync(usize::from(n) % slots),
            Step::BootFromDisk(n) => {
                let slot = usize::from(n) % slots;
                if !cluster.nodes.contains_key(&slot) {
                    cluster.boot_from_disk(slot);
                    cluster.announce_members();
                }
            }
            Step::Wipe(n) => {
                let slot = usize::from(n) % slots;
                if n < 64 && !cluster.nodes.contains_key(&slot) {
                    cluster.wipe(slot);
                }
            }
            Step::Crash(_) | Step::Stop(_) | Step::Cut(..) | Step::CutControl(_) => {}
        }
    }

    fn new_key(&mut self, slot: usize) {
        let Some(prefix) = self.cluster.prefix(slot) else {
            return;
        };
        let key = format!("{prefix}{}", self.keys_made);
        self.keys_made += 1;
        if self.keys.len() == RESENT_KEYS {
            self.keys.remove(0);
        }
        self.keys.push(key.clone());
        self.cluster.send(slot, &key);
    }

    fn wait(&mut self, time: Duration, times: u32) {
        for _ in 0..times {
            self.cluster.now += time;
            self.cluster.tick();
        }
    }
}

/// Applies random events to a new cluster for every seed. Returns how often each event
/// happened, and the first violation with its seed.
fn run_seeds(guards: Guards, journal: bool) -> (Counts, Option<String>) {
    let options = Options::default().with_max_len(STEPS * 8);
    let mut total = Counts::default();
    for seed in 0..SEEDS {
        let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
        let mut run = RandomRun::new(guards, journal);
        for _ in 0..STEPS {
            let Some(step) = Step::generate(&mut driver) else {
                break;
            };
            run.apply(step);
            if let Some(violation) = run.cluster.violation {
                return (total, Some(format!("seed {seed}: {violation}")));
            }
        }
        add(&mut total, &run.cluster.counts);
    }
    (total, None)
}

fn add(total: &mut Counts, counts: &Counts) {
    total.started += counts.started;
    total.replayed += counts.replayed;
    total.not_run += counts.not_run;
    total.may_have_run += counts.may_have_run;
    total.claim_results += counts.claim_results;
    total.hand_overs += counts.hand_overs;
    total.recovered += counts.recovered;
}

/// A request is sent again and again while entries crash, stop and lose contact, and
/// messages arrive late, twice or not at all. In every order of events it must run at most
/// once, and a key refused as "not run" must never run.
#[test]
fn no_order_of_events_breaks_a_guarantee() {
    let (counts, violation) = run_seeds(Guards::ALL, false);
    assert_eq!(violation, None);
    println!("random run: {counts:?}");
    // The test is meaningful only if each of these happened often.
    assert!(counts.started > 2_000, "{counts:?}");
    assert!(counts.replayed > 500, "{counts:?}");
    assert!(counts.not_run > 500, "{counts:?}");
    assert!(counts.may_have_run > 500, "{counts:?}");
    assert!(counts.claim_results > 100, "{counts:?}");
    assert!(counts.hand_overs > 20, "{counts:?}");
}

/// The same with a data folder at each entry. Processes recover from their journals, or
/// from none, while disk writes are outstanding.
#[test]
fn no_order_of_events_breaks_a_guarantee_with_disks() {
    let (counts, violation) = run_seeds(Guards::ALL, true);
    assert_eq!(violation, None);
    println!("random run with disks: {counts:?}");
    assert!(counts.started > 2_000, "{counts:?}");
    assert!(counts.replayed > 500, "{counts:?}");
    assert!(counts.recovered > 100, "{counts:?}");
}

/// Guards that matter only in rare orders of events are tested by the exploration.
#[test]
fn a_disabled_guard_is_detected() {
    let all = Guards::ALL;
    let variants = [
        (
            "record before start",
            Guards {
                record_before_start: false,
                ..all
            },
        ),
        (
            "complete before claim",
            Guards {
                complete_before_claim: false,
                ..all
            },
        ),
        (
            "closing of refused keys",
            Guards {
                close_refused: false,
                ..all
            },
        ),
        (
            "watermarks",
            Guards {
                check_watermarks: false,
                ..all
            },
        ),
    ];
    for (guard, guards) in variants {
        let (_, violation) = run_seeds(guards, false);
        println!("without {guard}: {violation:?}");
        assert!(
            violation.is_some(),
            "no violation without the guard `{guard}`"
        );
    }
}
