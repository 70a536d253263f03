//! Distribution of the table from an operator to every entry.

use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use filberthead_testing::client::Call;
use filberthead_testing::cluster::{Builder, Cluster, Node};
use filberthead_testing::{eventually, wait_until};
use serde_json::{Value, json};

use crate::support::programs;

const BOUND: Duration = Duration::from_secs(90);
/// Several times the time in which an entry notices a partition: it considers a leader
/// silent after 3 s.
const CUT_OFF_BOUND: Duration = Duration::from_secs(20);
/// Longer than a process may be suspended without starting over.
const SUSPENSION: Duration = Duration::from_secs(7);

fn two_domains() -> Builder {
    Cluster::builder(programs())
        // The majority of the control replicas runs in the first one.
        .places(&[("split", "split-a"), ("zagreb", "zagreb-a")])
        .entries_each(2)
        .service("catalogue", 1)
        .entry_setting("callers", "lookup_ttl", "1s")
}

/// A system whose control replicas form a group.
struct System {
    cluster: Cluster,
    /// Version of the last accepted change.
    version: u64,
    /// Index of the replica that accepted the last change.
    leader: usize,
}

impl System {
    fn start(builder: Builder) -> Self {
        let mut cluster = builder.prepare();
        cluster.controls.iter_mut().for_each(Node::spawn);
        cluster.controls.iter_mut().for_each(Node::wait_ready);
        let mut system = Self {
            cluster,
            version: 0,
            leader: 0,
        };
        system.form_group();
        let entries = &mut system.cluster.entries;
        entries.iter_mut().for_each(Node::spawn);
        entries.iter_mut().for_each(Node::wait_ready);
        system
    }

    fn form_group(&self) {
        self.run_cli(&["control", "init"]);
        let addrs = self.cluster.operator_addrs();
        for (addr, number) in addrs[1..].iter().zip(2..) {
            self.run_cli(&["control", "add", &addr.to_string()]);
            self.run_cli(&["control", "promote", &format!("control-{number}")]);
        }
    }

    fn run_cli(&self, args: &[&str]) {
        let first = self.cluster.operator_addrs()[0].to_string();
        let output = Command::new(&self.cluster.programs().cli)
            .args(args)
            .env_clear()
            .env("FILBERTHEAD_CONTROL", first)
            .env("USER", "ana")
            .output()
            .expect("the command line starts");
        assert!(output.status.success(), "{args:?}: {output:?}");
    }

    /// Sets the weights of both regions in one change and returns its version.
    fn set_weights(&mut self, zagreb: u32, split: u32) -> u64 {
        let revision = self.version;
        let edit = |region: &str, weight: u32| {
            json!({"service": "catalogue", "region": region, "revision": revision, "set":
                {"weight": weight, "limit": 9, "shift_cap": 9, "objective": "latency"}})
        };
        let id = format!("{:032x}", revision + 1);
        let edits = [edit("zagreb", zagreb), edit("split", split)];
        // Some of these regions have fewer slots than the limit, which is irrelevant here.
        let allow = ["limit-above-slots"];
        let body = json!({"id": id, "note": "a note", "edits": edits, "allow": allow});
        let call = Call::new("POST", "/v1/changes")
            .header("content-type", "application/json")
            .header("filberthead-operator", "ana")
            .body(body.to_string());
        // Any of them may lead, and an election may be in progress.
        let addrs = self.cluster.operator_addrs();
        let order = (self.leader..addrs.len()).chain(0..self.leader);
        let (index, answer) = eventually("the change is accepted", BOUND, || {
            let sent = |index: usize| Some((index, call.send(addrs[index]).ok()?));
            let mut answers = order.clone().filter_map(sent);
            answers.find(|(_, answer)| answer.result() == Some(2000))
        });
        self.leader = index;
        let body: Value = answer.json();
        self.version = body["version"].as_u64().expect("a version");
        self.version
    }

    fn wait_in_force(&self, version: u64) {
        let addrs: Vec<_> = self.cluster.entries.iter().map(status_addr).collect();
        wait_until("the version is in force everywhere", BOUND, || {
            addrs.iter().all(|addr| {
                let state = state(*addr);
                state["version"] == version && state["readiness"] == "proven"
            })
        });
    }
}

fn status_addr(node: &Node) -> SocketAddr {
    node.direct_addr("status")
}

fn state(addr: SocketAddr) -> Value {
    let answer = Call::get("/status").send(addr);
    answer.map_or(Value::Null, |answer| answer.json())
}

/// Regions that a look-up returns, or the result code of its refusal.
fn look_up(addr: SocketAddr) -> Result<Vec<String>, u16> {
    let answer = Call::get("/v1/lookup?service=catalogue").send(addr);
    let answer = answer.expect("the entry answers");
    if answer.status != 200 {
        return Err(answer.result().expect("a result code"));
    }
    let body: Value = answer.json();
    let entries = body["entries"].as_array().expect("entries");
    let region = |entry: &Value| entry["region"].as_str().expect("a region").to_owned();
    Ok(entries.iter().map(region).collect())
}

#[test]
fn a_change_is_in_force_at_every_entry_and_shown_in_status() {
    let mut system = System::start(two_domains());
    for weight in 1..10 {
        system.set_weights(weight, 10);
    }
    let version = system.set_weights(3, 10);
    system.wait_in_force(version);
    let addrs = system.cluster.operator_addrs();
    wait_until("status shows it", BOUND, || {
        let calls = addrs.iter().map(|addr| Call::get("/v1/status").send(*addr));
        calls.flatten().any(|answer| {
            let body: Value = answer.json();
            let entries = body["entries"].as_array().cloned().unwrap_or_default();
            entries.len() == 4 && entries.iter().all(|entry| entry["version"] == version)
        })
    });
}

/// Zagreb is partitioned while operators outside may add services. Its entry goes on with
/// its table, as it should; but it answered 404 to callers of a service that the table
/// lacks, which they take as final, although only the newest table can tell that there is
/// no such service. It must answer 503 until it receives from the leader again.
#[test]
fn an_entry_that_is_cut_off_denies_no_service() {
    let mut system = System::start(two_domains().entries_each(1));
    let version = system.set_weights(1, 10);
    system.wait_in_force(version);
    let addr = system
        .cluster
        .entry("entry-zagreb-a-1")
        .direct_addr("caller");
    let status_and_code = |path: &str| {
        let answer = Call::get(path).send(addr).expect("the entry answers");
        (answer.status.as_u16(), answer.result())
    };
    let paths = ["/v1/lookup?service=lessons", "/v1/services/lessons/first"];
    let denied = |path: &&str| status_and_code(path) == (404, Some(1100));
    wait_until("the newest table denies it", BOUND, || {
        paths.iter().all(denied)
    });
    let inside = system.cluster.names_in("zagreb-a");
    let outside = system.cluster.names_in("split-a");
    let groups = [&inside, &outside].map(|names| names.iter().map(String::as_str).collect());
    let [inside, outside]: [Vec<_>; 2] = groups;
    system.cluster.network.partition(&[&inside, &outside]);
    let is_not_ready = |path: &&str| status_and_code(path) == (503, Some(1206));
    wait_until("callers get 503 instead", CUT_OFF_BOUND, || {
        paths.iter().all(is_not_ready)
    });
    assert!(
        look_up(addr).is_ok(),
        "services of its table are still looked up"
    );
    system.cluster.network.heal();
    wait_until("the newest table denies it", BOUND, || {
        paths.iter().all(denied)
    });
}

/// An entry of Zagreb is down while operators make 300 changes, the last of which drains
/// the region. Once it is back, no caller may be sent to Zagreb by the earlier weights,
/// not even by the first look-up that it answers.
#[test]
fn an_entry_restarted_after_300_changes_uses_no_old_weights() {
    let mut system = System::start(two_domains());
    let version = system.set_weights(10, 1);
    system.wait_in_force(version);
    system.cluster.entry("entry-zagreb-a-2").kill();
    for round in 1..300 {
        system.set_weights(10 + round % 7, 1);
    }
    let version = system.set_weights(0, 10);
    let entry = system.cluster.entry("entry-zagreb-a-2");
    entry.start();
    let addr = entry.direct_addr("caller");
    let mut answered = 0;
    wait_until("look-ups are answered again", BOUND, || {
        match look_up(addr) {
            // Its own region is drained; without a table it refuses.
            Ok(regions) => {
                assert!(
                    regions.iter().all(|region| region == "split"),
                    "{regions:?}"
                );
                answered += 1;
            }
            Err(code) => assert!([1100, 1206, 4100].contains(&code), "{code}"),
        }
        answered >= 20
    });
    system.wait_in_force(version);
}

/// The only entry of a failure domain restarts while the domain is partitioned, so it
/// can't learn the newest weights. Its status shows that, and it serves its callers from
/// the endpoints of its own domain; when the partition heals it uses the table again.
#[test]
fn an_entry_that_restarts_cut_off_serves_its_own_domain_cautiously() {
    let mut system = System::start(two_domains().entries_each(1));
    let version = system.set_weights(1, 10);
    system.wait_in_force(version);
    let inside = system.cluster.names_in("zagreb-a");
    let outside = system.cluster.names_in("split-a");
    let groups = [&inside, &outside].map(|names| names.iter().map(String::as_str).collect());
    let [inside, outside]: [Vec<_>; 2] = groups;
    system.cluster.network.partition(&[&inside, &outside]);
    // If the replica inside led, its lease outlasts the cut for a moment.
    let replica = system.cluster.control("control-2").addr("operator");
    wait_until("no replica inside leads", BOUND, || {
        let status = Call::get("/v1/status").send(replica);
        status.is_ok_and(|status| status.json::<Value>()["holds_lease"] == false)
    });
    let entry = system.cluster.entry("entry-zagreb-a-1");
    entry.restart();
    let (addr, status) = (entry.direct_addr("caller"), status_addr(entry));
    wait_until("the entry serves", BOUND, || {
        let answer = Call::get("/v1/services/catalogue/tricks").send(addr);
        answer.is_ok_and(|answer| answer.status == 200)
    });
    let shown = state(status);
    assert_eq!(shown["readiness"], "cautious", "{shown}");
    assert_eq!(look_up(addr), Ok(vec!["zagreb".to_owned()]));
    system.cluster.network.heal();
    system.wait_in_force(version);
}

/// An entry is suspended by a signal for longer than its proof holds, and misses the
/// change that drains its region. Resumed, it can't tell that it was suspended; callers
/// whose look-ups waited all the time must not be answered by the old weights.
#[test]
fn a_resumed_entry_uses_no_old_weights() {
    let mut system = System::start(two_domains());
    let version = system.set_weights(10, 1);
    system.wait_in_force(version);
    let entry = system.cluster.entry("entry-zagreb-a-2");
    let addr = entry.direct_addr("caller");
    entry.process().suspend();
    let begin = Instant::now();
    let version = system.set_weights(0, 10);
    // These connect at once and are answered after the entry has resumed.
    let waiting: Vec<_> = (0..20)
        .map(|_| std::thread::spawn(move || look_up(addr)))
        .collect();
    wait_until("the entry was suspended for long enough", BOUND, || {
        begin.elapsed() > SUSPENSION
    });
    system.cluster.entry("entry-zagreb-a-2").process().resume();
    for look_up in waiting {
        match look_up.join().expect("no panic") {
            Ok(regions) => assert!(
                regions.iter().all(|region| region == "split"),
                "{regions:?}"
            ),
            Err(code) => assert_eq!(code, 1206),
        }
    }
    system.wait_in_force(version);
}
