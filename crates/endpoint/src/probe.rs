//! Asks an endpoint how it is.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use filberthead_types::{Incarnation, RequestId};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::Deserialize;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::time::Instant;

use crate::{Answer, AnswerCheck, Client, RequestBody, Reuse, SendOutcome};

const PATH: &str = "/health";
/// An answer that takes longer tells less than none.
const TIMEOUT: Duration = Duration::from_secs(1);
const MAX_ANSWER_LEN: usize = 4096;

/// What an endpoint says about itself.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct Health {
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// How full it is, 0 to 1.
    #[serde(default)]
    pub load: f64,
    /// Drawn at its start; 0 if it says nothing.
    #[serde(default)]
    pub incarnation: Incarnation,
}

/// Why there is no answer that counts.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ProbeError {
    /// The endpoint can't be reached, or not in time.
    #[snafu(display("no answer"))]
    Unreachable,
    /// An answer other than 200.
    #[snafu(display("status {status}"))]
    Status {
        /// Its status.
        status: StatusCode,
    },
    /// The body was cut or is too long.
    #[snafu(display("the body was cut or is too long"))]
    Body {
        /// The reader's word.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The body is no health report.
    #[snafu(display("the body is no health report"))]
    Malformed {
        /// The parser's word.
        source: serde_json::Error,
    },
}

/// Asks the endpoint at `addr`.
///
/// # Errors
///
/// Fails if no well-formed report comes within a second.
pub async fn probe(client: &Client, addr: SocketAddr, id: RequestId) -> Result<Health, ProbeError> {
    let req = Request::get(PATH).body(RequestBody::Buffered(Bytes::new()));
    let req = req.ok().context(UnreachableSnafu)?;
    let deadline = Instant::now() + TIMEOUT;
    let sent = client
        .send(addr, AnswerCheck::Id(id), Reuse::Allowed, deadline, req)
        .await;
    let SendOutcome::Answer(answer) = sent else {
        return UnreachableSnafu.fail();
    };
    match tokio::time::timeout_at(deadline, read(answer)).await {
        Ok(health) => health,
        Err(_) => UnreachableSnafu.fail(),
    }
}

async fn read(answer: Answer) -> Result<Health, ProbeError> {
    let (head, body) = answer.response.into_parts();
    let status = head.status;
    ensure!(status == StatusCode::OK, StatusSnafu { status });
    let body = Limited::new(body, MAX_ANSWER_LEN).collect().await;
    let body = body.context(BodySnafu)?.to_bytes();
    answer.connection.release();
    serde_json::from_slice(&body).context(MalformedSnafu)
}
