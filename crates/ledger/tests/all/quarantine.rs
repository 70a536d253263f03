//! Requests that crash endpoints, as stories and as a random run.

use std::collections::BTreeMap;
use std::time::Duration;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use filberthead_ledger::quarantine::{
    Action, Check, Config, Event, Fingerprint, Quarantine, RunEnd, RunId,
};
use filberthead_types::{Moment, NodeName};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::cluster::name;

const KILLER: Fingerprint = Fingerprint(666);
/// Endpoints of each entry.
const ENDPOINTS: usize = 6;

fn innocent(n: u128) -> Fingerprint {
    Fingerprint(n)
}

fn endpoint(entry: usize, n: usize) -> NodeName {
    format!("endpoint-{entry}-{n}")
        .parse()
        .expect("a valid name")
}

/// Entries that tell each other at once, and endpoints that die under the killer.
struct Site {
    now: Moment,
    entries: Vec<Quarantine>,
    next_run: u64,
    deaths: usize,
}

/// A run in progress.
#[derive(Clone, Debug)]
struct Running {
    entry: usize,
    run: RunId,
    endpoint: NodeName,
}

impl Site {
    fn new(entries: usize) -> Self {
        let quarantine = |n| Quarantine::new(Config::builder().build(), name(n));
        Self {
            now: Duration::ZERO,
            entries: (0..entries).map(quarantine).collect(),
            next_run: 0,
            deaths: 0,
        }
    }

    fn step(&mut self, entry: usize, event: Event) {
        let action = self.entries[entry].step(self.now, event);
        if let Some(Action::Broadcast(message)) = action {
            for other in (0..self.entries.len()).filter(|other| *other != entry) {
                self.entries[other].step(self.now, Event::Received(message.clone()));
            }
        }
    }

    /// Hands a request to an endpoint if it may run, where it may run.
    fn start(&mut self, entry: usize, fingerprint: Fingerprint, n: usize) -> Option<Running> {
        let entry = match self.entries[entry].check(self.now, fingerprint) {
            Check::Run => entry,
            Check::RunAt { entry: to } => (0..self.entries.len()).find(|n| name(*n) == to)?,
            Check::Refuse { .. } => return None,
        };
        if self.entries[entry].check(self.now, fingerprint) != Check::Run {
            return None;
        }
        let run = RunId(self.next_run);
        self.next_run += 1;
        let endpoint = endpoint(entry, n);
        let started = Event::Started {
            run,
            fingerprint,
            endpoint: endpoint.clone(),
        };
        self.step(entry, started);
        Some(Running {
            entry,
            run,
            endpoint,
        })
    }

    fn end(&mut self, running: &Running, end: RunEnd) {
        let run = running.run;
        self.step(running.entry, Event::Ended { run, end });
    }

    /// The endpoint's process is gone, and every run there breaks.
    fn die(&mut self, running: &[Running]) {
        for run in running {
            self.end(run, RunEnd::Lost);
        }
        self.deaths += 1;
        self.now += Duration::from_millis(300);
        let died = Event::Died {
            endpoint: running[0].endpoint.clone(),
            replaced: true,
            endpoints: ENDPOINTS,
        };
        self.step(running[0].entry, died);
    }

    fn check(&self, entry: usize, fingerprint: Fingerprint) -> Check {
        self.entries[entry].check(self.now, fingerprint)
    }
}

fn died(endpoint: NodeName, replaced: bool) -> Event {
    Event::Died {
        endpoint,
        replaced,
        endpoints: ENDPOINTS,
    }
}

fn is_refused(check: &Check) -> bool {
    matches!(check, Check::Refuse { .. })
}

/// A clerk's search crashes each endpoint that runs it. She sends it ten times, at one
/// entry after the other. Two endpoints are lost, then it is refused everywhere.
#[test]
fn ten_sends_of_a_killer_cost_two_endpoints() {
    let mut site = Site::new(3);
    for n in 0..10 {
        if let Some(running) = site.start(n % 3, KILLER, n % ENDPOINTS) {
            site.die(&[running]);
        }
    }
    assert_eq!(site.deaths, 2);
    assert!((0..3).all(|entry| is_refused(&site.check(entry, KILLER))));
}

/// A health check finds a new process in an endpoint's place before the broken connection
/// of the search that killed the old one is noticed. It counts all the same.
#[test]
fn a_death_known_before_its_broken_connection_counts() {
    let mut site = Site::new(2);
    for n in 0..2 {
        let running = site.start(0, KILLER, n).expect("a chance");
        site.now += Duration::from_millis(100);
        site.step(0, died(running.endpoint.clone(), true));
        site.end(&running, RunEnd::Lost);
    }
    assert!(is_refused(&site.check(1, KILLER)));
}

/// A search has killed two endpoints, whose deaths aren't known yet. A page that is sent
/// to both of them breaks twice and must not pass for the killer.
#[test]
fn a_page_that_meets_dead_endpoints_is_not_blamed() {
    let mut site = Site::new(1);
    for n in 0..2 {
        let killer = site.start(0, KILLER, n).expect("a chance");
        site.end(&killer, RunEnd::Lost);
    }
    site.now += Duration::from_millis(10);
    for n in 0..2 {
        let page = site.start(0, innocent(1), n).expect("it isn't refused");
        site.end(&page, RunEnd::Lost);
    }
    assert_eq!(site.check(0, innocent(1)), Check::Run);
    // Nor after their deaths are known, for as long as nothing answers there.
    for n in 0..2 {
        site.step(0, died(endpoint(0, n), false));
    }
    site.now += Duration::from_secs(60);
    site.step(0, Event::Tick);
    for n in 0..2 {
        let page = site.start(0, innocent(1), n).expect("it isn't refused");
        site.end(&page, RunEnd::Lost);
    }
    assert_eq!(site.check(0, innocent(1)), Check::Run);
}

/// A search has broken two connections at one entry, and its next send reaches another
/// entry before any health check has found the endpoints dead.
#[test]
fn two_broken_runs_warn_every_entry() {
    let mut site = Site::new(2);
    for n in 0..2 {
        let killer = site.start(0, KILLER, n).expect("a chance");
        site.end(&killer, RunEnd::Lost);
    }
    assert!(is_refused(&site.check(1, KILLER)));
}

/// Two orders ran beside the search when the endpoint died, and nothing tells which one
/// it was. The orders' next runs are answered, and nobody suspects them any more; the
/// search is caught.
#[test]
fn innocents_beside_a_killer_are_cleared() {
    let mut site = Site::new(2);
    let beside: Vec<_> = [KILLER, innocent(1), innocent(2)]
        .iter()
        .map(|f| site.start(0, *f, 0).expect("nobody is under suspicion yet"))
        .collect();
    site.die(&beside);
    for n in [1, 2] {
        let again = site.start(1, innocent(n), 1).expect("one run is allowed");
        assert_eq!(again.entry, 0, "the entry that saw the loss tries it");
        site.end(&again, RunEnd::Answered);
        assert_eq!(site.check(1, innocent(n)), Check::Run);
    }
    let killer = site.start(1, KILLER, 2).expect("its second chance");
    site.die(&[killer]);
    assert_eq!(site.deaths, 2);
    assert!(is_refused(&site.check(1, KILLER)));
}

/// The same page runs at many endpoints all the time and so is there whenever one dies.
/// It is answered elsewhere a moment later and must not be refused.
#[test]
fn a_page_that_runs_everywhere_is_not_blamed() {
    let mut site = Site::new(2);
    let page = innocent(1);
    for n in 0..4 {
        let elsewhere = site.start(0, page, 5).expect("it isn't refused");
        let dying = site.start(0, page, n).expect("it isn't refused");
        site.die(&[dying]);
        site.end(&elsewhere, RunEnd::Answered);
        assert_eq!(site.check(0, page), Check::Run);
        assert_eq!(site.check(1, page), Check::Run);
        site.now += Duration::from_secs(5);
    }
}

/// A rack loses power: most endpoints die at the same time, each with its requests. No
/// request does that, and none is refused afterwards.
#[test]
fn a_lost_failure_domain_accuses_nobody() {
    let mut site = Site::new(2);
    let running: Vec<_> = (0..ENDPOINTS)
        .map(|n| site.start(0, innocent(n as u128), n).expect("it may run"))
        .collect();
    for run in &running {
        site.end(run, RunEnd::Lost);
    }
    for run in &running {
        site.step(0, died(run.endpoint.clone(), true));
    }
    for n in 0..ENDPOINTS as u128 {
        assert_eq!(site.check(0, innocent(n)), Check::Run, "{n}");
        assert_eq!(site.check(1, innocent(n)), Check::Run, "{n}");
    }
}

/// The network between an entry and its endpoints is cut for a moment, twice. Requests
/// that broke are refused for seconds at most, since no endpoint died.
#[test]
fn broken_connections_alone_accuse_nobody_for_long() {
    let mut site = Site::new(1);
    for n in 0..2 {
        let running = site.start(0, innocent(1), n).expect("it may run");
        site.end(&running, RunEnd::Lost);
    }
    assert!(is_refused(&site.check(0, innocent(1))));
    site.now += Duration::from_secs(6);
    assert_eq!(site.check(0, innocent(1)), Check::Run);
}

/// After its time a killer gets another chance, alone, and loses it for twice as long.
#[test]
fn a_killer_that_comes_back_is_refused_for_longer() {
    let mut site = Site::new(2);
    let mut refused_for = Vec::new();
    for n in 0..4 {
        let running = site.start(n % 2, KILLER, n).expect("a chance");
        site.die(&[running]);
        if let Check::Refuse { retry_after } = site.check(0, KILLER) {
            refused_for.push(retry_after);
            site.now += retry_after;
            site.step(0, Event::Tick);
        }
    }
    assert_eq!(refused_for.len(), 3);
    assert!(
        refused_for.windows(2).all(|pair| pair[1] >= 2 * pair[0]),
        "{refused_for:?}"
    );
}

#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum Step {
    Send(u8, u8, u8),
    Answer(u8),
    Wait(u8),
}

/// Killers among innocents, at random entries and endpoints, answered in random order.
/// No killer takes more than two endpoints, and every innocent may run at the end.
#[test]
fn no_order_of_sends_lets_a_killer_take_a_third_endpoint() {
    const SEEDS: u64 = 5_000;
    const STEPS: usize = 120;
    let options = Options::default().with_max_len(STEPS * 4);
    let mut refused = 0;
    for seed in 0..SEEDS {
        let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
        let mut site = Site::new(3);
        let mut running: Vec<Running> = Vec::new();
        let mut killed: BTreeMap<Fingerprint, usize> = BTreeMap::new();
        for _ in 0..STEPS {
            let Some(step) = Step::generate(&mut driver) else {
                break;
            };
            match step {
                Step::Send(entry, what, n) => {
                    let kills = what < 24;
                    let fingerprint =
                        Fingerprint(u128::from(if kills { what % 2 } else { what % 12 + 10 }));
                    let n = usize::from(n) % ENDPOINTS;
                    match site.start(usize::from(entry) % 3, fingerprint, n) {
                        Some(run) if kills => {
                            let at = run.endpoint.clone();
                            let (mut lost, left): (Vec<_>, Vec<_>) =
                                running.into_iter().partition(|r| r.endpoint == at);
                            lost.insert(0, run);
                            running = left;
                            site.die(&lost);
                            *killed.entry(fingerprint).or_default() += 1;
                        }
                        Some(run) => running.push(run),
                        None => refused += 1,
                    }
                }
                Step::Answer(n) if !running.is_empty() => {
                    let run = running.remove(usize::from(n) % running.len());
                    site.end(&run, RunEnd::Answered);
                }
                Step::Answer(_) => {}
                Step::Wait(ms) => site.now += Duration::from_millis(u64::from(ms)),
            }
        }
        let worst = killed.values().max().copied().unwrap_or(0);
        assert!(worst <= 2, "seed {seed}: {killed:?}");
        for run in std::mem::take(&mut running) {
            site.end(&run, RunEnd::Answered);
        }
        site.now += Duration::from_secs(601);
        for what in 10..22 {
            for entry in 0..3 {
                let run = site.start(entry, Fingerprint(what), 0);
                let run = run.unwrap_or_else(|| panic!("seed {seed}: {what} is refused"));
                site.end(&run, RunEnd::Answered);
            }
        }
    }
    assert!(refused > 1_000, "only {refused} refusals");
}
