//! Valid files load with the right values; for invalid ones every problem is reported with
//! its line.

use std::path::Path;
use std::time::Duration;

use filberthead_settings::check_text;
use filberthead_settings::{ControlSettings, EntrySettings, LogFormat, Problem, SettingsError};

const ENTRY: &str = "\
; an entry
[node]
role = entry
cluster = kovceg
name = zagreb-a-1
region = zagreb
failure_domain = zagreb-a

[callers]
listen = 127.0.0.1:7100
lookup_ttl = 2s
[peers]
listen = 127.0.0.1:7101
seeds = 127.0.0.1:7201, 127.0.0.1:7301
[status]
listen = 127.0.0.1:0
[replica control-1]
peer = 127.0.0.1:7401
[endpoint catalogue-1]
service = catalogue
address = 127.0.0.1:8001
";

const CONTROL: &str = "\
[node]
role = control
cluster = kovceg
name = control-1
region = zagreb
failure_domain = zagreb-a
[peers]
listen = 127.0.0.1:7401
[operators]
listen = 127.0.0.1:7402
[storage]
data = data/control-1
[replica control-2]
peer = 127.0.0.1:7501
[replica control-3]
peer = 127.0.0.1:7601
[consensus]
lease = 600ms
[objective catalogue]
latency_threshold = 120ms
latency_target = 99.5%
[samples]
size = 128KiB
[log]
level = debug
format = json
";

fn problems(text: &str) -> Vec<Problem> {
    check_text(Path::new("test.ini"), text)
}

/// Replaces `from` by `to` in a valid file and returns the only problem that results.
fn only_problem(good: &str, from: &str, to: &str) -> Problem {
    assert!(good.contains(from), "`{from}` isn't in the file");
    let mut problems = problems(&good.replacen(from, to, 1));
    assert_eq!(problems.len(), 1, "{problems:#?}");
    problems.remove(0)
}

fn line_of(text: &str, part: &str) -> u32 {
    let before = text.split(part).next().expect("the part is there");
    u32::try_from(before.lines().count()).expect("a short file") + 1
}

fn saved(text: &str) -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().expect("a temporary file");
    std::fs::write(file.path(), text).expect("the file is written");
    file
}

#[test]
fn entry_loads_values_and_defaults() {
    let file = saved(ENTRY);
    let settings = EntrySettings::load(file.path()).expect("the file is good");
    assert_eq!(settings.cluster, "kovceg");
    assert_eq!(settings.node.as_str(), "zagreb-a-1");
    assert_eq!(settings.lookup_ttl, Duration::from_secs(2));
    assert_eq!(settings.request_timeout, Duration::from_secs(10));
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.replicas[0].name.as_str(), "control-1");
    assert_eq!(settings.endpoints[0].slots, 3);
    assert_eq!(settings.endpoints[0].connections, 330);
    assert_eq!(settings.data, None);
    assert_eq!(settings.log.format, LogFormat::Plain);
}

#[test]
fn control_loads_values_and_defaults() {
    let file = saved(CONTROL);
    let settings = ControlSettings::load(file.path()).expect("the file is good");
    assert_eq!(settings.lease, Duration::from_millis(600));
    assert_eq!(settings.election_timeout, Duration::from_millis(800));
    assert_eq!(settings.replicas.len(), 2);
    assert_eq!(settings.data, Path::new("data/control-1"));
    assert_eq!(settings.samples.max_bytes, 128 * 1024);
    assert!((settings.objectives[0].latency_target - 0.995).abs() < 1e-9);
    assert_eq!(settings.log.level, log::LevelFilter::Debug);
    assert_eq!(settings.log.format, LogFormat::Json);
}

#[test]
fn file_of_the_other_program_is_refused() {
    let file = saved(CONTROL);
    let err = EntrySettings::load(file.path()).expect_err("the file is for control");
    let SettingsError::Invalid { problems } = err else {
        panic!("{err}");
    };
    assert_eq!(problems[0].line, 2);
    assert_eq!(problems[0].found, "`control`");
}

#[test]
fn missing_file_is_named() {
    let err = EntrySettings::load(Path::new("no/such.ini")).expect_err("no file");
    assert!(err.to_string().contains("no/such.ini"), "{err}");
    assert_eq!(
        filberthead_settings::check(Path::new("no/such.ini")).len(),
        1
    );
}

#[test]
fn all_problems_are_found_at_once_in_the_order_of_lines() {
    let text = ENTRY
        .replace("name = zagreb-a-1", "nmae = zagreb-a-1")
        .replace("lookup_ttl = 2s", "lookup_ttl = 2")
        .replace("listen = 127.0.0.1:7101", "listen = vm1.example:7101")
        .replace("[status]", "[statsu]");
    let problems = problems(&text);
    let lines: Vec<_> = problems.iter().map(|p| (p.line, p.key.as_str())).collect();
    // `[status] listen` is missing, so its problem has no line.
    let expected = [
        (0, "listen"),
        (2, "name"),
        (5, "nmae"),
        (11, "lookup_ttl"),
        (13, "listen"),
    ];
    assert_eq!(lines[..5], expected);
    assert_eq!(problems[5].section, "statsu");
    assert_eq!(problems[5].close.as_deref(), Some("status"));
    assert_eq!(problems.len(), 6, "{problems:#?}");
}

#[test]
fn unknown_key_shows_a_close_one() {
    let problem = only_problem(ENTRY, "lookup_ttl", "lookup_tll");
    assert_eq!(problem.line, line_of(ENTRY, "lookup_ttl"));
    assert_eq!(problem.close.as_deref(), Some("lookup_ttl"));
    let text = problem.to_string();
    assert!(
        text.starts_with("test.ini:11: [callers] lookup_tll: found an unknown key"),
        "{text}"
    );
}

#[test]
fn misplaced_key_is_reported_with_its_section() {
    let problem = only_problem(ENTRY, "lookup_ttl = 2s", "stop_deadline = 2m");
    assert!(problem.allowed.contains("belongs to [limits]"), "{problem}");
}

#[test]
fn host_names_are_refused_with_the_reason() {
    for (from, to) in [
        ("listen = 127.0.0.1:7100", "listen = localhost:7100"),
        ("peer = 127.0.0.1:7401", "peer = control-1:7401"),
        ("seeds = 127.0.0.1:7201,", "seeds = entry.example:7201,"),
    ] {
        let problem = only_problem(ENTRY, from, to);
        assert!(
            problem.allowed.contains("host names are not looked up"),
            "{problem}"
        );
    }
}

#[test]
fn values_outside_their_bounds_are_refused() {
    for (from, to) in [
        ("lookup_ttl = 2s", "lookup_ttl = 500ms"),
        ("lookup_ttl = 2s", "lookup_ttl = 6m"),
        ("lookup_ttl = 2s", "lookup_ttl = 99999999999999999999s"),
        ("lookup_ttl = 2s", "lookup_ttl = 18446744073709551615d"),
        ("lookup_ttl = 2s", "lookup_ttl ="),
        ("lookup_ttl = 2s", "lookup_ttl = 2 ; seconds"),
        (
            "address = 127.0.0.1:8001",
            "address = 127.0.0.1:8001\nslots = 0",
        ),
        ("address = 127.0.0.1:8001", "address = 0.0.0.0:8001"),
        ("address = 127.0.0.1:8001", "address = 127.0.0.1:0"),
        ("region = zagreb", "region = Zagreb"),
        ("[endpoint catalogue-1]", "[endpoint Catalogue 1]"),
    ] {
        let problem = only_problem(ENTRY, from, to);
        assert!(!problem.allowed.is_empty(), "{problem}");
    }
}

#[test]
fn second_key_and_second_section_are_refused() {
    let problem = only_problem(ENTRY, "lookup_ttl = 2s", "lookup_ttl = 2s\nlookup_ttl = 3s");
    assert_eq!(problem.line, 12);
    assert!(problem.allowed.contains("line 11"), "{problem}");
    let problem = only_problem(ENTRY, "[status]", "[peers]\n[status]");
    assert!(problem.found.contains("a second time"), "{problem}");
}

#[test]
fn malformed_lines_are_refused() {
    for junk in ["junk", "# comment", "[node", "= 5", "[node] ; comment"] {
        let problem = only_problem(ENTRY, "[peers]", &format!("{junk}\n[peers]"));
        assert_eq!(problem.line, 12, "{problem}");
    }
    let problem = only_problem(ENTRY, "; an entry", "stray = 1");
    assert_eq!(problem.line, 1);
}

#[test]
fn blanks_indents_and_line_ends_do_not_matter() {
    let indented = ENTRY.replace('\n', "\n  ");
    let dos = ENTRY.replace('\n', "\r\n");
    let padded = ENTRY.replace(" = ", "=").replace("]\n", "]  \n");
    for text in [indented, dos, padded] {
        assert_eq!(problems(&text), []);
    }
}

/// With a lease longer than the election timeout, a leader that is cut off by a network
/// partition still answers reads under its lease after the others have elected a new
/// leader, which has accepted changes. Operators would read rows that were replaced.
#[test]
fn lease_must_end_before_an_election() {
    let problem = only_problem(CONTROL, "lease = 600ms", "lease = 800ms");
    assert_eq!(
        (problem.section.as_str(), problem.key.as_str()),
        ("consensus", "lease")
    );
    assert!(problem.allowed.contains("800ms"), "{problem}");
}

#[test]
fn heartbeats_must_be_well_below_the_timeouts() {
    let problem = only_problem(CONTROL, "lease = 600ms", "lease = 700ms\nheartbeat = 300ms");
    assert_eq!(problem.key, "heartbeat");
    let problem = only_problem(CONTROL, "lease = 600ms", "lease = 300ms\nheartbeat = 200ms");
    assert!(problem.allowed.contains("lease"), "{problem}");
}

/// A stopping entry is removed from look-ups, waits for its stop deadline and exits. With a
/// TTL longer than that deadline a caller could still use a cached answer and get
/// connection errors.
#[test]
fn cached_answers_must_expire_before_a_stop_ends() {
    let problem = only_problem(
        ENTRY,
        "lookup_ttl = 2s",
        "lookup_ttl = 60s\n[limits]\nstop_deadline = 30s",
    );
    assert_eq!(problem.key, "lookup_ttl");
    assert!(problem.allowed.contains("stop_deadline"), "{problem}");
}

#[test]
fn key_must_be_kept_longer_than_its_request_runs() {
    let problem = only_problem(
        ENTRY,
        "lookup_ttl = 2s",
        "request_timeout = 5m\n[ledger]\nretention = 4m",
    );
    assert_eq!(problem.key, "request_timeout");
}

#[test]
fn replica_that_lists_itself_is_refused() {
    let problem = only_problem(CONTROL, "[replica control-2]", "[replica control-1]");
    assert!(problem.found.contains("control-1"), "{problem}");
    let problem = only_problem(CONTROL, "peer = 127.0.0.1:7501", "peer = 127.0.0.1:7401");
    assert!(problem.found.contains("a second time"), "{problem}");
}

#[test]
fn address_belongs_to_one_socket() {
    let problem = only_problem(CONTROL, "peer = 127.0.0.1:7601", "peer = 127.0.0.1:7501");
    assert!(
        problem
            .allowed
            .contains("[replica control-2] peer in line 14"),
        "{problem}"
    );
    let problem = only_problem(ENTRY, "listen = 127.0.0.1:7101", "listen = 127.0.0.1:7100");
    assert_eq!(problem.section, "peers");
    let problem = only_problem(ENTRY, "127.0.0.1:7201", "127.0.0.1:7301");
    assert_eq!(problem.key, "seeds");
}

#[test]
fn address_may_be_advertised_as_it_listens() {
    let from = "listen = 127.0.0.1:7101";
    let text = ENTRY.replace(from, &format!("{from}\nadvertise = 127.0.0.1:7101"));
    assert_eq!(problems(&text), []);
}

#[test]
fn listening_everywhere_needs_an_advertised_address() {
    let from = "listen = 127.0.0.1:7101";
    let problem = only_problem(ENTRY, from, "listen = 0.0.0.0:7101");
    assert_eq!(problem.key, "listen");
    let to = "listen = 0.0.0.0:7101\nadvertise = 127.0.0.1:7101";
    assert_eq!(problems(&ENTRY.replace(from, to)), []);
}

#[test]
fn eighth_replica_is_refused() {
    let more: String = (4..=8)
        .map(|n| format!("[replica control-{n}]\npeer = 127.0.0.1:9{n}00\n"))
        .collect();
    let problem = only_problem(CONTROL, "[consensus]", &format!("{more}[consensus]"));
    assert!(problem.allowed.contains("at most 7"), "{problem}");
}

#[test]
fn sections_and_keys_of_the_other_program_are_refused() {
    let problem = only_problem(ENTRY, "[status]", "[samples]\n[status]");
    assert!(problem.allowed.contains("role control"), "{problem}");
    let from = "listen = 127.0.0.1:7401";
    let problem = only_problem(CONTROL, from, &format!("{from}\nseeds = 127.0.0.1:7777"));
    assert!(problem.allowed.contains("role entry"), "{problem}");
}

#[test]
fn control_needs_a_data_folder() {
    let problem = only_problem(CONTROL, "[storage]\ndata = data/control-1\n", "");
    assert_eq!((problem.line, problem.key.as_str()), (0, "data"));
}

#[test]
fn empty_file_lacks_its_role() {
    let problems = problems("");
    assert_eq!(problems.len(), 1);
    assert_eq!(problems[0].key, "role");
}
