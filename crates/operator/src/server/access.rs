//! Authentication and authorisation of operators.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use filberthead_table::{Actor, Edit, Role};
use filberthead_types::{ResultCode, ServiceName};
use http::HeaderMap;
use http::header::{AUTHORIZATION, ORIGIN};
use log::warn;
use tokio::time::Instant;

use super::Shared;
use super::reply::{Refusal, refuse};
use crate::OPERATOR_HEADER;

/// Minimum time between two log lines about rejected clients.
const REJECTION_LOG_PERIOD: Duration = Duration::from_secs(1);

/// Name of a client on the loopback that gives none.
const ANONYMOUS: &str = "local";

/// An authenticated operator.
#[derive(Clone, Debug)]
pub(super) struct Operator {
    pub(super) actor: Actor,
    services: Option<BTreeSet<ServiceName>>,
}

impl Operator {
    pub(super) fn require(&self, role: Role) -> Result<(), Refusal> {
        if self.actor.role >= role {
            return Ok(());
        }
        let Actor { name, role: own } = &self.actor;
        let message = format!("this needs the role {role}; {name} has {own}");
        Err(refuse(ResultCode::RoleTooLow, message))
    }

    /// Fails if an edit is of a service that the operator's token doesn't allow.
    pub(super) fn require_services(&self, edits: &[Edit]) -> Result<(), Refusal> {
        let Some(services) = &self.services else {
            return Ok(());
        };
        let mut services_edited = edits.iter().map(|edit| &edit.key.service);
        match services_edited.find(|service| !services.contains(*service)) {
            None => Ok(()),
            Some(service) => {
                let message = format!("{} may not change {service}", self.actor.name);
                Err(refuse(ResultCode::ServiceNotAllowed, message))
            }
        }
    }

    /// Fails if the operator's token is limited to some services.
    pub(super) fn require_all_services(&self) -> Result<(), Refusal> {
        if self.services.is_none() {
            return Ok(());
        }
        let message = "only operators of all services may change the group of control replicas";
        Err(refuse(ResultCode::ServiceNotAllowed, message))
    }
}

/// Limits the rate of log lines about rejected clients: one line per period, with the
/// number of rejections since the last line.
#[derive(Debug, Default)]
pub(super) struct RejectionLog(Mutex<RejectionCount>);

#[derive(Debug, Default)]
struct RejectionCount {
    last_logged: Option<Instant>,
    unlogged: u64,
}

impl RejectionLog {
    fn record(&self, peer: SocketAddr, refusal: &Refusal) {
        let mut count = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        count.unlogged += 1;
        let now = Instant::now();
        let is_due = |last_logged: Instant| now - last_logged >= REJECTION_LOG_PERIOD;
        if count.last_logged.is_none_or(is_due) {
            let (refused, code) = (count.unlogged, refusal.code.number());
            warn!(peer:% = peer, refused, result = code; "request rejected: {}", refusal.message);
            *count = RejectionCount {
                last_logged: Some(now),
                unlogged: 0,
            };
        }
    }
}

pub(super) fn authenticate(
    shared: &Shared,
    peer: SocketAddr,
    headers: &HeaderMap,
) -> Result<Operator, Refusal> {
    let result = identify(shared, peer, headers);
    if let Err(refusal) = &result {
        shared.rejection_log.record(peer, refusal);
    }
    result
}

fn identify(shared: &Shared, peer: SocketAddr, headers: &HeaderMap) -> Result<Operator, Refusal> {
    // A web page in a browser on an operator's machine can reach the loopback, but the
    // browser adds the `Origin` header, which the page can't remove.
    if headers.contains_key(ORIGIN) {
        let message = "requests of web pages are not served";
        return Err(refuse(ResultCode::LoopbackOnly, message));
    }
    match &shared.tokens {
        Some(source) => {
            let secret = bearer_token(headers)?;
            let grant = source
                .current()
                .find(secret)
                .ok_or_else(|| refuse(ResultCode::TokenUnknown, "the bearer token is not known"))?;
            Ok(Operator {
                actor: Actor {
                    name: grant.name.clone(),
                    role: grant.role,
                },
                services: grant.services.clone(),
            })
        }
        None => authenticate_loopback(peer, headers),
    }
}

fn bearer_token(headers: &HeaderMap) -> Result<&str, Refusal> {
    let missing = || refuse(ResultCode::TokenMissing, "a bearer token is needed");
    let value = headers.get(AUTHORIZATION).ok_or_else(missing)?;
    let (scheme, secret) = value
        .to_str()
        .ok()
        .and_then(|text| text.split_once(' '))
        .ok_or_else(missing)?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(missing());
    }
    Ok(secret.trim())
}

fn authenticate_loopback(peer: SocketAddr, headers: &HeaderMap) -> Result<Operator, Refusal> {
    if !peer.ip().to_canonical().is_loopback() {
        let message = "no tokens file is set, so only clients on the loopback are served";
        return Err(refuse(ResultCode::LoopbackOnly, message));
    }
    let name = match headers.get(OPERATOR_HEADER) {
        None => ANONYMOUS,
        Some(value) => std::str::from_utf8(value.as_bytes()).map_err(|_| {
            let message = format!("the header {OPERATOR_HEADER} is no UTF-8");
            refuse(ResultCode::ApiBodyMalformed, message)
        })?,
    };
    let actor = Actor {
        name: name.to_owned(),
        role: Role::Accept,
    };
    Ok(Operator {
        actor,
        services: None,
    })
}
