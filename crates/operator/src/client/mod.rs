//! The HTTP client of the command line.
//!
//! Any of its control addresses may be down, unreachable or not the leader. The client
//! tries them in turn, goes to the leader that a follower names, and resends an operation
//! under the same id when an answer is lost. Without an outcome at the deadline it returns
//! [`ClientError::Unreachable`] if no attempt can have been applied, and
//! [`ClientError::OutcomeUnknown`] if one may have been.

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

/// Number of attempts that fit into the deadline if each of them times out.
const ATTEMPTS_PER_DEADLINE: u32 = 6;
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a request has no usable answer.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ClientError {
    /// No control address is given.
    #[snafu(display("no control address is given"))]
    NoAddress,
    /// No control replica accepted the request before the deadline; nothing was changed.
    #[snafu(display("no control replica answers for the table: {last}"))]
    Unreachable {
        /// Failure of the last attempt.
        last: String,
    },
    /// The request was sent, and it is not known whether it was applied.
    #[snafu(display("the outcome is not known: {last}"))]
    OutcomeUnknown {
        /// Failure of the last attempt.
        last: String,
    },
    /// The body of the answer is not the expected JSON.
    #[snafu(display("the answer of {addr} can't be read"))]
    Malformed {
        /// Address of the replica that answered.
        addr: SocketAddr,
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// The request body can't be serialized.
    #[snafu(display("the request can't be written"))]
    Body {
        /// Error of the serializer.
        source: serde_json::Error,
    },
    /// The token or the operator's name isn't valid in a header.
    #[snafu(display(
        "the token or the operator's name has characters that a header can't contain"
    ))]
    Header,
}

/// An answer with any result code.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The result code.
    pub code: ResultCode,
    /// The body as received.
    pub body: Bytes,
    /// Address of the replica that answered.
    pub addr: SocketAddr,
}

impl Reply {
    /// Parses the body.
    ///
    /// # Errors
    ///
    /// Fails if the body is not JSON of this type.
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
    /// A share of the deadline, so that an unresponsive replica leaves time for others and
    /// a longer deadline also gives slow replicas more time.
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
    /// Creates a builder with the defaults documented on its methods.
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

    /// A copy of this client that uses only the replica at `addr`.
    #[must_use]
    pub fn pinned_to(&self, addr: SocketAddr) -> Self {
        let mut cfg = self.cfg.clone();
        cfg.controls = vec![addr];
        Self { cfg }
    }

    /// Sends a `GET` and retries until a replica answers as the leader.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline.
    pub async fn get(&self, path: &str) -> Result<Reply, ClientError> {
        self.run(Method::GET, path, Bytes::new()).await
    }

    /// Sends an operation and resends it until its outcome is known. The body must contain
    /// the operation's id, which makes the resends idempotent.
    ///
    /// # Errors
    ///
    /// Fails if the outcome is not known at the deadline. A refusal is an outcome and no
    /// error here.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> Result<Answer, ClientError> {
        let body = serde_json::to_vec(body).context(BodySnafu)?;
        let reply = self.run(Method::POST, path, body.into()).await?;
        reply.json()
    }

    /// Sends one `GET` to the replica at `addr`, without retries.
    ///
    /// # Errors
    ///
    /// Fails if the replica doesn't answer.
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

    /// Name of the operator, for control replicas on the loopback without a tokens file.
    /// Default none: the operator is recorded as `local`.
    #[must_use]
    pub fn operator(mut self, name: Option<String>) -> Self {
        self.cfg.operator = name;
        self
    }

    /// Maximum time for all attempts together. Default 20 s.
    #[must_use]
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.cfg.deadline = deadline;
        self
    }

    /// Maximum time for one attempt. Default a sixth of the deadline, from 0.5 s to 10 s.
    #[must_use]
    pub fn attempt_timeout(mut self, timeout: Duration) -> Self {
        self.cfg.attempt_timeout = Some(timeout);
        self
    }

    /// Builds the client.
    pub fn build(self) -> Client {
        Client { cfg: self.cfg }
    }
}
