//! The stand-in records requests, answers them verifiably, and fails as its script says.

use std::path::Path;
use std::time::Duration;

use filberthead_testing::client::{Call, CallError};
use filberthead_testing::platform::{PlatformList, Vm, VmKind, VmState};
use filberthead_testing::process::Process;
use filberthead_testing::standin::{
    Fault, Payload, Rule, Stage, Standin, When, WhenFull, read_journal,
};
use filberthead_testing::wait_until;
use serde_json::Value;

const BOUND: Duration = Duration::from_secs(30);

#[test]
fn answers_match_their_requests() {
    let standin = Standin::start("a");
    let one = Call::post("/orders?n=1", "k1", "magic hat").send(standin.addr());
    let two = Call::post("/orders?n=2", "k2", "magic hat").send(standin.addr());
    let (one, two) = (one.expect("an answer"), two.expect("an answer"));
    assert!(Payload::of_answer("POST", "/orders?n=1", b"magic hat").matches(0, &one.body));
    assert!(Payload::of_answer("POST", "/orders?n=2", b"magic hat").matches(0, &two.body));
    assert_ne!(one.body, two.body);
    assert_eq!(standin.record().executions_of("k1"), 1);
}

#[test]
fn scripted_faults_apply_the_given_number_of_times() {
    let standin = Standin::start("a");
    standin.rule(Rule::once(When::Any, Fault::Shed));
    standin.rule(Rule::once(When::Any, Fault::Truncate(10)));
    standin.rule(Rule::once(When::Any, Fault::ResetAfter));
    standin.rule(Rule::once(When::Path("/x".to_owned()), Fault::Crossed));
    let get = |path| Call::get(path).send(standin.addr());
    assert_eq!(get("/a").expect("an answer").status, 503);
    let cut = get("/b").expect_err("a cut answer");
    assert!(
        matches!(&cut, CallError::Cut { got, .. } if got.len() == 10),
        "{cut}"
    );
    assert!(matches!(get("/c"), Err(CallError::NoAnswer(_))));
    let whole = get("/d").expect("an answer");
    assert!(Payload::of_answer("GET", "/d", b"").matches(0, &whole.body));
    let crossed = get("/x").expect("an answer");
    assert_eq!(crossed.body, whole.body);
    assert_eq!(standin.record().count(Stage::Executed, |_| true), 4);
}

/// A crossed answer must belong to another request. If the same request is sent again, the last
/// answer is its own: an entry would be right to forward it, and a test of crossed answers would
/// fail depending on how often it sent the request.
#[test]
fn a_crossed_answer_is_never_the_requests_own() {
    const ID: &str = "000000000000000000000000000000aa";
    let standin = Standin::start("a");
    standin.rule(Rule::always(When::Any, Fault::Crossed));
    let call = Call::get("/x").header("filberthead-request-id", ID);
    for _ in 0..3 {
        let answer = call.send(standin.addr()).expect("an answer");
        assert_ne!(answer.header("filberthead-request-id"), ID);
        assert!(!Payload::of_answer("GET", "/x", b"").matches(0, &answer.body));
    }
}

#[test]
fn restarts_after_a_crash_as_another_incarnation() {
    let standin = Standin::start("a");
    let health = || -> Value {
        let answer = Call::get("/health").send(standin.addr());
        answer.expect("an answer").json()
    };
    let before = health();
    standin.rule(Rule::once(When::Any, Fault::CrashAfter));
    assert!(Call::post("/o", "k", "").send(standin.addr()).is_err());
    assert!(standin.is_down());
    assert!(Call::get("/health").send(standin.addr()).is_err());
    standin.restart();
    assert_ne!(before["incarnation"], health()["incarnation"]);
    assert_eq!(standin.record().executions_of("k"), 1);
}

#[test]
fn health_follows_the_script() {
    let standin = Standin::start("a");
    let health = || -> Value {
        let answer = Call::get("/health").send(standin.addr());
        answer.expect("an answer").json()
    };
    assert_eq!(health()["load"], 0.0);
    standin.script(|script| script.frozen = true);
    standin.script(|script| (script.ready, script.load) = (false, Some(0.9)));
    assert_eq!(health()["ready"], true);
    standin.script(|script| script.frozen = false);
    assert_eq!(health()["ready"], false);
    assert_eq!(health()["load"], 0.9);
}

#[test]
fn slots_limit_concurrent_requests() {
    for (when_full, shed) in [(WhenFull::Shed, 1), (WhenFull::Wait, 0)] {
        let standin = Standin::start("a");
        standin.script(|script| {
            (script.slots, script.when_full) = (1, when_full);
            script.service_time = Duration::from_millis(200);
        });
        let addr = standin.addr();
        let first = std::thread::spawn(move || Call::get("/1").send(addr));
        wait_until("the slot is taken", BOUND, || standin.running() == 1);
        Call::get("/2").send(addr).expect("an answer");
        first.join().expect("no panic").expect("an answer");
        assert_eq!(standin.record().peak_running, 1);
        assert_eq!(standin.record().count(Stage::Shed, |_| true), shed);
    }
}

#[test]
fn downloads_resume_by_range_while_the_validator_matches() {
    let standin = Standin::start("a");
    let path = "/download/lesson?bytes=100000";
    let whole = Call::get(path).send(standin.addr()).expect("an answer");
    let payload = Payload::of_download("lesson", 1);
    assert!(payload.matches(0, &whole.body));
    let rest = Call::get(path)
        .header("range", "bytes=60000-")
        .header("if-range", whole.header("etag"));
    let part = rest.send(standin.addr()).expect("an answer");
    assert_eq!(part.status, 206);
    assert_eq!(part.header("content-range"), "bytes 60000-99999/100000");
    assert!(payload.matches(60_000, &part.body) && part.body.len() == 40_000);
    standin.script(|script| script.download_version = 2);
    let changed = rest.send(standin.addr()).expect("an answer");
    assert_eq!(
        (changed.status.as_u16(), changed.body.len()),
        (200, 100_000)
    );
}

#[test]
fn platform_list_lags() {
    let list = PlatformList::start();
    let vm = Vm {
        name: "e1".to_owned(),
        kind: VmKind::Endpoint,
        service: "orders".to_owned(),
        region: "zagreb".to_owned(),
        failure_domain: "zagreb-a".to_owned(),
        address: list.addr(),
        slots: 3,
        connections: 330,
        state: VmState::Live,
    };
    let shown = || -> Vec<Vm> {
        let answer = Call::get("/vms").send(list.addr());
        answer.expect("an answer").json()
    };
    list.set(vec![vm.clone()]);
    assert_eq!(shown(), [vm]);
    list.lag(BOUND);
    list.set(Vec::new());
    assert_eq!(shown().len(), 1);
}

/// A stand-in process crashes while it handles a request; its journal still has all requests that
/// it executed.
#[test]
fn journal_outlives_a_crashed_process() {
    let dir = tempfile::tempdir().expect("a folder");
    let journal = dir.path().join("journal");
    let mut process = Process::new(
        "standin",
        Path::new(env!("CARGO_BIN_EXE_filberthead-standin")),
        &[Path::new("--journal"), &journal],
        &dir.path().join("log"),
    );
    process.start();
    let addr = process.addr("endpoint");
    Call::post("/orders", "k1", "")
        .send(addr)
        .expect("an answer");
    let rules = r#"{"rules":[{"when":"Any","fault":"CrashAfter","times":null}]}"#;
    let script = Call::new("PUT", "/_standin/script").body(rules);
    assert_eq!(script.send(addr).expect("an answer").status, 204);
    assert!(Call::post("/orders", "k2", "").send(addr).is_err());
    assert!(!process.wait_exit().success());
    let record = read_journal(&journal);
    assert_eq!(record.executions_of("k1"), 1);
    assert_eq!(record.executions_of("k2"), 1);
    assert_eq!(record.count(Stage::Answered, |_| true), 1);
}
