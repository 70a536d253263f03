//! Health probes of endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use filberthead_types::{Incarnation, RequestId};
use http::{Request, StatusCode};
use serde::Deserialize;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::time::Instant;

use crate::{Answer, AnswerCheck, Client, ReadError, RequestBody, Reuse, SendOutcome};

const PATH: &str = "/health";
/// An answer that takes longer than this is treated as none.
const TIMEOUT: Duration = Duration::from_secs(1);
const MAX_ANSWER_LEN: usize = 4096;

/// An endpoint's health report.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct Health {
    /// Whether it accepts requests.
    pub ready: bool,
    /// Whether it is in a planned stop.
    #[serde(default)]
    pub leaving: bool,
    /// Its utilisation, 0 to 1.
    #[serde(default)]
    pub load: f64,
    /// Identifies this start of the endpoint; 0 if not reported.
    #[serde(default)]
    pub incarnation: Incarnation,
}

/// Why a probe failed.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ProbeError {
    /// The endpoint can't be reached, or didn't answer in time.
    #[snafu(display("no answer"))]
    Unreachable,
    /// An answer other than 200.
    #[snafu(display("status {status}"))]
    Status {
        /// Its status.
        status: StatusCode,
    },
    /// The body is incomplete or too long.
    #[snafu(display("the body is incomplete or too long"))]
    Body {
        /// The reader's error.
        source: ReadError,
    },
    /// The body isn't a valid health report.
    #[snafu(display("the body is not a valid health report"))]
    Malformed {
        /// The parser's error.
        source: serde_json::Error,
    },
}

/// Requests a health report from the endpoint at `addr`.
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
    let body = answer.connection.read_body(body, MAX_ANSWER_LEN, |_| {});
    let body = body.await.context(BodySnafu)?;
    answer.connection.release();
    serde_json::from_slice(&body).context(MalformedSnafu)
}
