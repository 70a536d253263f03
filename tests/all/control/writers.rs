//! Operators at work while things fail.

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
const PAUSE: Duration = Duration::from_millis(20);

/// Threads that change a row each, resending every change until its outcome is known,
/// and one that reads the table wherever it is shown.
#[derive(Debug)]
pub(crate) struct Writers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Writers {
    pub(crate) fn start(addrs: Vec<SocketAddr>, told: &ChangeOutcomes) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads: Vec<_> = (0..WRITERS)
            .map(|number| {
                let worker = Worker::new(&format!("writer-{number}"), &addrs, told, &stop);
                std::thread::spawn(move || worker.write(number))
            })
            .collect();
        let reader = Worker::new("reader", &addrs, told, &stop);
        threads.push(std::thread::spawn(move || reader.read()));
        Self { stop, threads }
    }

    /// Lets each finish its change, and fails if one of them saw a violation.
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
    told: ChangeOutcomes,
    stop: Arc<AtomicBool>,
}

impl Worker {
    fn new(
        name: &str,
        addrs: &[SocketAddr],
        told: &ChangeOutcomes,
        stop: &Arc<AtomicBool>,
    ) -> Self {
        Self {
            operator: Operator::new(name, addrs.to_vec()),
            addrs: addrs.to_vec(),
            told: told.clone(),
            stop: Arc::clone(stop),
        }
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    /// Nobody else edits the writer's row, so every change of it must be accepted.
    fn write(&self, number: usize) {
        let service = format!("service-{number}");
        let mut seen = Revision(0);
        let mut weight = 0;
        while !self.stopped() {
            weight += 1;
            let change = set_weight(&service, "zagreb", seen, weight);
            let Some(version) = self.send(&change) else {
                return;
            };
            seen = Revision(version.0);
            std::thread::sleep(PAUSE);
        }
    }

    /// Sends a change until its outcome is known, also when told to stop meanwhile.
    fn send(&self, change: &filberthead_operator::ChangeBody) -> Option<Version> {
        let mut tries = 0;
        loop {
            let addr = self.addrs[tries % self.addrs.len()];
            let attempt = self.operator.attempt(addr, change);
            self.told.record(change.id, &attempt);
            match attempt {
                Attempt::Accepted(version) => return Some(version),
                Attempt::Refused(answer) => panic!("change {} refused: {answer:?}", change.id),
                // At the end of a test that has failed already nobody answers.
                Attempt::NotRun | Attempt::Unknown if self.stopped() && tries > 200 => return None,
                Attempt::NotRun | Attempt::Unknown => tries += 1,
            }
            std::thread::sleep(PAUSE);
        }
    }

    /// Whatever replica shows the table: it shows no less than what anybody was told
    /// before it was asked, and never goes back.
    fn read(&self) {
        let mut newest = Version(0);
        let mut turn = 0;
        while !self.stopped() {
            let addr = self.addrs[turn % self.addrs.len()];
            turn += 1;
            let floor = self.told.newest_version().max(newest);
            if let Some(table) = self.operator.table_of(addr) {
                assert_current(&table, floor);
                newest = table.version;
            }
            std::thread::sleep(PAUSE);
        }
    }
}

fn assert_current(table: &TableBody, floor: Version) {
    let shown = table.version;
    assert!(
        shown >= floor,
        "version {shown} shown after {floor} was accepted"
    );
}
