//! Renewal of an entry's leases with control, and promises between roster members.

use std::time::Duration;

use filberthead_types::{Epoch, Moment, NodeName};

use crate::contact::CUT_OFF_SILENCE;
use crate::lease::{Grant, Renew, Roster, ServiceDemand};
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
            roster: self.reported_roster(),
            refusing: self.ownership.confirm_removal(now),
            promised: self.ownership.promise_holders(now),
            leaving: self.stopping,
            silence: self.silence(),
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

    /// How long no endpoint has answered; `None` if this entry knows of none.
    pub(crate) fn silence(&self) -> Option<Duration> {
        let mut endpoints = self.pools.values().flat_map(|pool| &pool.endpoints);
        let has_endpoints = endpoints.any(|endpoint| !endpoint.delisted);
        has_endpoints.then(|| self.contact.silence())
    }

    /// The roster that this entry follows, for control.
    ///
    /// What an entry without contact has sent may arrive at endpoints once its links are back,
    /// and until then no reading of theirs shows it. So the entry that loses its endpoints
    /// doesn't acknowledge that while it has requests there, and the next owner doesn't count
    /// their slots as free.
    fn reported_roster(&mut self) -> Option<Roster> {
        let is_cut_off = self.silence() >= Some(CUT_OFF_SILENCE);
        let has_requests = self.pools.values().any(|pool| pool.running > 0);
        if !(is_cut_off && has_requests) {
            self.ownership.acknowledge_loss();
        }
        self.ownership.acknowledged_roster().cloned()
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
