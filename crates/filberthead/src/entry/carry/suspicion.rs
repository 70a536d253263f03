//! The quarantine of crashing requests, joined to the request path.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use filberthead_endpoint::{ProbeError, RequestBody};
use filberthead_ledger::quarantine::{
    Action, Check, Config, Event, Fingerprint, Message, Quarantine, RunEnd, RunId,
};
use filberthead_peer::Body;
use filberthead_types::{Incarnation, NodeName};
use xxhash_rust::xxh3::Xxh3Default;

use super::core::Core;
use super::job::Job;

/// What the request path keeps to know a crashing request.
#[derive(Debug)]
pub(super) struct Suspicion {
    quarantine: RefCell<Quarantine>,
    /// Processes of endpoints, as their last health check showed them; none if it failed.
    processes: RefCell<HashMap<NodeName, Option<Incarnation>>>,
    next_run: Cell<u64>,
}

impl Suspicion {
    pub(super) fn new(me: NodeName) -> Self {
        Self {
            quarantine: RefCell::new(Quarantine::new(Config::builder().build(), me)),
            processes: RefCell::default(),
            next_run: Cell::new(0),
        }
    }
}

/// A run at an endpoint; ends as neither answered nor lost unless said otherwise.
#[derive(Debug)]
pub(super) struct EndpointRun {
    core: Rc<Core>,
    id: RunId,
    end: RunEnd,
}

impl EndpointRun {
    pub(super) fn end(mut self, end: RunEnd) {
        self.end = end;
    }
}

impl Drop for EndpointRun {
    fn drop(&mut self) {
        let run = self.id;
        let end = self.end;
        self.core.suspect(Event::Ended { run, end });
    }
}

impl Core {
    /// Whether a request may be handed to an endpoint from here.
    pub(super) fn check(&self, fingerprint: Fingerprint) -> Check {
        let now = self.clock.now();
        self.suspicion.quarantine.borrow().check(now, fingerprint)
    }

    /// A request is handed to an endpoint.
    pub(super) fn run(self: &Rc<Self>, fingerprint: Fingerprint, to: &NodeName) -> EndpointRun {
        let id = RunId(self.suspicion.next_run.get());
        self.suspicion.next_run.set(id.0 + 1);
        self.suspect(Event::Started {
            run: id,
            fingerprint,
            endpoint: to.clone(),
        });
        EndpointRun {
            core: Rc::clone(self),
            id,
            end: RunEnd::Other,
        }
    }

    /// What another entry says about crashing requests.
    pub(crate) fn heard_of_crash(&self, message: Message) {
        self.suspect(Event::Received(message));
    }

    /// Time has passed.
    pub(crate) fn tick_suspicion(&self) {
        self.suspect(Event::Tick);
    }

    /// A health check was answered by this process of an endpoint.
    pub(super) fn answered_probe(&self, endpoint: &NodeName, process: Incarnation) {
        let known = self.see_process(endpoint, Some(process));
        // 0 is the word of an endpoint that says nothing about its process.
        let restarted = known.is_some_and(|known| known != process && process.0 != 0);
        if restarted {
            self.died(endpoint, true);
        } else if known.is_none() {
            let endpoint = endpoint.clone();
            self.suspect(Event::Up { endpoint });
        }
    }

    /// A health check failed.
    pub(super) fn failed_probe(&self, endpoint: &NodeName, error: &ProbeError) {
        let gone = matches!(error, ProbeError::Unreachable);
        if gone && self.see_process(endpoint, None).is_some() {
            self.died(endpoint, false);
        }
    }

    fn see_process(&self, endpoint: &NodeName, seen: Option<Incarnation>) -> Option<Incarnation> {
        let mut processes = self.suspicion.processes.borrow_mut();
        processes.insert(endpoint.clone(), seen).flatten()
    }

    fn died(&self, endpoint: &NodeName, replaced: bool) {
        let endpoints = self.suspicion.processes.borrow().len();
        self.suspect(Event::Died {
            endpoint: endpoint.clone(),
            replaced,
            endpoints,
        });
    }

    fn suspect(&self, event: Event) {
        let now = self.clock.now();
        let action = self.suspicion.quarantine.borrow_mut().step(now, event);
        let Some(Action::Broadcast(message)) = action else {
            return;
        };
        log::info!(message:? = message; "crashing requests");
        let cluster = self.cluster.borrow().clone();
        for member in &cluster.entries {
            if member.name != self.identity.node {
                let to = Some(member.peer_addr);
                self.send(to, Body::Quarantine(message.clone()));
            }
        }
    }
}

/// What an endpoint is asked. A body that isn't held counts by its length alone.
pub(super) fn fingerprint(job: &Job, body: &RequestBody) -> Fingerprint {
    let mut hash = Xxh3Default::new();
    let target = job.parts.uri.path_and_query().map_or("/", |t| t.as_str());
    let head = [job.service.as_str(), job.parts.method.as_str(), target];
    for part in head {
        hash.update(&part.len().to_le_bytes());
        hash.update(part.as_bytes());
    }
    match body {
        RequestBody::Buffered(body) => hash.update(body),
        _ => {
            let len = job.parts.headers.get(http::header::CONTENT_LENGTH);
            hash.update(len.map_or(&[][..], |len| len.as_bytes()));
        }
    }
    Fingerprint(hash.digest128())
}
