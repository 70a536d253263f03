//! What every command that talks to control replicas shares.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use filberthead_operator::{Answer, Client, ClientError, HistoryBody, RecordBody, Reply, Status};
use filberthead_types::{ChangeId, ResultCode, Version};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time;

use super::args::Args;
use super::error::{CliError, Exit, Result};
use super::text;

/// Names the control addresses if no option does, separated by commas.
const CONTROL_ENV: &str = "FILBERTHEAD_CONTROL";

/// Names the file of the bearer token if no option does.
const TOKEN_FILE_ENV: &str = "FILBERTHEAD_TOKEN_FILE";

/// Who acts, where control replicas ask for no token.
const USER_ENV: &str = "USER";

/// How often the versions in force are asked for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

const DEFAULT_TIMEOUT_SECS: u64 = 20;

/// Longest `--timeout`, in seconds.
const MAX_TIMEOUT_SECS: u64 = 3600;

/// Where the acts go and how results are shown.
pub(super) struct Session {
    client: Client,
    json: bool,
    change_id: Option<ChangeId>,
    timeout: Duration,
}

/// Whether an act is to be sent.
enum Submission {
    /// Yes, under this id.
    Send(ChangeId),
    /// No: the id that the operator gave is on record, so this is how it ended.
    Recorded(Box<RecordBody>),
}

/// What to do once a change is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterAccept {
    Return,
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
            let message = format!("--timeout goes from 1 to {MAX_TIMEOUT_SECS} seconds");
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

    /// Looks at a document that only the leader can show.
    pub(super) async fn get_from_leader<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let reply = self.client.get(path).await.map_err(CliError::from_read)?;
        decode_reply(&reply)
    }

    /// Looks at a document of one replica, once: others may have the answer.
    pub(super) async fn get_once_from<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T> {
        let reply = self.client.get_from(addr, path).await;
        decode_reply(&reply.map_err(CliError::from_read)?)
    }

    /// Looks at a document that only this replica has, until it answers.
    pub(super) async fn get_from<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T> {
        let reply = self.client.only(addr).get(path).await;
        decode_reply(&reply.map_err(CliError::from_read)?)
    }

    /// Draws an id, or looks up the one that the operator gave. A resend may have to be
    /// made on another table than the first attempt; what is on record goes first.
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

    /// Sends the act that `make_body` makes of its id until the outcome is known, shows it,
    /// and does what is asked for besides.
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

    /// Waits until every entry that control hears of reports a version as in force.
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

    /// Says how a command goes on, beside its result.
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

    /// Shows how an act ended that is on record.
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

    /// Prints a document, as JSON or as the text that is made of it.
    pub(super) fn show(&self, document: &impl Serialize, text: impl FnOnce() -> String) {
        if !self.json {
            text::print(&text());
            return;
        }
        // No document has a map whose keys are no texts, the one cause of a failure.
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
    let mut given = args.option_values("control");
    if given.is_empty() {
        given.extend(std::env::var(CONTROL_ENV).ok());
    }
    let words = given.iter().flat_map(|list| list.split(','));
    let words: Vec<_> = words.map(str::trim).filter(|w| !w.is_empty()).collect();
    if words.is_empty() {
        let message = format!("name control replicas by --control IP:PORT or {CONTROL_ENV}");
        return Err(CliError::usage(message));
    }
    let parse = |word: &str| {
        word.parse()
            .map_err(|e| CliError::usage(format!("--control: `{word}`: {e}; give IP:PORT")))
    };
    words.into_iter().map(parse).collect()
}

// From a file and not from the command line, where every user of the machine sees it.
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
