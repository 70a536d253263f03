//! Watches contact with endpoints: sends the probes that are due, and acts on changes.

use std::rc::Rc;

use bytes::Bytes;
use filberthead_endpoint::{AnswerCheck, RequestBody, Reuse, SendOutcome, Unsent};
use filberthead_place::{ContactChange, ContactProbe, ContactState, PROBE_TIMEOUT};
use http::header::HOST;
use http::{HeaderValue, Request};
use log::{debug, info, warn};
use tokio::time::Instant;

use super::answer_notes::{self, EndpointAnswer};
use super::core::Core;

/// Sends the probes that are due. Called several times in the time that a probe may take.
pub(crate) fn check(core: &Rc<Core>) {
    let probes = core.placer.borrow_mut().due_probes(core.now());
    for probe in probes {
        let core = Rc::clone(core);
        tokio::task::spawn_local(async move {
            let answered = match &probe.path {
                Some(path) => is_answered(&core, &probe, path).await,
                None => is_accepted(&core, &probe).await,
            };
            core.metrics.record_contact_probe(answered);
            let now = core.now();
            let mut placer = core.placer.borrow_mut();
            placer.record_probe(now, &probe.domain, answered);
            drop(placer);
            apply_changes(&core);
        });
    }
    apply_changes(core);
}

/// Whether an endpoint responds to its health check, with whatever status, as another one does that has
/// its address by now. It takes a new connection: open ones may live on while no others can be made, or
/// the other way round.
async fn is_answered(core: &Core, probe: &ContactProbe, path: &str) -> bool {
    let req = Request::get(path)
        .header(HOST, probe.addr.to_string())
        .body(RequestBody::Buffered(Bytes::new()));
    let Ok(mut req) = req else {
        return false;
    };
    if let Ok(id) = HeaderValue::from_str(&probe.endpoint) {
        req.headers_mut().insert(&core.protocol.target_instance, id);
    }
    let none = HeaderValue::from_static("");
    let check = AnswerCheck::Echo {
        name: &core.protocol.request_id,
        value: &none,
    };
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let client = &core.client;
    let sent_at = core.now();
    match client
        .send_if(probe.addr, check, Reuse::Never, deadline, req, || {
            core.placer.borrow().may_send(core.now(), probe)
        })
        .await
    {
        SendOutcome::Answer(answer) => {
            let (head, body) = answer.response.into_parts();
            let from = EndpointAnswer {
                request: "",
                endpoint: probe.into(),
                sent_at,
                ran: false,
            };
            answer_notes::record(core, from, head.status, &head.headers);
            // Without a request id, a second answer to the probe can't be told from that to a later request
            // on the connection, so it isn't reused.
            drop((body, answer.connection));
            true
        }
        // It has asked for rest since it was chosen, so there is contact.
        SendOutcome::NotSent(_, Unsent::Withdrawn) => true,
        // Bytes that are no answer come from there as well.
        SendOutcome::Invalid => true,
        SendOutcome::NotSent(_, unsent) | SendOutcome::Unwritten(unsent) => {
            log_unanswered(probe, unsent.as_str())
        }
        SendOutcome::Lost => log_unanswered(probe, "connection-broke"),
        SendOutcome::TimedOut => log_unanswered(probe, "no-response"),
    }
}

/// Whether an endpoint accepts a connection, which is closed without a request.
async fn is_accepted(core: &Core, probe: &ContactProbe) -> bool {
    let deadline = Instant::now() + PROBE_TIMEOUT;
    match core.client.connect_only(probe.addr, deadline).await {
        Ok(()) => true,
        Err(unsent) => log_unanswered(probe, unsent.as_str()),
    }
}

fn log_unanswered(probe: &ContactProbe, why: &'static str) -> bool {
    info!(endpoint:% = probe.endpoint, domain:% = probe.domain, addr:% = probe.addr, why;
        "probe without an answer");
    false
}

fn apply_changes(core: &Core) {
    let changes = core.placer.borrow_mut().take_contact_changes();
    for change in changes {
        apply(core, &change);
    }
}

fn apply(core: &Core, change: &ContactChange) {
    let silent_ms = change.silent.map(|silent| silent.as_millis());
    let (broken, overdue) = (change.broken, change.overdue);
    match (change.before, change.state) {
        (_, ContactState::Lost) => {
            let cut_off = core.placer.borrow().is_cut_off();
            warn!(domain:% = change.domain, silent_ms, broken, overdue, cut_off;
                "no contact with the endpoints of a failure domain");
            // Pooled connections there are dead, even if new ones can be opened later.
            let addrs = core.placer.borrow().endpoint_addrs(&change.domain);
            addrs
                .into_iter()
                .for_each(|addr| core.client.close_idle(addr));
            core.notify_contact_lost();
        }
        (ContactState::Lost, _) => {
            info!(domain:% = change.domain, silent_ms;
                "contact with the endpoints of a failure domain again");
        }
        _ => {
            debug!(domain:% = change.domain, state:? = change.state, silent_ms, broken, overdue;
                "contact with the endpoints of a failure domain");
        }
    }
}
