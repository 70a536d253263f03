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
const CONTROL_VARIABLE: &str = "FILBERTHEAD_CONTROL";

/// Names the file of the bearer token if no option does.
const TOKEN_VARIABLE: &str = "FILBERTHEAD_TOKEN_FILE";

/// Who acts, where control replicas ask for no token.
const USER_VARIABLE: &str = "USER";

/// How often the versions in force are asked for.
const POLL: Duration = Duration::from_millis(20);

const DEFAULT_TIMEOUT_SECS: u64 = 20;

/// Longest `--timeout`, in seconds.
const MAX_TIMEOUT_SECS: u64 = 3600;

/// Where the acts go and how results are shown.
pub(super) struct Session {
    client: Client,
    json: bool,
    id: Option<ChangeId>,
    wait: Duration,
}

/// Whether an act is to be sent.
enum Start {
    /// Yes, under this id.
    Send(ChangeId),
    /// No: the id that the operator gave is on record, so this is how it ended.
    Recorded(Box<RecordBody>),
}

/// What to do once a change is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Then {
    Return,
    WaitInForce,
}

impl Then {
    pub(super) fn take(args: &mut Args) -> Self {
        if args.flag("wait") {
            Self::WaitInForce
        } else {
            Self::Return
        }
    }
}

impl Session {
    pub(super) fn open(args: &mut Args, json: bool) -> Result<Self> {
        let controls = controls(args)?;
        let token = token(args)?;
        let name = args.one("as")?;
        let name = name.or_else(|| std::env::var(USER_VARIABLE).ok());
        let id = args.parsed("change-id")?;
        let secs = args.parsed("timeout")?.unwrap_or(DEFAULT_TIMEOUT_SECS);
        if !(1..=MAX_TIMEOUT_SECS).contains(&secs) {
            let message = format!("--timeout goes from 1 to {MAX_TIMEOUT_SECS} seconds");
            return Err(CliError::usage(message));
        }
        let wait = Duration::from_secs(secs);
        let client = Client::builder(controls)
            .operator(name.filter(|name| token.is_none() && !name.is_empty()))
            .token(token)
            .deadline(wait)
            .build();
        Ok(Self {
            client,
            json,
            id,
            wait,
        })
    }

    pub(super) fn client(&self) -> &Client {
        &self.client
    }

    pub(super) fn json(&self) -> bool {
        self.json
    }

    pub(super) fn given_id(&self) -> Option<ChangeId> {
        self.id
    }

    /// Looks at a document that only the leader can show.
    pub(super) async fn look<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let reply = self.client.get(path).await.map_err(CliError::looking)?;
        document(&reply)
    }

    /// Looks at a document of one replica, once: others may have the answer.
    pub(super) async fn glance_at<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T> {
        let reply = self.client.get_from(addr, path).await;
        document(&reply.map_err(CliError::looking)?)
    }

    /// Looks at a document that only this replica has, until it answers.
    pub(super) async fn look_at<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T> {
        let reply = self.client.pinned_to(addr).get(path).await;
        document(&reply.map_err(CliError::looking)?)
    }

    /// Draws an id, or looks up the one that the operator gave. A resend may have to be
    /// made on another table than the first attempt; what is on record goes first.
    async fn start(&self) -> Result<Start> {
        let Some(id) = self.id else {
            return Ok(Start::Send(ChangeId(rand::random())));
        };
        let history: HistoryBody = self.look(&format!("/v1/history?id={id}")).await?;
        match history.records.into_iter().next() {
            Some(record) => Ok(Start::Recorded(Box::new(record))),
            None => Ok(Start::Send(id)),
        }
    }

    /// Sends the act that `make` makes of its id until the outcome is known, shows it,
    /// and does what is asked for besides.
    pub(super) async fn act<B: Serialize>(
        &self,
        path: &str,
        then: Then,
        make: impl AsyncFnOnce(ChangeId) -> Result<B>,
    ) -> Result<Exit> {
        let id = match self.start().await? {
            Start::Send(id) => id,
            Start::Recorded(record) => return Ok(self.show_recorded(&record)),
        };
        let body = make(id).await?;
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
        match (then, answer.version) {
            (Then::WaitInForce, Some(version)) => self.wait_in_force(version).await,
            _ => Ok(Exit::Done),
        }
    }

    /// Waits until every entry that control hears of reports a version as in force.
    pub(super) async fn wait_in_force(&self, version: Version) -> Result<Exit> {
        let begun = Instant::now();
        loop {
            let status: Status = self.look("/v1/status?leader").await?;
            let entries = status.entries.iter();
            let behind: Vec<_> = entries
                .filter(|entry| entry.version < Some(version))
                .collect();
            let waited = begun.elapsed();
            if behind.is_empty() {
                self.tell(&format!(
                    "in force at {} entries within {} ms",
                    status.entries.len(),
                    waited.as_millis()
                ));
                return Ok(Exit::Done);
            }
            if waited >= self.wait {
                let names: Vec<_> = behind.iter().map(|entry| entry.name.as_str()).collect();
                self.tell(&format!("not yet in force at {}", names.join(", ")));
                return Ok(Exit::NotInForce);
            }
            time::sleep(POLL).await;
        }
    }

    /// Says how a command goes on, beside its result.
    pub(super) fn tell(&self, line: &str) {
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

fn document<T: DeserializeOwned>(reply: &Reply) -> Result<T> {
    if reply.code == ResultCode::ApiAnswered {
        return reply.json().map_err(CliError::looking);
    }
    let answer: std::result::Result<Answer, ClientError> = reply.json();
    Err(CliError::Refused(Box::new(
        answer.map_err(CliError::looking)?,
    )))
}

fn controls(args: &mut Args) -> Result<Vec<SocketAddr>> {
    let mut given = args.many("control");
    if given.is_empty() {
        given.extend(std::env::var(CONTROL_VARIABLE).ok());
    }
    let words = given.iter().flat_map(|list| list.split(','));
    let words: Vec<_> = words.map(str::trim).filter(|w| !w.is_empty()).collect();
    if words.is_empty() {
        let message = format!("name control replicas by --control IP:PORT or {CONTROL_VARIABLE}");
        return Err(CliError::usage(message));
    }
    let parse = |word: &str| {
        word.parse()
            .map_err(|e| CliError::usage(format!("--control: `{word}`: {e}; give IP:PORT")))
    };
    words.into_iter().map(parse).collect()
}

// From a file and not from the command line, where every user of the machine sees it.
fn token(args: &mut Args) -> Result<Option<String>> {
    let path = args.one("token-file")?;
    let Some(path) = path.or_else(|| std::env::var(TOKEN_VARIABLE).ok()) else {
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
