//! Starts the attempts of a request: at an endpoint, or through another gateway.

use std::rc::Rc;
use std::time::Duration;

use filberthead_endpoint::RequestBody;
use filberthead_place::{Decision, EndpointId, Placer, Refusal, Target, TimedRoute};
use filberthead_types::ResultCode;

use super::Forwarding;
use super::next::{Reach, Start};
use crate::gateway::attempt::{Job, attempt};
use crate::gateway::caller::Charge;
use crate::gateway::core::Core;
use crate::gateway::progress::Progress;
use crate::gateway::relay::{ChosenHelper, RelayHead, relay};
use crate::gateway::retry_after::{
    RETRY_AFTER_REFUSED, RETRY_AFTER_STARTING, RETRY_AFTER_STOPPING,
};
use crate::gateway::stop::StopStage;
use crate::gateway::under_way::{Destination, Ending, RunningAttempt};

/// Least time before the deadline at which an attempt still makes sense.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// Gateways that a request is relayed through at most, one after the other.
const MAX_RELAYS: u32 = 2;

impl<'a> Forwarding<'a> {
    /// Whether an attempt that is started now may end before the process does. A request that arrived before a
    /// planned stop is rejected only if it is known to take longer.
    fn may_end_before_stop(&mut self) -> bool {
        let route = TimedRoute::new(self.service, self.route);
        if self.stop_stage == StopStage::Before {
            return !self.core.outlasts_stop(&route, self.deadline);
        }
        let deadline = self
            .core
            .deadline_in_stop(self.stop_stage, &route, self.deadline);
        if let Some(deadline) = deadline {
            self.deadline = deadline;
        }
        deadline.is_some()
    }

    /// Starts another attempt while those under way may not be answered, if it is allowed and there is an
    /// endpoint in reach for it.
    pub(super) fn start_another(
        &mut self,
        body: RequestBody,
        charge: &mut Charge<'_>,
    ) -> Option<RunningAttempt<'a>> {
        if !self.may_retry(self.attempts.next_attempt(), charge) {
            return None;
        }
        match self.start(body, charge, Reach::InContact) {
            Start::Started(attempt) => Some(*attempt),
            Start::Rejected { .. } => {
                self.retry.give_back("no attempt started");
                None
            }
        }
    }

    /// Starts an attempt.
    pub(super) fn start(
        &mut self,
        body: RequestBody,
        charge: &mut Charge<'_>,
        reach: Reach,
    ) -> Start<'a> {
        if self.deadline.remaining() < MIN_TIME_LEFT {
            return Start::reject(ResultCode::DeadlineBeforeRun, Duration::ZERO);
        }
        if self.is_revoked() {
            return self.reject_revoked();
        }
        if !self.may_end_before_stop() {
            return Start::reject(ResultCode::Stopping, RETRY_AFTER_STOPPING);
        }
        if let Err(retry_after) = self.core.check_request(self.prints) {
            return Start::reject(ResultCode::CrashesEndpoints, retry_after);
        }
        // Not every caller of this function has asked the budget.
        if self.retry.is_needed() && !self.try_spend_retry() {
            return Start::reject(ResultCode::RetryBudgetSpent, RETRY_AFTER_REFUSED);
        }
        if self.must_relay {
            return self.send_around(body, charge, RETRY_AFTER_STARTING, reach);
        }
        match self.place(Placer::place_in_reach) {
            Decision::Send(target) => self.attempt(body, target, charge),
            Decision::Refuse {
                reason: Refusal::OutOfReach,
                retry_after,
            } => self.send_around(body, charge, retry_after, reach),
            Decision::Refuse {
                reason: Refusal::NoEndpoint,
                ..
            } if reach == Reach::Any => self.send_anyway(body, charge),
            Decision::Refuse {
                reason,
                retry_after,
            } => Start::refuse(reason, retry_after),
        }
    }

    /// Sends the request through another gateway, since this one has no contact with the endpoints
    /// that may run it. Without such a gateway, one that has failed recently is tried.
    pub(super) fn send_around(
        &mut self,
        body: RequestBody,
        charge: &mut Charge<'_>,
        retry_after: Duration,
        reach: Reach,
    ) -> Start<'a> {
        if self.relayed_by.is_some() {
            return Start::refuse(Refusal::OutOfReach, retry_after);
        }
        if self.relays < MAX_RELAYS
            && let Some(helper) = self.choose_helper()
        {
            self.relays += 1;
            return self.relay(body, helper, charge);
        }
        if self.must_relay || reach == Reach::InContact {
            return Start::refuse(Refusal::OutOfReach, retry_after);
        }
        self.send_anyway(body, charge)
    }

    /// Sends the request to an endpoint that has failed recently, if there is one.
    pub(super) fn send_anyway(&mut self, body: RequestBody, charge: &mut Charge<'_>) -> Start<'a> {
        match self.place(Placer::place) {
            Decision::Send(target) => self.attempt(body, target, charge),
            Decision::Refuse {
                reason,
                retry_after,
            } => Start::refuse(reason, retry_after),
        }
    }

    pub(super) fn choose_helper(&self) -> Option<ChosenHelper> {
        let now = self.core.now();
        let helpers = self.core.helpers.borrow();
        helpers.choose(now, self.service, self.homes())
    }

    /// Relays the request through another gateway.
    pub(super) fn relay(
        &mut self,
        body: RequestBody,
        helper: ChosenHelper,
        charge: &mut Charge<'_>,
    ) -> Start<'a> {
        let (addr, key) = (helper.addr, self.caller.key());
        self.attempts
            .record_sent(EndpointId::from(addr.to_string()));
        let may_send_again = self.route.kind.is_idempotent() && self.relays < MAX_RELAYS;
        let reserved = self.attempts.reserve_elsewhere(may_send_again);
        let usual = {
            let usual_times = self.core.usual_times.borrow();
            usual_times.usual(&TimedRoute::new(self.service, self.route))
        };
        let watch = helper.watch(usual);
        let relayed = RelayHead {
            cluster: self.core.identity.cluster,
            gateway: self.core.identity.gateway.clone(),
            revision: self.revision,
            service: self.service.clone(),
            attempts: 1 + reserved,
            is_caller_retry: self.is_retry,
            fingerprint: self.prints.of_caller,
        };
        let to = Destination::Gateway {
            addr,
            reserved,
            kept: self.attempts.left() > 0,
            watch: watch.clone(),
        };
        self.send(body, to, charge, |core, job, body, progress| {
            Box::pin(async move {
                let head = (&relayed, key);
                let relayed = relay(core, &job, body, (&helper, &watch), head, &progress).await;
                (relayed.attempt, relayed.reached)
            })
        })
    }

    pub(super) fn job(&self) -> Job<'a> {
        Job {
            route: &self.route.name,
            head: self.head,
            workspace: self.caller.workspace(),
            kind: self.route.kind,
            service: self.service,
            prints: self.prints,
            deadline: self.deadline,
            number: self.attempts_before + self.attempts.made(),
            relayed_by: self.relayed_by,
            retry: self.retry,
        }
    }

    /// Sends the request to an endpoint.
    pub(super) fn attempt(
        &mut self,
        body: RequestBody,
        target: Target,
        charge: &mut Charge<'_>,
    ) -> Start<'a> {
        self.attempts.record_sent(target.id.clone());
        let was_refused = self.attempts.was_refused_by(&target.id);
        let to = Destination::Endpoint(target.clone());
        self.send(body, to, charge, |core, job, body, progress| {
            Box::pin(async move {
                let sending = attempt(core, &job, body, (&target, was_refused), &progress);
                let attempt = sending.await;
                (attempt, None)
            })
        })
    }

    pub(super) fn send(
        &mut self,
        body: RequestBody,
        to: Destination,
        charge: &mut Charge<'_>,
        send: impl FnOnce(&'a Rc<Core>, Job<'a>, RequestBody, Rc<Progress>) -> Ending<'a>,
    ) -> Start<'a> {
        charge.spend();
        let retry_body = body.try_clone();
        let progress = Rc::new(Progress::default());
        let ending = send(self.core, self.job(), body, Rc::clone(&progress));
        Start::Started(Box::new(RunningAttempt {
            ending,
            to,
            progress,
            body: retry_body,
            is_replaceable: self.route.kind.is_idempotent(),
        }))
    }

    /// Whether newer routes have taken the key away that the caller was identified by.
    pub(super) fn is_revoked(&self) -> bool {
        let routes = self.core.active_routes();
        let newer = routes.filter(|routes| routes.revision != self.revision);
        newer.is_some_and(|routes| !self.caller.is_known_to(&routes))
    }

    /// Rejects a request whose key was taken away while it waited. Newer routes than these may
    /// allow it again, unless they are proven to be the newest.
    pub(super) fn reject_revoked(&self) -> Start<'a> {
        match self.core.is_proven() {
            true => Start::reject(ResultCode::CallerUnknown, Duration::ZERO),
            false => Start::reject(ResultCode::RoutesUnproven, RETRY_AFTER_STARTING),
        }
    }
}
