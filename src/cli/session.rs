//! State and requests shared by the commands that call control replicas.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use filberthead_operator::{Answer, Client, ClientError, HistoryBody, RecordBody, Reply, Status};
use filberthead_types::{ChangeId, ResultCode, Version};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time;

use super::args::{self, Args};
use super::error::{CliError, Exit, Result};
use super::text;

/// Environment variable with the control replicas' addresses, separated by commas; used without
/// `--control`.
const CONTROL_ENV: &str = "FILBERTHEAD_CONTROL";

/// Environment variable with the path of the bearer token's file; used without
/// `--token-file`.
const TOKEN_FILE_ENV: &str = "FILBERTHEAD_TOKEN_FILE";

/// Environment variable with the operator's name; used without `--as` and without a token.
const USER_ENV: &str = "USER";

/// Interval at which the status is polled while waiting for a version to be in force.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// `--timeout` if not given, in seconds.
const DEFAULT_TIMEOUT_SECS: u64 = 20;

/// Longest `--timeout`, in seconds.
const MAX_TIMEOUT_SECS: u64 = 3600;

/// The client of the control replicas and the options that these commands share.
pub(super) struct Session {
    client: Client,
    json: bool,
    /// The id from `--change-id`, to resend an act.
    change_id: Option<ChangeId>,
    /// From `--timeout`: bounds all attempts of a request, and the wait for a version.
    timeout: Duration,
}

/// Whether an act has to be sent.
enum Submission {
    /// Send it under this id.
    Send(ChangeId),
    /// The id that the operator gave is in the history already, with this outcome.
    Recorded(Box<RecordBody>),
}

/// What to do once a change is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterAccept {
    Return,
    /// Wait until every entry reports the change as in force (`--wait`).
    WaitInForce,
}

impl AfterAccept {
    pub(super) fn from_args(args: &mut Args) -> Self {
        if args.flag("wait") {
            Self::WaitInForce
        } else {
            Self::Return
        }
    }
}

impl Session {
    pub(super) fn from_args(args: &mut Args, json: bool) -> Result<Self> {
        let controls = control_addrs(args)?;
        let token = read_token(args)?;
        let name = args.option("as")?;
        let name = name.or_else(|| std::env::var(USER_ENV).ok());
        let change_id = args.parse_option("change-id")?;
        let secs = args
            .parse_option("timeout")?
            .unwrap_or(DEFAULT_TIMEOUT_SECS);
        if !(1..=MAX_TIMEOUT_SECS).contains(&secs) {
            let message = format!("--timeout must be from 1 to {MAX_TIMEOUT_SECS} seconds");
            return Err(CliError::usage(message));
        }
        let timeout = Duration::from_secs(secs);
        let client = Client::builder(controls)
            .operator(name.filter(|name| token.is_none() && !name.is_empty()))
            .token(token)
            .deadline(timeout)
            .build();
        Ok(Self {
            client,
            json,
            change_id,
            timeout,
        })
    }

    pub(super) fn client(&self) -> &Client {
        &self.client
    }

    pub(super) fn json(&self) -> bool {
        self.json
    }

    pub(super) fn change_id(&self) -> Option<ChangeId> {
        self.change_id
    }

    /// Gets a document that only the leader serves.
    pub(super) async fn get_from_leader<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let reply = self.client.get(path).await.map_err(CliError::from_read)?;
        decode_reply(&reply)
    }

    /// Gets a document from one replica in a single attempt, as other replicas may serve it too.
    pub(super) async fn get_once_from<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T> {
        let reply = self.client.get_from(addr, path).await;
        decode_reply(&reply.map_err(CliError::from_read)?)
    }

    /// Gets a document that only this replica has, with retries until the deadline.
    pub(super) async fn get_from<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T> {
        let reply = self.client.pinned_to(addr).get(path).await;
        decode_reply(&reply.map_err(CliError::from_read)?)
    }

    /// Generates a change id, or looks up the one that the operator gave. A recorded outcome takes
    /// precedence over a resend, whose body may be built on a newer table than the first
    /// attempt's.
    async fn prepare(&self) -> Result<Submission> {
        let Some(id) = self.change_id else {
            return Ok(Submission::Send(ChangeId(rand::random())));
        };
        let history: HistoryBody = self
            .get_from_leader(&format!("/v1/history?id={id}"))
            .await?;
        match history.records.into_iter().next() {
            Some(record) => Ok(Submission::Recorded(Box::new(record))),
            None => Ok(Submission::Send(id)),
        }
    }

    /// Builds an act with `make_body`, sends it until the outcome is known, prints the outcome, and
    /// waits for the change to be in force if `after_accept` asks for it. An act whose id is
    /// recorded already isn't sent; its recorded outcome is printed.
    pub(super) async fn submit<B: Serialize>(
        &self,
        path: &str,
        after_accept: AfterAccept,
        make_body: impl AsyncFnOnce(ChangeId) -> Result<B>,
    ) -> Result<Exit> {
        let id = match self.prepare().await? {
            Submission::Send(id) => id,
            Submission::Recorded(record) => return Ok(self.show_recorded(&record)),
        };
        let body = make_body(id).await?;
        let answer = self.send(path, id, &body).await?;
        self.show(&answer, || {
            let mut lines = format!("{}\n", answer.message);
            for row in &answer.unchecked {
                lines.push_str(&format!(
                    "note: {row}: not all its entries have reported just now, so not compared with \
                     all that is there\n"
                ));
            }
            lines
        });
        match (after_accept, answer.version) {
            (AfterAccept::WaitInForce, Some(version)) => self.wait_in_force(version).await,
            _ => Ok(Exit::Done),
        }
    }

    /// Waits until every entry in the leader's status reports at least `version` as in force.
    pub(super) async fn wait_in_force(&self, version: Version) -> Result<Exit> {
        let started_at = Instant::now();
        loop {
            let status: Status = self.get_from_leader("/v1/status?leader").await?;
            let entries = status.entries.iter();
            let behind: Vec<_> = entries
                .filter(|entry| entry.version < Some(version))
                .collect();
            let waited = started_at.elapsed();
            if behind.is_empty() {
                self.print_progress(&format!(
                    "in force at {} entries within {} ms",
                    status.entries.len(),
                    waited.as_millis()
                ));
                return Ok(Exit::Done);
            }
            if waited >= self.timeout {
                let names: Vec<_> = behind.iter().map(|entry| entry.name.as_str()).collect();
                self.print_progress(&format!("not yet in force at {}", names.join(", ")));
                return Ok(Exit::NotInForce);
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Prints a line of progress to standard error.
    pub(super) fn print_progress(&self, line: &str) {
        eprintln!("{line}");
    }

    /// Sends an act until its outcome is known.
    pub(super) async fn send(
        &self,
        path: &str,
        id: ChangeId,
        body: &impl Serialize,
    ) -> Result<Answer> {
        let result = self.client.post(path, body).await;
        let answer = result.map_err(|error| CliError::Client {
            id: Some(id),
            error,
        })?;
        if is_success(answer.code) {
            Ok(answer)
        } else {
            Err(CliError::Refused(Box::new(answer)))
        }
    }

    /// Prints the recorded outcome of an act.
    fn show_recorded(&self, record: &RecordBody) -> Exit {
        self.show(record, || {
            format!("on record already:\n{}\n", text::record(record))
        });
        if is_success(record.code) {
            Exit::Done
        } else {
            Exit::Refused
        }
    }

    /// Prints a document as JSON (`--json`), else the result of `text`.
    pub(super) fn show(&self, document: &impl Serialize, text: impl FnOnce() -> String) {
        if !self.json {
            text::print(&text());
            return;
        }
        // Can't fail: no document has a map with keys other than strings.
        let json = serde_json::to_string_pretty(document).unwrap_or_default();
        text::print(&format!("{json}\n"));
    }
}

fn is_success(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::ChangeAccepted | ResultCode::ChangeProposed | ResultCode::ActRecorded
    )
}

fn decode_reply<T: DeserializeOwned>(reply: &Reply) -> Result<T> {
    if reply.code == ResultCode::ApiAnswered {
        return reply.json().map_err(CliError::from_read);
    }
    let answer: std::result::Result<Answer, ClientError> = reply.json();
    Err(CliError::Refused(Box::new(
        answer.map_err(CliError::from_read)?,
    )))
}

fn control_addrs(args: &mut Args) -> Result<Vec<SocketAddr>> {
    let missing = format!("name control replicas by --control IP:PORT or {CONTROL_ENV}");
    args::addrs(args, "control", CONTROL_ENV, &missing)
}

/// Reads the bearer token from a file: on the command line every user of the VM could see it.
fn read_token(args: &mut Args) -> Result<Option<String>> {
    let path = args.option("token-file")?;
    let Some(path) = path.or_else(|| std::env::var(TOKEN_FILE_ENV).ok()) else {
        return Ok(None);
    };
    let text = std::fs::read_to_string(Path::new(&path))
        .map_err(|e| CliError::usage(format!("can't read the token file {path}: {e}")))?;
    let token = text.trim();
    if token.is_empty() {
        return Err(CliError::usage(format!("the token file {path} is empty")));
    }
    Ok(Some(token.to_owned()))
}
