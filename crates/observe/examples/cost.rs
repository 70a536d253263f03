//! Measures the cost of observation: bytes of a sample report, bytes stored per day, time to
//! count a request, and time to build a burn report of three days.

use std::time::{Duration, Instant};

use filberthead_observe::EntryMetrics;
use filberthead_observe::burn::ReportBuilder;
use filberthead_observe::samples::{
    PeriodSamples, Record, Reporter, SampleReport, SampleStore, ServiceSample, visit_history,
};
use filberthead_settings::ObjectiveSettings;
use filberthead_types::{Region, ResultCode, ServiceName};

const SERVICES: u64 = 3;
/// Requests per minute of a service at one entry.
const REQUESTS: u64 = 6000;
const MINUTES_A_DAY: u64 = 24 * 60;
const DAYS: u64 = 3;
/// Time of the burn report: the start of a minute.
const NOW: u64 = 1_800_000_000;
const CALLS: u32 = 1_000_000;

fn main() {
    let metrics = EntryMetrics::new();
    let samples = minute(&metrics);
    report_bytes(&samples);
    count_time(&metrics);
    for regions in [3, 9] {
        history(&samples, regions);
    }
}

fn service(n: u64) -> ServiceName {
    format!("service-{n}").parse().expect("a valid name")
}

fn region(n: u64) -> Region {
    format!("region-{n}").parse().expect("a valid name")
}

/// Samples of a busy minute: latencies spread evenly over three decades from 2 ms, one
/// refusal and one drain. The same in every run.
fn minute(metrics: &EntryMetrics) -> Vec<ServiceSample> {
    for n in 0..SERVICES {
        let requests = metrics.requests(&service(n), &region(0));
        for i in 0..REQUESTS {
            let factor = 1000.0_f64.powf(i as f64 / REQUESTS as f64);
            let took = Duration::from_millis(2).mul_f64(factor);
            requests.record(ResultCode::Answered, took);
        }
        requests.record(ResultCode::Overloaded, Duration::ZERO);
        metrics.slots(&service(n), &region(0)).set(12, 7);
        metrics.record_drain(&service(n), &region(0), Duration::from_secs(40));
    }
    metrics.take_samples()
}

fn report_bytes(samples: &[ServiceSample]) {
    let period = |start| PeriodSamples {
        start,
        entries: 1,
        samples: samples.to_vec(),
    };
    let mut reporter = Reporter::default();
    println!("observe_services: {SERVICES} services");
    // The report of an entry to its relay, then that of a relay, with the repeated period.
    let first = reporter.report(period(NOW));
    println!("observe_entry_report_a_minute: {} B", encoded_len(&first));
    let report = reporter.report(period(NOW + 60));
    println!("observe_relay_report_a_minute: {} B", encoded_len(&report));
}

fn encoded_len(report: &SampleReport) -> usize {
    let buf = postcard::to_stdvec(report);
    buf.expect("a report can be encoded").len()
}

fn count_time(metrics: &EntryMetrics) {
    let requests = metrics.requests(&service(0), &region(0));
    let begun = Instant::now();
    for _ in 0..CALLS {
        requests.record(ResultCode::Answered, Duration::from_millis(20));
    }
    let ns = begun.elapsed().as_nanos() / u128::from(CALLS);
    println!("observe_count_request: {ns} ns");
    let begun = Instant::now();
    for _ in 0..CALLS {
        metrics.record_lookup(ResultCode::LookedUp, Duration::from_micros(20));
    }
    let ns = begun.elapsed().as_nanos() / u128::from(CALLS);
    println!("observe_count_lookup: {ns} ns");
}

/// Stores three days of such minutes in each region, then builds a burn report.
fn history(samples: &[ServiceSample], regions: u64) {
    let dir = tempfile::tempdir().expect("a folder");
    let space = 4 * 1024 * 1024 * 1024;
    let mut store = SampleStore::open(dir.path(), space).expect("the store opens");
    let records = |start| {
        let of_region = move |n| {
            samples.iter().map(move |sample| Record {
                start,
                entries: 11,
                sample: ServiceSample {
                    region: region(n),
                    ..sample.clone()
                },
            })
        };
        (0..regions).flat_map(of_region)
    };
    // Written in large chunks, because the cost of syncs isn't measured here.
    for day in 0..DAYS {
        let minutes = (day * MINUTES_A_DAY..(day + 1) * MINUTES_A_DAY).map(|m| NOW - (m + 1) * 60);
        let day: Vec<_> = minutes.flat_map(records).collect();
        for some in day.chunks(1000) {
            store.append(some).expect("records are written");
        }
    }
    println!(
        "observe_kept_a_day_{regions}_regions: {} KiB",
        used(dir.path()) / DAYS / 1024
    );
    let begun = Instant::now();
    let mut builder = ReportBuilder::new("cost", &objectives(), NOW);
    let since = builder.since();
    let damage = visit_history(dir.path(), since, |record| builder.add(&record));
    let report = builder.finish(&damage.expect("files are read"));
    let ms = begun.elapsed().as_millis();
    println!("observe_make_report_{regions}_regions: {ms} ms");
    assert_eq!(report.source.minutes.last(), Some(&(DAYS * MINUTES_A_DAY)));
}

fn used(dir: &std::path::Path) -> u64 {
    let files = std::fs::read_dir(dir).expect("a folder");
    let len = |file: std::io::Result<std::fs::DirEntry>| {
        let meta = file.and_then(|file| file.metadata());
        meta.expect("a file").len()
    };
    files.map(len).sum()
}

fn objectives() -> Vec<ObjectiveSettings> {
    let objective = |n| ObjectiveSettings {
        service: service(n),
        latency_threshold: Duration::from_millis(250),
        latency_target: 0.99,
        headroom_min: 0.2,
        headroom_target: 0.99,
        drain_deadline: Duration::from_secs(600),
        drain_target: 0.95,
        served_target: 0.999,
    };
    (0..SERVICES).map(objective).collect()
}
