//! What an entry counts, at `/metrics` and in its reports to control.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use filberthead_observe::samples::{Counts, SampleReport};
use filberthead_peer::{Body, Deliver, Origin, Transport, cluster_id};
use filberthead_testing::client::Call;
use filberthead_testing::cluster::Cluster;
use filberthead_testing::wait_until;

use crate::support::programs;

const BOUND: Duration = Duration::from_secs(30);
/// An entry reports once a minute.
const REPORT_BOUND: Duration = Duration::from_secs(150);
const READS: u64 = 10;

fn prepared() -> Cluster {
    Cluster::builder(programs())
        .places(&[("zagreb", "zagreb-a")])
        .service("catalogue", 2)
        .prepare()
}

fn read(entry: SocketAddr) -> u16 {
    let answer = Call::get("/v1/services/catalogue/tricks").send(entry);
    answer.expect("an answer").result().expect("a result code")
}

/// Sends reads until [`READS`] were answered; an entry that has just started refuses
/// some.
fn reads(entry: SocketAddr) {
    let mut answered = 0;
    wait_until("reads are answered", BOUND, || {
        answered += u64::from(read(entry) == 1000);
        answered >= READS
    });
}

/// Value of the series whose line starts with `series`, 0 if there is none.
fn value(status: SocketAddr, series: &str) -> f64 {
    let text = Call::get("/metrics")
        .send(status)
        .expect("an answer")
        .text();
    let line = text.lines().find(|line| line.starts_with(series));
    let value = line.and_then(|line| line.rsplit_once(' '));
    value.map_or(0.0, |(_, value)| value.parse().expect("a number"))
}

#[test]
fn metrics_show_requests_look_ups_slots_and_drains() {
    let mut cluster = prepared();
    cluster.entries[0].start();
    let entry = cluster.entries[0].addr("caller");
    let status = cluster.entries[0].direct_addr("status");
    reads(entry);
    let looked_up = Call::get("/v1/lookup?service=catalogue").send(entry);
    assert_eq!(looked_up.expect("an answer").status, 200);

    let place = "service=\"catalogue\",region=\"zagreb\"";
    let answered = format!("filberthead_requests_total{{{place},code=\"1000\"");
    assert_eq!(value(status, &answered), READS as f64);
    let count = format!("filberthead_request_duration_seconds_count{{{place}}}");
    assert_eq!(value(status, &count), READS as f64);
    assert_eq!(
        value(status, "filberthead_lookups_total{code=\"4000\""),
        1.0
    );
    let slots = format!("filberthead_slots{{{place}}}");
    // No control replica runs, so the entry fills one slot of each endpoint.
    wait_until("all slots are counted", BOUND, || {
        value(status, &slots) == 2.0
    });

    cluster.endpoints[0]
        .standin
        .script(|script| script.leaving = true);
    let drains = format!("filberthead_drain_duration_seconds_count{{{place}}}");
    wait_until("the drain is counted", BOUND, || {
        value(status, &drains) == 1.0
    });
    assert_eq!(value(status, &slots), 1.0);
    // It is still leaving, and that counts as the same drain.
    reads(entry);
    assert_eq!(value(status, &drains), 1.0);
}

/// A control replica's stand-in that passes on the sample reports it receives.
struct SampleSink(Sender<SampleReport>);

impl Deliver for SampleSink {
    fn deliver(&mut self, _origin: Origin, body: Body) {
        if let Body::Samples(report) = body {
            // The test may have ended.
            let _ = self.0.send(report);
        }
    }
}

/// Sums the newest period of each report, until all reads are counted.
fn counts(reports: &Receiver<SampleReport>) -> Counts {
    let mut sum = Counts::default();
    while sum.answered() < READS {
        let report = reports
            .recv_timeout(REPORT_BOUND)
            .expect("a report each minute");
        // All periods but the newest are repeats.
        let newest = report.periods.last().expect("a period");
        for sample in &newest.samples {
            assert_eq!(sample.service.as_str(), "catalogue");
            assert_eq!(sample.region.as_str(), "zagreb");
            sum.add(&sample.counts);
        }
    }
    sum
}

#[test]
fn counts_go_to_each_control_replica() {
    let (tx, reports) = channel();
    let mut cluster = prepared();
    let listen = "127.0.0.1:0".parse().expect("an address");
    let name = cluster.name();
    let control = Transport::listen(listen, cluster_id(&name), SampleSink(tx));
    let control = control.expect("a transport");
    cluster.entries[0]
        .settings()
        .set("replica stand-in", "peer", control.addr());
    cluster.entries[0].start();
    reads(cluster.entries[0].addr("caller"));
    let counts = counts(&reports);
    assert_eq!(counts.answered(), READS);
    let headroom = counts.headroom().expect("slots were read");
    assert!(headroom > 0.0, "{headroom}");
    assert_eq!(counts.lost, 0);
}
