//! The command line against a fake control replica, for faults that a real one can't be
//! made to show at will.

use std::net::SocketAddr;
use std::process::{Command, Output};

use filberthead_operator::RowReading;
use filberthead_types::Version;

use super::fake::{FakeControl, Fault, SharedTable, TestServer, serve};
use crate::support::programs;

fn start(control: &std::sync::Arc<FakeControl>) -> TestServer {
    let control = std::sync::Arc::clone(control);
    filberthead_testing::runtime::wait(async move { serve(&control).await })
}

fn set(addr: SocketAddr, weight: &str, more: &[&str]) -> Output {
    let values = ["--limit", "36", "--shift-cap", "12", "--note", "x"];
    Command::new(programs().cli)
        .args(["table", "set", "orders", "split", "--weight", weight])
        .args(values)
        .args(["--control", &addr.to_string()])
        .args(more)
        .env_clear()
        .output()
        .expect("the command line starts")
}

/// A replica applies a change and never answers. The command reports that the outcome is
/// unknown, with the change id. The same command with that id reports the change as done,
/// and it was applied once.
#[test]
fn an_unknown_outcome_shows_the_change_id_for_a_retry() {
    let table = SharedTable::default();
    let control = FakeControl::new(&table);
    control.fail([Fault::AppliedSilent]);
    control.fail([Fault::Silent; 1000]);
    let served = start(&control);
    let lost = set(served.addr, "20", &["--timeout", "12"]);
    assert_eq!(lost.status.code(), Some(3), "{lost:?}");
    let err = String::from_utf8_lossy(&lost.stderr).into_owned();
    let id = err.split("--change-id ").nth(1).expect("the id is shown");
    let id = id.split(':').next().expect("the id ends");

    let found = set(served.addr, "20", &["--timeout", "60", "--change-id", id]);
    assert_eq!(found.status.code(), Some(0), "{found:?}");
    let out = String::from_utf8_lossy(&found.stdout);
    assert!(out.contains("on record already"), "{out}");
    assert_eq!(table.lock().expect("not poisoned").version(), Version(1));
}

/// An operator lowers a limit below the requests in progress. The command shows the
/// figures and the flag that allows it.
#[test]
fn a_limit_below_the_requests_in_progress_needs_an_explicit_waiver() {
    let table = SharedTable::default();
    let control = FakeControl::new(&table);
    control
        .readings
        .lock()
        .expect("not poisoned")
        .push(RowReading {
            service: "orders".parse().expect("a name"),
            region: "split".parse().expect("a name"),
            running: Some(37),
            shifted: None,
            slots: Some(36),
            age_ms: 0,
        });
    let served = start(&control);
    let refused = set(served.addr, "20", &["--timeout", "60"]);
    assert_eq!(refused.status.code(), Some(1), "{refused:?}");
    let err = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(err.contains("below the 37 in progress"), "{err}");
    assert!(err.contains("--allow cap-below-running"), "{err}");
    let allowed = ["--timeout", "60", "--allow", "cap-below-running"];
    let done = set(served.addr, "20", &allowed);
    assert_eq!(done.status.code(), Some(0), "{done:?}");
}
