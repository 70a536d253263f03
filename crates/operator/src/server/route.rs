//! Routing of requests.

use std::net::SocketAddr;

use bytes::Bytes;
use filberthead_table::{ProposalNumber, Role};
use filberthead_types::ResultCode;
use http::header::CONTENT_TYPE;
use http::{Method, Request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time;

use super::access::{self, Operator};
use super::reply::{self, HttpResponse, Refusal, refuse};
use super::{MAX_BODY_BYTES, Shared, operations, queries};

/// What a request asks for, from its method and path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Route {
    Table,
    Status,
    Workspaces,
    History,
    Proposals,
    Proposal(ProposalNumber),
    HandOvers,
    Change,
    Propose,
    Review(ProposalNumber),
    Accept(ProposalNumber),
    Withdraw(ProposalNumber),
    HandOver,
    ForgetEntry,
    Initialise,
    AddReplica,
    Promote,
    Remove,
}

impl Route {
    /// The minimum role for the route.
    fn role(self) -> Role {
        match self {
            Self::Table
            | Self::Status
            | Self::Workspaces
            | Self::History
            | Self::Proposals
            | Self::Proposal(_)
            | Self::HandOvers => Role::Read,
            Self::Propose | Self::Review(_) | Self::Withdraw(_) | Self::HandOver => Role::Propose,
            Self::Change
            | Self::Accept(_)
            | Self::ForgetEntry
            | Self::Initialise
            | Self::AddReplica
            | Self::Promote
            | Self::Remove => Role::Accept,
        }
    }

    fn find(method: &Method, path: &str) -> Option<Self> {
        let parts: Vec<_> = path.strip_prefix("/v1/")?.split('/').collect();
        match *method {
            Method::GET => Self::find_get(&parts),
            Method::POST => Self::find_post(&parts),
            _ => None,
        }
    }

    fn find_get(parts: &[&str]) -> Option<Self> {
        match parts {
            ["table"] => Some(Self::Table),
            ["status"] => Some(Self::Status),
            ["workspaces"] => Some(Self::Workspaces),
            ["history"] => Some(Self::History),
            ["proposals"] => Some(Self::Proposals),
            ["proposals", number] => Some(Self::Proposal(parse(number)?)),
            ["handover"] => Some(Self::HandOvers),
            _ => None,
        }
    }

    fn find_post(parts: &[&str]) -> Option<Self> {
        match parts {
            ["changes"] => Some(Self::Change),
            ["proposals"] => Some(Self::Propose),
            ["proposals", number, "review"] => Some(Self::Review(parse(number)?)),
            ["proposals", number, "accept"] => Some(Self::Accept(parse(number)?)),
            ["proposals", number, "withdraw"] => Some(Self::Withdraw(parse(number)?)),
            ["handover"] => Some(Self::HandOver),
            ["entries", "forget"] => Some(Self::ForgetEntry),
            ["control", "initialise"] => Some(Self::Initialise),
            ["control", "add"] => Some(Self::AddReplica),
            ["control", "promote"] => Some(Self::Promote),
            ["control", "remove"] => Some(Self::Remove),
            _ => None,
        }
    }
}

fn parse(number: &str) -> Option<ProposalNumber> {
    number.parse().ok().map(ProposalNumber)
}

pub(super) async fn answer(
    shared: &Shared,
    peer: SocketAddr,
    req: Request<Incoming>,
) -> HttpResponse {
    match dispatch(shared, peer, req).await {
        Ok(response) => response,
        Err(answer) => reply::answer(&answer),
    }
}

async fn dispatch(
    shared: &Shared,
    peer: SocketAddr,
    req: Request<Incoming>,
) -> Result<HttpResponse, Refusal> {
    // Authentication comes first, so that unauthenticated clients can't find out which
    // paths exist.
    let operator = access::authenticate(shared, peer, req.headers())?;
    let (parts, body) = req.into_parts();
    let query = parts.uri.query().unwrap_or_default();
    if parts.method == Method::GET
        && let Some(page) = shared.pages.get(parts.uri.path())
    {
        operator.require(Role::Read)?;
        let content = page.render(query).await;
        return Ok(reply::raw(
            ResultCode::ApiAnswered,
            page.content_type(),
            content,
        ));
    }
    let route = Route::find(&parts.method, parts.uri.path()).ok_or_else(|| {
        let message = format!("{} {} is not served", parts.method, parts.uri.path());
        refuse(ResultCode::NoSuchRoute, message)
    })?;
    operator.require(route.role())?;
    if parts.method == Method::GET {
        return queries::answer(shared, route, query).await;
    }
    let is_json = parts
        .headers
        .get(CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"application/json"));
    if !is_json {
        let message = "a body of the content type application/json is needed";
        return Err(refuse(ResultCode::ApiBodyMalformed, message));
    }
    let body = read_body(shared, body).await?;
    perform(shared, &operator, route, &body).await
}

async fn perform(
    shared: &Shared,
    operator: &Operator,
    route: Route,
    body: &Bytes,
) -> Result<HttpResponse, Refusal> {
    let answer = operations::perform(shared, operator, route, body).await?;
    Ok(reply::answer(&answer))
}

async fn read_body(shared: &Shared, body: Incoming) -> Result<Bytes, Refusal> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect();
    let Ok(result) = time::timeout(shared.body_timeout, collected).await else {
        let message = "the body did not come in time";
        return Err(refuse(ResultCode::ApiTimeout, message));
    };
    match result {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => {
            let message = format!("the body is over {MAX_BODY_BYTES} bytes");
            Err(refuse(ResultCode::ApiBodyTooLarge, message))
        }
        Err(e) => {
            let message = format!("the body could not be read: {e}");
            Err(refuse(ResultCode::ApiBodyMalformed, message))
        }
    }
}
