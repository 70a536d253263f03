//! Renewal of an entry's leases with control, and promises between roster members.

use filberthead_types::{Epoch, Moment, NodeName};

use crate::lease::{Grant, Renew, ServiceDemand};
use crate::policy::Policy;
use crate::{Action, Message};

impl Policy {
    /// Requests leases from control and promises from the other members of the roster.
    pub(crate) fn renew(&mut self, now: Moment) -> Vec<Action> {
        let serial = self.ownership.next_serial(now);
        self.shares.record_renewal_sent(serial);
        let renew = Renew {
            incarnation: self.cfg.incarnation,
            region: self.cfg.region.clone(),
            failure_domain: self.cfg.failure_domain.clone(),
            term: self.shares.term(),
            serial,
            accepted: self.shares.accepted(),
            roster: self.ownership.roster().cloned(),
            refusing: self.ownership.confirm_removal(now),
            promised: self.ownership.promise_holders(now),
            leaving: self.stopping,
            parts: self.shares.held_parts(now),
            demand: self.demand(now),
        };
        let epoch = self.ownership.epoch().unwrap_or_default();
        let requests = self
            .ownership
            .other_members()
            .into_iter()
            .map(|to| Action::Send {
                to,
                message: Message::Ask { serial, epoch },
            });
        let mut actions = vec![Action::SendControl(Message::Renew(renew))];
        actions.extend(requests);
        actions
    }

    fn demand(&self, now: Moment) -> Vec<ServiceDemand> {
        let demand = self.pools.iter().map(|(service, pool)| ServiceDemand {
            service: service.clone(),
            slots: pool.slots(),
            running: pool.in_progress(now),
            waiting: pool.waiting(),
            shifted: pool.shifted_running,
            shifted_waiting: pool.shifted_queue.len() as u32,
        });
        demand.collect()
    }

    pub(crate) fn handle_grant(&mut self, now: Moment, grant: &Grant) {
        let Some(sent_at) = self.ownership.sent_at(grant.serial) else {
            return;
        };
        if self.shares.apply_grant(grant, sent_at) {
            let previous_epoch = self.ownership.epoch();
            self.ownership.apply_grant(grant);
            self.refresh_owned_slots(now);
            if self.ownership.epoch() != previous_epoch {
                // Other members wait until this entry reports that it follows the new roster,
                // and it can't use its new endpoints before it has a share for them.
                self.next_renewal = now;
            }
        }
    }

    /// Answers another member's promise request; sends nothing if it is refused.
    pub(crate) fn handle_promise_request(
        &mut self,
        now: Moment,
        by: NodeName,
        epoch: Epoch,
        serial: u64,
    ) -> Vec<Action> {
        if !self.ownership.grant_promise(now, &by, epoch) {
            return Vec::new();
        }
        let message = Message::Promise { serial };
        vec![Action::Send { to: by, message }]
    }
}
