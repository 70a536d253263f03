//! Operators' commands against a cluster of control replicas.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

use filberthead_testing::cluster::{Cluster, Node};
use serde_json::Value;

use crate::support::programs;

/// Timeout for a command that has to succeed, however busy the machine is.
const TIMEOUT_SECS: &str = "120";

/// The timeout to add to a command that reaches the replicas and sets none.
fn timeout_args(args: &[&str]) -> &'static [&'static str] {
    let is_local = matches!(args.first(), Some(&"token" | &"check") | None);
    if is_local || args.contains(&"--timeout") {
        &[]
    } else {
        &["--timeout", TIMEOUT_SECS]
    }
}

/// Exit code and output of a command.
#[derive(Debug)]
pub(super) struct CliResult {
    pub(super) exit: i32,
    pub(super) out: String,
    pub(super) err: String,
}

impl CliResult {
    fn new(output: &Output) -> Self {
        Self {
            exit: output
                .status
                .code()
                .expect("the command line ends by itself"),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }

    /// Fails unless the command ended with this exit code.
    #[track_caller]
    pub(super) fn expect(self, exit: i32) -> Self {
        assert_eq!(self.exit, exit, "{self:?}");
        self
    }

    #[track_caller]
    pub(super) fn json(&self) -> Value {
        serde_json::from_str(&self.out).expect("JSON on standard output")
    }
}

/// A system of control replicas without entries, and the folder in which an operator's
/// commands run.
pub(super) struct Session {
    pub(super) cluster: Cluster,
    controls: Vec<SocketAddr>,
}

impl Session {
    /// Starts this many replicas and forms a group of them with the command line.
    pub(super) fn start(replicas: usize) -> Self {
        let mut session =
            Self::with_cluster(Cluster::builder(programs()).replicas(replicas).prepare());
        session.form_group(replicas);
        session
    }

    /// Starts the replicas of a prepared cluster, without forming a group.
    pub(super) fn with_cluster(mut cluster: Cluster) -> Self {
        cluster.controls.iter_mut().for_each(Node::spawn);
        cluster.controls.iter_mut().for_each(Node::wait_ready);
        let controls = cluster.operator_addrs();
        Self { cluster, controls }
    }

    /// Forms a group of the first `replicas` replicas.
    pub(super) fn form_group(&mut self, replicas: usize) {
        let addrs = self.cluster.operator_addrs();
        self.run_at(&addrs[..1], "ana", &["control", "init"])
            .expect(0);
        for (addr, number) in addrs[1..replicas].iter().zip(2..) {
            let add = ["control", "add", &addr.to_string()];
            self.run_at(&addrs[..1], "ana", &add).expect(0);
            let name = format!("control-{number}");
            self.run_at(&addrs[..1], "ana", &["control", "promote", &name])
                .expect(0);
        }
    }

    pub(super) fn path(&self, file: &str) -> PathBuf {
        self.cluster.dir().join(file)
    }

    /// Runs a command as `user`, with the addresses of all replicas.
    pub(super) fn run(&self, user: &str, args: &[&str]) -> CliResult {
        self.run_at(&self.controls, user, args)
    }

    /// Runs a command as `user`, with these replica addresses.
    pub(super) fn run_at(&self, controls: &[SocketAddr], user: &str, args: &[&str]) -> CliResult {
        let output = self.command(controls, user, args).output();
        CliResult::new(&output.expect("the command line starts"))
    }

    /// Starts a command; [`Session::wait`] waits for its end.
    pub(super) fn spawn(&self, user: &str, args: &[&str]) -> Child {
        let child = self.command(&self.controls, user, args).spawn();
        child.expect("the command line starts")
    }

    pub(super) fn wait(child: Child) -> CliResult {
        CliResult::new(&child.wait_with_output().expect("the command line ends"))
    }

    fn command(&self, controls: &[SocketAddr], user: &str, args: &[&str]) -> Command {
        let list: Vec<_> = controls.iter().map(ToString::to_string).collect();
        let mut command = Command::new(&self.cluster.programs().cli);
        command
            .args(args)
            .args(timeout_args(args))
            .current_dir(self.cluster.dir())
            .env_clear()
            .env("FILBERTHEAD_CONTROL", list.join(","))
            .env("USER", user)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        command
    }

    /// Adds two regions of one service, as `ana`: versions 1 and 2.
    pub(super) fn add_rows(&self) {
        for region in ["zagreb", "split"] {
            let args = [
                "table",
                "set",
                "orders",
                region,
                "--weight",
                "50",
                "--limit",
                "36",
                "--shift-cap",
                "12",
                "--note",
                "first rows",
            ];
            self.run("ana", &args).expect(0);
        }
    }

    pub(super) fn set(&self, user: &str, region: &str, weight: &str, more: &[&str]) -> CliResult {
        let mut args = vec![
            "table", "set", "orders", region, "--weight", weight, "--note", "a note",
        ];
        args.extend(more);
        self.run(user, &args)
    }

    pub(super) fn table(&self) -> Value {
        let shown = self.run("ana", &["table", "show", "--json"]).expect(0);
        shown.json()
    }

    pub(super) fn version(&self) -> u64 {
        self.table()["version"].as_u64().expect("a version")
    }

    pub(super) fn weight(&self, region: &str) -> u64 {
        let table = self.table();
        let rows = table["rows"].as_array().expect("rows");
        let row = rows.iter().find(|row| row["region"] == region);
        row.expect("the row")["weight"].as_u64().expect("a weight")
    }

    /// Replaces text in a CSV file, as an operator's edit would.
    pub(super) fn edit_sheet(&self, file: &str, from: &str, to: &str) {
        let path = self.path(file);
        let text = fs::read_to_string(&path).expect("the sheet");
        assert!(text.contains(from), "{text}");
        fs::write(&path, text.replace(from, to)).expect("written");
    }
}
