//! Helpers shared by all modules.

use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use filberthead_testing::client::Call;
use filberthead_testing::cluster::{Builder, Cluster, Endpoint, Node, Programs};
use filberthead_testing::standin::Stage;
use filberthead_testing::wait_until;

/// Service time during warm-up, long enough that the requests of one burst overlap.
const WARM_UP_TIME: Duration = Duration::from_millis(50);
const WARM_UP_BOUND: Duration = Duration::from_secs(60);

/// The daemons as cargo built them for this test.
pub(crate) fn programs() -> Programs {
    Programs {
        control: PathBuf::from(env!("CARGO_BIN_EXE_filberthead-control")),
        entry: PathBuf::from(env!("CARGO_BIN_EXE_filberthead-entry")),
        cli: PathBuf::from(env!("CARGO_BIN_EXE_filberthead")),
    }
}

/// Starts a system whose control group has a single replica.
pub(crate) fn start_single_replica(builder: Builder) -> Cluster {
    let mut cluster = builder.replicas(1).prepare();
    cluster.controls.iter_mut().for_each(Node::start);
    let output = Command::new(&cluster.programs().cli)
        .args(["control", "init", "--timeout", "60"])
        .env(
            "FILBERTHEAD_CONTROL",
            cluster.operator_addrs()[0].to_string(),
        )
        .env("USER", "ana")
        .output()
        .expect("the command line starts");
    assert!(output.status.success(), "{output:?}");
    cluster.entries.iter_mut().for_each(Node::spawn);
    cluster.entries.iter_mut().for_each(Node::wait_ready);
    cluster
}

/// Runs the command line against the control replica.
fn run_cli(cluster: &Cluster, args: &[&str]) {
    let output = Command::new(&cluster.programs().cli)
        .args(args)
        .env(
            "FILBERTHEAD_CONTROL",
            cluster.operator_addrs()[0].to_string(),
        )
        .env("USER", "ana")
        .output()
        .expect("the command line starts");
    assert!(output.status.success(), "{output:?}");
}

/// Sets the first row of a service, with limits high enough for every test.
pub(crate) fn set_row(cluster: &Cluster, service: &str, region: &str) {
    let args = [
        "table",
        "set",
        service,
        region,
        "--weight",
        "1",
        "--limit",
        "1000",
        "--allow",
        "limit-above-slots",
        "--shift-cap",
        "1000",
        "--note",
        "a test's row",
    ];
    run_cli(cluster, &args);
}

/// Runs `call` with each number below `count`, all at the same time.
pub(crate) fn run_concurrently<T: Send>(count: usize, call: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let call = &call;
    std::thread::scope(|scope| {
        let running: Vec<_> = (0..count)
            .map(|number| scope.spawn(move || call(number)))
            .collect();
        let ended = running.into_iter().map(|thread| thread.join());
        ended.map(|result| result.expect("no panic")).collect()
    })
}

/// Waits until each endpoint gets requests from the entries of its failure domain. While
/// one endpoint has free slots, it may get all requests that are sent one after the
/// other, so its slots are filled.
pub(crate) fn warm_up(cluster: &Cluster, service: &str) {
    let set_service_time = |time| {
        for endpoint in &cluster.endpoints {
            endpoint.standin.script(|script| script.service_time = time);
        }
    };
    let has_run = |endpoint: &Endpoint| {
        let record = endpoint.standin.record();
        record.count(Stage::Executed, |seen| seen.path == "/warm-up") > 0
    };
    let call = Call::get(&format!("/v1/services/{service}/warm-up"));
    set_service_time(WARM_UP_TIME);
    for entry in &cluster.entries {
        let is_near = |end: &&Endpoint| end.place == *entry.place();
        wait_until("each endpoint runs requests", WARM_UP_BOUND, || {
            let addr = entry.addr("caller");
            run_concurrently(4 * cluster.endpoints.len(), |_| call.send(addr).is_ok());
            cluster.endpoints.iter().filter(is_near).all(has_run)
        });
    }
    set_service_time(Duration::ZERO);
}

/// Initialises a control group with the only control replica.
pub(crate) fn init(cluster: &Cluster) {
    let control = cluster.operator_addrs()[0];
    let output = Command::new(&cluster.programs().cli)
        .args(["control", "init", "--timeout", "60"])
        .env("FILBERTHEAD_CONTROL", control.to_string())
        .env("USER", "ana")
        .output()
        .expect("the command line starts");
    assert!(output.status.success(), "{output:?}");
}
