//! The steps of the demonstration.

use std::net::SocketAddr;
use std::time::Instant;

use filberthead_testing::client::Call;
use filberthead_testing::proxy::{Direction, Flow};
use filberthead_testing::standin::{Payload, Stage};
use filberthead_types::Version;

use crate::system::{StepError, System, ensure, wait_for};

type StepResult = Result<String, StepError>;

pub(crate) fn make_group(system: &mut System) -> StepResult {
    let addrs = system.cluster.operator_addrs();
    let (first, others) = addrs.split_at(1);
    system.run_at(first, &["control", "init"])?;
    for (number, addr) in others.iter().enumerate() {
        system.run_at(first, &["control", "add", &addr.to_string()])?;
        let name = format!("control-{}", number + 2);
        system.run_at(first, &["control", "promote", &name])?;
    }
    let leader = wait_for("a leader", || system.operator.leader())?;
    Ok(format!("{} leads in term {}", leader.node, leader.term))
}

pub(crate) fn set_rows(system: &mut System) -> StepResult {
    for service in ["catalogue", "orders", "lessons"] {
        for region in ["zagreb", "split"] {
            system.set(service, region, "50")?;
        }
    }
    in_force(system)
}

/// Waits until each entry applies the table's current version, and describes the result.
fn in_force(system: &System) -> StepResult {
    let table = wait_for("the table", || system.operator.try_table())?;
    for entry in &system.cluster.entries {
        wait_for("the version in force", || {
            let version = entry.version_in_force();
            version.filter(|version| *version >= table.version)
        })?;
    }
    let (version, entries) = (table.version, system.cluster.entries.len());
    Ok(format!("version {version} in force at {entries} entries"))
}

pub(crate) fn look_up(system: &mut System) -> StepResult {
    let entry = system.cluster.entries[0].addr("caller");
    let lookup = wait_for("entries of two failure domains", || {
        let lookup = system.look_up(entry, "catalogue")?;
        let domains = |domain| lookup.entries.iter().any(|e| e.failure_domain == domain);
        (domains("zagreb-a") && domains("split-a")).then_some(lookup)
    })?;
    let entries: Vec<_> = lookup
        .entries
        .iter()
        .map(|entry| format!("{} in {}", entry.address, entry.failure_domain))
        .collect();
    let ttl = lookup.ttl_seconds;
    Ok(format!("{}; good for {ttl} s", entries.join(", ")))
}

pub(crate) fn read(system: &mut System) -> StepResult {
    let entry = system.cluster.entries[0].addr("caller");
    let path = "/cards/7?bytes=20000";
    let call = Call::get(&format!("/v1/services/catalogue{path}"));
    let answer = system.send(entry, &call)?;
    let expected = Payload::of_answer("GET", path, b"").slice(0, 20_000);
    ensure(answer.body == expected, || {
        format!("{} with another body", answer.status)
    })?;
    let endpoint = answer.header("standin");
    Ok(format!(
        "20000 bytes of {endpoint}, byte for byte the caller's own"
    ))
}

pub(crate) fn change(system: &mut System) -> StepResult {
    let before = system.operator.table().version;
    let output = system.set("catalogue", "split", "80")?;
    let after = in_force(system)?;
    let output = output.lines().next().unwrap_or_default().to_owned();
    ensure(
        system.operator.table().version == Version(before.0 + 1),
        || format!("{output}, from version {before}"),
    )?;
    Ok(format!("{output}; {after}"))
}

pub(crate) fn order(system: &mut System) -> StepResult {
    let (first, other) = two_domains(system);
    let prefix = wait_for("a prefix for keys", || {
        let prefix = system.look_up(first, "orders")?.key_prefix;
        (!prefix.is_empty()).then_some(prefix)
    })?;
    let key = format!("{prefix}demo-order-1");
    let order = Call::post("/v1/services/orders/place", &key, "three rabbits");
    let answer = order.send(first)?;
    ensure(answer.result() == Some(1000), || {
        format!("{} {}", answer.status, answer.text())
    })?;
    let again = order.send(other)?;
    ensure(again.body == answer.body, || {
        format!("sent again: {} {}", again.status, again.text())
    })?;
    let runs = system.cluster.record().executions_of(&key);
    ensure(runs == 1, || format!("it ran {runs} times"))?;
    let result = again.result().unwrap_or_default();
    Ok(format!(
        "ran once; sent again at the other failure domain: the same answer, result {result}"
    ))
}

/// Addresses of two entries in different failure domains.
fn two_domains(system: &System) -> (SocketAddr, SocketAddr) {
    let addrs = system.cluster.caller_addrs();
    (addrs[0], addrs[addrs.len() - 1])
}

pub(crate) fn kill_leader(system: &mut System) -> StepResult {
    let leader = wait_for("a leader", || system.operator.leader())?;
    let name = leader.node.as_str();
    system.cluster.control(name).kill();
    let killed = Instant::now();
    let output = system.set("orders", "split", "60")?;
    let gap = killed.elapsed().as_secs_f64();
    let output = output.lines().next().unwrap_or_default().to_owned();
    system.cluster.control(name).start();
    let after = in_force(system)?;
    Ok(format!(
        "{name} killed, {output} and in force {gap:.3} s later; {after}"
    ))
}

/// Rate of the caller's throttled link, in bytes per second.
const THROTTLED_RATE: u64 = 400_000;
const LESSON_BYTES: usize = 1_000_000;

pub(crate) fn drain(system: &mut System) -> StepResult {
    let (leaving, other) = two_domains(system);
    let proxy = system.cluster.entries[0].proxy("caller");
    proxy.set(Direction::ToClient, Flow::Throttle(THROTTLED_RATE));
    let path = format!("/v1/services/lessons/download/cups?bytes={LESSON_BYTES}");
    let download = std::thread::spawn(move || Call::get(&path).send(leaving));
    wait_for("the download begins", || {
        let record = system.cluster.record();
        let begun = record.count(Stage::Executed, |seen| seen.path.contains("cups"));
        (begun > 0).then_some(())
    })?;
    system.cluster.entries[0].process().terminate();
    let stop_sent = Instant::now();
    wait_for("no look-up names it", || {
        let lookup = system.look_up(other, "lessons")?;
        let named = lookup.entries.iter().any(|entry| entry.address == leaving);
        (!named).then_some(())
    })?;
    let unlisted_after = stop_sent.elapsed().as_secs_f64();
    let answer = download
        .join()
        .expect("the caller's thread ends by itself")?;
    let matches = Payload::of_download("cups", 1).matches(0, &answer.body);
    ensure(matches && answer.body.len() == LESSON_BYTES, || {
        format!("{} and {} bytes", answer.status, answer.body.len())
    })?;
    let status = system.cluster.entries[0].wait_exit();
    ensure(status.success(), || format!("it ended with {status}"))?;
    let ended_after = stop_sent.elapsed().as_secs_f64();
    Ok(format!(
        "out of look-ups after {unlisted_after:.3} s, the download whole, ended in order after {gap:.3} s",
        gap = ended_after
    ))
}

pub(crate) fn status(system: &mut System) -> StepResult {
    let text = system.run(&["status"])?;
    let lines: Vec<_> = text
        .lines()
        .map(|line| format!("\n       {line}"))
        .collect();
    Ok(lines.concat())
}
