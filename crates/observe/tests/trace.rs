//! A request's trace holds the lines about it from all logs, in order, and no others.

use bolero::check;
use filberthead_observe::{Event, RequestTrace};

fn line(ts: &str, process: &str, msg: &str, more: &str) -> String {
    format!(
        r#"{{"ts":"2026-10-14T09:21:{ts}Z","level":"info","process":"{process}","target":"t","msg":"{msg}"{more}}}"#
    )
}

/// A request is refused by one gateway and then lost at another. In one of the two logs
/// another program has put a timestamp before each line.
#[test]
fn lines_of_all_processes_are_in_order() {
    let routes = line("01.000", "gateway-2", "routes in force", r#","version":7"#);
    let newer = line("01.500", "gateway-2", "routes in force", r#","version":8"#);
    let lost = line("03.000", "gateway-2", "lost", r#","request":"a1","ran":1"#);
    let after = line("04.000", "gateway-2", "routes in force", r#","version":9"#);
    let code = r#","request":"a1","code":"1200""#;
    let refused = format!("  17.25 {}", line("02.000", "gateway-1", "refused", code));
    let other = line("02.500", "gateway-1", "refused", r#","request":"a12""#);
    let lines = [&routes, &newer, &lost, &after, &refused, &other];
    let trace = RequestTrace::from_lines("a1", lines.into_iter().map(String::as_str));
    let events: Vec<_> = trace.events.iter().map(ToString::to_string).collect();
    assert_eq!(
        events,
        [
            "2026-10-14T09:21:02.000Z gateway-1: refused code=1200",
            "2026-10-14T09:21:03.000Z gateway-2: lost ran=1",
        ]
    );
    let states: Vec<_> = trace
        .process_states
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        states,
        ["2026-10-14T09:21:01.500Z gateway-2: routes in force version=8"]
    );
}

/// Logs may contain lines of other programs, and lines cut off when a disk was full.
#[test]
fn arbitrary_log_content_does_not_panic() {
    check!().for_each(|bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes);
        let _ = Event::parse(&text);
        assert!(RequestTrace::from_lines("a1", text.lines()).events.len() <= text.lines().count());
    });
}
