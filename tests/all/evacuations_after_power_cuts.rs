//! Evacuations and their ends that are acknowledged right before all VMs lose power and two of
//! five control replicas lose their disks.
//!
//! One invariant: what was acknowledged is in force afterwards, at control and at gateways, those that
//! start anew among them.

use std::fs::{self, File};
use std::path::Path;
use std::time::{Duration, Instant};

use filberthead_testing::cluster::Node;
use filberthead_testing::proxy::Flow;
use filberthead_testing::site::{Site, request};
use filberthead_testing::{eventually, wait_until};

use crate::evacuations::{BACKLOG, DOMAIN, PATIENCE, leader, order, send};
use crate::groups::site;

const BOUND: Duration = Duration::from_secs(60);
const REPLICAS: usize = 5;
/// The failure domain that is never evacuated.
const OTHER_DOMAIN: &str = "split-a";
/// Delay of each message between replicas: an order that is acknowledged before a majority has it is
/// lost if power is cut within this time.
const LINK_DELAY: Duration = Duration::from_millis(30);
/// Magic bytes, length, sequence number and checksum before the value of a record in a replica's log.
const RECORD_HEADER: usize = 4 + 4 + 8 + 4;

/// The replica that an order is sent to.
#[derive(Clone, Copy)]
enum SentTo {
    Leader,
    Follower,
}

/// Two gateways, and an endpoint in each of two failure domains.
#[track_caller]
fn start() -> Site {
    let builder = site().replicas(REPLICAS).tolerate(2).seeds(3).gateways(2);
    let mut site = builder.start();
    for domain in [DOMAIN, OTHER_DOMAIN] {
        site.add_endpoint("catalogue", domain);
    }
    site.put_routes(7, &[("catalogue", "safe")]);
    (0..2).for_each(|gateway| site.wait_serving(gateway));
    wait_until("all vote", BOUND, || {
        let mut controls = site.controls.iter();
        controls.all(|node| node.metric("voters") >= REPLICAS as f64)
    });
    let names: Vec<_> = site.controls.iter().map(|node| [node.name()]).collect();
    let groups: Vec<_> = names.iter().map(<[&str; 1]>::as_slice).collect();
    site.network.set_between(&groups, Flow::Delay(LINK_DELAY));
    site
}

/// Sends an order until it is acknowledged. Returns the replica that did, and the leader.
#[track_caller]
fn acknowledge(site: &Site, call: &str, sent_to: SentTo) -> (usize, usize) {
    eventually(call, BOUND, || {
        let led_by = leader(site, |_| true);
        let replica = match sent_to {
            SentTo::Leader => led_by,
            SentTo::Follower => (led_by + 1) % REPLICAS,
        };
        send(&site.controls[replica], call, PATIENCE).then_some((replica, led_by))
    })
}

/// Cuts the power of all processes at once. The replica that acknowledged the last order and another
/// one, the leader if possible, lose their disks, and the others all writes that weren't synced.
/// Gateways store nothing.
fn cut_power(site: &mut Site, (acknowledged_by, led_by): (usize, usize)) {
    std::thread::scope(|scope| {
        let nodes = site.controls.iter_mut().chain(&mut site.gateways);
        nodes.for_each(|node| {
            scope.spawn(|| node.kill());
        });
    });
    let other = match acknowledged_by == led_by {
        true => (led_by + 1) % REPLICAS,
        false => led_by,
    };
    for (replica, node) in site.controls.iter_mut().enumerate() {
        match [acknowledged_by, other].contains(&replica) {
            true => node.wipe(),
            false => lose_unsynced(node.data()),
        }
    }
}

/// Removes what a replica has written to its log and hasn't marked as synced.
fn lose_unsynced(data: &Path) {
    let sequence_number = |record: &[u8]| {
        let bytes = record.get(8..16)?.try_into().ok()?;
        Some(u64::from_le_bytes(bytes))
    };
    let synced = fs::read(data.join("synced")).expect("a mark");
    let synced = sequence_number(&synced).expect("a sequence number");
    let files = fs::read_dir(data).expect("a folder").flatten();
    let logs = files.filter(|file| file.file_name().to_string_lossy().starts_with("log-"));
    let logs = logs.map(|file| file.path());
    let path = logs.filter(|path| path.extension().is_none()).max();
    let path = path.expect("a log");
    let log = fs::read(&path).expect("a log");
    let mut kept = 0;
    while let Some(record) = log.get(kept..)
        && let Some(number) = sequence_number(record)
        // A log begins with a record that is synced before its file gets its name.
        && (kept == 0 || number <= synced)
    {
        let len = u32::from_le_bytes([record[4], record[5], record[6], record[7]]);
        kept += RECORD_HEADER + len as usize;
    }
    let file = File::options().write(true).open(&path);
    let len = kept.min(log.len()) as u64;
    file.and_then(|file| file.set_len(len))
        .expect("a shorter log");
}

/// Starts all processes. Returns the length of each replica's and each gateway's log so far.
#[track_caller]
fn restore_power(site: &mut Site) -> Vec<usize> {
    site.network.heal();
    let nodes = site.controls.iter_mut().chain(&mut site.gateways);
    let lens = nodes.map(|node| {
        let len = node.process_ref().log().len();
        node.spawn();
        len
    });
    let lens = lens.collect();
    let nodes = site.controls.iter_mut().chain(&mut site.gateways);
    nodes.for_each(Node::wait_ready);
    lens
}

/// The evacuated failure domains that a process logged last, in what follows `len` bytes of its log: as
/// they changed, or as an order was applied.
fn evacuated(node: &Node, len: usize) -> Option<String> {
    let log = node.process_ref().log();
    let mut lines = log[len..].lines();
    lines
        .rfind(|line| line.contains("evacuated failure domains") || line.contains("order applied"))
        .and_then(|line| Some(line[line.rfind('{')?..].to_owned()))
}

fn runs_in(site: &Site, domain: &str) -> usize {
    let endpoints = site.endpoints.iter().filter(|end| end.domain() == domain);
    endpoints.map(|end| end.runs().len()).sum()
}

/// Sends a request to each gateway. Returns how many were served.
fn request_each(site: &Site) -> usize {
    let served = (0..site.gateways.len()).filter(|gateway| {
        let call = request("GET", "/catalogue/1", &format!("{:?}", Instant::now()));
        let answer = site.request(*gateway, &call);
        answer.is_ok_and(|answer| answer.status == 200)
    });
    served.count()
}

/// Waits until all replicas and gateways have these failure domains as evacuated, and checks that
/// this doesn't change any more.
#[track_caller]
fn assert_in_force(site: &Site, lens: &[usize], expected: &str) {
    // A replica that had stored the evacuations with its note logs no change: it logs what is in force as
    // it applies these routes.
    site.put_routes(8, &[("catalogue", "safe")]);
    let nodes = || site.controls.iter().chain(&site.gateways).zip(lens);
    let is_in_force =
        || nodes().all(|(node, len)| evacuated(node, *len).as_deref() == Some(expected));
    wait_until(expected, BOUND, is_in_force);
    let start = Instant::now();
    while start.elapsed() < BACKLOG {
        assert!(is_in_force(), "after {:?}", start.elapsed());
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[track_caller]
fn assert_evacuated_after_power_cut(sent_to: SentTo) {
    let mut site = start();
    let acknowledged = acknowledge(&site, "evacuations.start", sent_to);
    cut_power(&mut site, acknowledged);
    let lens = restore_power(&mut site);
    assert_in_force(&site, &lens, &format!("{{{DOMAIN}}}"));
    let before = runs_in(&site, DOMAIN);
    let mut served = 0;
    wait_until("both gateways serve", BOUND, || {
        served += request_each(&site);
        served >= 20
    });
    assert_eq!(runs_in(&site, DOMAIN), before);
}

#[track_caller]
fn assert_returned_after_power_cut(sent_to: SentTo) {
    let mut site = start();
    let replicas: Vec<_> = site.controls.iter().collect();
    order(&replicas, "evacuations.start");
    let acknowledged = acknowledge(&site, "evacuations.end", sent_to);
    cut_power(&mut site, acknowledged);
    let lens = restore_power(&mut site);
    assert_in_force(&site, &lens, "{}");
    let before = runs_in(&site, DOMAIN);
    wait_until("the failure domain serves", BOUND, || {
        request_each(&site);
        runs_in(&site, DOMAIN) > before
    });
}

/// An evacuation that its leader acknowledged before the disks of a majority had it would be lost.
#[test]
fn an_evacuation_acknowledged_by_the_leader_survives_a_power_cut_and_lost_disks() {
    assert_evacuated_after_power_cut(SentTo::Leader);
}

/// An evacuation that a replica acknowledged before the disks of a majority had it would be lost.
#[test]
fn an_evacuation_acknowledged_by_a_follower_survives_a_power_cut_and_lost_disks() {
    assert_evacuated_after_power_cut(SentTo::Follower);
}

/// The end of an evacuation that was acknowledged too early would be lost, and its endpoints stay
/// unused.
#[test]
fn the_end_of_an_evacuation_acknowledged_by_the_leader_survives_a_power_cut_and_lost_disks() {
    assert_returned_after_power_cut(SentTo::Leader);
}

/// The same if a replica that doesn't lead acknowledged the end too early.
#[test]
fn the_end_of_an_evacuation_acknowledged_by_a_follower_survives_a_power_cut_and_lost_disks() {
    assert_returned_after_power_cut(SentTo::Follower);
}
