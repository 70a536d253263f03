//! `filberthead key ...`: the keys of workspaces.

use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_adapter::client::OrdersClient;
use filberthead_adapter::keys::KeyChange;
use serde_json::json;

use super::args::{self, Args};
use super::error::{CliError, Exit, Result};
use super::text;

const COMMANDS: &[&str] = &["add", "replace", "revoke"];

/// Environment variable with the control replicas' addresses for routes, separated by commas;
/// used without `--orders`.
const ORDERS_ENV: &str = "FILBERTHEAD_ORDERS";
/// `--timeout` if not given, in seconds.
const DEFAULT_TIMEOUT_SECS: u64 = 20;
/// `--overlap` if not given, in seconds: time for callers to change over by hand.
const DEFAULT_OVERLAP_SECS: u64 = 300;
/// Longest `--timeout` and `--overlap`, in seconds.
const MAX_SECS: u64 = 86_400;

/// What to do with the keys of a workspace.
enum Command {
    Add {
        key: String,
    },
    Replace {
        old: String,
        new: String,
        overlap: Duration,
    },
    Revoke {
        key: String,
    },
}

/// The options that all commands share.
struct Session {
    client: OrdersClient,
    workspace: String,
    json: bool,
}

pub(super) fn run(mut args: Args, json: bool) -> Result<Exit> {
    let word = args.positional("a command; see `filberthead help key`")?;
    let workspace = args.positional("the workspace's name")?;
    let command = match word.as_str() {
        "add" => Command::Add {
            key: read_key(&mut args, "key-file")?,
        },
        "replace" => Command::Replace {
            old: read_key(&mut args, "old-key-file")?,
            new: read_key(&mut args, "key-file")?,
            overlap: seconds(&mut args, "overlap", DEFAULT_OVERLAP_SECS)?,
        },
        "revoke" => Command::Revoke {
            key: read_key(&mut args, "key-file")?,
        },
        other => return Err(args::unknown_name("command", other, COMMANDS)),
    };
    let timeout = seconds(&mut args, "timeout", DEFAULT_TIMEOUT_SECS)?;
    let client = OrdersClient::new(orders_addrs(&mut args)?, timeout);
    args.finish()?;
    let session = Session {
        client,
        workspace,
        json,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| CliError::fault(format!("can't start the runtime: {e}")))?;
    runtime.block_on(session.execute(command))
}

impl Session {
    async fn execute(&self, command: Command) -> Result<Exit> {
        let version = match command {
            Command::Add { key } => self.change(KeyChange::Add(key)).await?,
            Command::Revoke { key } => self.change(KeyChange::Revoke(key)).await?,
            Command::Replace { old, new, overlap } => self.replace(old, new, overlap).await?,
        };
        let workspace = &self.workspace;
        if self.json {
            let document = json!({ "workspace": workspace, "version": version });
            text::print(&format!("{document:#}\n"));
        } else {
            text::print(&format!(
                "in force with version {version}: the keys of workspace {workspace}\n"
            ));
        }
        Ok(Exit::Done)
    }

    /// Lets callers use both keys for the overlap, and then revokes the old one. Run again after
    /// a failure it goes on where it was.
    async fn replace(&self, old: String, new: String, overlap: Duration) -> Result<u64> {
        if old == new {
            return Err(CliError::usage("the old key and the new one are the same"));
        }
        let version = self.change(KeyChange::Add(new)).await?;
        eprintln!(
            "version {version} has both keys; the old one is revoked in {} s",
            overlap.as_secs()
        );
        tokio::time::sleep(overlap).await;
        self.change(KeyChange::Revoke(old)).await
    }

    async fn change(&self, change: KeyChange) -> Result<u64> {
        let changed = self.client.change_key(&self.workspace, &change).await;
        changed.map_err(CliError::Orders)
    }
}

/// Reads a key from a file, or from standard input if it is `-`: on the command line every user
/// of the VM could see it.
fn read_key(args: &mut Args, option: &str) -> Result<String> {
    let path = args
        .option(option)?
        .ok_or_else(|| CliError::usage(format!("--{option} FILE is missing")))?;
    let mut text = String::new();
    let read = match path.as_str() {
        "-" => std::io::stdin().lock().read_to_string(&mut text),
        path => std::fs::File::open(path).and_then(|mut f| f.read_to_string(&mut text)),
    };
    read.map_err(|e| CliError::usage(format!("can't read the key file {path}: {e}")))?;
    Ok(text.trim().to_owned())
}

fn seconds(args: &mut Args, option: &str, default: u64) -> Result<Duration> {
    let secs = args.parse_option(option)?.unwrap_or(default);
    if !(1..=MAX_SECS).contains(&secs) {
        let message = format!("--{option} must be from 1 to {MAX_SECS} seconds");
        return Err(CliError::usage(message));
    }
    Ok(Duration::from_secs(secs))
}

fn orders_addrs(args: &mut Args) -> Result<Vec<SocketAddr>> {
    let missing = format!("name control replicas by --orders IP:PORT or {ORDERS_ENV}");
    args::addrs(args, "orders", ORDERS_ENV, &missing)
}
