//! A caller's request as passed to the thread that sends requests to endpoints.

use std::net::IpAddr;

use filberthead_types::{Incarnation, NodeName, RequestId, ServiceName};
use http::Request;
use hyper::body::Incoming;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::Answer;

/// How often a request may be sent to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Execution {
    /// A safe method (`GET`, `HEAD`, `OPTIONS`): any number of times.
    Repeatable,
    /// `PUT` or `DELETE` without a key. HTTP allows the caller to send it again, so it needs
    /// no key, but an entry sends it to one endpoint only. The same holds for a request with a
    /// key that was started by the home of its key, which is the entry whose ledger records it.
    Once,
    /// At most once under this idempotency key, whichever entries receive the retries.
    Keyed(String),
}

/// The entry that forwarded a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedBy {
    /// Its name.
    pub name: NodeName,
    /// Its incarnation. Only entries know it, which proves that the header isn't forged by a
    /// caller.
    pub incarnation: Incarnation,
}

/// A request, its deadline and the channel for its answer.
#[derive(Debug)]
pub struct Call {
    /// Identifies the request, and its answer, on every hop.
    pub id: RequestId,
    /// The requested service.
    pub service: ServiceName,
    /// How often it may be sent to an endpoint.
    pub execution: Execution,
    /// When the caller's timeout expires.
    pub deadline: Instant,
    /// The caller's address; of a forwarded request, the one that the forwarding entry sent.
    /// `None` if that entry sent no valid address.
    pub caller: Option<IpAddr>,
    /// How many entries have forwarded it towards the home of its key.
    pub key_hops: u8,
    /// The entry that forwarded it; `None` if it comes from a caller.
    pub forwarded_by: Option<ForwardedBy>,
    /// Method, path and query for the endpoint, headers as received, and the unread body.
    pub request: Request<Incoming>,
    /// Channel for the answer; closed when the caller disconnects.
    pub answer: oneshot::Sender<Answer>,
}
