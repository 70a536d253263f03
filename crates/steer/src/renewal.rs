//! How an entry keeps its leases: renewals to control, promises between members.

use filberthead_types::{Epoch, Moment, NodeName};

use crate::lease::{Grant, Renew, ServiceDemand};
use crate::policy::Policy;
use crate::{Action, Message};

impl Policy {
    /// Asks control for leases, and the other members of the roster for promises.
    pub(crate) fn renew(&mut self, now: Moment) -> Vec<Action> {
        let serial = self.ownership.next_serial(now);
        self.shares.asking(serial);
        let renew = Renew {
            incarnation: self.cfg.incarnation,
            region: self.cfg.region.clone(),
            failure_domain: self.cfg.failure_domain.clone(),
            term: self.shares.term(),
            serial,
            accepted: self.shares.accepted(),
            roster: self.ownership.roster().cloned(),
            refusing: self.ownership.confirm(now),
            promised: self.ownership.promised(now),
            leaving: self.stopping,
            parts: self.shares.held(now),
            demand: self.demand(now),
        };
        let epoch = self.ownership.epoch().unwrap_or_default();
        let questions = self.ownership.others().into_iter().map(|to| Action::Send {
            to,
            message: Message::Ask { serial, epoch },
        });
        let mut actions = vec![Action::SendControl(Message::Renew(renew))];
        actions.extend(questions);
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

    pub(crate) fn granted(&mut self, now: Moment, grant: &Grant) {
        let Some(sent) = self.ownership.sent(grant.serial) else {
            return;
        };
        if self.shares.granted(grant, sent) {
            let before = self.ownership.epoch();
            self.ownership.granted(grant);
            self.refresh_owned_slots(now);
            if self.ownership.epoch() != before {
                // Others wait for this entry's word that it follows, and its new
                // endpoints are of no use before it has a share for them.
                self.next_renewal = now;
            }
        }
    }

    /// Another member asks for a promise.
    pub(crate) fn asked(
        &mut self,
        now: Moment,
        by: NodeName,
        epoch: Epoch,
        serial: u64,
    ) -> Vec<Action> {
        if !self.ownership.asked(now, &by, epoch) {
            return Vec::new();
        }
        let message = Message::Promise { serial };
        vec![Action::Send { to: by, message }]
    }
}
