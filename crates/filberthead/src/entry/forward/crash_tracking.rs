//! Connects the quarantine of crashing requests to request forwarding.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use filberthead_endpoint::ProbeError;
use filberthead_ledger::quarantine::{
    Action, Check, Config, Event, Message, Quarantine, RunEnd, RunId,
};
use filberthead_peer::Body;
use filberthead_types::{Fingerprint, Incarnation, NodeName};

use super::core::Core;

/// State for the detection of requests that crash endpoints.
#[derive(Debug)]
pub(super) struct CrashTracker {
    quarantine: RefCell<Quarantine>,
    /// Process of each endpoint at its last health check; `None` if the endpoint was
    /// unreachable.
    processes: RefCell<HashMap<NodeName, Option<Incarnation>>>,
    next_run: Cell<u64>,
}

impl CrashTracker {
    pub(super) fn new(me: NodeName) -> Self {
        Self {
            quarantine: RefCell::new(Quarantine::new(Config::builder().build(), me)),
            processes: RefCell::default(),
            next_run: Cell::new(0),
        }
    }
}

/// A run of a request at an endpoint. Ends as [`RunEnd::Other`] when dropped without
/// [`EndpointRun::end`].
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
        self.core.step_quarantine(Event::Ended { run, end });
    }
}

impl Core {
    /// Whether this entry may send a request to an endpoint.
    pub(super) fn check_quarantine(&self, fingerprint: Fingerprint) -> Check {
        let now = self.clock.now();
        self.crash_tracker
            .quarantine
            .borrow()
            .check(now, fingerprint)
    }

    /// Records that a request is sent to an endpoint; the returned guard records its end.
    pub(super) fn start_run(
        self: &Rc<Self>,
        fingerprint: Fingerprint,
        to: &NodeName,
    ) -> EndpointRun {
        let id = RunId(self.crash_tracker.next_run.get());
        self.crash_tracker.next_run.set(id.0 + 1);
        self.step_quarantine(Event::Started {
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

    /// Handles another entry's message about crashing requests.
    pub(crate) fn receive_quarantine(&self, message: Message) {
        self.step_quarantine(Event::Received(message));
    }

    /// Advances the quarantine's timers.
    pub(crate) fn tick_quarantine(&self) {
        self.step_quarantine(Event::Tick);
    }

    /// Records a health check that `process` of an endpoint answered.
    pub(super) fn record_probe_success(&self, endpoint: &NodeName, process: Incarnation) {
        let previous = self.replace_process(endpoint, Some(process));
        // 0 means that the endpoint doesn't report its process.
        let restarted = previous.is_some_and(|previous| previous != process && process.0 != 0);
        if restarted {
            self.record_death(endpoint, true);
        } else if previous.is_none() {
            let endpoint = endpoint.clone();
            self.step_quarantine(Event::Up { endpoint });
        }
    }

    /// Records a failed health check; only an unreachable endpoint counts as crashed.
    pub(super) fn record_probe_failure(&self, endpoint: &NodeName, error: &ProbeError) {
        let gone = matches!(error, ProbeError::Unreachable);
        if gone && self.replace_process(endpoint, None).is_some() {
            self.record_death(endpoint, false);
        }
    }

    /// Stores an endpoint's process; returns the previous one, if known.
    fn replace_process(
        &self,
        endpoint: &NodeName,
        process: Option<Incarnation>,
    ) -> Option<Incarnation> {
        let mut processes = self.crash_tracker.processes.borrow_mut();
        processes.insert(endpoint.clone(), process).flatten()
    }

    /// Reports a crashed endpoint; `replaced` if a new process already answers.
    fn record_death(&self, endpoint: &NodeName, replaced: bool) {
        let endpoints = self.crash_tracker.processes.borrow().len();
        self.step_quarantine(Event::Died {
            endpoint: endpoint.clone(),
            replaced,
            endpoints,
        });
    }

    /// Advances the quarantine and broadcasts its message, if any, to the other entries.
    fn step_quarantine(&self, event: Event) {
        let now = self.clock.now();
        let action = self.crash_tracker.quarantine.borrow_mut().step(now, event);
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
