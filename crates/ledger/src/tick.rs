//! Work that is due because of the time.

use filberthead_types::{Moment, ResultCode};

use crate::home::{Home, Role};
use crate::journal::Journal;
use crate::ledger::Capacity;
use crate::primary::{BackupState, Primary, refuse};
use crate::{Action, HomeEpoch, HomeId, Ledger, Message};

/// Most homes in a ledger before it creates no more. It creates one at its start and one
/// each time that control doesn't answer a claim for long.
const MAX_HOMES: usize = 64;

/// What is due for a home because of this entry's role.
enum Due {
    Nothing,
    AddBackup,
    RemoveBackup,
    Claim { silent: bool },
    ClaimAsBackup { silent: bool },
    Release,
    BecomeFormer,
    DropHome,
}

impl Ledger {
    pub(crate) fn tick(&mut self, now: Moment) {
        self.reset_silence_after_pause(now);
        self.expire(now);
        self.unreachable.retain(|_, until| now < *until);
        let ids: Vec<HomeId> = self.homes.keys().cloned().collect();
        for id in &ids {
            self.tick_home(now, id);
        }
        self.unpark(now);
        self.create_home_if_needed(now);
        self.issue_prefix_if_due(now);
        self.announce_held_homes(now);
        self.send_outcomes(now);
    }

    /// Restarts all silence timeouts if this process was suspended: it received nothing in
    /// that time, which says nothing about the other entries.
    fn reset_silence_after_pause(&mut self, now: Moment) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap * 2 <= self.cfg.failover_timeout {
            return;
        }
        for home in self.homes.values_mut() {
            match &mut home.role {
                Role::Primary(primary) => {
                    if let Some(log) = primary.log_mut() {
                        log.last_seen = now;
                    }
                }
                Role::Backup(backup) => backup.last_seen = now,
                Role::Former { .. } => {}
            }
        }
    }

    fn expire(&mut self, now: Moment) {
        while let Some(token) = self.requests.pop_expired(now) {
            let decision = refuse(&self.cfg, ResultCode::StillRunning);
            self.out.push(Action::Decide { token, decision });
        }
    }

    fn tick_home(&mut self, now: Moment, id: &HomeId) {
        let Some(home) = self.homes.get(id) else {
            return;
        };
        let due = self.due(now, id, home);
        match due {
            Due::Nothing => {}
            Due::AddBackup => self.add_backup(now, id),
            Due::RemoveBackup => self.remove_backup(id),
            Due::Claim { silent } => {
                self.with_home(now, id, |home, cx| home.claim(cx, silent));
            }
            Due::ClaimAsBackup { silent } => {
                self.with_home(now, id, |home, cx| home.claim_as_backup(cx, silent));
            }
            Due::Release => {
                self.with_home(now, id, |home, cx| home.release(cx));
            }
            Due::BecomeFormer => {
                if let Some(home) = self.homes.get_mut(id) {
                    let since = now;
                    home.role = Role::Former {
                        primary: None,
                        since,
                    };
                }
            }
            Due::DropHome => self.drop_home(id),
        }
        let max_closed = self.cfg.max_closed;
        let stopping = self.stopping;
        self.with_home(now, id, |home, cx| {
            home.expire_generations(cx);
            home.compact_journal();
            if home.primary().is_some() && home.usage.closed > max_closed {
                home.close_all(cx);
            }
            if stopping {
                home.hand_over();
            }
        });
    }

    fn due(&self, now: Moment, id: &HomeId, home: &Home) -> Due {
        let is_own = self.own.as_ref() == Some(id);
        match &home.role {
            Role::Primary(primary)
                if !is_own && home.is_exhausted() && !primary.is_handing_over() =>
            {
                Due::DropHome
            }
            Role::Primary(primary) => self.due_as_primary(now, primary),
            Role::Backup(backup) => {
                let restarted = self.has_restarted(&backup.primary, backup.primary_incarnation);
                let silent = restarted || self.is_silent(now, backup.last_seen);
                if silent && home.is_exhausted() {
                    Due::DropHome
                } else if silent && !backup.is_active() && self.cfg.guards.complete_before_claim {
                    Due::BecomeFormer
                } else if self.stopping && !silent {
                    Due::Release
                } else {
                    Due::ClaimAsBackup { silent }
                }
            }
            Role::Former { since, .. } => {
                let kept = self.cfg.start_window + self.cfg.retention;
                if home.usage.active == 0 && *since + kept <= now {
                    Due::DropHome
                } else {
                    Due::Nothing
                }
            }
        }
    }

    fn due_as_primary(&self, now: Moment, primary: &Primary) -> Due {
        match &primary.backup {
            // A process that recovers the journal must start above every epoch used here, so
            // the journal has to be synced before the next one is used.
            BackupState::Absent
                if !primary
                    .journal
                    .as_ref()
                    .is_none_or(Journal::is_fully_synced) =>
            {
                Due::Nothing
            }
            BackupState::Absent if self.candidate().is_some() => Due::AddBackup,
            BackupState::Absent => Due::Nothing,
            BackupState::Joining(log) => {
                let restarted = self.has_restarted(&log.peer.name, log.peer.incarnation);
                if restarted || self.is_silent(now, log.last_seen) {
                    Due::RemoveBackup
                } else {
                    Due::Nothing
                }
            }
            BackupState::Active { log, .. } => {
                let restarted = self.has_restarted(&log.peer.name, log.peer.incarnation);
                let silent = restarted || self.is_silent(now, log.last_seen);
                Due::Claim { silent }
            }
        }
    }

    fn is_silent(&self, now: Moment, last_seen: Moment) -> bool {
        last_seen + self.cfg.failover_timeout <= now
    }

    fn drop_home(&mut self, id: &HomeId) {
        self.outcomes.remove_home(id);
        let home = self.homes.remove(id);
        if home.is_some_and(|home| {
            home.primary()
                .is_some_and(|primary| primary.journal.is_some())
        }) {
            self.out.push(Action::Sync {
                home: id.clone(),
                number: 0,
                ops: Vec::new(),
                rewrite: false,
                retire: true,
            });
        }
    }

    fn add_backup(&mut self, now: Moment, id: &HomeId) {
        if let Some(peer) = self.candidate().cloned() {
            self.with_home(now, id, |home, cx| home.add_backup(cx.now, &peer));
        }
    }

    fn remove_backup(&mut self, id: &HomeId) {
        if let Some(primary) = self.homes.get_mut(id).and_then(Home::primary_mut) {
            primary.backup = BackupState::Absent;
        }
    }

    /// Creates a home for new keys if this entry has none that works. Otherwise a failure
    /// domain that is partitioned, with one of its two entries dead, could accept no new
    /// keys, since without control the survivor may not take over the old homes. A new home
    /// needs no claim: this entry is its only member.
    fn create_home_if_needed(&mut self, now: Moment) {
        if self.stopping || self.homes.len() >= MAX_HOMES {
            return;
        }
        let own = self.own.as_ref().and_then(|id| self.homes.get(id));
        let works = own
            .and_then(Home::primary)
            .is_some_and(|primary| !self.is_stuck(now, primary));
        if works {
            return;
        }
        let id = HomeId {
            failure_domain: self.me.failure_domain.clone(),
            founder: self.me.incarnation,
            serial: self.next_serial,
        };
        self.next_serial += 1;
        let journal = self.cfg.journal.then(Journal::default);
        let role = Role::Primary(Box::new(Primary::new(journal)));
        let home = Home::new(HomeEpoch::default(), role);
        self.homes.insert(id.clone(), home);
        self.own = Some(id);
    }

    /// Whether this entry has claimed the home and its backup has been silent for twice the
    /// failover timeout.
    fn is_stuck(&self, now: Moment, primary: &Primary) -> bool {
        let BackupState::Active { log, claimed } = &primary.backup else {
            return false;
        };
        claimed.is_some() && log.last_seen + 2 * self.cfg.failover_timeout <= now
    }

    fn issue_prefix_if_due(&mut self, now: Moment) {
        let Some(id) = self.own.clone().filter(|_| self.is_issue_due(now)) else {
            return;
        };
        self.with_home(now, &id, |home, cx| home.issue_prefix(cx));
    }

    fn is_issue_due(&self, now: Moment) -> bool {
        let Some(home) = self.own.as_ref().and_then(|id| self.homes.get(id)) else {
            return false;
        };
        let Some(primary) = home.primary() else {
            return false;
        };
        if self.stopping || home.is_issuing() || self.capacity() == Capacity::Full {
            return false;
        }
        match primary.issued {
            Some((_, since)) => since + self.cfg.generation_period <= now,
            None => self.may_issue_first(now, primary),
        }
    }

    /// Whether a home may issue its first prefix: once it has a backup, or if there is no
    /// entry that could be one.
    fn may_issue_first(&self, now: Moment, primary: &Primary) -> bool {
        match &primary.backup {
            BackupState::Active { .. } => true,
            BackupState::Joining(_) => false,
            BackupState::Absent => {
                let known_alone = self.members.is_some() && self.candidate().is_none();
                known_alone || self.is_silent(now, self.created_at)
            }
        }
    }

    fn announce_held_homes(&mut self, now: Moment) {
        let due = |at: Moment| at + self.cfg.heartbeat <= now;
        if !self.last_announced.is_none_or(due) {
            return;
        }
        self.last_announced = Some(now);
        let held = self
            .homes
            .iter()
            .filter(|(_, home)| home.primary().is_some());
        let homes: Vec<_> = held.map(|(id, home)| (id.clone(), home.epoch)).collect();
        let message = Message::HeldHomes {
            incarnation: self.me.incarnation,
            homes,
            prefix: self.own_prefix(),
        };
        let members = self.members.iter().flatten();
        for member in members.filter(|m| m.failure_domain == self.me.failure_domain) {
            self.out.push(Action::Send {
                to: member.name.clone(),
                message: message.clone(),
            });
        }
    }
}

impl Home {
    /// Whether no key of the home is on record or can still start.
    fn is_exhausted(&self) -> bool {
        self.usage.keys == 0 && self.watermarks.retained_from >= self.watermarks.unissued_from
    }
}
