//! Changes of primary and backup.

use filberthead_types::Moment;

use super::{BackupState, Cx, Durability, Pending, Primary};
use crate::home::{Home, Role};
use crate::log::Log;
use crate::{Action, Claim, Decision, HomeEpoch, Member, Op};

impl Home {
    /// Becomes the primary at `epoch`, with the records that are here.
    pub(crate) fn take_over(&mut self, now: Moment, epoch: HomeEpoch) {
        self.epoch = epoch;
        let mut primary = Primary::new(None);
        // When the earlier prefixes were superseded isn't known. Counting from now never
        // closes one too early, and no new one is issued here.
        primary
            .superseded
            .push_back((self.watermarks.unissued_from, now));
        self.role = Role::Primary(Box::new(primary));
    }

    /// Continues at `epoch` without the backup; what waited for it completes.
    pub(crate) fn continue_without_backup(&mut self, cx: &mut Cx<'_>, epoch: HomeEpoch) {
        self.epoch = epoch;
        let Some(primary) = self.primary_mut() else {
            return;
        };
        primary.backup = BackupState::Absent;
        // Guards against two stops at once: the backup releases its primary and never
        // applies its hand-over. If the hand-over stayed in force, keys that start here
        // would be left out of the copy for the next backup, which would run them again.
        primary.handing_over = None;
        for (_, pending) in std::mem::take(&mut primary.pending) {
            self.complete(cx, pending);
        }
    }

    /// Another entry is the primary; requests that wait here are forwarded to it.
    pub(crate) fn demote(&mut self, cx: &mut Cx<'_>, epoch: HomeEpoch, to: &Member) {
        self.epoch = epoch;
        let former = Role::Former {
            primary: Some(to.incarnation),
            since: cx.now,
        };
        let forward = || Decision::Forward {
            entry: to.name.clone(),
        };
        if let Role::Primary(primary) = std::mem::replace(&mut self.role, former) {
            for (_, pending) in primary.pending {
                if let Pending::Refuse { token, .. } = pending {
                    cx.answer(token, forward());
                }
            }
        }
        for (generation, suffix) in self.active_keys() {
            let Some(run) = self.run_mut(generation, &suffix) else {
                continue;
            };
            for token in std::mem::take(&mut run.waiters) {
                cx.answer(token, forward());
            }
            if run.granted.is_none() {
                self.end_run(generation, &suffix);
            }
        }
    }

    /// Starts to copy the home to `peer` as its backup.
    pub(crate) fn add_backup(&mut self, now: Moment, peer: &Member) {
        self.epoch = self.epoch.next();
        let mut log = Log::new(now, peer.clone(), self.epoch);
        log.push(Op::Watermarks(self.watermarks));
        if let Some(primary) = self.primary_mut() {
            primary.backup = BackupState::Joining(log);
        }
    }

    /// Handles an acknowledgement: the backup has the operations before `next`.
    pub(crate) fn acked(&mut self, cx: &mut Cx<'_>, epoch: HomeEpoch, next: u64) {
        let Some(primary) = self.primary_mut() else {
            return;
        };
        let Some(log) = primary.log_mut() else {
            return;
        };
        if log.epoch != epoch {
            return;
        }
        log.ack(cx.now, next);
        primary.activate_if_copied(cx.cfg);
        self.complete_durable(cx);
        self.end_hand_over(cx);
    }

    pub(super) fn complete_durable(&mut self, cx: &mut Cx<'_>) {
        while let Some(pending) = self.primary_mut().and_then(Primary::next_ready) {
            self.complete(cx, pending);
        }
    }

    /// Hands the home over to the backup, by an operation after all others in the log.
    pub(crate) fn hand_over(&mut self) {
        let Some(primary) = self.primary_mut() else {
            return;
        };
        // Guards against two primaries: if this entry has just sent a claim, it could win
        // after the hand-over has reached the backup.
        let may_hand_over = matches!(primary.backup, BackupState::Active { claimed: None, .. });
        if primary.handing_over.is_none()
            && may_hand_over
            && let Some(Durability::Acked(number)) = primary.log_op(Op::HandOver)
        {
            primary.handing_over = Some(number);
        }
    }

    pub(super) fn end_hand_over(&mut self, cx: &mut Cx<'_>) {
        let Some(primary) = self.primary() else {
            return;
        };
        let BackupState::Active { log, .. } = &primary.backup else {
            return;
        };
        if !primary
            .handing_over
            .is_some_and(|number| log.is_acked(number))
        {
            return;
        }
        let (peer, epoch) = (log.peer.clone(), log.epoch.next());
        self.demote(cx, epoch, &peer);
    }

    /// Sends a claim to continue without the backup, and repeats it: a claim in flight may
    /// win, so only its result ends it.
    pub(crate) fn claim(&mut self, cx: &mut Cx<'_>, silent: bool) {
        let Some(primary) = self.primary_mut() else {
            return;
        };
        if primary.handing_over.is_some() {
            return;
        }
        let BackupState::Active { log, claimed } = &mut primary.backup else {
            return;
        };
        let due = claimed.map_or(silent, |at| at + cx.cfg.heartbeat <= cx.now);
        if !due {
            return;
        }
        *claimed = Some(cx.now);
        let claim = Claim {
            home: cx.id.clone(),
            epoch: log.epoch,
            claimant: cx.me.incarnation,
        };
        cx.out.push(Action::Claim(claim));
    }
}
