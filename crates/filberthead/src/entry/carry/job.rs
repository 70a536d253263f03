//! A request while attempts are made for it.

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

/// Longest wait for a place of an attempt after the first.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// What stays the same from attempt to attempt, and what was learned so far.
#[derive(Debug)]
pub(crate) struct Job {
    /// Id on every hop.
    pub(crate) id: RequestId,
    /// The service asked for.
    pub(crate) service: ServiceName,
    /// How often it may run.
    pub(crate) execution: Execution,
    /// When its caller gives up.
    pub(crate) deadline: Instant,
    /// Head as the caller sent it; path and query as an endpoint is to see them.
    pub(crate) parts: Parts,
    /// Places that have failed or refused it.
    pub(crate) tried: Vec<NodeName>,
    /// Whether an attempt may have run it. From then on no refusal may say otherwise.
    pub(crate) touched: bool,
    /// The first entry that was lost with it, whose endpoints another entry takes over.
    pub(crate) takeover: Option<Takeover>,
    /// Whether its caller has a part of the answer already and gets the rest from the
    /// next attempt.
    pub(crate) resuming: bool,
    /// How many entries have passed it on towards the home of its key.
    pub(crate) hops: u8,
    /// Whether the home of its key has started it.
    started: bool,
    /// Whether another entry handed it here, which then also counts it.
    pub(crate) from_entry: bool,
    caller: Option<IpAddr>,
    forwarded_by: Option<NodeName>,
}

impl Job {
    /// Takes a call apart from its body and its way back.
    pub(crate) fn new(call: Call) -> (Self, RequestBody, Reply) {
        let (parts, body) = call.request.into_parts();
        let job = Self {
            id: call.id,
            service: call.service,
            execution: call.execution,
            deadline: call.deadline,
            parts,
            tried: Vec::new(),
            touched: false,
            takeover: None,
            resuming: false,
            hops: call.key_hops,
            started: false,
            from_entry: call.forwarded_by.is_some(),
            caller: call.caller,
            forwarded_by: call.forwarded_by.map(|by| by.name),
        };
        (job, RequestBody::from(body), call.answer)
    }

    /// Holds a refusal to what is known: once an attempt may have run the request, no
    /// later refusal may tell its caller that it didn't.
    pub(crate) fn truthful(&self, refusal: Refusal) -> Refusal {
        let not_run = refusal.code.meaning() == Meaning::NotRun;
        let code = if self.touched && not_run {
            ResultCode::EndpointLost
        } else {
            refusal.code
        };
        Refusal { code, ..refusal }
    }

    /// The place that it was sent to last has lost it, and may have run it.
    pub(crate) fn lost(&mut self, core: &Core) {
        self.touched = true;
        if self.takeover.is_none() {
            let cluster = core.cluster.borrow();
            let place = self.tried.last();
            self.takeover = place.and_then(|place| Takeover::of(place, &cluster));
        }
    }

    /// Whether it may run again and the next owner of endpoints may still come for it.
    pub(crate) fn awaits_owner(&self, core: &Core) -> bool {
        let cluster = core.cluster.borrow();
        let mut takeover = self.takeover.iter();
        self.is_repeatable() && takeover.any(|t| t.may_come(self.deadline, &cluster))
    }

    /// Whether another entry sent it here for an endpoint of this one.
    pub(crate) fn is_forwarded(&self) -> bool {
        self.forwarded_by.is_some()
    }

    /// The home of its key is here and lets it run. Where it came from is of no account
    /// any more: it may be placed anywhere.
    pub(crate) fn start_at_home(&mut self) {
        self.started = true;
        self.forwarded_by = None;
    }

    /// What the next entry is told about its key.
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

    /// Which connections will do: one that was kept may be closed by the other side
    /// just when it is used, which only a repeatable request may meet.
    pub(crate) fn reuse(&self) -> Reuse {
        if self.is_repeatable() {
            Reuse::Allowed
        } else {
            Reuse::Never
        }
    }

    /// Time left.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// What steering is asked. A further attempt waits only briefly for a place: those
    /// that have a slot may all have been tried already, and then no slot that becomes
    /// free would help, while the caller could have its answer now.
    pub(crate) fn info(&self, core: &Core) -> RequestInfo {
        let wait = if self.tried.is_empty() && self.takeover.is_none() {
            self.left()
        } else {
            self.left().min(RETRY_WAIT)
        };
        RequestInfo {
            id: self.id,
            service: self.service.clone(),
            idempotent: self.is_repeatable(),
            deadline: core.clock.now() + wait,
            caller: self.caller.map(|caller| CallerGroup::of(caller).address()),
            tried: self.tried.clone(),
            forwarded_by: self.forwarded_by.clone(),
        }
    }

    /// The request as the target is to get it.
    pub(crate) fn request(
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
        request_headers(&mut headers, self.id, self.left(), hop);
        if let Ok(host) = HeaderValue::try_from(target.addr().to_string()) {
            headers.insert(HOST, host);
        }
        *req.headers_mut() = headers;
        req
    }

    fn uri(&self, target: &Target) -> Uri {
        let own = || self.parts.uri.clone();
        match target {
            Target::Endpoint(..) => own(),
            Target::Entry(..) => {
                let path = format!("/v1/services/{}{}", self.service, self.parts.uri);
                path.parse().unwrap_or_else(|_| own())
            }
        }
    }
}

/// Takes the answer back to the caller.
pub(crate) type Reply = tokio::sync::oneshot::Sender<filberthead_caller::Answer>;
