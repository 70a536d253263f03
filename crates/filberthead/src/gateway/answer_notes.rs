//! What an answer says of its endpoint, whatever it is the answer to.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filberthead_endpoint::LateHeads;
use filberthead_place::{EndpointId, EndpointRef, Load, NamedLimit, NamedRest, RestChange, Target};
use filberthead_types::{Incarnation, Moment};
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderValue, StatusCode};
use log::info;

use super::core::Core;
use super::headers::{header_text, not_run};
use super::progress::Progress;

/// Where an answer comes from.
#[derive(Clone, Copy)]
pub(crate) struct EndpointAnswer<'a> {
    /// Id of the request, for logs.
    pub(crate) request: &'a str,
    /// The endpoint that the request was sent to.
    pub(crate) endpoint: EndpointRef<'a>,
    /// When the request was sent.
    pub(crate) sent_at: Moment,
    /// Whether a request ran.
    pub(crate) ran: bool,
}

/// A start of an endpoint that has said that it is leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LeavingEndpoint {
    pub(crate) id: EndpointId,
    /// `None` if the platform reports no starts.
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) addr: SocketAddr,
}

impl<'a> From<&'a LeavingEndpoint> for EndpointRef<'a> {
    fn from(leaving: &'a LeavingEndpoint) -> Self {
        Self {
            id: &leaving.id,
            incarnation: leaving.incarnation,
            addr: leaving.addr,
        }
    }
}

/// What an answer said.
#[derive(Clone, Debug)]
pub(crate) struct Noted {
    /// Whether it reported the endpoint's load.
    pub(crate) load: bool,
    /// The endpoint, if that is leaving.
    pub(crate) leaving: Option<LeavingEndpoint>,
}

/// Passes what an answer says of its endpoint to the placer.
pub(crate) fn record(
    core: &Core,
    answer: EndpointAnswer<'_>,
    status: StatusCode,
    headers: &HeaderMap,
) -> Noted {
    let load = parse_load(header_text(headers, &core.protocol.load));
    let mut leaving = None;
    // An answer with this status comes from another start or another endpoint.
    if status != StatusCode::MISDIRECTED_REQUEST {
        leaving = is_leaving(core, headers).then(|| LeavingEndpoint {
            id: answer.endpoint.id.clone(),
            incarnation: answer.endpoint.incarnation,
            addr: answer.endpoint.addr,
        });
        if let Some(endpoint) = &leaving {
            record_leaving(core, answer.request, endpoint);
        }
        record_load(core, answer, load);
        record_warmup(core, answer, headers);
        record_limit(core, answer, headers);
        record_rest(core, answer, status, headers);
    }
    Noted {
        load: load.is_some(),
        leaving,
    }
}

/// Records what answers to a request say of its endpoint that come when nobody waits for them any more.
pub(crate) fn late_heads(
    core: &Rc<Core>,
    request: &str,
    target: &Target,
    progress: &Rc<Progress>,
) -> LateHeads {
    // The core owns the connections that own this.
    let core = Rc::downgrade(core);
    let (request, target) = (request.to_owned(), target.clone());
    let progress = Rc::clone(progress);
    LateHeads::new(move |status, headers| {
        let (Some(core), Some(sent_at)) = (core.upgrade(), progress.sent_at.get()) else {
            return;
        };
        if is_of_another(&core, &request, headers) {
            return;
        }
        info!(request = request.as_str(), endpoint:% = target.id, status:%; "late answer of an endpoint");
        let answer = EndpointAnswer {
            request: &request,
            endpoint: (&target).into(),
            sent_at,
            ran: not_run(&core, status, headers).is_none(),
        };
        record(&core, answer, status, headers);
    })
}

/// Whether an answer names another request.
fn is_of_another(core: &Core, request: &str, headers: &HeaderMap) -> bool {
    let named = headers.get(&core.protocol.request_id);
    named.is_some_and(|named| named.as_bytes() != request.as_bytes())
}

fn is_leaving(core: &Core, headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(&core.protocol.leaving).iter();
    values.any(|value| value.as_bytes().trim_ascii() == b"1")
}

/// Passes on that an endpoint is leaving, whose answer a request got here or through another gateway.
pub(crate) fn record_leaving(core: &Core, request: &str, endpoint: &LeavingEndpoint) {
    if core.placer.borrow_mut().record_leaving(endpoint) {
        info!(request, endpoint:% = endpoint.id, addr:% = endpoint.addr; "endpoint is leaving");
    }
}

fn record_load(core: &Core, answer: EndpointAnswer<'_>, load: Option<Load>) {
    if let Some(load) = load {
        let mut placer = core.placer.borrow_mut();
        placer.record_load(core.now(), answer.endpoint, load);
        drop(placer);
        let took = core.now().saturating_sub(answer.sent_at);
        let took = answer.ran.then_some(took);
        core.waiting
            .record_report(core, answer.endpoint, load, took);
    }
}

fn record_warmup(core: &Core, answer: EndpointAnswer<'_>, headers: &HeaderMap) {
    let warmup = header_text(headers, &core.protocol.warmup_ms).parse::<u64>();
    if let Some(ms) = warmup.ok().filter(|ms| *ms > 0) {
        let mut placer = core.placer.borrow_mut();
        placer.record_cold(core.now(), answer.endpoint, Duration::from_millis(ms));
    }
}

fn record_limit(core: &Core, answer: EndpointAnswer<'_>, headers: &HeaderMap) {
    let EndpointAnswer {
        request,
        endpoint,
        sent_at,
        ran,
    } = answer;
    let values = headers.get_all(&core.protocol.limit).iter();
    let limit = NamedLimit::read(values.map(HeaderValue::as_bytes));
    let now = core.now();
    let mut placer = core.placer.borrow_mut();
    let change = placer.record_limit(now, endpoint, (sent_at, ran), limit);
    if let Some(change) = change {
        let part_per_s = placer.limit_part(now, endpoint);
        info!(request, endpoint:% = endpoint.id, per_s = change.per_s, before = change.before,
            part_per_s; "limit of an endpoint");
    }
    drop(placer);
    if limit == NamedLimit::Invalid {
        core.log_invalid_limit(endpoint.id);
    }
}

fn record_rest(core: &Core, answer: EndpointAnswer<'_>, status: StatusCode, headers: &HeaderMap) {
    let rest = match status {
        StatusCode::SERVICE_UNAVAILABLE => {
            let values = headers.get_all(RETRY_AFTER).iter();
            NamedRest::read(values.map(HeaderValue::as_bytes))
        }
        _ => NamedRest::Absent,
    };
    let (now, endpoint) = (core.now(), answer.endpoint);
    let mut placer = core.placer.borrow_mut();
    // Not every rejection says that nothing ran.
    let ran = answer.ran && status != StatusCode::SERVICE_UNAVAILABLE;
    let change = placer.record_rest(now, endpoint, (answer.sent_at, ran), rest);
    drop(placer);
    match rest {
        NamedRest::For(time) if !time.is_zero() => {
            core.metrics.record_rest();
            if change != RestChange::Unchanged {
                info!(request = answer.request, endpoint:% = endpoint.id, addr:% = endpoint.addr,
                    for_ms = time.as_millis(); "endpoint asks for rest");
            }
        }
        NamedRest::Invalid => core.log_invalid_rest(endpoint.id),
        NamedRest::For(_) | NamedRest::Absent => {}
    }
}

/// Parses `running,waiting,slots,slowdown`. The slots aren't used. A slowdown that is missing, zero or not a
/// number is ignored.
fn parse_load(text: &str) -> Option<Load> {
    let mut numbers = text.split(',').map(|part| part.trim().parse().ok());
    Some(Load {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slowdown: numbers.nth(1).flatten().filter(|figure| *figure > 0),
    })
}

#[cfg(test)]
mod tests {
    use super::parse_load;

    /// Guards against a report that is dropped, or makes an endpoint infinitely fast or slow, because of its
    /// fourth figure.
    #[test]
    fn a_slowdown_is_read_and_a_wrong_one_ignored() {
        let slowdown = |text: &str| parse_load(text).map(|load| load.slowdown);
        assert_eq!(slowdown("3,0,9,250"), Some(Some(250)));
        assert_eq!(slowdown("3, 0, 9, 100 "), Some(Some(100)));
        for text in [
            "3,0",
            "3,0,9",
            "3,0,9,",
            "3,0,9,0",
            "3,0,9,x",
            "3,0,9,-1",
            "3,0,9,1.5",
        ] {
            assert_eq!(slowdown(text), Some(None), "{text}");
        }
        assert_eq!(slowdown("3"), None);
    }
}
