//! The HTTP client of the command line.
//!
//! It is given some control addresses, of which any may be down, cut off or no leader,
//! and hides that: it goes round them, follows the leader that they name, and sends the
//! same act again under the same id when an answer is lost. What it can't hide it says
//! truly: [`ClientError::Unreachable`] if no attempt can have taken effect, and
//! [`ClientError::OutcomeUnknown`] if one may have.

mod http1;
mod plan;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use filberthead_types::ResultCode;
use http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};
use tokio::time::{self, Instant};

use crate::Answer;
use plan::{Attempt, Plan, Step};

/// Attempts that a deadline leaves time for, if each of them is met by silence.
const ATTEMPTS_PER_DEADLINE: u32 = 6;
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);

/// Why an act or a look has no answer.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ClientError {
    /// No control address is given.
    #[snafu(display("no control address is given"))]
    NoAddress,
    /// No control replica could take it before the deadline; nothing was changed.
    #[snafu(display("no control replica answers for the table: {last}"))]
    Unreachable {
        /// What came of the last attempt.
        last: String,
    },
    /// It was sent, and whether it took effect is not known.
    #[snafu(display("the outcome is not known: {last}"))]
    OutcomeUnknown {
        /// What came of the last attempt.
        last: String,
    },
    /// The answer is none of this API.
    #[snafu(display("the answer of {addr} can't be read"))]
    Malformed {
        /// Who gave it.
        addr: SocketAddr,
        /// The parser's word.
        source: serde_json::Error,
    },
    /// The body can't be written.
    #[snafu(display("the request can't be written"))]
    Body {
        /// The writer's word.
        source: serde_json::Error,
    },
    /// The token or the operator's name can't stand in a header.
    #[snafu(display("the token or the operator's name holds characters that no header takes"))]
    Header,
}

/// An answer, whatever its result.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The result code.
    pub code: ResultCode,
    /// The body as it came.
    pub body: Bytes,
    /// Who gave it.
    pub addr: SocketAddr,
}

impl Reply {
    /// Reads the body.
    ///
    /// # Errors
    ///
    /// Fails if it has another shape.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ClientError> {
        let addr = self.addr;
        serde_json::from_slice(&self.body).context(MalformedSnafu { addr })
    }
}

/// A client of the control replicas.
#[derive(Clone, Debug)]
pub struct Client {
    cfg: Config,
}

#[derive(Clone)]
struct Config {
    controls: Vec<SocketAddr>,
    token: Option<String>,
    operator: Option<String>,
    deadline: Duration,
    attempt_timeout: Option<Duration>,
}

impl Config {
    /// A share of the deadline, so that one silent replica leaves time for others, and
    /// an operator who grants more time also grants it to a replica that is slow.
    fn attempt_timeout(&self) -> Duration {
        let share = self.deadline / ATTEMPTS_PER_DEADLINE;
        let share = share.clamp(MIN_ATTEMPT_TIMEOUT, MAX_ATTEMPT_TIMEOUT);
        self.attempt_timeout.unwrap_or(share)
    }
}

impl std::fmt::Debug for Config {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Config")
            .field("controls", &self.controls)
            .field("token", &self.token.as_ref().map(|_| "..."))
            .field("operator", &self.operator)
            .finish_non_exhaustive()
    }
}

/// Builds a [`Client`].
#[derive(Clone, Debug)]
pub struct ClientBuilder {
    cfg: Config,
}

impl Client {
    /// Starts from the defaults that each method names.
    pub fn builder(controls: impl IntoIterator<Item = SocketAddr>) -> ClientBuilder {
        ClientBuilder {
            cfg: Config {
                controls: controls.into_iter().collect(),
                token: None,
                operator: None,
                deadline: Duration::from_secs(20),
                attempt_timeout: None,
            },
        }
    }

    /// The addresses that are tried.
    pub fn controls(&self) -> &[SocketAddr] {
        &self.cfg.controls
    }

    /// The same client for one replica only.
    #[must_use]
    pub fn pinned_to(&self, addr: SocketAddr) -> Self {
        let mut cfg = self.cfg.clone();
        cfg.controls = vec![addr];
        Self { cfg }
    }

    /// Looks at something that only the leader can show.
    ///
    /// # Errors
    ///
    /// Fails if no replica shows it before the deadline.
    pub async fn get(&self, path: &str) -> Result<Reply, ClientError> {
        self.run(Method::GET, path, Bytes::new()).await
    }

    /// Sends an act, again and again until its outcome is known. The body has to hold
    /// the act's id.
    ///
    /// # Errors
    ///
    /// Fails if no outcome is known at the deadline. An outcome that is a refusal is no
    /// error here.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> Result<Answer, ClientError> {
        let body = serde_json::to_vec(body).context(BodySnafu)?;
        let reply = self.run(Method::POST, path, body.into()).await?;
        reply.json()
    }

    /// Looks at one replica only, once.
    ///
    /// # Errors
    ///
    /// Fails if it doesn't answer.
    pub async fn get_from(&self, addr: SocketAddr, path: &str) -> Result<Reply, ClientError> {
        let req = http1::request(&self.cfg, &Method::GET, path, Bytes::new())?;
        match http1::attempt(addr, req, self.cfg.attempt_timeout()).await {
            Attempt::Answered(reply) => Ok(reply),
            Attempt::NotSent(last) | Attempt::Lost(last) => UnreachableSnafu { last }.fail(),
        }
    }

    async fn run(&self, method: Method, path: &str, body: Bytes) -> Result<Reply, ClientError> {
        ensure!(!self.cfg.controls.is_empty(), NoAddressSnafu);
        let deadline = Instant::now() + self.cfg.deadline;
        let is_write = method != Method::GET;
        let mut plan = Plan::new(&self.cfg.controls, is_write);
        let mut addr = plan.first();
        loop {
            let req = http1::request(&self.cfg, &method, path, body.clone())?;
            let timeout = self.cfg.attempt_timeout().min(deadline - Instant::now());
            let attempt = http1::attempt(addr, req, timeout).await;
            match plan.next(attempt) {
                Step::Done(reply) => return Ok(reply),
                Step::Try { next, backoff } => {
                    if Instant::now() + backoff >= deadline {
                        return Err(plan.into_error());
                    }
                    time::sleep(backoff).await;
                    addr = next;
                }
            }
        }
    }
}

impl ClientBuilder {
    /// Bearer token. Default none.
    #[must_use]
    pub fn token(mut self, token: Option<String>) -> Self {
        self.cfg.token = token;
        self
    }

    /// Who acts, for control replicas on the loopback that ask for no token. Default
    /// none: the records say `local`.
    #[must_use]
    pub fn operator(mut self, name: Option<String>) -> Self {
        self.cfg.operator = name;
        self
    }

    /// Longest time for all attempts together. Default 20 s.
    #[must_use]
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.cfg.deadline = deadline;
        self
    }

    /// Longest time for one attempt. Default a sixth of the deadline, from 0.5 s to 10 s.
    #[must_use]
    pub fn attempt_timeout(mut self, timeout: Duration) -> Self {
        self.cfg.attempt_timeout = Some(timeout);
        self
    }

    /// The finished client.
    pub fn build(self) -> Client {
        Client { cfg: self.cfg }
    }
}
