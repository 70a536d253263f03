//! A request's trace holds the lines about it from all logs, in order, and no others.

use bolero::check;
use filberthead_observe::{Event, OrderFilter, OrderTrace, RequestTrace};

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

/// An operator reads why a request that endpoints could have run at once has taken long.
#[test]
fn a_wait_in_line_is_told_in_words() {
    let words = |before_start: u64, answer: u64| {
        let more = format!(r#","before_start_ms":{before_start},"answer_ms":{answer}"#);
        let event = Event::parse(&line(
            "01.000",
            "gateway-1",
            "request waited in line",
            &more,
        ));
        event.expect("a line").in_words().expect("words")
    };
    assert_eq!(
        words(600, 0),
        "sent ahead on its connection: started 600 ms after it had arrived, as a request before it \
         had to end first"
    );
    assert_eq!(
        words(0, 150),
        "sent ahead on its connection: its answer waited 150 ms for those of requests before it"
    );
}

/// An operator must see why a request waited, or was rejected although endpoints are there.
#[test]
fn lines_about_requests_that_wait_are_explained() {
    let site = r#","service":"orders","region":"north""#;
    let of = |region: &str, ts: &str, msg: &str| {
        let more = format!(r#","service":"orders","region":"{region}","in_flight":4"#);
        line(ts, "gateway-1", msg, &more)
    };
    let short = of("north", "01.000", "service is short of room");
    let again = of("north", "02.000", "service has room again");
    let other = of("south", "03.000", "service is short of room");
    let waits = format!(r#"{site},"request":"a1""#);
    let waits = line("04.000", "gateway-1", "request waits", &waits);
    let refused =
        r#","request":"a1","code":"1203","by":"waiting-room","waited_ms":70,"retry_after_ms":200"#;
    let refused = line("05.000", "gateway-1", "refused", refused);
    let lines = [&short, &again, &other, &waits, &refused];
    let trace = RequestTrace::from_lines("a1", lines.into_iter().map(String::as_str));
    let states: Vec<_> = trace.process_states.iter().map(|e| &*e.message).collect();
    assert_eq!(
        states,
        ["service has room again", "service is short of room"]
    );
    let words = |event: &Event| event.in_words().expect("words");
    assert!(words(&trace.process_states[1]).contains("orders in south: this gateway had 4"));
    assert!(words(&trace.events[0]).starts_with("waits at the gateway"));
    assert!(words(&trace.events[1]).contains("waited 70 ms; no endpoint has received it"));
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

/// A request that exceeds its workspace's share says so, beside the service that is short of capacity.
#[test]
fn a_refusal_by_share_is_explained() {
    let log = [
        r#"{"ts":"2026-01-01T00:00:00.000Z","process":"g","msg":"service is divided among workspaces","service":"orders"}"#,
        r#"{"ts":"2026-01-01T00:00:01.000Z","process":"g","msg":"service is divided among workspaces","service":"stock"}"#,
        r#"{"ts":"2026-01-01T00:00:02.000Z","process":"g","msg":"refused","request":"r-1","service":"orders","workspace":"alpha","code":"1215 share-used","retry_after_ms":"700"}"#,
        r#"{"ts":"2026-01-01T00:00:03.000Z","process":"g","msg":"service is no longer divided among workspaces","service":"orders"}"#,
    ];
    let trace = RequestTrace::from_lines("r-1", log);
    let words: Vec<_> = trace.events.iter().map(Event::in_words).collect();
    let expected = "workspace alpha asks for more than its share of service orders, which is short of \
        capacity; the caller may come back in 700 ms";
    assert_eq!(words, [Some(expected.to_owned())]);
    assert_eq!(trace.process_states.len(), 2, "{:?}", trace.process_states);
}

/// Replicas' clocks differ, and orders that were refused lie between the others. The sequence in
/// which orders took effect must not depend on that.
#[test]
fn orders_about_a_failure_domain_are_in_order_of_log_index() {
    let received = |ts, process, id, content| {
        let more = format!(r#","order":"{id}","content":"{content}","from":"10.0.0.1:99""#);
        line(ts, process, "order received", &more)
    };
    let applied = |ts, process, id, index| {
        let more = format!(r#","order":"{id}","index":"{index}","content":"return a-1""#);
        line(ts, process, "order applied", &more)
    };
    let lines = [
        received("01.000", "control-1", "b2", "evacuate a-1"),
        applied("09.000", "control-2", "a1", 7),
        applied("09.500", "control-1", "a1", 7),
        applied("08.000", "control-1", "b2", 8),
        received("02.000", "control-2", "c3", "return a-1"),
        received("02.100", "control-2", "f6", "return a-1"),
        line(
            "02.200",
            "control-2",
            "order committed",
            r#","order":"f6","index":9"#,
        ),
        line(
            "02.200",
            "control-1",
            "order applied",
            r#","index":9,"content":"return a-1""#,
        ),
        received("02.000", "control-2", "d4", "return a-11"),
        received("02.000", "control-2", "e5", "routes 7"),
    ];
    let lines: Vec<_> = lines.iter().map(String::as_str).collect();
    let traces = OrderTrace::from_lines(OrderFilter::FailureDomain("a-1"), lines.clone());
    let shape = |trace: &OrderTrace| (trace.id.clone(), trace.index, trace.events.len());
    let id = |id: &str| Some(id.to_owned());
    assert_eq!(
        traces.iter().map(shape).collect::<Vec<_>>(),
        [
            (id("a1"), Some(7), 1),
            (id("b2"), Some(8), 2),
            (id("f6"), Some(9), 3),
            (id("c3"), None, 1)
        ]
    );
    let one = OrderTrace::from_lines(OrderFilter::Id("d4"), lines);
    assert_eq!(one.len(), 1);
}
