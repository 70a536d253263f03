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

/// Requests of others were told what keeps an endpoint from getting this one.
#[test]
fn what_endpoints_have_said_is_part_of_the_state() {
    let asks = |ts: &str, n: u32| {
        let more =
            format!(r#","request":"o","endpoint":"i-{n}","addr":"10.0.0.{n}:80","for_ms":"3000""#);
        line(ts, "gateway-1", "endpoint asks for rest", &more)
    };
    let leaves = |ts: &str, n: u32| {
        let more = format!(r#","request":"o","endpoint":"i-{n}","addr":"10.0.0.{n}:80""#);
        line(ts, "gateway-1", "endpoint is leaving", &more)
    };
    let over = line(
        "04.000",
        "gateway-1",
        "rest of an endpoint is over",
        r#","endpoint":"i-2""#,
    );
    let new_start = line(
        "05.000",
        "gateway-1",
        "an endpoint has started anew",
        r#","addr":"10.0.0.4:80""#,
    );
    let refused = line("06.000", "gateway-1", "refused", r#","request":"a1""#);
    let lines = [
        asks("01.000", 1),
        asks("01.500", 2),
        leaves("02.000", 3),
        leaves("03.000", 4),
        over,
        new_start,
        refused,
        asks("07.000", 5),
    ];
    let trace = RequestTrace::from_lines("a1", lines.iter().map(String::as_str));
    let states = trace.process_states.iter().map(Event::in_words);
    let states: Vec<String> = states.map(Option::unwrap_or_default).collect();
    assert_eq!(
        states,
        [
            "endpoint i-1 has rejected a request and wants nothing from this gateway for 3000 ms",
            "endpoint i-3 has said that it is leaving, and gets no request of this gateway until it \
             has started anew",
            "endpoint i-2 gets one request of this gateway at a time, until it has answered one",
        ]
    );
}

/// A log of days has many endpoints that rested once.
#[test]
fn the_state_has_the_last_words_of_a_few_endpoints() {
    let mut lines: Vec<String> = (10..40)
        .map(|n| {
            let more = format!(r#","endpoint":"i-{n}""#);
            let ts = format!("{n}.000");
            line(&ts, "gateway-1", "rest of an endpoint is over", &more)
        })
        .collect();
    lines.push(line("50.000", "gateway-1", "refused", r#","request":"a1""#));
    let trace = RequestTrace::from_lines("a1", lines.iter().map(String::as_str));
    let of = |event: &Event| event.fields[0].1.clone();
    let named: Vec<String> = trace.process_states.iter().map(of).collect();
    let last: Vec<String> = (24..40).map(|n| format!("i-{n}")).collect();
    assert_eq!(named, last);
}

#[test]
fn decisions_say_in_words_what_was_passed_over() {
    let words = |msg: &str, more: &str| {
        let event = Event::parse(&line("01.000", "gateway-1", msg, more));
        event.expect("a line").in_words()
    };
    let counts = r#","resting":2,"first_back_ms":"150","returning":1,"leaving":3"#;
    let passed_over = "endpoints passed over: 2 at rest (the first is back in 150 ms), 1 back from a \
                       rest, with its first request under way, 3 leaving";
    let served = format!(r#"{counts},"outcome":"Served(5ms)""#);
    assert_eq!(
        words("attempt ended", &served).as_deref(),
        Some(passed_over)
    );
    let slowed =
        r#","endpoint":"i-1","slowdown_percent":250,"replicated":true,"outcome":"Served(5ms)""#;
    assert_eq!(
        words("attempt ended", slowed).as_deref(),
        Some(
            "endpoint i-1 had reported that work takes 250 % of the usual time on its VM; the object \
             is at several endpoints"
        )
    );
    let usual =
        r#","endpoint":"i-1","slowdown_percent":null,"replicated":false,"outcome":"Failed""#;
    assert_eq!(words("attempt ended", usual), None);
    let refused = |code: &str| format!(r#"{counts},"code":"{code}","all_at_rest":true"#);
    assert_eq!(
        words("refused", &refused("1200 overloaded")),
        Some(format!(
            "no endpoint was left that may run it; {passed_over}"
        ))
    );
    assert_eq!(
        words("refused", &refused("1213 allotment-used")).as_deref(),
        Some(passed_over)
    );
    let none =
        r#","code":"1200 overloaded","resting":0,"first_back_ms":null,"returning":0,"leaving":0"#;
    assert_eq!(words("refused", none), None);
    let withdrawn = r#","endpoint":"i-1","outcome":"Withdrawn""#;
    assert!(
        words("attempt ended", withdrawn).is_some_and(|w| w.starts_with("not sent: endpoint i-1"))
    );
    assert_eq!(words("routes in force", counts), None);
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
