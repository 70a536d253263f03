//! Messages from other ledgers and from control.

use filberthead_types::{Incarnation, Moment, NodeName};

use crate::backup::{Append, Backup};
use crate::home::{Home, Role};
use crate::primary::Primary;
use crate::{ClaimResult, HomeEpoch, HomeId, Ledger, Member, Message};

impl Ledger {
    pub(crate) fn received(&mut self, now: Moment, from: &NodeName, message: Message) {
        match message {
            Message::Append {
                home,
                epoch,
                primary,
                backup,
                first,
                ops,
                active_from,
            } => {
                if backup != self.me.incarnation && self.cfg.guards.check_backup_incarnation {
                    return;
                }
                let append = Append {
                    primary,
                    first,
                    ops,
                    active_from,
                };
                self.append(now, from, &home, epoch, append);
            }
            Message::Ack { home, epoch, next } => {
                self.with_home(now, &home, |home, cx| home.acked(cx, epoch, next));
            }
            Message::Release { home, epoch } => self.backup_released(now, &home, epoch),
            Message::HeldHomes {
                incarnation,
                homes,
                prefix,
            } => self.record_held_homes(now, from, incarnation, homes, prefix),
            Message::Outcome { home, record } => self.receive_outcome(now, from, &home, record),
            Message::OutcomeRecorded {
                home,
                generation,
                suffix,
            } => self.outcomes.remove(&home, generation, &suffix),
            Message::ClaimResult(result) => {
                self.apply_claim_result(now, &result);
                self.unpark(now);
            }
            Message::Claim(_) => {}
        }
    }

    fn append(
        &mut self,
        now: Moment,
        from: &NodeName,
        id: &HomeId,
        epoch: HomeEpoch,
        append: Append,
    ) {
        if self.stopping && !self.homes.contains_key(id) {
            // This entry will have stopped before the copy is complete.
            return;
        }
        if !self.prepare_backup(now, from, id, epoch, &append) {
            return;
        }
        self.with_home(now, id, |home, cx| home.append(cx, from, append));
    }

    /// Prepares the home for an append. Returns whether this entry is, or has become, the
    /// backup that the append addresses.
    fn prepare_backup(
        &mut self,
        now: Moment,
        from: &NodeName,
        id: &HomeId,
        epoch: HomeEpoch,
        append: &Append,
    ) -> bool {
        let Some(home) = self.homes.get(id) else {
            if append.first == 0 {
                let backup = Backup::new(now, from, append.primary);
                let home = Home::new(epoch, Role::Backup(backup));
                self.homes.insert(id.clone(), home);
            }
            return append.first == 0;
        };
        if epoch == home.epoch && matches!(home.role, Role::Former { .. }) {
            // The primary didn't receive the release by which this entry left the epoch.
            self.with_home(now, id, |home, cx| home.send_release(cx, from));
            return false;
        }
        // Guards against a replaced primary that hasn't noticed and still sends: if it were
        // acknowledged, it and its successor would both run a key.
        if epoch < home.epoch {
            if !self.cfg.guards.check_epoch {
                self.with_home(now, id, |home, cx| {
                    home.append_unchecked(cx, from, epoch, append);
                });
            }
            return false;
        }
        if epoch == home.epoch {
            return true;
        }
        if append.first > 0 {
            return false;
        }
        self.rejoin(now, from, id, epoch, append.primary);
        true
    }

    /// Starts again as the backup of a newer epoch, keeping the records, which are still
    /// valid.
    fn rejoin(
        &mut self,
        now: Moment,
        from: &NodeName,
        id: &HomeId,
        epoch: HomeEpoch,
        primary: Incarnation,
    ) {
        let to = Member {
            name: from.clone(),
            incarnation: primary,
            failure_domain: self.me.failure_domain.clone(),
            leaving: false,
        };
        self.with_home(now, id, |home, cx| {
            if home.primary().is_some() {
                home.demote(cx, epoch, &to);
            }
            home.epoch = epoch;
            home.role = Role::Backup(Backup::new(cx.now, from, primary));
        });
    }

    fn backup_released(&mut self, now: Moment, id: &HomeId, epoch: HomeEpoch) {
        self.with_home(now, id, |home, cx| {
            let log = home.primary_mut().and_then(Primary::log_mut);
            if log.is_some_and(|log| log.epoch == epoch) {
                home.continue_without_backup(cx, epoch.next());
            }
        });
    }

    fn apply_claim_result(&mut self, now: Moment, result: &ClaimResult) {
        let me = self.me.incarnation;
        let next = result.epoch.next();
        self.with_home(now, &result.home, |home, cx| {
            if home.epoch != result.epoch {
                return;
            }
            match &home.role {
                Role::Primary(primary) => {
                    let Some(peer) = primary.active_backup().cloned() else {
                        return;
                    };
                    if result.winner == me && primary.is_handing_over() {
                        // An epoch that is being handed over isn't claimed; the successor
                        // may be the primary already.
                        return;
                    }
                    if result.winner == me {
                        home.continue_without_backup(cx, next);
                    } else {
                        home.demote(cx, next, &peer);
                    }
                }
                Role::Backup(_) if result.winner == me => home.take_over(cx.now, next),
                Role::Backup(_) => {
                    home.epoch = next;
                    home.role = Role::Former {
                        primary: Some(result.winner),
                        since: cx.now,
                    };
                }
                Role::Former { .. } => {}
            }
        });
    }
}
