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
pub enum Sent {
    /// The head of an answer came.
    Answer(Answer),
    /// No byte of the request reached the other side; here it is back.
    NotSent(Request<RequestBody>),
    /// The connection broke with the request on it, or the answer can't be trusted:
    /// the request may have run.
    Lost,
    /// The deadline passed with the request on the connection, which is closed.
    Late,
}

/// How an answer is known to be the one to its request.
#[derive(Clone, Copy, Debug)]
pub enum Trust<'a> {
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
        trust: Trust<'_>,
        reuse: Reuse,
        deadline: Instant,
        req: Request<RequestBody>,
    ) -> Sent {
        let mut connection = match timeout_at(deadline, self.pool.connection(addr, reuse)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(e)) => {
                debug!(addr:%, request:? = trust, error:% = e; "not sent");
                return Sent::NotSent(req);
            }
            Err(_) => return Sent::NotSent(req),
        };
        let method = req.method().clone();
        let sending = connection.sender.try_send_request(req);
        let response = match timeout_at(deadline, sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(mut e)) => {
                debug!(addr:%, request:? = trust, error:% = e.error(); "lost while sending");
                // hyper hands the request back only if it had not begun to write it.
                return e.take_message().map_or(Sent::Lost, Sent::NotSent);
            }
            Err(_) => return Sent::Late,
        };
        if let Some(reason) = distrust(&response, &method, trust) {
            debug!(addr:%, request:? = trust, reason; "answer dropped with its connection");
            return Sent::Lost;
        }
        Sent::Answer(Answer {
            response,
            connection,
        })
    }

    /// Connections that are open to an address, idle ones included.
    pub fn open(&self, addr: SocketAddr) -> u32 {
        self.pool.open(addr)
    }

    /// Of these, the ones that the next request can use.
    pub fn idle(&self, addr: SocketAddr) -> u32 {
        self.pool.idle(addr)
    }

    /// Closes the kept connections to an address that is gone.
    pub fn forget(&self, addr: SocketAddr) {
        self.pool.forget(addr);
    }
}

/// Why an answer must not be given to the caller.
fn distrust(
    response: &Response<Incoming>,
    method: &Method,
    trust: Trust<'_>,
) -> Option<&'static str> {
    let crossed = match trust {
        Trust::Id(id) => is_crossed(response, id),
        Trust::Echo { name, value } => response.headers().get(name).is_some_and(|v| v != value),
    };
    if crossed {
        return Some("it carries the id of another request");
    }
    if matches!(trust, Trust::Id(_)) && is_unframed(response, method) {
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
