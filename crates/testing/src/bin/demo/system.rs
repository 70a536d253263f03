//! The processes of the demonstration.

use std::fmt;
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use filberthead_testing::client::{Answer, Call, CallError};
use filberthead_testing::cluster::{Cluster, Node, Programs};
use filberthead_testing::operator::Operator;
use serde::Deserialize;

/// How long a step waits for a condition.
const BOUND: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Why a step failed.
#[derive(Debug)]
pub(crate) enum StepError {
    /// A request got no complete answer.
    Call(CallError),
    /// A result differs from the expected one.
    Unexpected(String),
}

impl fmt::Display for StepError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(e) => e.fmt(f),
            Self::Unexpected(what) => f.write_str(what),
        }
    }
}

impl From<CallError> for StepError {
    fn from(e: CallError) -> Self {
        Self::Call(e)
    }
}

/// Fails a step with the text `what` unless `holds`.
pub(crate) fn ensure(holds: bool, what: impl FnOnce() -> String) -> Result<(), StepError> {
    if holds {
        Ok(())
    } else {
        Err(StepError::Unexpected(what()))
    }
}

/// Polls `probe` until it returns a value, and fails the step if it returns none within [`BOUND`].
pub(crate) fn wait_for<T>(
    what: &str,
    mut probe: impl FnMut() -> Option<T>,
) -> Result<T, StepError> {
    let deadline = std::time::Instant::now() + BOUND;
    loop {
        if let Some(value) = probe() {
            return Ok(value);
        }
        ensure(std::time::Instant::now() < deadline, || {
            format!("not within {BOUND:?}: {what}")
        })?;
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// A look-up's answer.
#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct Lookup {
    pub(crate) entries: Vec<LookupEntry>,
    pub(crate) ttl_seconds: u64,
    pub(crate) key_prefix: String,
}

/// An entry in a look-up's answer.
#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct LookupEntry {
    pub(crate) address: SocketAddr,
    pub(crate) failure_domain: String,
}

/// Three control replicas, two entries in each of two failure domains, and endpoints.
#[derive(Debug)]
pub(crate) struct System {
    pub(crate) cluster: Cluster,
    pub(crate) operator: Operator,
}

impl System {
    pub(crate) fn start() -> Self {
        let cluster = Cluster::builder(Programs::beside_this_one())
            .places(&[("zagreb", "zagreb-a"), ("split", "split-a")])
            .entries_each(2)
            .service("catalogue", 2)
            .service("orders", 2)
            .service("lessons", 2)
            .entry_setting("callers", "lookup_ttl", "1s")
            .start();
        let operator = Operator::new("demo", cluster.operator_addrs());
        Self { cluster, operator }
    }

    /// Runs the command line as an operator would, and returns its output.
    pub(crate) fn run(&self, args: &[&str]) -> Result<String, StepError> {
        self.run_at(&self.cluster.operator_addrs(), args)
    }

    /// Like [`run`](Self::run), with these control replicas only.
    pub(crate) fn run_at(
        &self,
        controls: &[SocketAddr],
        args: &[&str],
    ) -> Result<String, StepError> {
        let controls: Vec<_> = controls.iter().map(ToString::to_string).collect();
        let output = Command::new(&self.cluster.programs().cli)
            .args(args)
            .args(["--as", "demo", "--timeout", "60"])
            .env("FILBERTHEAD_CONTROL", controls.join(","))
            .output()
            .map_err(|e| StepError::Unexpected(format!("filberthead can't be run: {e}")))?;
        let text = |bytes| String::from_utf8_lossy(bytes).trim().to_owned();
        ensure(output.status.success(), || {
            let error = text(&output.stderr);
            format!("filberthead {}: {error}", args.join(" "))
        })?;
        Ok(text(&output.stdout))
    }

    /// Sets a row, waits (`--wait`) until every entry reports the change as in force, and returns
    /// the command's output.
    pub(crate) fn set(
        &self,
        service: &str,
        region: &str,
        weight: &str,
    ) -> Result<String, StepError> {
        let args = [
            "table",
            "set",
            service,
            region,
            "--weight",
            weight,
            "--limit",
            "100",
            "--shift-cap",
            "50",
            "--allow",
            "limit-above-slots",
            "--note",
            "demo",
            "--wait",
        ];
        self.run(&args)
    }

    pub(crate) fn look_up(&self, entry: SocketAddr, service: &str) -> Option<Lookup> {
        let path = format!("/v1/lookup?service={service}");
        let answer = Call::get(&path).send(entry).ok()?;
        let answered = answer.status.is_success();
        answered.then(|| answer.json())
    }

    /// Sends a request until its answer is something other than "not run".
    pub(crate) fn send(&self, to: SocketAddr, call: &Call) -> Result<Answer, StepError> {
        let answer = wait_for("an answer of an endpoint", || match call.send(to) {
            Ok(answer) if answer.is_not_run() => None,
            result => Some(result),
        })?;
        Ok(answer?)
    }
}

impl fmt::Display for System {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Cluster {
            controls,
            entries,
            endpoints,
            ..
        } = &self.cluster;
        let names = |nodes: &[Node]| -> Vec<_> {
            let names = nodes.iter().map(Node::name);
            names.map(str::to_owned).collect()
        };
        let nodes = [names(controls), names(entries)].concat().join(", ");
        write!(f, "{nodes} and {} stand-in endpoints", endpoints.len())
    }
}
