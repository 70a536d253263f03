//! Measures how long planned stops and drains take.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use filberthead_testing::client::Call;
use filberthead_testing::cluster::{Cluster, Programs};
use filberthead_testing::standin::Stage;
use filberthead_testing::wait_until;

use crate::print;

const TIMEOUT: Duration = Duration::from_secs(60);
/// Longer than an endpoint's drain may take.
const WATCH_DURATION: Duration = Duration::from_secs(5);
const READERS: usize = 8;

fn start() -> Cluster {
    let mut cluster = Cluster::builder(Programs::beside_this_one())
        .places(&[("zagreb", "zagreb-a")])
        .service("catalogue", 2)
        .entry_setting("callers", "lookup_ttl", "1s")
        .prepare();
    cluster.entries[0].start();
    let entry = cluster.entries[0].addr("caller");
    wait_until("the entry sends to the endpoints", TIMEOUT, || {
        let answer = read("warm-up").send(entry);
        answer.is_ok_and(|answer| answer.status == 200)
    });
    cluster
}

fn read(path: &str) -> Call {
    Call::get(&format!("/v1/services/catalogue/{path}"))
}

/// Measures the time from SIGTERM to the exit of an entry, while callers cache look-ups for
/// 1 s and a download needs 5 s more.
pub(crate) fn entry() {
    let mut cluster = start();
    for endpoint in &cluster.endpoints {
        endpoint
            .standin
            .script(|script| script.pace = Some(200_000));
    }
    let entry = cluster.entries[0].addr("caller");
    let (drained, complete) = std::thread::scope(|scope| {
        let download = scope.spawn(|| read("download/lesson?bytes=1000000").send(entry));
        wait_until("the download has begun", TIMEOUT, || {
            let record = cluster.record();
            record.count(Stage::Executed, |event| event.path.contains("lesson")) > 0
        });
        let start_time = Instant::now();
        cluster.entries[0].stop();
        let drained = start_time.elapsed();
        (drained, download.join().is_ok_and(|answer| answer.is_ok()))
    });
    print("entry_drain", drained.as_secs_f64(), "s");
    print("entry_drain_cut", f64::from(u8::from(!complete)), "count");
}

/// Measures the time from when an endpoint reports that it is leaving to the last new
/// request that it receives under load.
pub(crate) fn endpoint() {
    let cluster = start();
    let entry = cluster.entries[0].addr("caller");
    let stop = AtomicBool::new(false);
    let leaving = &cluster.endpoints[0].standin;
    let last_new = std::thread::scope(|scope| {
        for _ in 0..READERS {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    // Refusals while all slots are filled are part of the load.
                    let _ = read("page").send(entry);
                }
            });
        }
        let received = || leaving.record().count(Stage::Received, |_| true);
        wait_until("the endpoint receives requests", TIMEOUT, || received() > 0);
        leaving.script(|script| script.leaving = true);
        let start_time = Instant::now();
        let (mut count, mut last_new) = (received(), Duration::ZERO);
        while start_time.elapsed() < WATCH_DURATION {
            let now = received();
            if now != count {
                (count, last_new) = (now, start_time.elapsed());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        stop.store(true, Ordering::Relaxed);
        last_new
    });
    print("endpoint_drain", last_new.as_secs_f64(), "s");
}
