//! The state of a request across its attempts.

use std::net::IpAddr;
use std::time::Duration;

use filberthead_caller::{Call, CallerGroup, Execution, Refusal};
use filberthead_endpoint::{Hop, KeyHop, RequestBody, Reuse, request_headers};
use filberthead_steer::RequestInfo;
use filberthead_types::{Meaning, NodeName, RequestId, ResultCode, ServiceName};
use http::header::HOST;
use http::request::Parts;
use http::{HeaderValue, Request, Uri};
use tokio::time::Instant;

use super::core::{Core, Target};
use super::takeover::Takeover;

/// Maximum wait for a slot of an attempt after the first.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// A caller's request without its body, and the results of the attempts so far.
#[derive(Debug)]
pub(crate) struct RequestContext {
    /// Request id, the same on every hop.
    pub(crate) id: RequestId,
    /// The requested service.
    pub(crate) service: ServiceName,
    /// How often it may run, and its idempotency key if it has one.
    pub(crate) execution: Execution,
    /// When its caller stops waiting.
    pub(crate) deadline: Instant,
    /// Head as the caller sent it, with the path and query for the endpoint.
    pub(crate) parts: Parts,
    /// Endpoints and entries that it was sent to, the last one at the end; the next attempt
    /// avoids them.
    pub(crate) tried: Vec<NodeName>,
    /// Whether an attempt may have run it. Once set, no refusal may mean "not run".
    pub(crate) may_have_run: bool,
    /// The first entry that was lost while it had this request, and whose endpoints another
    /// entry takes over.
    pub(crate) takeover: Option<Takeover>,
    /// Whether the caller has received part of the answer already; the next attempt is for
    /// the rest.
    pub(crate) resuming: bool,
    /// Number of entries that have forwarded it towards its key's home.
    pub(crate) hops: u8,
    /// Whether this entry is its key's home and has started it.
    started: bool,
    /// Whether it came from another entry, which then records it in its metrics.
    pub(crate) from_entry: bool,
    /// The caller's address, if known.
    caller: Option<IpAddr>,
    /// The entry that sent it here for an endpoint; cleared when it starts at its home.
    forwarded_by: Option<NodeName>,
}

impl RequestContext {
    /// Splits a call into its context, its body and the channel for its answer.
    pub(crate) fn new(call: Call) -> (Self, RequestBody, Reply) {
        let (parts, body) = call.request.into_parts();
        let ctx = Self {
            id: call.id,
            service: call.service,
            execution: call.execution,
            deadline: call.deadline,
            parts,
            tried: Vec::new(),
            may_have_run: false,
            takeover: None,
            resuming: false,
            hops: call.key_hops,
            started: false,
            from_entry: call.forwarded_by.is_some(),
            caller: call.caller,
            forwarded_by: call.forwarded_by.map(|by| by.name),
        };
        (ctx, RequestBody::from(body), call.answer)
    }

    /// Replaces a refusal that means "not run" by `EndpointLost` if an attempt may have run
    /// the request.
    pub(crate) fn restrict_refusal(&self, refusal: Refusal) -> Refusal {
        let not_run = refusal.code.meaning() == Meaning::NotRun;
        let code = if self.may_have_run && not_run {
            ResultCode::EndpointLost
        } else {
            refusal.code
        };
        Refusal { code, ..refusal }
    }

    /// Records that the last target was lost and may have run it.
    pub(crate) fn record_lost(&mut self, core: &Core) {
        self.may_have_run = true;
        if self.takeover.is_none() {
            let cluster = core.cluster.borrow();
            let target = self.tried.last();
            self.takeover = target.and_then(|target| Takeover::after_loss(target, &cluster));
        }
    }

    /// Whether it is repeatable and a takeover of the lost entry's endpoints may still
    /// serve it.
    pub(crate) fn awaits_takeover(&self, core: &Core) -> bool {
        let cluster = core.cluster.borrow();
        let mut takeover = self.takeover.iter();
        self.is_repeatable() && takeover.any(|t| t.is_possible(self.deadline, &cluster))
    }

    /// Whether another entry sent it here for an endpoint of this entry.
    pub(crate) fn is_forwarded(&self) -> bool {
        self.forwarded_by.is_some()
    }

    /// Records that its key's home, this entry, has started it. It may then be placed
    /// anywhere, also if another entry sent it here.
    pub(crate) fn mark_started(&mut self) {
        self.started = true;
        self.forwarded_by = None;
    }

    /// The state of its key in the headers for the next entry.
    fn key_hop(&self) -> KeyHop {
        match self.execution {
            Execution::Keyed(_) if self.started => KeyHop::Started,
            Execution::Keyed(_) => KeyHop::ToHome(self.hops.saturating_add(1)),
            Execution::Repeatable | Execution::Once => KeyHop::None,
        }
    }

    /// Whether it may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.execution == Execution::Repeatable
    }

    /// Whether a pooled connection may be used: the other side may close it at the moment
    /// of its use, so only a repeatable request may.
    pub(crate) fn connection_reuse(&self) -> Reuse {
        if self.is_repeatable() {
            Reuse::Allowed
        } else {
            Reuse::Never
        }
    }

    /// Time until the deadline; zero once it has passed.
    pub(crate) fn remaining_time(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The input for steering. An attempt after the first waits only briefly for a slot:
    /// all endpoints may have been tried already, and then no freed slot helps, so the
    /// caller should get its answer soon.
    pub(crate) fn request_info(&self, core: &Core) -> RequestInfo {
        let max_wait = if self.tried.is_empty() && self.takeover.is_none() {
            self.remaining_time()
        } else {
            self.remaining_time().min(RETRY_WAIT)
        };
        RequestInfo {
            id: self.id,
            service: self.service.clone(),
            idempotent: self.is_repeatable(),
            deadline: core.clock.now() + max_wait,
            caller: self.caller.map(|caller| CallerGroup::of(caller).address()),
            tried: self.tried.clone(),
            forwarded_by: self.forwarded_by.clone(),
        }
    }

    /// Builds the HTTP request for a target.
    pub(crate) fn build_request(
        &self,
        core: &Core,
        target: &Target,
        body: RequestBody,
    ) -> Request<RequestBody> {
        let mut req = Request::new(body);
        *req.method_mut() = self.parts.method.clone();
        *req.uri_mut() = self.uri(target);
        let mut headers = self.parts.headers.clone();
        let hop = match target {
            Target::Endpoint(..) => Hop::Endpoint,
            Target::Entry(..) => Hop::Entry {
                from: &core.identity.node,
                incarnation: core.identity.incarnation,
                caller: self.caller,
                key: self.key_hop(),
            },
        };
        request_headers(&mut headers, self.id, self.remaining_time(), hop);
        if let Ok(host) = HeaderValue::try_from(target.addr().to_string()) {
            headers.insert(HOST, host);
        }
        *req.headers_mut() = headers;
        req
    }

    fn uri(&self, target: &Target) -> Uri {
        let unchanged = || self.parts.uri.clone();
        match target {
            Target::Endpoint(..) => unchanged(),
            Target::Entry(..) => {
                let path = format!("/v1/services/{}{}", self.service, self.parts.uri);
                path.parse().unwrap_or_else(|_| unchanged())
            }
        }
    }
}

/// Channel for the answer to the caller's connection.
pub(crate) type Reply = tokio::sync::oneshot::Sender<filberthead_caller::Answer>;
