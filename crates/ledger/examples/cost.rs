//! Cost of the ledger: time of a call, memory of a key, bytes between primary and backup.
//!
//! Prints one line of `name: value unit` for each.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use filberthead_ledger::quarantine::{self, Check, Fingerprint, Quarantine, RunEnd, RunId};
use filberthead_ledger::{Action, Config, Decision, Digest, Event, Ledger, Member, Message, Token};
use filberthead_types::{Incarnation, Moment, NodeName};

const KEYS: u64 = 100_000;
const ANSWER_LEN: usize = 200;
const PAGE: usize = 4096;
const IDLE: Duration = Duration::from_secs(60);

fn main() {
    without_backup();
    with_backup();
    idle();
    quarantine();
}

fn print(name: &str, value: f64, unit: &str) {
    println!("ledger_{name}: {value:.1} {unit}");
}

fn ns_each(elapsed: Duration, count: u64) -> f64 {
    elapsed.as_nanos() as f64 / count as f64
}

/// Resident memory of this process, in bytes.
fn resident() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|text| text.parse().ok());
    pages.map_or(f64::NAN, |pages: usize| (pages * PAGE) as f64)
}

fn member(n: u64) -> Member {
    Member {
        name: name(n),
        incarnation: Incarnation(n),
        failure_domain: "zagreb-a".parse().expect("a valid name"),
        leaving: false,
    }
}

fn name(n: u64) -> NodeName {
    format!("entry-{n}").parse().expect("a valid name")
}

fn config() -> Config {
    Config::builder()
        .max_keys(usize::MAX)
        .max_bytes(usize::MAX)
        .build()
}

/// Ledgers whose messages arrive at once.
struct Cluster {
    now: Moment,
    ledgers: Vec<Ledger>,
    decision: Option<Decision>,
    messages: u64,
    bytes: u64,
}

impl Cluster {
    fn new(count: u64) -> Self {
        let ledger = |n| Ledger::new(Duration::ZERO, config(), member(n));
        let mut cluster = Self {
            now: Duration::ZERO,
            ledgers: (0..count).map(ledger).collect(),
            decision: None,
            messages: 0,
            bytes: 0,
        };
        for n in 0..cluster.ledgers.len() {
            let members = (0..count).map(member).collect();
            cluster.step(n, Event::Members(members));
        }
        cluster.advance(Duration::from_secs(1));
        cluster
    }

    fn step(&mut self, to: usize, event: Event) {
        let mut events = VecDeque::from([(to, event)]);
        while let Some((at, event)) = events.pop_front() {
            for action in self.ledgers[at].step(self.now, event) {
                match action {
                    Action::Decide { decision, .. } => self.decision = Some(decision),
                    Action::Send { to, message } => {
                        let from = name(at as u64);
                        let to = (0..self.ledgers.len()).find(|n| name(*n as u64) == to);
                        if let Some(to) = to {
                            self.count(&message);
                            events.push_back((to, Event::Received { from, message }));
                        }
                    }
                    Action::Claim(_) | Action::Sync { .. } => {}
                }
            }
        }
    }

    fn count(&mut self, message: &Message) {
        self.messages += 1;
        self.bytes += postcard::to_stdvec(message).map_or(0, |buf| buf.len() as u64);
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(50);
            for n in 0..self.ledgers.len() {
                self.step(n, Event::Tick);
            }
        }
    }

    fn begin(&mut self, prefix: &str, n: u64) -> Decision {
        let event = Event::Begin {
            token: Token(n),
            key: format!("{prefix}{n:036}").parse().expect("a valid key"),
            digest: Digest(7),
            deadline: self.now + Duration::from_secs(30),
            hops: 0,
            failed: None,
        };
        self.step(0, event);
        self.decision.take().expect("an answer")
    }

    fn finish(&mut self, n: u64) {
        let answer = Some(vec![7; ANSWER_LEN].into());
        self.step(
            0,
            Event::Finished {
                token: Token(n),
                answer,
            },
        );
    }

    fn prefix(&self) -> String {
        let prefix = self.ledgers[0].prefix();
        prefix.expect("a prefix").to_string()
    }
}

fn without_backup() {
    let mut cluster = Cluster::new(1);
    let prefix = cluster.prefix();
    let before = resident();
    let start = Instant::now();
    for n in 0..KEYS {
        assert_eq!(cluster.begin(&prefix, n), Decision::Start);
        cluster.finish(n);
    }
    print(
        "begin_and_finish_alone",
        ns_each(start.elapsed(), KEYS),
        "ns",
    );
    print("memory_a_key", (resident() - before) / KEYS as f64, "bytes");
    let start = Instant::now();
    for n in 0..KEYS {
        let replayed = cluster.begin(&prefix, n);
        assert!(matches!(replayed, Decision::Replay(_)));
    }
    print("replay", ns_each(start.elapsed(), KEYS), "ns");

    // A second entry joins and receives all records.
    cluster
        .ledgers
        .push(Ledger::new(cluster.now, config(), member(1)));
    (cluster.messages, cluster.bytes) = (0, 0);
    let start = Instant::now();
    for n in 0..2 {
        let members = vec![member(0), member(1)];
        cluster.step(n, Event::Members(members));
    }
    while cluster.ledgers[1].keys() < KEYS as usize {
        cluster.advance(Duration::from_millis(50));
    }
    print(
        "copy_of_100k_keys",
        start.elapsed().as_secs_f64() * 1e3,
        "ms",
    );
    print("copy_of_100k_keys_sent", cluster.bytes as f64 / 1e6, "MB");
}

fn with_backup() {
    let mut cluster = Cluster::new(2);
    let prefix = cluster.prefix();
    (cluster.messages, cluster.bytes) = (0, 0);
    let start = Instant::now();
    for n in 0..KEYS {
        assert_eq!(cluster.begin(&prefix, n), Decision::Start);
        cluster.finish(n);
    }
    print(
        "begin_and_finish_both_entries",
        ns_each(start.elapsed(), KEYS),
        "ns",
    );
    print(
        "messages_a_key",
        cluster.messages as f64 / KEYS as f64,
        "messages",
    );
    print("sent_a_key", cluster.bytes as f64 / KEYS as f64, "bytes");
}

fn idle() {
    let mut cluster = Cluster::new(2);
    (cluster.messages, cluster.bytes) = (0, 0);
    let start = Instant::now();
    cluster.advance(IDLE);
    let seconds = IDLE.as_secs_f64() * 2.0;
    let busy = start.elapsed().as_secs_f64() / seconds * 1e6;
    print(
        "idle_messages_an_entry",
        cluster.messages as f64 / seconds,
        "per_second",
    );
    print(
        "idle_sent_an_entry",
        cluster.bytes as f64 / seconds,
        "bytes_per_second",
    );
    print("idle_time_an_entry", busy, "us_per_second");
}

fn quarantine() {
    let cfg = quarantine::Config::builder().build();
    let mut tracker = Quarantine::new(cfg, name(0));
    let endpoint: NodeName = "endpoint-1".parse().expect("a valid name");
    let start = Instant::now();
    for n in 0..KEYS {
        let fingerprint = Fingerprint(u128::from(n % 100));
        assert_eq!(tracker.check(Duration::ZERO, fingerprint), Check::Run);
        let run = RunId(n);
        let endpoint = endpoint.clone();
        let started = quarantine::Event::Started {
            run,
            fingerprint,
            endpoint,
        };
        tracker.step(Duration::ZERO, started);
        let end = RunEnd::Answered;
        tracker.step(Duration::ZERO, quarantine::Event::Ended { run, end });
    }
    print("quarantine_a_request", ns_each(start.elapsed(), KEYS), "ns");
}
