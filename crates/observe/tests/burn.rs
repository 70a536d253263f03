//! The burn report matches the samples, and shows where samples are missing.

use std::time::Duration;

use filberthead_observe::burn::{Measure, MeasureKind, Report, Scope, build, html, text};
use filberthead_observe::samples::{Counts, Damage, History, Record, ServiceSample};
use filberthead_settings::ObjectiveSettings;

/// The time of the report: the end of a minute.
const NOW: u64 = 1_800_000_000;
const MINUTE: u64 = 60;

fn objective(service: &str) -> ObjectiveSettings {
    ObjectiveSettings {
        service: service.parse().expect("a valid name"),
        latency_threshold: Duration::from_millis(250),
        latency_target: 0.99,
        headroom_min: 0.2,
        headroom_target: 0.9,
        drain_deadline: Duration::from_secs(600),
        drain_target: 0.5,
        served_target: 0.999,
    }
}

/// A record of the minute that ended `minutes_ago` minutes before [`NOW`].
fn record(region: &str, minutes_ago: u64, counts: Counts) -> Record {
    Record {
        start: NOW - (minutes_ago + 1) * MINUTE,
        entries: 8,
        sample: ServiceSample {
            service: "orders".parse().expect("a valid name"),
            region: region.parse().expect("a valid name"),
            counts,
        },
    }
}

fn answers(fast: u32, slow: u32) -> Counts {
    Counts {
        latency_us: [(20_000, fast), (300_000, slow)].into_iter().collect(),
        ..Counts::default()
    }
}

fn slots(slots: u64, busy: u64) -> Counts {
    Counts {
        slots,
        busy,
        ..Counts::default()
    }
}

fn report(records: Vec<Record>) -> Report {
    let history = History {
        records,
        ..History::default()
    };
    build("kovceg", &[objective("orders")], &history, NOW)
}

fn scope<'a>(report: &'a Report, region: Option<&str>) -> &'a Scope {
    let matches = |scope: &&Scope| scope.region.as_ref().map(|r| r.as_str()) == region;
    report
        .scopes
        .iter()
        .find(matches)
        .expect("the scope is there")
}

fn measure(scope: &Scope, kind: MeasureKind) -> &Measure {
    let found = scope.measures.iter().find(|measure| measure.kind == kind);
    found.expect("each scope has each measure")
}

fn burns(measure: &Measure) -> Vec<Option<f64>> {
    let rounded = |burn: f64| (burn * 1e6).round() / 1e6;
    measure
        .windows
        .iter()
        .map(|window| window.burn.map(rounded))
        .collect()
}

#[test]
fn burn_is_the_bad_share_against_the_budget() {
    let report = report(vec![
        // 2% slow where 1% may be: burn 2.
        record("split", 0, answers(98, 2)),
        // Half an hour ago: none of 100, so the burn over the hour is half of that.
        record("split", 30, answers(100, 0)),
        // Two hours ago: 4 of 100.
        record("split", 120, answers(96, 4)),
        // A day ago: none of 300.
        record("split", 24 * 60, answers(300, 0)),
        // Beyond every window.
        record("split", 3 * 24 * 60 + 1, answers(0, 1000)),
    ]);
    let latency = measure(scope(&report, Some("split")), MeasureKind::Latency);
    assert_eq!(burns(latency), [Some(2.0), Some(1.0), Some(2.0), Some(1.0)]);
    assert!(latency.budget_left.is_some_and(|left| left.abs() < 1e-9));
    assert_eq!(latency.windows[2].events, 300);
    assert_eq!(latency.windows[2].bad, 6);
}

#[test]
fn window_ends_and_begins_with_whole_minutes() {
    let inside = record("split", 4, answers(0, 1));
    let outside = record("split", 5, answers(0, 1));
    let report = report(vec![inside, outside]);
    let latency = measure(scope(&report, None), MeasureKind::Latency);
    assert_eq!(latency.windows[0].events, 1);
    assert_eq!(latency.windows[1].events, 2);
}

#[test]
fn headroom_is_judged_by_the_minute_and_over_all_regions_together() {
    // Region split alone has too few free slots; together with zagreb there are enough.
    let report = report(vec![
        record("split", 0, slots(60, 57)),
        record("zagreb", 0, slots(60, 12)),
    ]);
    let split = measure(scope(&report, Some("split")), MeasureKind::Headroom);
    assert_eq!(burns(split)[0], Some(10.0));
    assert!(split.budget_left.is_some_and(|left| left < -8.9));
    let all = measure(scope(&report, None), MeasureKind::Headroom);
    assert_eq!(burns(all)[0], Some(0.0));
    assert_eq!(all.budget_left, Some(1.0));
}

#[test]
fn refusals_and_drains_are_judged_by_their_targets() {
    let counts = Counts {
        refused: 1,
        lost: 1,
        drain_ms: [(90_000, 1), (900_000, 3)].into_iter().collect(),
        ..answers(1998, 0)
    };
    let report = report(vec![record("split", 0, counts)]);
    let scope = scope(&report, Some("split"));
    assert_eq!(burns(measure(scope, MeasureKind::Refusals))[0], Some(1.0));
    let drains = measure(scope, MeasureKind::DrainTime);
    assert_eq!((drains.windows[0].events, drains.windows[0].bad), (4, 3));
    assert_eq!(burns(drains)[0], Some(1.5));
}

/// A region whose entries are cut off reports no samples. Its burn must be unknown, not 0,
/// or the report would show a region that is down as healthy.
#[test]
fn missing_samples_are_unknown_and_the_gap_is_shown() {
    let report = report(vec![record("split", 90, answers(100, 0))]);
    let latency = measure(scope(&report, None), MeasureKind::Latency);
    assert_eq!(burns(latency), [None, None, Some(0.0), Some(0.0)]);
    let headroom = measure(scope(&report, None), MeasureKind::Headroom);
    assert_eq!(headroom.budget_left, None);
    assert_eq!(report.source.minutes, [0, 0, 1, 1]);
    let text = text(&report);
    assert!(
        text.contains("0 of 5 in 5 m, 0 of 60 in 1 h, 1 of 360 in 6 h"),
        "{text}"
    );
}

#[test]
fn second_record_of_a_minute_is_added_to_the_first() {
    let report = report(vec![
        record("split", 0, slots(60, 0)),
        record("split", 0, slots(60, 60)),
    ]);
    let headroom = measure(scope(&report, None), MeasureKind::Headroom);
    assert_eq!(headroom.windows[0].events, 1);
    assert_eq!(headroom.windows[0].bad, 0);
}

#[test]
fn services_without_an_objective_and_damage_are_named() {
    let mut other = record("split", 0, answers(1, 0));
    other.sample.service = "lessons".parse().expect("a valid name");
    let history = History {
        records: vec![other],
        damage: vec![Damage {
            path: "data/samples-<7>.log".into(),
            offset: 12,
            lost: 30,
        }],
    };
    let report = build("kovceg", &[objective("orders")], &history, NOW);
    assert_eq!(
        report.scopes.len(),
        1,
        "an objective without samples shows as unknown"
    );
    let text = text(&report);
    assert!(text.contains("Without an objective: lessons."), "{text}");
    assert!(
        text.contains("data/samples-<7>.log: 30 bytes from byte 12 on"),
        "{text}"
    );
    let html = html(&report);
    assert!(html.contains("samples-&lt;7&gt;.log"));
}

#[test]
fn plots_have_a_step_for_each_width_of_time() {
    let short = report((0..10).map(|m| record("split", m, answers(9, 1))).collect());
    assert_eq!(short.step_seconds, MINUTE);
    assert_eq!(scope(&short, None).points.len(), 10);
    let records = (0..4300)
        .map(|m| record("split", m, answers(9, 1)))
        .collect();
    let long = report(records);
    assert_eq!(long.step_seconds, 32 * MINUTE);
    let points = &scope(&long, None).points;
    assert!((134..=136).contains(&points.len()), "{}", points.len());
    assert_eq!(points[0].latency_p99_ms, Some(300.0));
}

#[test]
fn json_round_trip_preserves_the_report() {
    let report = report(vec![record("split", 0, answers(98, 2))]);
    let json = serde_json::to_string(&report).expect("a report is JSON");
    let decoded: Report = serde_json::from_str(&json).expect("the same report");
    assert_eq!(decoded, report);
}

#[test]
fn page_is_self_contained() {
    let records = (0..60)
        .map(|m| record("split", m, answers(98, 2)))
        .collect();
    let page = html(&report(records));
    for outside in [
        "http://", "https://", "src=", "@import", "url(", "<script", "<link",
    ] {
        // The SVG namespace is a URL, but it isn't fetched.
        let page = page.replace("http://www.w3.org/2000/svg", "");
        assert!(!page.contains(outside), "{outside}");
    }
    assert_eq!(page.matches("<svg").count(), 4);
    assert_eq!(page.matches("</svg>").count(), 4);
    assert!(!page.contains("#010203"));
    assert!(page.contains("currentColor"));
    assert!(page.contains("prefers-color-scheme: dark"));
}

#[test]
fn empty_history_makes_a_report() {
    let report = build("kovceg", &[], &History::default(), NOW);
    assert!(text(&report).contains("No objective is set"));
    assert!(html(&report).ends_with("</html>\n"));
}
