//! Whether a further attempt is allowed: attempts left, time left, retry budget and allotment.

use filberthead_place::{BudgetUsage, NextAttempt, RetryDecision};
use filberthead_types::{ResultCode, Workspace as WorkspaceName};
use log::info;

use super::Forwarding;
use crate::gateway::caller::Charge;

impl<'a> Forwarding<'a> {
    /// Whether another attempt is allowed, has enough time left and fits the retry budget and the
    /// caller's allotment.
    pub(super) fn may_retry(&mut self, further: NextAttempt, charge: &mut Charge<'_>) -> bool {
        let expected = self.route.objective / 4;
        further == NextAttempt::Allowed
            && self.deadline.remaining() > expected
            && (self.retry.is_granted() || self.try_spend_retry())
            && self.renew_charge(charge)
    }

    /// Takes room for a further attempt from the caller's allotment. Without any, the retry that was
    /// granted is given back.
    pub(super) fn renew_charge(&self, charge: &mut Charge<'_>) -> bool {
        let renewed = charge.renew();
        if !renewed {
            self.retry.give_back("no-allotment");
            if let Some(omitted) = self.core.may_log(ResultCode::AllotmentUsed) {
                info!(request = self.request_id(), route = self.route.name.as_str(),
                    workspace = self.caller.workspace().map(WorkspaceName::as_str), omitted;
                    "no retry, the allotment is used");
            }
        }
        renewed
    }

    pub(super) fn try_spend_retry(&mut self) -> bool {
        let now = self.core.now();
        let decision = self.core.try_spend_retry(now, self.service);
        match decision {
            RetryDecision::Granted(id, usage) => {
                self.retry.set(id);
                self.log_retry("retry granted", usage, 0);
            }
            RetryDecision::Refused(usage) => {
                if let Some(omitted) = self.core.may_log(ResultCode::RetryBudgetSpent) {
                    self.log_retry("retry budget spent", usage, omitted);
                }
            }
        }
        decision.is_granted()
    }

    pub(super) fn log_retry(&self, event: &'static str, usage: BudgetUsage, omitted: u64) {
        let proven_ms = self.core.leader_proof_age().map(|age| age.as_millis());
        info!(request = self.request_id(), route = self.route.name.as_str(),
            service:% = self.service, within_ms = usage.within.as_millis(), first = usage.first,
            retries = usage.retries, unanswered = usage.unanswered, allowed = usage.allowed,
            gateways = usage.gateways, proven_ms, omitted; "{event}");
    }
}
