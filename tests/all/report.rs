//! The burn report, from an entry's message to the operator's page.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use filberthead_observe::burn::Report;
use filberthead_observe::samples::{Counts, PeriodSamples, SampleReport, ServiceSample};
use filberthead_peer::{Body, Deliver, Origin, Transport, cluster_id};
use filberthead_testing::client::Call;
use filberthead_testing::process::Process;
use filberthead_testing::wait_until;
use filberthead_types::Incarnation;

use crate::support::programs;

const BOUND: Duration = Duration::from_secs(30);
const SETTINGS: &str = "\
[node]
role = control
cluster = test
name = control-1
region = split
failure_domain = split-a
[peers]
listen = 127.0.0.1:0
[operators]
listen = 127.0.0.1:0
[objective orders]
latency_threshold = 100ms
latency_target = 90%
[storage]
";

struct Control {
    dir: tempfile::TempDir,
    process: Process,
}

impl Control {
    fn start() -> Self {
        let dir = tempfile::tempdir().expect("a folder");
        let settings = dir.path().join("control.ini");
        let data = dir.path().join("data");
        let text = format!("{SETTINGS}data = {}\n", data.display());
        std::fs::write(&settings, text).expect("settings are written");
        let program = programs().control;
        let log = dir.path().join("log");
        let mut process = Process::new("control-1", &program, &[&settings], &log);
        process.start();
        Self { dir, process }
    }

    fn settings(&self) -> PathBuf {
        self.dir.path().join("control.ini")
    }

    /// Number of messages that it has accepted.
    fn received(&self) -> u64 {
        let answer = Call::get("/metrics").send(self.process.addr("operator"));
        let text = answer.expect("metrics are served").text();
        let name = "filberthead_peer_received_messages_total ";
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|number| number.parse().ok()).unwrap_or(0)
    }
}

/// Drops every message that it receives.
struct DiscardMessages;

impl Deliver for DiscardMessages {
    fn deliver(&mut self, _origin: Origin, _body: Body) {}
}

fn cli(args: &[&str]) -> Output {
    let output = Command::new(programs().cli).args(args).output();
    output.expect("the command line runs")
}

fn report_of(output: &Output) -> Report {
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).expect("a report as JSON")
}

fn sample() -> SampleReport {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let counts = Counts {
        latency_us: [(20_000, 80), (500_000, 20)].into_iter().collect(),
        slots: 30,
        busy: 3,
        ..Counts::default()
    };
    let sample = ServiceSample {
        service: "orders".parse().expect("a valid name"),
        region: "split".parse().expect("a valid name"),
        counts,
    };
    let period = PeriodSamples {
        start: now.expect("a clock after 1970").as_secs(),
        entries: 1,
        samples: vec![sample],
    };
    SampleReport {
        periods: vec![period],
    }
}

/// Sends a sample report until control has received it.
fn send(to: &Control, report: &SampleReport) {
    let cluster = cluster_id("test");
    let listen = "127.0.0.1:0".parse().expect("an address");
    let transport = Transport::listen(listen, cluster, DiscardMessages).expect("a transport");
    let origin = Origin {
        name: "split-a-1".parse().expect("a valid name"),
        incarnation: Incarnation(1),
        addr: transport.addr(),
        replica: None,
    };
    let mut outbox = transport.outbox(cluster, origin);
    let addr = to.process.addr("peer");
    wait_until("control has received the samples", BOUND, || {
        // Repeats count once, so sending until one has arrived changes nothing.
        outbox.send(addr, Body::Samples(report.clone()));
        to.received() > 0
    });
}

#[test]
fn reported_samples_survive_a_restart_and_show_in_every_format() {
    let mut control = Control::start();
    send(&control, &sample());
    control.process.terminate();
    assert!(control.process.wait_exit().success());

    let settings = control.settings();
    let settings = settings.to_str().expect("a path in UTF-8");
    let report = report_of(&cli(&["report", settings, "--json"]));
    assert_eq!(report.cluster, "test");
    let scope = report.scopes.iter().find(|scope| scope.region.is_some());
    let latency = &scope.expect("a region").measures[0];
    assert_eq!(
        (latency.windows[3].events, latency.windows[3].bad),
        (100, 20)
    );
    assert_eq!(latency.windows[3].burn, Some(2.0));

    control.process.start();
    let operators = control.process.addr("operator").to_string();
    let live = report_of(&cli(&["report", "--control", &operators, "--json"]));
    assert_eq!(live.scopes, report.scopes);
    let text = cli(&["report", "--control", &operators]);
    let text = String::from_utf8(text.stdout).expect("text");
    assert!(text.contains("latency     90% within 100ms"), "{text}");
    let page = control.dir.path().join("burn.html");
    write_page(&operators, &page);
    let page = std::fs::read_to_string(&page).expect("the page is there");
    assert!(page.contains("<svg"), "{page}");
}

fn write_page(operators: &str, page: &Path) {
    let page = page.to_str().expect("a path in UTF-8");
    let output = cli(&["report", "--control", operators, "--html", "--out", page]);
    assert!(output.status.success(), "{output:?}");
}

#[test]
fn unusable_arguments_and_an_unreachable_replica_have_exit_codes() {
    for args in [
        &["report", "no-such.ini"][..],
        &["report", "--html", "--json", "no-such.ini"],
        &["report", "--control", "localhost:1"],
        &["report", "a.ini", "b.ini"],
    ] {
        let output = cli(args);
        assert_eq!(output.status.code(), Some(2), "{output:?}");
    }
    let closed = filberthead_testing::ClosedPort::bind();
    let unreachable = closed.addr().to_string();
    let output = cli(&["report", "--control", &unreachable, "--timeout", "1"]);
    assert_eq!(output.status.code(), Some(4), "{output:?}");
}
