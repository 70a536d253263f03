//! Operators that keep changing and reading the table during failures.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use filberthead_operator::TableBody;
use filberthead_testing::operator::{Attempt, Operator, set_weight};
use filberthead_testing::record::ChangeOutcomes;
use filberthead_types::{Revision, Version};

const WRITERS: usize = 3;
/// Time between two requests of a thread.
const PAUSE: Duration = Duration::from_millis(20);

/// Threads that each change a row of their own, resending every change until its outcome
/// is known, and one that reads the table from all replicas in turn.
#[derive(Debug)]
pub(crate) struct Writers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Writers {
    pub(crate) fn start(addrs: Vec<SocketAddr>, outcomes: &ChangeOutcomes) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads: Vec<_> = (0..WRITERS)
            .map(|number| {
                let worker = Worker::new(&format!("writer-{number}"), &addrs, outcomes, &stop);
                std::thread::spawn(move || worker.write(number))
            })
            .collect();
        let reader = Worker::new("reader", &addrs, outcomes, &stop);
        threads.push(std::thread::spawn(move || reader.read()));
        Self { stop, threads }
    }

    /// Lets each thread finish its change, and fails if one of them saw a violation.
    #[track_caller]
    pub(crate) fn stop(mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            thread.join().expect("a writer or reader saw a violation");
        }
    }
}

impl Drop for Writers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

struct Worker {
    operator: Operator,
    addrs: Vec<SocketAddr>,
    outcomes: ChangeOutcomes,
    stop: Arc<AtomicBool>,
}

impl Worker {
    fn new(
        name: &str,
        addrs: &[SocketAddr],
        outcomes: &ChangeOutcomes,
        stop: &Arc<AtomicBool>,
    ) -> Self {
        Self {
            operator: Operator::new(name, addrs.to_vec()),
            addrs: addrs.to_vec(),
            outcomes: outcomes.clone(),
            stop: Arc::clone(stop),
        }
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    /// Changes the writer's row again and again. No other thread edits it, so every
    /// change must be accepted.
    fn write(&self, number: usize) {
        let service = format!("service-{number}");
        let mut revision = Revision(0);
        let mut weight = 0;
        while !self.stopped() {
            weight += 1;
            let change = set_weight(&service, "zagreb", revision, weight);
            let Some(version) = self.send(&change) else {
                return;
            };
            revision = Revision(version.0);
            std::thread::sleep(PAUSE);
        }
    }

    /// Sends a change until its outcome is known, also after `stop` was set.
    fn send(&self, change: &filberthead_operator::ChangeBody) -> Option<Version> {
        let mut tries = 0;
        loop {
            let addr = self.addrs[tries % self.addrs.len()];
            let attempt = self.operator.attempt(addr, change);
            self.outcomes.record(change.id, &attempt);
            match attempt {
                Attempt::Accepted(version) => return Some(version),
                Attempt::Refused(answer) => panic!("change {} refused: {answer:?}", change.id),
                // When the test has failed already, no replica answers.
                Attempt::NotRun | Attempt::Unknown if self.stopped() && tries > 200 => return None,
                Attempt::NotRun | Attempt::Unknown => tries += 1,
            }
            std::thread::sleep(PAUSE);
        }
    }

    /// Reads the table from all replicas in turn: none may show a version older than one
    /// accepted before the read, or than one shown before.
    fn read(&self) {
        let mut newest = Version(0);
        let mut attempts = 0;
        while !self.stopped() {
            let addr = self.addrs[attempts % self.addrs.len()];
            attempts += 1;
            let min_version = self.outcomes.newest_version().max(newest);
            if let Some(table) = self.operator.table_of(addr) {
                assert_current(&table, min_version);
                newest = table.version;
            }
            std::thread::sleep(PAUSE);
        }
    }
}

fn assert_current(table: &TableBody, min_version: Version) {
    let shown = table.version;
    assert!(
        shown >= min_version,
        "version {shown} shown after {min_version} was accepted"
    );
}
