//! Tests of tables, changes, deltas and matching.

use std::sync::Arc;
use std::time::Duration;

use filberthead_route::{
    Allotment, CallerBounds, Change, Delta, InvalidTable, KeyDigest, KeyIndex, Kind, LatestChange,
    Matcher, OfferResult, Route, Service, Table, Target, Workspace,
};

fn target(service: &str, weight: u32) -> Target {
    Target {
        service: service.parse().expect("a valid name"),
        weight,
    }
}

fn route(host: &str, prefix: &str, targets: Vec<Target>) -> Route {
    Route {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(250),
        priority: 1,
        targets,
        max_attempts: 2,
        sticky: true,
        regions: Vec::new(),
        public: false,
    }
}

fn table(routes: Vec<Route>) -> Table {
    let service = |name: &str| Service {
        name: name.parse().expect("a valid name"),
        health_path: "/healthz".to_owned(),
        max_connections: 330,
        cold_for: Duration::from_secs(3),
        cold_per_s: 9.4,
    };
    Table {
        routes: routes.into_iter().map(Arc::new).collect(),
        services: vec![service("catalogue"), service("orders")],
        bounds: CallerBounds::default(),
        workspaces: Vec::new(),
    }
}

fn change(version: u64, routes: Vec<Route>) -> Change {
    Change {
        version,
        table: table(routes),
        text: String::new(),
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("shop.example", "/a/", vec![target("catalogue", 1)]),
        route("shop.example", "/a/b/", vec![target("orders", 1)]),
        route("other.example", "/", vec![target("catalogue", 1)]),
    ];
    let matcher = Matcher::new(&table(routes));
    let prefix = |host, path| {
        let found = matcher.find(host, path);
        found.map(|matched| matched.route.prefix.clone())
    };
    assert_eq!(prefix("shop.example", "/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(prefix("Shop.example:8080", "/a/x").as_deref(), Some("/a/"));
    assert_eq!(prefix("shop.example", "/b/"), None);
    assert_eq!(prefix("nowhere.example", "/a/"), None);
}

/// A host has several spellings, in a request as in a table. A route whose host was spelled
/// differently from that of its requests was never found.
#[test]
fn a_host_is_found_in_all_its_spellings() {
    let targets = || vec![target("one", 1)];
    let spellings = [
        "Shop.Example",
        "cards.example.",
        "books.example:8080",
        "[::1]",
    ];
    let routes = spellings.iter().map(|host| route(host, "/", targets()));
    let matcher = Matcher::new(&table(routes.collect()));
    for host in [
        "shop.example",
        "SHOP.example.",
        "shop.example:80",
        "shop.example.:80",
        "cards.example",
        "cards.example.",
        "books.example",
        "books.example:80",
        "[::1]",
        "[::1]:8080",
    ] {
        assert!(matcher.find(host, "/").is_some(), "{host}");
    }
    for host in ["", ".", ":80", "example", "[::2]", "shop.example.org"] {
        assert!(matcher.find(host, "/").is_none(), "{host}");
    }
}

/// Two operators assign the same version, and an older change arrives late: the table in force
/// must stay that of the first change with the highest version.
#[test]
fn only_a_higher_version_takes_effect() {
    let mut latest = LatestChange::default();
    let first = change(7, vec![route("a", "/", vec![target("orders", 1)])]);
    assert_eq!(latest.offer(&first), OfferResult::Accepted);
    assert_eq!(
        latest.offer(&change(7, Vec::new())),
        OfferResult::Superseded
    );
    assert_eq!(
        latest.offer(&change(6, Vec::new())),
        OfferResult::Superseded
    );
    assert_eq!(latest.newest().map(|c| c.table.routes.len()), Some(1));
    assert_eq!(latest.offer(&change(9, Vec::new())), OfferResult::Accepted);
    assert_eq!(latest.newest().map(|c| c.version), Some(9));
}

#[test]
fn each_error_of_a_table_has_its_variant() {
    let valid = route("a", "/x/", vec![target("orders", 1)]);
    let check = |edit: fn(&mut Route)| {
        let mut invalid = valid.clone();
        edit(&mut invalid);
        table(vec![valid.clone(), invalid]).check()
    };
    assert_eq!(check(|_| {}), Ok(()));
    assert!(matches!(
        check(|r| r.host.clear()),
        Err(InvalidTable::EmptyHost { .. })
    ));
    assert!(matches!(
        check(|r| r.prefix = "x/".to_owned()),
        Err(InvalidTable::PrefixWithoutSlash { .. })
    ));
    assert!(matches!(
        check(|r| r.timeout = Duration::ZERO),
        Err(InvalidTable::ZeroTimeout { .. })
    ));
    assert!(matches!(
        check(|r| r.targets[0].service = "unlisted".parse().expect("a valid name")),
        Err(InvalidTable::UnknownService { .. })
    ));
    assert!(matches!(
        check(|r| r.targets[0].weight = 0),
        Err(InvalidTable::NoTarget { .. })
    ));
    assert!(matches!(
        check(|r| r.targets.clear()),
        Err(InvalidTable::NoTarget { .. })
    ));
}

/// The split follows the weights in each short sequence: of any 100 consecutive requests, no
/// target is more than 3 off its share.
#[test]
fn requests_are_split_by_weight_in_any_short_run() {
    bolero::check!()
        .with_type::<(u8, u8, u8)>()
        .for_each(|(a, b, skip)| {
            let (a, b) = (u32::from(*a) + 1, u32::from(*b));
            let routes = vec![route(
                "a",
                "/",
                vec![target("catalogue", a), target("orders", b)],
            )];
            let matcher = Matcher::new(&table(routes));
            let matched = matcher.find("a", "/").expect("a route");
            (0..*skip).for_each(|_| {
                matched.split.pick();
            });
            let first = (0..100).filter(|_| matched.split.pick() == 0).count() as f64;
            let expected = 100.0 * f64::from(a) / f64::from(a + b);
            assert!(
                (first - expected).abs() <= 3.0,
                "{first} of 100, not {expected}"
            );
        });
}

fn names(table: &Table) -> Vec<&str> {
    table
        .routes
        .iter()
        .map(|route| route.name.as_str())
        .collect()
}

/// Guards against routes that are lost, duplicated or out of order after a change.
#[test]
fn a_delta_produces_the_newer_table() {
    let host = |name: &str| route(name, "/", vec![target("catalogue", 1)]);
    let older = table(["a", "b", "c", "d", "e"].map(host).into());
    let mut moved = host("b");
    moved.timeout = Duration::from_secs(9);
    let newer = table(vec![
        host("e"),
        host("a"),
        moved,
        host("x"),
        host("c"),
        host("d"),
    ]);
    let delta = Delta::between(&older, &newer);
    let applied = delta.apply(&older).expect("a delta for that table");
    assert_eq!(applied, newer);
    assert_eq!(names(&applied), ["e/", "a/", "b/", "x/", "c/", "d/"]);
    assert_eq!(delta.new_items(), 2);
}

#[test]
fn a_delta_is_rejected_for_another_table() {
    let host = |name: &str| route(name, "/", vec![target("catalogue", 1)]);
    let older = table(["a", "b", "c"].map(host).into());
    let newer = table(["a", "b", "c", "d"].map(host).into());
    let delta = Delta::between(&older, &newer);
    assert_eq!(delta.apply(&table(Vec::new())), None);
}

/// For any two tables, with routes of the same name among them, the delta turns one into the
/// other.
#[test]
fn a_delta_produces_any_table_from_any_other() {
    bolero::check!()
        .with_type::<(Vec<u8>, Vec<u8>)>()
        .for_each(|(older, newer)| {
            let host = |number: &u8| {
                let name = char::from(b'a' + number % 16).to_string();
                let mut route = route(&name, "/", vec![target("catalogue", 1)]);
                route.timeout = Duration::from_secs(u64::from(1 + number / 64));
                route
            };
            let older = table(older.iter().map(host).collect());
            let newer = table(newer.iter().map(host).collect());
            assert_eq!(Delta::between(&older, &newer).apply(&older), Some(newer));
        });
}

fn workspace(name: &str, keys: &[&str]) -> Arc<Workspace> {
    Arc::new(Workspace {
        name: name.parse().expect("a valid name"),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        regions: Vec::new(),
        priority: None,
        allotment: None,
    })
}

fn table_of(workspaces: Vec<Arc<Workspace>>) -> Table {
    Table {
        workspaces,
        ..table(Vec::new())
    }
}

#[test]
fn a_key_identifies_its_workspace() {
    let workspaces = vec![workspace("a", &["k1", "k2"]), workspace("b", &["k3"])];
    let index = KeyIndex::new(&workspaces);
    let holder = |key: &str| {
        let found = index.find(KeyDigest::of(key.as_bytes()));
        found.map(|workspace| workspace.name.as_str())
    };
    assert_eq!(
        ["k1", "k2", "k3"].map(holder),
        [Some("a"), Some("a"), Some("b")]
    );
    assert_eq!(["K1", "k", ""].map(holder), [None; 3]);
}

/// With a key of two workspaces, requests of one would run in the name of the other.
#[test]
fn a_key_of_two_workspaces_is_invalid() {
    let shared = table_of(vec![workspace("a", &["k1", "k2"]), workspace("b", &["k2"])]);
    assert!(matches!(
        shared.check(),
        Err(InvalidTable::SharedKey { .. })
    ));
    let twice = table_of(vec![workspace("a", &["k1", "k1"])]);
    assert_eq!(twice.check(), Ok(()));
    let mut negative = Workspace::clone(&workspace("a", &["k1"]));
    negative.allotment = Some(Allotment {
        rate: -1.0,
        burst: 0.0,
    });
    let negative = table_of(vec![Arc::new(negative)]);
    let invalid = negative.check();
    assert!(matches!(
        invalid,
        Err(InvalidTable::InvalidAllotment { .. })
    ));
}

/// A change of one workspace among thousands must not send them all to every gateway.
#[test]
fn a_delta_has_only_the_changed_workspaces() {
    let all = |changed: usize| {
        let one = |number: usize| {
            let key = format!("key-{number}-{}", number == changed);
            workspace(&format!("w-{number}"), &[&key])
        };
        table_of((0..1000).map(one).collect())
    };
    let (older, newer) = (all(2000), all(500));
    let delta = Delta::between(&older, &newer);
    assert_eq!(delta.new_items(), 1);
    assert_eq!(delta.apply(&older), Some(newer));
    assert_eq!(Delta::between(&older, &table_of(Vec::new())).new_items(), 0);
}

/// Whatever prints a table, a log line for instance, must not print what identifies callers.
#[test]
fn a_printed_table_has_no_digest() {
    let printed = format!("{:?}", table_of(vec![workspace("a", &["k1"])]));
    assert!(printed.contains("KeyDigest]"), "{printed}");
}
