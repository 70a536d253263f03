//! Sends a request and says how that ended.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filberthead_types::{RequestId, header};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use log::debug;
use tokio::time::{Instant, timeout_at};

use crate::pool::Pool;
use crate::{Connection, RequestBody, Reuse};

/// How sending ended.
#[derive(Debug)]
pub enum SendOutcome {
    /// The head of an answer came.
    Answer(Answer),
    /// No byte of the request reached the other side; here it is back.
    NotSent(Request<RequestBody>),
    /// The connection broke with the request on it, or the answer can't be trusted:
    /// the request may have run.
    Lost,
    /// The deadline passed with the request on the connection, which is closed.
    TimedOut,
}

/// How an answer is known to be the one to its request.
#[derive(Clone, Copy, Debug)]
pub enum AnswerCheck<'a> {
    /// If it carries an id, it is this one; and its end can be told from a cut.
    Id(RequestId),
    /// If it carries this header, it has this value. An answer without a length ends with
    /// its connection, in order or else by an error.
    Echo {
        /// The header.
        name: &'a HeaderName,
        /// What the request carried in it.
        value: &'a HeaderValue,
    },
}

/// An answer and the connection that its body is still coming from.
#[derive(Debug)]
pub struct Answer {
    /// Head and unread body.
    pub response: Response<Incoming>,
    /// To be given back once the body was read to its end.
    pub connection: Connection,
}

/// Sends requests over kept connections.
#[derive(Clone, Debug, Default)]
pub struct Client {
    pool: Rc<Pool>,
}

impl Client {
    /// A client that waits no longer than this for a connection.
    pub fn with_connect_timeout(timeout: Duration) -> Self {
        Self {
            pool: Rc::new(Pool::new(timeout)),
        }
    }

    /// Sends a request and waits for the head of its answer until `deadline`.
    ///
    /// Dropping the returned future closes the connection, which is how a request is
    /// cancelled.
    pub async fn send(
        &self,
        addr: SocketAddr,
        check: AnswerCheck<'_>,
        reuse: Reuse,
        deadline: Instant,
        req: Request<RequestBody>,
    ) -> SendOutcome {
        let mut connection = match timeout_at(deadline, self.pool.connection(addr, reuse)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(e)) => {
                debug!(addr:%, request:? = check, error:% = e; "not sent");
                return SendOutcome::NotSent(req);
            }
            Err(_) => return SendOutcome::NotSent(req),
        };
        let method = req.method().clone();
        let sending = connection.sender.try_send_request(req);
        let response = match timeout_at(deadline, sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(mut e)) => {
                debug!(addr:%, request:? = check, error:% = e.error(); "lost while sending");
                // hyper hands the request back only if it had not begun to write it.
                return e
                    .take_message()
                    .map_or(SendOutcome::Lost, SendOutcome::NotSent);
            }
            Err(_) => return SendOutcome::TimedOut,
        };
        if let Some(reason) = rejection_reason(&response, &method, check) {
            debug!(addr:%, request:? = check, reason; "answer dropped with its connection");
            return SendOutcome::Lost;
        }
        SendOutcome::Answer(Answer {
            response,
            connection,
        })
    }

    /// Connections that are open to an address, idle ones included.
    pub fn open_count(&self, addr: SocketAddr) -> u32 {
        self.pool.open_count(addr)
    }

    /// Of these, the ones that the next request can use.
    pub fn idle_count(&self, addr: SocketAddr) -> u32 {
        self.pool.idle_count(addr)
    }

    /// Closes the kept connections to an address that is gone.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.pool.close_idle(addr);
    }
}

/// Why an answer must not be given to the caller.
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
        return Some("it carries the id of another request");
    }
    if matches!(check, AnswerCheck::Id(_)) && is_unframed(response, method) {
        return Some("its end can't be told from a cut");
    }
    None
}

/// An answer that names another request than ours: a proxy or endpoint on the way mixed
/// up two connections, or sends an answer that came too late for its own request.
fn is_crossed(response: &Response<Incoming>, id: RequestId) -> bool {
    let named = response.headers().get(header::REQUEST_ID);
    named.is_some_and(|named| named.to_str().ok().and_then(|text| text.parse().ok()) != Some(id))
}

/// An answer that ends with its connection looks whole however early it was cut.
fn is_unframed(response: &Response<Incoming>, method: &Method) -> bool {
    let headers = response.headers();
    let status = response.status();
    let without_body = method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    let framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    !without_body && !framed
}
