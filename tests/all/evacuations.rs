//! Operators' orders about evacuations while replicas stand still and operators send again.
//!
//! One invariant: an acknowledged order isn't undone by one that its operator has given up.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::process::Command;
use std::time::{Duration, Instant};

use filberthead::control::machine::Machine;
use filberthead_consensus::Members;
use filberthead_storage::Disk;
use filberthead_testing::client::Call;
use filberthead_testing::cluster::Node;
use filberthead_testing::operator::Operator;
use filberthead_testing::site::{Site, config, order_at};
use filberthead_testing::{eventually, wait_until};

use crate::groups::site;

const BOUND: Duration = Duration::from_secs(60);
/// The failure domain that is evacuated.
pub(crate) const DOMAIN: &str = "zagreb-a";
/// Time after which an operator turns to another replica.
pub(crate) const PATIENCE: Duration = Duration::from_secs(1);
/// Time for which an operator sends an order again.
const RESEND_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a replica stands still.
const FREEZE: Duration = Duration::from_secs(4);
/// Time in which a replica that goes on reads what it was sent meanwhile.
pub(crate) const BACKLOG: Duration = Duration::from_secs(2);

/// Three replicas that vote.
#[track_caller]
fn start() -> Site {
    let site = site().gateways(0).seeds(3).start();
    let has_three_voters = |node: &Node| node.metric("voters") >= 3.0;
    wait_until("all vote", BOUND, || {
        site.controls.iter().all(has_three_voters)
    });
    site
}

/// Sends an order to one replica, once. Returns whether that acknowledged it.
pub(crate) fn send(node: &Node, call: &str, patience: Duration) -> bool {
    let call = Call::new("POST", &format!("/-/rpc?call={call}&of={DOMAIN}"));
    let answer = call.bound(patience).send(node.direct_addr("orders"));
    answer.is_ok_and(|answer| answer.status == 200)
}

/// Sends an order to these replicas in turn, as operators do, until one acknowledges it. Returns
/// after what time; `None` if none does for as long as it may be sent again.
fn try_order(replicas: &[&Node], call: &str) -> Option<Duration> {
    let start = Instant::now();
    let mut pause = Duration::from_millis(50);
    for node in replicas.iter().cycle() {
        if send(node, call, PATIENCE) {
            return Some(start.elapsed());
        }
        std::thread::sleep(pause);
        pause *= 2;
        if start.elapsed() >= RESEND_TIMEOUT {
            break;
        }
    }
    None
}

#[track_caller]
pub(crate) fn order(replicas: &[&Node], call: &str) {
    eventually(call, BOUND, || try_order(replicas, call));
}

/// Index of the replica that leads, among those that run.
#[track_caller]
pub(crate) fn leader(site: &Site, is_running: impl Fn(usize) -> bool) -> usize {
    eventually("a leader", BOUND, || {
        (0..site.controls.len()).find(|&index| is_running(index) && leads(&site.controls[index]))
    })
}

fn leads(node: &Node) -> bool {
    let addr = node.direct_addr("operator");
    let status = Operator::new("ana", vec![addr]).status_of(addr);
    status.is_some_and(|status| status.holds_lease)
}

/// The replicas but this one.
fn others(site: &Site, index: usize) -> Vec<&Node> {
    let (before, from) = site.controls.split_at(index);
    from.iter().skip(1).chain(before).collect()
}

/// Whether the last change that a replica has logged evacuates [`DOMAIN`].
fn has_evacuated(node: &Node) -> bool {
    let log = node.process_ref().log();
    let mut changes = log
        .lines()
        .filter(|line| line.contains("evacuated failure"));
    let last = changes.next_back();
    last.is_some_and(|line| line.contains(&format!("domains={{{DOMAIN}}}")))
}

/// Waits until a replica has applied the evacuation.
#[track_caller]
fn wait_evacuated(node: &Node) {
    wait_until("the evacuation is in force", BOUND, || has_evacuated(node));
}

#[track_caller]
fn assert_stays_evacuated(node: &Node) {
    let start = Instant::now();
    while start.elapsed() < BACKLOG {
        assert!(has_evacuated(node), "after {:?}", start.elapsed());
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Suspends a replica. The signal takes effect with some delay.
fn freeze(node: &Node) {
    node.process_ref().suspend();
    std::thread::sleep(Duration::from_millis(200));
}

/// The leader stands still, and another replica forwards it an order that ends an evacuation. Its
/// operator sends it again, and the next leader acknowledges it. The former leader reads the
/// forwarded order as a follower: it kept it, and carried it out when it led again, after a newer
/// evacuation was acknowledged.
#[test]
fn a_former_leader_does_not_carry_out_a_forwarded_order_later() {
    let site = start();
    let former = leader(&site, |_| true);
    order(&others(&site, former), "evacuations.start");
    let frozen_at = Instant::now();
    freeze(&site.controls[former]);
    order(&others(&site, former), "evacuations.end");
    std::thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
    site.controls[former].process_ref().resume();
    std::thread::sleep(BACKLOG);
    order(&others(&site, former), "evacuations.start");
    wait_evacuated(&site.controls[former]);
    eventually("the former leader leads again", 2 * BOUND, || {
        let led_by = leader(&site, |_| true);
        if led_by == former {
            return Some(());
        }
        site.controls[led_by].process_ref().suspend();
        leader(&site, |index| index != led_by);
        site.controls[led_by].process_ref().resume();
        std::thread::sleep(Duration::from_secs(1));
        leads(&site.controls[former]).then_some(())
    });
    assert_stays_evacuated(&site.controls[former]);
}

/// A replica stands still, and an operator that sends it the end of an evacuation turns to another
/// one, which acknowledges it. The replica goes on after the failure domain is evacuated anew: it
/// read the old order from a connection that its operator had closed, and carried it out.
#[test]
fn a_replica_that_goes_on_does_not_carry_out_an_order_that_was_given_up() {
    let site = start();
    let led_by = leader(&site, |_| true);
    let (leading, others) = (&site.controls[led_by], others(&site, led_by));
    order(&[leading], "evacuations.start");
    let frozen_at = Instant::now();
    freeze(others[0]);
    assert!(!send(others[0], "evacuations.end", PATIENCE));
    order(&[others[1]], "evacuations.end");
    order(&[leading], "evacuations.start");
    std::thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
    wait_evacuated(leading);
    others[0].process_ref().resume();
    assert_stays_evacuated(leading);
}

/// The bytes of an order were lost on the way and sent again, and its close was lost: a running replica took the order for a
/// new one, and undid what was acknowledged since.
#[test]
fn an_order_whose_bytes_and_close_are_late_is_not_carried_out() {
    let site = start();
    let [late, other] = [&site.controls[0], &site.controls[1]];
    order(&[other], "evacuations.start");
    wait_evacuated(late);
    let mut connection = TcpStream::connect(late.direct_addr("orders")).expect("a connection");
    std::thread::sleep(PATIENCE);
    order(&[other], "evacuations.end");
    order(&[other], "evacuations.start");
    write!(
        connection,
        "POST /-/rpc?call=evacuations.end&of={DOMAIN} HTTP/1.1\r\nhost: control\r\n\r\n"
    )
    .expect("a request");
    let mut status_line = String::new();
    BufReader::new(connection)
        .read_line(&mut status_line)
        .expect("an answer");
    assert!(status_line.starts_with("HTTP/1.1 503"), "{status_line}");
    assert_stays_evacuated(late);
}

/// Replaces the data of all replicas, which don't run, by that of a group of the earlier release that
/// has evacuated [`DOMAIN`].
fn store_earlier_group(site: &mut Site) {
    site.controls.iter_mut().for_each(Node::wipe);
    let name = site.dir().file_name().expect("a folder");
    let cluster = name.to_string_lossy().to_ascii_lowercase();
    let open = |node: &Node| Disk::open(node.data(), &cluster).expect("a data folder");
    let mut disks: Vec<_> = site.controls.iter().map(open).collect();
    let members = Members {
        voters: disks.iter().map(Disk::replica).collect(),
        learners: BTreeSet::new(),
    };
    let machine = Machine {
        evacuated: BTreeSet::from([DOMAIN.parse().expect("a failure domain")]),
        evacuated_revision: 1,
        ..Machine::default()
    };
    // Without the part that this release appends.
    let data = postcard::to_stdvec(&machine).expect("a snapshot");
    for disk in &mut disks {
        let stored = disk.bootstrap(&members, data.clone());
        stored.expect("a stored group");
    }
}

/// A group of the earlier release is replaced replica by replica; one that hasn't announced that it
/// can decode conditional orders stands for one that isn't replaced yet. An entry that it can't
/// decode would end it.
#[test]
fn a_stored_group_has_conditional_orders_once_its_last_replica_is_replaced() {
    let mut site = site().gateways(0).seeds(3).start();
    site.controls.iter_mut().for_each(Node::kill);
    store_earlier_group(&mut site);
    let log = |node: &Node| node.process_ref().log();
    let skipped: Vec<_> = site.controls.iter().map(|node| log(node).len()).collect();
    let is_logged = |site: &Site, parts: &[&str]| {
        let logs = site.controls.iter().zip(&skipped);
        let logs: Vec<_> = logs
            .map(|(node, len)| log(node)[*len..].to_owned())
            .collect();
        let mut lines = logs.iter().flat_map(|log| log.lines());
        lines.any(|line| parts.iter().all(|part| line.contains(part)))
    };
    site.controls[..2].iter_mut().for_each(Node::start);
    let running: Vec<_> = site.controls[..2].iter().collect();
    order(&running, "evacuations.end");
    assert!(is_logged(&site, &["order applied", "evacuated={}"]));
    // Longer than the period of announcements.
    std::thread::sleep(Duration::from_secs(6));
    let enabled = ["all members support conditional orders"];
    assert!(!is_logged(&site, &enabled));
    assert!(!is_logged(&site, &["order applied", "expected="]));
    site.controls[2].start();
    wait_until("conditional orders", Duration::from_secs(20), || {
        is_logged(&site, &enabled)
    });
    let replicas: Vec<_> = site.controls.iter().collect();
    wait_until("a conditional order", BOUND, || {
        order(&replicas, "evacuations.start");
        is_logged(&site, &["order applied", "expected=", "InForce"])
    });
}

/// Two of three replicas fail, and an operator sends a configuration to the third one before others
/// are elected. It was told at once to try again, and lost the time in which a leader was found.
#[test]
fn an_order_waits_for_a_leader() {
    let mut site = start();
    let led_by = leader(&site, |_| true);
    let last = (led_by + 1) % site.controls.len();
    let down = (0..site.controls.len()).filter(|index| *index != last);
    down.for_each(|index| site.controls[index].kill());
    let addr = site.controls[last].direct_addr("operator");
    let operator = Operator::new("ana", vec![addr]);
    wait_until("no leader is known", BOUND, || {
        let status = operator.status_of(addr);
        status.is_some_and(|status| status.leader.is_none())
    });
    let sent_at = Instant::now();
    let body = config(2, &[("catalogue", "safe")]);
    let answer = order_at(&site.controls[last], "config.put", &body);
    assert_eq!(answer.expect("an answer").status, 503);
    assert!(sent_at.elapsed() >= Duration::from_millis(500));
}

/// Two operators order the same, and then the opposite, at the same time, with all replicas up.
/// A conditional order that lost to the other one was refused without another attempt, until its
/// operator gave up.
#[test]
fn orders_at_the_same_time_are_all_acknowledged() {
    let site = start();
    let [first, second, third] = &site.controls[..] else {
        panic!("three replicas");
    };
    let rotations = [[first, second, third], [second, third, first]];
    let both = |calls: [&str; 2]| -> Vec<Option<Duration>> {
        std::thread::scope(|scope| {
            let sent = [0, 1].map(|i| {
                let replicas = &rotations[i];
                let call = calls[i];
                scope.spawn(move || try_order(replicas, call))
            });
            let results = sent.into_iter().map(|thread| thread.join());
            results.map(|taken| taken.expect("no panic")).collect()
        })
    };
    for round in 0..6 {
        for calls in [
            ["evacuations.start", "evacuations.start"],
            ["evacuations.start", "evacuations.end"],
            ["evacuations.end", "evacuations.end"],
        ] {
            let taken = both(calls);
            let in_time = |taken: &Option<Duration>| taken.is_some_and(|t| t < RESEND_TIMEOUT);
            assert!(taken.iter().all(in_time), "{round} {calls:?} {taken:?}");
        }
    }
    for call in ["evacuations.start", "evacuations.start"] {
        assert!(try_order(&rotations[0], call).is_some(), "a resend");
    }
    let in_force = "control_orders_total{result=\"in-force\"}";
    let counts = site.controls.iter().map(|node| node.metric(in_force));
    assert!(counts.sum::<f64>() >= 38.0, "all are counted");
    site.controls.iter().for_each(wait_evacuated);
}

/// An evacuation has ended and nobody says that he ordered it: the logs name the order, its sender
/// and the replica that received it.
#[test]
fn the_order_that_ended_an_evacuation_is_explained() {
    let mut site = site().gateways(0).replicas(1).tolerate(0).start();
    // The group is founded once an order is acknowledged.
    order(&[&site.controls[0]], "evacuations.start");
    site.controls[0].settings().set("log", "format", "json");
    site.controls[0].restart();
    order(&[&site.controls[0]], "evacuations.start");
    order(&[&site.controls[0]], "evacuations.end");
    let explained = eventually("the end is explained", BOUND, || {
        let output = Command::new(env!("CARGO_BIN_EXE_filberthead"))
            .args(["explain", "--failure-domain", DOMAIN])
            .arg(site.dir().join("control-1.log"))
            .output();
        let page = output.expect("the command line starts").stdout;
        let page = String::from_utf8_lossy(&page).into_owned();
        let applied = page.split("\norder ").filter(|o| o.contains(", index "));
        let end = applied.last()?;
        let is_complete = end.contains("order answered") && end.contains("return");
        is_complete.then(|| end.to_owned())
    });
    for part in [
        "order received",
        "content=return zagreb-a",
        "from=127.0.0.1:",
    ] {
        assert!(explained.contains(part), "{part}: {explained}");
    }
}
