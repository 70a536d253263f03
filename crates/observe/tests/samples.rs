//! Samples: an entry's counts, their collection, and their storage on a replica's disk.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use filberthead_observe::EntryMetrics;
use filberthead_observe::samples::{
    Collector, Counts, PeriodSamples, Record, Reporter, SampleReport, SampleStore, ServiceSample,
    SparseHistogram, read_history,
};
use filberthead_types::{Incarnation, NodeName, Region, ResultCode, ServiceName};

const MINUTE: u64 = 60;
/// A start of a minute.
const T0: u64 = 1_800_000_000;
const SPACE: u64 = 64 * 1024;

fn service() -> ServiceName {
    "intake".parse().expect("a valid name")
}

fn region() -> Region {
    "sul".parse().expect("a valid name")
}

fn node(name: &str) -> NodeName {
    name.parse().expect("a valid name")
}

fn sample(refused: u64) -> ServiceSample {
    let counts = Counts {
        latency_us: [(20_000, 7), (300_000, 2)].into_iter().collect(),
        refused,
        slots: 120,
        busy: 90,
        ..Counts::default()
    };
    ServiceSample {
        service: service(),
        region: region(),
        counts,
    }
}

fn record(start: u64, refused: u64) -> Record {
    Record {
        start,
        entries: 8,
        sample: sample(refused),
    }
}

fn report(periods: &[(u64, u64)]) -> SampleReport {
    let mut reporter = Reporter::default();
    let mut report = SampleReport::default();
    for (start, refused) in periods {
        report = reporter.report(PeriodSamples {
            start: *start,
            entries: 1,
            samples: vec![sample(*refused)],
        });
    }
    report
}

/// Closes the periods that are due and returns their records.
fn close(collector: &mut Collector, now: u64) -> Vec<Record> {
    let periods = collector.close(now);
    periods.into_iter().flat_map(Record::from_period).collect()
}

#[test]
fn entry_counts_requests_by_result() {
    let metrics = EntryMetrics::new();
    let requests = metrics.requests(&service(), &region());
    requests.record(ResultCode::Answered, Duration::from_millis(20));
    requests.record(ResultCode::Answered, Duration::from_millis(400));
    requests.record(ResultCode::Overloaded, Duration::from_millis(1));
    requests.record(ResultCode::EndpointLost, Duration::from_millis(900));
    // Caused by the request itself, so they don't count against the service.
    requests.record(ResultCode::BadRequest, Duration::ZERO);
    requests.record(ResultCode::Quarantined, Duration::ZERO);
    metrics.slots(&service(), &region()).set(12, 9);
    metrics.slots(&service(), &region()).set(12, 3);
    metrics.record_drain(&service(), &region(), Duration::from_secs(90));

    let samples = metrics.take_samples();
    assert_eq!(samples.len(), 1);
    let counts = &samples[0].counts;
    assert_eq!(counts.answered(), 2);
    assert_eq!(counts.latency_us.above(100_000), 1);
    assert_eq!((counts.refused, counts.lost), (1, 1));
    assert_eq!(counts.headroom(), Some(0.5));
    assert_eq!(counts.drain_ms.total(), 1);
    // The next period starts empty.
    assert_eq!(metrics.take_samples(), []);
}

#[test]
fn histogram_overestimates_times_and_only_slightly() {
    let metrics = EntryMetrics::new();
    let requests = metrics.requests(&service(), &region());
    for ms in 1..=1000 {
        requests.record(ResultCode::Answered, Duration::from_millis(ms));
    }
    let latency = &metrics.take_samples()[0].counts.latency_us;
    assert_eq!(latency.total(), 1000);
    let p99 = f64::from(latency.quantile(0.99).expect("answers")) / 1000.0;
    assert!((990.0..990.0 * 1.07).contains(&p99), "{p99}");
    let slow = latency.above(250_000);
    assert!((750..=770).contains(&slow), "{slow}");
    assert_eq!(latency.quantile(1.0), latency.max());
    assert_eq!(SparseHistogram::default().quantile(0.5), None);
}

#[test]
fn longest_times_are_kept_as_the_longest() {
    let metrics = EntryMetrics::new();
    let requests = metrics.requests(&service(), &region());
    requests.record(ResultCode::Answered, Duration::from_secs(1_000_000));
    let counts = &metrics.take_samples()[0].counts;
    assert_eq!(counts.latency_us.above(3_000_000_000), 1);
}

#[test]
fn replica_adds_up_what_entries_report() {
    let mut collector = Collector::for_control();
    let now = T0 + MINUTE;
    collector.add_report(now, &node("a"), Incarnation(1), report(&[(T0, 1)]));
    collector.add_report(now, &node("b"), Incarnation(1), report(&[(T0 + 5, 2)]));
    assert_eq!(close(&mut collector, now), [], "the period still waits");
    let records = close(&mut collector, now + 2 * MINUTE);
    assert_eq!(records.len(), 1);
    assert_eq!((records[0].start, records[0].entries), (T0, 2));
    assert_eq!(records[0].sample.counts.refused, 3);
    assert_eq!(records[0].sample.counts.answered(), 18);
}

#[test]
fn relay_sends_the_sum_of_its_entries_and_control_counts_them() {
    let mut relay = Collector::for_relay();
    for name in ["a", "b", "c"] {
        let report = report(&[(T0, 1)]);
        relay.add_report(T0 + MINUTE, &node(name), Incarnation(1), report);
    }
    let mut reporter = Reporter::default();
    let mut control = Collector::for_control();
    let mut periods = relay.close(T0 + MINUTE + 10);
    assert_eq!(periods.len(), 1);
    let report = reporter.report(periods.remove(0));
    control.add_report(T0 + MINUTE + 10, &node("a"), Incarnation(1), report);
    let records = close(&mut control, T0 + 5 * MINUTE);
    assert_eq!((records[0].start, records[0].entries), (T0, 3));
    assert_eq!(records[0].sample.counts.refused, 3);
}

/// A period is repeated in the next report in case the first one was lost. If control
/// counted the repeat again, the burn report would show twice the refusals.
#[test]
fn repeated_period_counts_once_and_a_lost_one_comes_with_the_next() {
    let mut collector = Collector::for_control();
    let a = node("a");
    let all = [(T0, 1), (T0 + MINUTE, 2), (T0 + 2 * MINUTE, 4)];
    collector.add_report(T0 + MINUTE, &a, Incarnation(1), report(&all[..1]));
    // The second report is lost; the third repeats its period.
    collector.add_report(T0 + 3 * MINUTE, &a, Incarnation(1), report(&all));
    collector.add_report(T0 + 3 * MINUTE, &a, Incarnation(1), report(&all));
    let records = close(&mut collector, T0 + 10 * MINUTE);
    let refused: Vec<_> = records.iter().map(|r| r.sample.counts.refused).collect();
    assert_eq!(refused, [1, 2, 4]);
}

#[test]
fn restarted_entry_may_report_the_same_period_again() {
    let mut collector = Collector::for_control();
    let a = node("a");
    collector.add_report(T0 + 30, &a, Incarnation(1), report(&[(T0, 1)]));
    collector.add_report(T0 + 60, &a, Incarnation(2), report(&[(T0, 2)]));
    let records = close(&mut collector, T0 + 10 * MINUTE);
    assert_eq!(records[0].sample.counts.refused, 3);
    assert_eq!(records[0].entries, 1);
}

#[test]
fn samples_of_a_wrong_clock_count_as_now() {
    let mut collector = Collector::for_control();
    let now = T0 + MINUTE;
    collector.add_report(now, &node("a"), Incarnation(1), report(&[(17, 1)]));
    collector.add_report(now, &node("b"), Incarnation(1), report(&[(u64::MAX, 1)]));
    let records = close(&mut collector, now + 10 * MINUTE);
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].start, now);
}

/// An entry reports a period while its clock is a day ahead, then the clock is corrected.
/// All later periods look older than that one, but must not be ignored for a day.
#[test]
fn corrected_clock_makes_no_gap() {
    let mut collector = Collector::for_control();
    let a = node("a");
    let tomorrow = T0 + 24 * 60 * MINUTE;
    collector.add_report(T0 + MINUTE, &a, Incarnation(1), report(&[(tomorrow, 1)]));
    let back = [(tomorrow, 1), (T0 + MINUTE, 2)];
    collector.add_report(T0 + 2 * MINUTE, &a, Incarnation(1), report(&back));
    let records = close(&mut collector, T0 + 10 * MINUTE);
    let refused: u64 = records.iter().map(|r| r.sample.counts.refused).sum();
    assert_eq!(refused, 3);
}

#[test]
fn records_are_read_after_a_restart() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut written = Vec::new();
    for n in 0..5 {
        let mut store = SampleStore::open(dir.path(), SPACE).expect("the store opens");
        let records = [record(T0 + n * MINUTE, n), record(T0 + n * MINUTE, 100 + n)];
        store.append(&records).expect("records are written");
        written.extend(records);
    }
    let history = read_history(dir.path(), 0).expect("files are read");
    assert_eq!(history.records, written);
    assert_eq!(history.damage, []);
    let late = read_history(dir.path(), T0 + 3 * MINUTE).expect("files are read");
    assert_eq!(late.records, written[6..]);
    let none = read_history(&dir.path().join("none"), 0).expect("no folder, no samples");
    assert_eq!(none.records, []);
}

#[test]
fn space_is_bounded_and_the_oldest_goes_first() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut store = SampleStore::open(dir.path(), SPACE).expect("the store opens");
    let total = 2500;
    for n in 0..total {
        store
            .append(&[record(T0 + n * MINUTE, n)])
            .expect("records are written");
    }
    let used: u64 = files(dir.path()).iter().map(|path| len(path)).sum();
    assert!(used <= SPACE + 1024, "{used}");
    assert!(used > SPACE / 2, "{used}");
    let history = read_history(dir.path(), 0).expect("files are read");
    let refused: Vec<_> = history
        .records
        .iter()
        .map(|r| r.sample.counts.refused)
        .collect();
    let first = total - refused.len() as u64;
    assert!(first > 0);
    assert!(refused.iter().copied().eq(first..total));
}

/// A power cut leaves a torn record. If the next start appended after it, every later record
/// would be unreadable.
#[test]
fn torn_tail_is_cut_at_the_next_start() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut store = SampleStore::open(dir.path(), SPACE).expect("the store opens");
    store
        .append(&[record(T0, 1), record(T0, 2)])
        .expect("records are written");
    drop(store);
    let path = files(dir.path()).remove(0);
    let whole = fs::read(&path).expect("the file is read");
    for torn in 1..whole.len() / 3 {
        fs::write(&path, &whole[..whole.len() - torn]).expect("the file is torn");
        let history = read_history(dir.path(), 0).expect("files are read");
        assert_eq!(history.records, [record(T0, 1)]);
        assert_eq!(history.damage[0].path, path);

        let mut store = SampleStore::open(dir.path(), SPACE).expect("the store opens");
        store.append(&[record(T0, 3)]).expect("records are written");
        let history = read_history(dir.path(), 0).expect("files are read");
        assert_eq!(history.records, [record(T0, 1), record(T0, 3)]);
        assert_eq!(history.damage, []);
    }
}

#[test]
fn damage_in_an_older_file_is_named_and_the_rest_is_read() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut store = SampleStore::open(dir.path(), SPACE).expect("the store opens");
    for n in 0..500 {
        store
            .append(&[record(T0 + n * MINUTE, n)])
            .expect("records are written");
    }
    let paths = files(dir.path());
    assert!(paths.len() > 2);
    let mut buf = fs::read(&paths[0]).expect("the file is read");
    let middle = buf.len() / 2;
    buf[middle] ^= 0x10;
    fs::write(&paths[0], &buf).expect("the file is damaged");
    let history = read_history(dir.path(), 0).expect("files are read");
    let [damage] = &history.damage[..] else {
        panic!("{:?}", history.damage);
    };
    assert_eq!(damage.path, paths[0]);
    assert!(damage.offset <= middle as u64 && damage.lost > 0);
    let last = history.records.last().expect("records");
    assert_eq!(last.sample.counts.refused, 499);
}

fn files(dir: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(dir).expect("a folder");
    let mut paths: Vec<_> = entries.map(|entry| entry.expect("a file").path()).collect();
    paths.sort();
    paths
}

fn len(path: &Path) -> u64 {
    fs::metadata(path).expect("a file").len()
}
