//! The placer's part in holding off requests that crash endpoints: what it knows of the endpoints that
//! ran them.

use std::time::Duration;

use filberthead_fleet::{EndpointStart, Suspicion};
use filberthead_types::{Fingerprint, Moment, RequestPrints};

use crate::contact::{Contact, ContactState};
use crate::endpoint::TrackedEndpoint;
use crate::quarantine::{BrokenRun, EndpointFate};
use crate::{Outcome, Placer, Target};

/// What the end of a run says about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunVerdict {
    /// Nothing new.
    Unchanged,
    /// It was answered, and nothing is held against it any more.
    Cleared,
    /// It may have crashed as many endpoints as this.
    Suspected(usize),
}

impl Placer {
    /// Whether a request may be sent to an endpoint; if not, the time after which it may be at the
    /// earliest. A request that is allowed has to be sent at once.
    ///
    /// # Errors
    ///
    /// Fails if endpoints have crashed under the request.
    pub fn check_request(&mut self, now: Moment, request: RequestPrints) -> Result<(), Duration> {
        let Self {
            quarantine,
            endpoints,
            contact,
            ..
        } = self;
        let checks = request
            .both()
            .map(|print| quarantine.check(now, print, |start| fate(endpoints, contact, start)));
        checks
            .into_iter()
            .filter_map(Result::err)
            .max()
            .map_or(Ok(()), Err)
    }

    /// Records how a run of a request ended that was sent to an endpoint at `sent_at`.
    pub fn record_run(
        &mut self,
        now: Moment,
        request: RequestPrints,
        target: &Target,
        sent_at: Moment,
        outcome: Outcome,
    ) -> RunVerdict {
        match outcome {
            Outcome::Served(_) | Outcome::Failed => {
                self.record_alive(target, sent_at);
                let cleared = request
                    .both()
                    .map(|print| self.quarantine.record_answer(now, print));
                match cleared.contains(&true) {
                    true => RunVerdict::Cleared,
                    false => RunVerdict::Unchanged,
                }
            }
            Outcome::Full => {
                self.record_alive(target, sent_at);
                RunVerdict::Unchanged
            }
            Outcome::Broken => self.record_broken_run(now, request, target, sent_at),
            Outcome::Gone
            | Outcome::Unreached
            | Outcome::Withdrawn
            | Outcome::Abandoned(_)
            | Outcome::Superseded => RunVerdict::Unchanged,
        }
    }

    fn record_alive(&mut self, target: &Target, sent_at: Moment) {
        if let Some(endpoint) = self.tracked_mut(target) {
            endpoint.answered = endpoint.answered.max(sent_at);
            let start = endpoint.start;
            self.quarantine.record_alive(start);
        }
    }

    fn record_broken_run(
        &mut self,
        now: Moment,
        request: RequestPrints,
        target: &Target,
        sent_at: Moment,
    ) -> RunVerdict {
        let endpoint = self.endpoints.iter().find(|e| e.is_target(target));
        // One that is draining ends by plan.
        if endpoint.is_some_and(|e| e.draining) {
            return RunVerdict::Unchanged;
        }
        let endpoint = EndpointStart::new(&target.id, target.incarnation);
        let losses = request.both().map(|request| {
            let run = BrokenRun {
                request,
                endpoint,
                sent_at,
            };
            self.quarantine.record_broken(now, run)
        });
        let losses = losses.into_iter().flatten().max();
        losses.map_or(RunVerdict::Unchanged, RunVerdict::Suspected)
    }

    /// Applies what gateways hold against requests, as told by control.
    pub fn set_suspicions(&mut self, now: Moment, told: Vec<Suspicion>) {
        self.quarantine.merge(now, told);
    }

    /// What this gateway holds against requests, for control.
    pub fn suspicions(&self, now: Moment) -> Vec<Suspicion> {
        let (endpoints, contact) = (&self.endpoints, &self.contact);
        self.quarantine
            .suspicions(now, |start| fate(endpoints, contact, start))
    }

    /// Drops what no longer counts against requests. Returns those that are refused from now on because
    /// the endpoints that ran them have gone.
    pub fn expire_suspicions(&mut self, now: Moment) -> Vec<Fingerprint> {
        // Without a list nothing is known of any endpoint.
        if self.endpoints.is_empty() {
            return Vec::new();
        }
        let Self {
            quarantine,
            endpoints,
            contact,
            ..
        } = self;
        quarantine.expire(now, |start| fate(endpoints, contact, start))
    }

    /// Number of requests that anything is held against.
    pub fn suspected_requests(&self) -> usize {
        self.quarantine.suspected()
    }
}

fn fate(endpoints: &[TrackedEndpoint], contact: &Contact, start: EndpointStart) -> EndpointFate {
    match endpoints.iter().find(|endpoint| endpoint.start == start) {
        None => EndpointFate::Gone,
        Some(endpoint) => EndpointFate::Listed {
            answered: endpoint.answered,
            in_contact: contact.state(&endpoint.domain) != ContactState::Lost,
        },
    }
}
