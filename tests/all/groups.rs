//! Groups of control replicas that manage their own membership, and the configurations
//! that they accept.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use filberthead_testing::cluster::Node;
use filberthead_testing::site::{
    Site, SiteBuilder, SitePrograms, config, order_at, proven_version,
};
use filberthead_testing::{eventually, wait_until};

const BOUND: Duration = Duration::from_secs(60);
const SERVICES: &[(&str, &str)] = &[("orders", "unsafe"), ("catalogue", "safe")];

/// A builder with the programs as cargo built them for this test.
pub(crate) fn site() -> SiteBuilder {
    Site::builder(SitePrograms {
        control: PathBuf::from(env!("CARGO_BIN_EXE_filberthead-control")),
        gateway: PathBuf::from(env!("CARGO_BIN_EXE_filberthead-gateway")),
    })
}

#[track_caller]
fn wait_version(node: &Node, version: u64) {
    wait_until("the replica proves the version", BOUND, || {
        proven_version(node) == Some(version)
    });
}

#[test]
fn replicas_find_each_other_by_one_seed_and_accept_orders() {
    let site = site().start();
    site.put_routes(7, SERVICES);
    for node in &site.controls {
        wait_version(node, 7);
    }
}

/// All control VMs lose power, and the only one that all settings name as a seed doesn't
/// restart. The others must find each other by their stored addresses, or no order is
/// accepted and no route served again. They used the seeds alone, since addresses in the
/// log count as unknown until a leader says that they are committed.
#[test]
fn a_majority_without_the_seed_recovers_after_a_power_cut() {
    let mut site = site().start();
    site.put_routes(7, SERVICES);
    site.controls.iter().for_each(|node| wait_version(node, 7));
    site.controls.iter_mut().for_each(Node::kill);
    site.controls[1].start();
    site.controls[2].start();
    wait_version(&site.controls[1], 7);
    wait_version(&site.controls[2], 7);
}

/// A control VM restarts with an empty disk. It is a new replica then and must be added
/// automatically, and the old one removed, or a second loss leaves no majority.
#[test]
fn a_replica_with_an_empty_disk_replaces_the_old_one() {
    let mut site = site().start();
    site.put_routes(7, SERVICES);
    let lost = replica_id(&site.controls[1]);
    site.controls[1].kill();
    site.controls[1].wipe();
    site.controls[1].start();
    // There are three voters from the beginning, and a learner proves versions, too.
    let id = eventually("another identity", BOUND, || {
        let id = replica_id(&site.controls[1]);
        (id != lost).then_some(id)
    });
    wait_until("it votes", BOUND, || {
        let is_listed = site.controls[..2].iter().all(|node| lists_voter(node, &id));
        is_listed && has_proven(&site.controls[1], 7)
    });
    // The second loss.
    site.controls[2].kill();
    site.put_routes(8, SERVICES);
    wait_version(&site.controls[1], 8);
}

/// A replica that restarts with an empty disk replaces its former identity, which was heard from a
/// moment ago. Once removed, that must not be added again, or the two take turns and the new
/// replica isn't promoted.
#[test]
fn a_removed_identity_is_not_added_again() {
    let mut site = site().start();
    site.put_routes(7, SERVICES);
    wait_until("all vote", BOUND, || {
        site.controls.iter().all(has_three_voters)
    });
    let leader = eventually("a leader", BOUND, || {
        let leads = |node: &Node| node.metric("filberthead_lease_held") == 1.0;
        site.controls.iter().position(leads)
    });
    let wiped = (leader + 1) % site.controls.len();
    let lost = replica_id(&site.controls[wiped]);
    site.controls[wiped].kill();
    site.controls[wiped].wipe();
    site.controls[wiped].start();
    let id = eventually("another identity", BOUND, || {
        let id = replica_id(&site.controls[wiped]);
        (id != lost).then_some(id)
    });
    wait_until("it votes", BOUND, || {
        lists_voter(&site.controls[leader], &id)
    });
    let log = site.controls[leader].process_ref().log();
    let changes = log
        .lines()
        .filter(|line| line.contains("leadership or membership"));
    let since_loss = changes.skip_while(|line| !line.contains(&id));
    let after_removal = since_loss.skip_while(|line| line.contains(&lost));
    let added_again: Vec<_> = after_removal.filter(|line| line.contains(&lost)).collect();
    assert!(added_again.is_empty(), "{added_again:#?}");
}

fn has_three_voters(node: &Node) -> bool {
    node.metric("voters") >= 3.0
}

/// The replica id that a node last logged at its start.
#[track_caller]
fn replica_id(node: &Node) -> String {
    eventually("an identity", BOUND, || {
        let log = node.process_ref().log();
        let (_, rest) = log.rsplit_once(" replica=")?;
        let end = rest.find(char::is_whitespace)?;
        Some(rest[..end].to_owned())
    })
}

/// Whether a node's last log line on the membership lists this replica as a voter.
fn lists_voter(node: &Node, id: &str) -> bool {
    let log = node.process_ref().log();
    let mut lines = log
        .lines()
        .filter(|line| line.contains("leadership or membership"));
    let voters = lines.next_back().and_then(|line| {
        let (_, rest) = line.split_once(" voters=")?;
        Some(rest.split_once(" learners=")?.0)
    });
    voters.is_some_and(|voters| voters.contains(id))
}

fn has_proven(node: &Node, version: u64) -> bool {
    proven_version(node) == Some(version)
}

/// An operator resends a configuration whose answer was lost, and later sends an older
/// one, one of the same number with other content, and invalid ones. None of them may
/// change what is in force, and only the invalid ones are refused.
#[test]
fn only_a_valid_configuration_of_a_higher_number_takes_effect() {
    let site = site().replicas(1).tolerate(0).start();
    site.put_routes(7, SERVICES);
    site.put_routes(7, SERVICES);
    site.put_routes(6, &[("orders", "safe")]);
    site.put_routes(7, &[("orders", "safe")]);
    let good = config(9, SERVICES);
    let bad = [
        good[..good.len() / 2].to_owned(),
        good.replace(r#""service":"orders""#, r#""service":"nobody""#),
        good.replace(r#""kind":"unsafe""#, r#""kind":"strange""#),
        good.replace(r#""host":"shop.example""#, r#""host":"""#),
        good.replace(r#""path_prefix":"/orders/""#, r#""path_prefix":"orders/""#),
        good.replace(r#""timeout_ms":20000"#, r#""timeout_ms":0"#),
        good.replace(r#""version":9"#, r#""version":3"#)
            .replace("shop.example", ""),
        "[]".to_owned(),
        String::new(),
    ];
    for body in &bad {
        assert_eq!(site.order("config.put", body).status, 400, "{body}");
    }
    let answer = site.order("config.get", "");
    assert_eq!(answer.text(), config(7, SERVICES));
}

#[test]
fn unknown_calls_change_nothing() {
    let site = site().replicas(1).tolerate(0).start();
    site.put_routes(7, SERVICES);
    let status = |call: &str| site.order(call, "").status.as_u16();
    assert_eq!(status("config.drop"), 404);
    assert_eq!(status("evacuations.start"), 400);
    assert_eq!(status("evacuations.start&of=No-Such-Name!"), 400);
    assert_eq!(status("evacuations.end&of=zagreb-a"), 200);
}

/// The leader is partitioned from the others without noticing, and they accept a change.
/// It must not show the older routes to an operator.
#[test]
fn a_leader_that_is_cut_off_shows_no_older_routes() {
    let mut site = site().start();
    site.put_routes(7, SERVICES);
    let leads = |node: &Node| node.metric("_leader") > 0.0;
    let leader = eventually("a leader", BOUND, || site.controls.iter().position(leads));
    let name = site.controls[leader].name().to_owned();
    let others: Vec<_> = site
        .controls
        .iter()
        .map(|n| n.name().to_owned())
        .filter(|n| *n != name)
        .collect();
    let other_names: Vec<&str> = others.iter().map(String::as_str).collect();
    site.network.partition(&[&[&name], &other_names]);
    wait_until("the others accept a change", BOUND, || {
        others.iter().any(|other| {
            let body = config(8, SERVICES);
            let answer = order_at(site.control(other), "config.put", &body);
            answer.is_ok_and(|answer| answer.status == 200)
        })
    });
    let shown = proven_version(site.control(&name));
    assert_ne!(shown, Some(7), "the older routes are shown");
    site.network.heal();
    wait_version(site.control(&name), 8);
}

/// A control VM is replaced at another address while the leader is not among the seeds of
/// the new replica. The new one sent its hello to its seeds, which weren't leading. They
/// neither returned the leader's address nor forwarded the hello, so it was never added.
/// After two further lost disks there was no majority and never again a leader, and
/// gateways went on with the last noted routes.
#[test]
fn a_new_replica_is_added_by_a_leader_outside_its_seeds() {
    let mut site = site().start();
    site.put_routes(7, SERVICES);
    site.controls.iter().for_each(|node| wait_version(node, 7));
    let leads = |node: &Node| node.metric("_leader") > 0.0;
    wait_until("all vote", BOUND, || {
        site.controls
            .iter()
            .all(|node| node.metric("voters") >= 3.0)
    });
    // The seed, which leads at first, must not lead when the new replica starts.
    while !site.controls[1..].iter().any(leads) {
        site.controls[0].kill();
        wait_until("another one leads", BOUND, || {
            site.controls[1..].iter().any(leads)
        });
        site.controls[0].start();
        wait_version(&site.controls[0], 7);
    }
    site.add_control();
    wait_version(&site.controls[3], 7);
    let voters = |node: &Node| node.metric("voters") >= 4.0;
    wait_until("it votes", BOUND, || voters(&site.controls[3]));
}

/// A control VM is gone for good, and its successor starts at another address within a
/// second. It was made an additional voter before the other one counted as gone, and then
/// no replica was left to replace that one: of four voters one never answers, and the
/// next loss leaves two of four. The leader's last log line on the membership listed all
/// four for good.
#[test]
fn a_replica_that_was_replaced_loses_its_vote() {
    const REPLACEMENT_BOUND: Duration = Duration::from_secs(20);
    let mut site = site().start();
    site.put_routes(7, SERVICES);
    site.controls.iter().for_each(|node| wait_version(node, 7));
    let gone = replica_id(&site.controls[2]);
    site.controls[2].kill();
    site.add_control();
    let new = replica_id(&site.controls[3]);
    wait_until(
        "the new replica has replaced the old one as a voter",
        REPLACEMENT_BOUND,
        || {
            let node = &site.controls[0];
            lists_voter(node, &new) && !lists_voter(node, &gone)
        },
    );
}

/// A network device between VMs loses the state of all connections to one replica: what
/// the others send to it is dropped, nothing is reset, and new connections would work.
/// The replica never received from a leader again, and took itself for partitioned until
/// it was restarted.
#[test]
fn a_replica_reconnects_after_its_connections_stall() {
    let site = site().start();
    site.put_routes(7, SERVICES);
    site.controls.iter().for_each(|node| wait_version(node, 7));
    let leads = |node: &Node| node.metric("_leader") > 0.0;
    let leader = eventually("a leader", BOUND, || site.controls.iter().position(leads));
    let follower = (leader + 1) % site.controls.len();
    site.controls[follower].proxy("peer").silence();
    site.put_routes(8, SERVICES);
    wait_version(&site.controls[follower], 8);
}

/// The platform sends a reload signal at the moment in which a process reports that it
/// serves. The process had no handler for it yet, and was ended by it.
#[test]
fn a_reload_signal_right_after_start_ends_no_process() {
    let mut site = site().replicas(1).tolerate(0).start();
    for _ in 0..10 {
        for node in site.controls.iter_mut().chain(&mut site.gateways) {
            node.restart();
            node.process().hang_up();
        }
        for node in site.controls.iter_mut().chain(&mut site.gateways) {
            // A regular stop; its exit status shows that the reload signal didn't end it.
            assert!(node.stop().success(), "{}", node.name());
        }
    }
}

/// An operator's tool breaks off in the middle of a configuration and closes its side of
/// the connection. It got the answer that the configuration is too large, which is final,
/// although only its end was missing and the complete one is valid. Nothing was ordered, so
/// it may be sent again.
#[test]
fn a_truncated_configuration_may_be_sent_again() {
    let site = site().replicas(1).tolerate(0).start();
    site.put_routes(1, SERVICES);
    let text = config(2, SERVICES);
    let mut stream = TcpStream::connect(site.controls[0].addr("orders")).expect("it listens");
    let head = format!(
        "POST /-/rpc?call=config.put HTTP/1.1\r\nHost: control\r\nContent-Length: {}\r\n\r\n",
        text.len()
    );
    let half = &text[..text.len() / 2];
    stream.write_all(head.as_bytes()).expect("it reads");
    stream.write_all(half.as_bytes()).expect("it reads");
    stream.shutdown(Shutdown::Write).expect("still open");
    let mut answer = String::new();
    // A close without an answer permits a retry as well.
    let _ = stream.read_to_string(&mut answer);
    let again = ["HTTP/1.1 408 ", "HTTP/1.1 503 "];
    let may_retry = again.iter().any(|status| answer.starts_with(status));
    assert!(may_retry || answer.is_empty(), "{answer}");
    assert_eq!(site.order("config.put", &text).status, 200);
    wait_version(&site.controls[0], 2);
}

/// A configuration above the longest that replicas can send each other is refused with
/// 413.
#[test]
fn a_too_large_configuration_is_refused_with_413() {
    let site = site().replicas(1).tolerate(0).start();
    site.put_routes(1, SERVICES);
    let text = config(2, SERVICES) + &" ".repeat(2 * 1024 * 1024);
    assert_eq!(site.order("config.put", &text).status, 413);
    wait_version(&site.controls[0], 1);
}
