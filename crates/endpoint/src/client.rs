//! Sends a request and classifies the outcome by whether the request may have run.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filberthead_types::{RequestId, header};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use log::debug;
use tokio::time::{Instant, timeout_at};

use crate::late::Sending;
use crate::pool::Pool;
use crate::{Connection, LateHeads, RequestBody, Reuse};

/// Outcome of sending a request.
#[derive(Debug)]
pub enum SendOutcome {
    /// The head of the answer was received and passed its check.
    Answer(Answer),
    /// No byte of the request reached the other side; returns the request.
    NotSent(Request<RequestBody>, Unsent),
    /// The same, but the request can't be returned: the connection had it, and had not written any of it. It
    /// is closed, so none of it is written later.
    Unwritten(Unsent),
    /// The connection broke after sending began: the request may have run.
    Lost,
    /// Bytes came that are no answer to the request, no end of its head, or an answer whose body can't be decoded:
    /// the request may have run. The connection is closed.
    Invalid,
    /// The deadline passed after sending began: the request may have run. The connection is
    /// closed.
    TimedOut,
}

/// Why nothing of a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsent {
    /// The deadline passed before a connection was ready.
    DeadlinePassed,
    /// Connecting timed out.
    ConnectTimedOut,
    /// The other side refused the connection.
    ConnectRefused,
    /// Connecting failed in another way.
    ConnectFailed,
    /// The connection ended before the request was written.
    ConnectionEnded,
    /// The caller no longer wanted it to be sent.
    Withdrawn,
}

impl Unsent {
    /// Short stable name, for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::DeadlinePassed => "deadline-passed",
            Self::ConnectTimedOut => "connect-timed-out",
            Self::ConnectRefused => "connect-refused",
            Self::ConnectFailed => "connect-failed",
            Self::ConnectionEnded => "connection-ended",
            Self::Withdrawn => "withdrawn",
        }
    }
}

/// How an answer is checked to belong to its request.
#[derive(Clone, Copy, Debug)]
pub enum AnswerCheck<'a> {
    /// A request id in the answer must be this one, and the body must be framed by a length or
    /// by chunks, so that truncation is detected.
    Id(RequestId),
    /// If the answer has this header, its value must be that of the request. The body needs no
    /// framing: without a length it ends with the connection, either cleanly or with an error.
    Echo {
        /// The header.
        name: &'a HeaderName,
        /// Its value in the request.
        value: &'a HeaderValue,
    },
}

/// An answer and the connection from which its body is still read.
#[derive(Debug)]
pub struct Answer {
    /// Head and unread body.
    pub response: Response<Incoming>,
    /// To be released once the body was read to its end.
    pub connection: Connection,
}

/// Sends requests over pooled connections.
#[derive(Clone, Debug, Default)]
pub struct Client {
    pool: Rc<Pool>,
    late_heads: Option<LateHeads>,
}

impl Client {
    /// Creates a client with this timeout for opening a connection.
    pub fn with_connect_timeout(timeout: Duration) -> Self {
        Self {
            pool: Rc::new(Pool::new(timeout)),
            late_heads: None,
        }
    }

    /// The same client, for a request whose answer is wanted also when nobody waits for it any more.
    #[must_use]
    pub fn with_late_heads(&self, late_heads: LateHeads) -> Self {
        Self {
            pool: Rc::clone(&self.pool),
            late_heads: Some(late_heads),
        }
    }

    /// Sends a request and waits until `deadline` for the head of its answer.
    ///
    /// To cancel the request, drop the returned future, which closes the connection. It is reset at once,
    /// unless there are [`LateHeads`].
    pub async fn send(
        &self,
        addr: SocketAddr,
        check: AnswerCheck<'_>,
        reuse: Reuse,
        deadline: Instant,
        req: Request<RequestBody>,
    ) -> SendOutcome {
        self.send_noting(addr, check, reuse, deadline, req, || {})
            .await
    }

    /// Like [`send`](Self::send), and calls `on_send` just before the first byte may leave.
    pub async fn send_noting(
        &self,
        addr: SocketAddr,
        check: AnswerCheck<'_>,
        reuse: Reuse,
        deadline: Instant,
        req: Request<RequestBody>,
        on_send: impl FnOnce(),
    ) -> SendOutcome {
        let may_send = || {
            on_send();
            true
        };
        self.send_if(addr, check, reuse, deadline, req, may_send)
            .await
    }

    /// Like [`send`](Self::send), and asks `may_send` just before the first byte may leave. If it may
    /// not, the request comes back as [`Unsent::Withdrawn`].
    pub async fn send_if(
        &self,
        addr: SocketAddr,
        check: AnswerCheck<'_>,
        reuse: Reuse,
        deadline: Instant,
        req: Request<RequestBody>,
        may_send: impl FnOnce() -> bool,
    ) -> SendOutcome {
        let connection = match timeout_at(deadline, self.pool.connection(addr, reuse)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(e)) => {
                debug!(addr:%, request:? = check, error:% = e; "request not sent");
                return SendOutcome::NotSent(req, e.unsent());
            }
            Err(_) => return SendOutcome::NotSent(req, Unsent::DeadlinePassed),
        };
        // The timeout above yields a connection that is ready although the deadline has passed.
        if Instant::now() >= deadline {
            connection.release();
            return SendOutcome::NotSent(req, Unsent::DeadlinePassed);
        }
        if !may_send() {
            connection.release();
            return SendOutcome::NotSent(req, Unsent::Withdrawn);
        }
        let method = req.method().clone();
        let outstanding = connection.outstanding.clone();
        let sending = Sending::start(connection, req, deadline, self.late_heads.clone());
        let (connection, mut response) = match timeout_at(deadline, sending).await {
            Ok((connection, Ok(response))) => (connection, response),
            Ok((connection, Err(mut e))) => {
                debug!(addr:%, request:? = check, error:% = e.error(); "sending a request failed");
                // hyper returns the request only if it had not begun to write it.
                return match e.take_message() {
                    Some(req) => SendOutcome::NotSent(req, Unsent::ConnectionEnded),
                    None if !outstanding.is_begun() => {
                        SendOutcome::Unwritten(Unsent::ConnectionEnded)
                    }
                    None if connection.outstanding.has_received() => SendOutcome::Invalid,
                    None => SendOutcome::Lost,
                };
            }
            // The wait has ended, and with it the connection's task, which would have written the request.
            Err(_) if !outstanding.is_begun() => {
                return SendOutcome::Unwritten(Unsent::DeadlinePassed);
            }
            Err(_) => return SendOutcome::TimedOut,
        };
        connection.outstanding.head_received();
        ignore_length_beside_coding(response.headers_mut());
        if !has_body(&response, &method) {
            keep_one_length(response.headers_mut());
        }
        if let Some(reason) = rejection_reason(&response, &method, check) {
            debug!(addr:%, request:? = check, reason; "answer rejected, closing its connection");
            return SendOutcome::Invalid;
        }
        SendOutcome::Answer(Answer {
            response,
            connection,
        })
    }

    /// Opens a new connection and closes it without a request.
    ///
    /// # Errors
    ///
    /// Says why there is no connection by `deadline`.
    pub async fn connect_only(&self, addr: SocketAddr, deadline: Instant) -> Result<(), Unsent> {
        let connecting = self.pool.connection(addr, Reuse::Never);
        match timeout_at(deadline, connecting).await {
            Ok(Ok(_connection)) => Ok(()),
            Ok(Err(e)) => Err(e.unsent()),
            Err(_) => Err(Unsent::DeadlinePassed),
        }
    }

    /// Number of open connections to an address, including idle ones.
    pub fn open_count(&self, addr: SocketAddr) -> u32 {
        self.pool.open_count(addr)
    }

    /// Number of idle connections to an address.
    pub fn idle_count(&self, addr: SocketAddr) -> u32 {
        self.pool.idle_count(addr)
    }

    /// Closes the idle connections to an address that is no longer in use.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.pool.close_idle(addr);
    }
}

/// Why an answer must not be passed to the caller; `None` if it may.
fn rejection_reason(
    response: &Response<Incoming>,
    method: &Method,
    check: AnswerCheck<'_>,
) -> Option<&'static str> {
    let crossed = match check {
        AnswerCheck::Id(id) => is_crossed(response, id),
        AnswerCheck::Echo { name, value } => {
            response.headers().get(name).is_some_and(|v| v != value)
        }
    };
    if crossed {
        return Some("the answer has the id of another request");
    }
    if !is_final(response.status()) {
        return Some("the answer has no final status of the protocol");
    }
    if has_body(response, method) && has_unknown_coding(response.headers()) {
        return Some("the answer has a transfer coding other than chunks");
    }
    if matches!(check, AnswerCheck::Id(_)) && is_unframed(response, method) {
        return Some("the answer has neither a length nor chunks");
    }
    None
}

/// Whether a status ends a request. The protocol has none from 600 on, and no request here asks for another protocol,
/// which is what 101 answers.
pub(crate) fn is_final(status: StatusCode) -> bool {
    !status.is_informational() && status.as_u16() < 600
}

/// Whether an answer has the id of another request: a proxy or the endpoint confused two
/// connections, or sent an answer that came too late for its own request.
fn is_crossed(response: &Response<Incoming>, id: RequestId) -> bool {
    let named = response.headers().get(header::REQUEST_ID);
    named.is_some_and(|named| named.to_str().ok().and_then(|text| text.parse().ok()) != Some(id))
}

/// Removes the length of an answer that has a transfer coding, which is what frames its body. Passed on, the length
/// would frame a part of the body as the whole.
fn ignore_length_beside_coding(headers: &mut HeaderMap) {
    if headers.contains_key(TRANSFER_ENCODING) {
        headers.remove(CONTENT_LENGTH);
    }
}

/// Removes a length that is none, or that differs between lines, and repeated lines. hyper checks the lengths of
/// bodies only, and fails to write repeated ones without a body.
fn keep_one_length(headers: &mut HeaderMap) {
    let http::header::Entry::Occupied(mut lines) = headers.entry(CONTENT_LENGTH) else {
        return;
    };
    let first = lines.get().clone();
    let is_number = !first.is_empty() && first.as_bytes().iter().all(u8::is_ascii_digit);
    if is_number && lines.iter().all(|line| *line == first) {
        lines.insert(first);
    } else {
        lines.remove();
    }
}

/// Whether an answer's body ends with its connection, so that a truncated body can't be
/// distinguished from a complete one. Only for one without an unknown transfer coding.
fn is_unframed(response: &Response<Incoming>, method: &Method) -> bool {
    let headers = response.headers();
    let framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    has_body(response, method) && !framed
}

/// Whether a body follows the head of an answer.
fn has_body(response: &Response<Incoming>, method: &Method) -> bool {
    let status = response.status();
    method != Method::HEAD && status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED
}

/// Whether a body has transfer codings that aren't decoded, which are all but that of chunks, once. The header isn't
/// passed on, so the caller would take the coded bytes for the body.
fn has_unknown_coding(headers: &HeaderMap) -> bool {
    let lines = headers.get_all(TRANSFER_ENCODING).iter();
    let mut codings = lines.flat_map(|line| line.as_bytes().split(|byte| *byte == b','));
    let is_chunked = |coding: &[u8]| coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
    match (codings.next(), codings.next()) {
        (None, _) => false,
        (Some(coding), None) => !is_chunked(coding),
        (Some(_), Some(_)) => true,
    }
}
