//! What happens because time has passed.

use filberthead_types::{Moment, ResultCode};

use crate::home::{Home, Role};
use crate::journal::Journal;
use crate::ledger::Room;
use crate::primary::{Pair, Primary, refuse};
use crate::{Action, HomeEpoch, HomeId, Ledger, Message};

/// Homes known at most before no further one is founded. One is founded at the start and
/// one each time that control can't be asked for a verdict for long.
const MAX_HOMES: usize = 64;

/// What a home needs next because of its role.
enum Due {
    Nothing,
    Invite,
    DropPeer,
    Claim { silent: bool },
    ClaimAsBackup { silent: bool },
    Release,
    Leave,
    Drop,
}

impl Ledger {
    pub(crate) fn tick(&mut self, now: Moment) {
        self.forgive_own_gap(now);
        self.expire(now);
        self.unreachable.retain(|_, until| now < *until);
        let ids: Vec<HomeId> = self.homes.keys().cloned().collect();
        for id in &ids {
            self.tick_home(now, id);
        }
        self.unpark(now);
        self.found_if_needed(now);
        self.mint_if_due(now);
        self.announce_held_homes(now);
        self.send_outcomes(now);
    }

    /// Silence while this process itself was stopped says nothing about others.
    fn forgive_own_gap(&mut self, now: Moment) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap * 2 <= self.cfg.suspect_after {
            return;
        }
        for home in self.homes.values_mut() {
            match &mut home.role {
                Role::Primary(primary) => {
                    if let Some(log) = primary.log_mut() {
                        log.heard = now;
                    }
                }
                Role::Backup(backup) => backup.heard = now,
                Role::Past { .. } => {}
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
            Due::Invite => self.invite(now, id),
            Due::DropPeer => self.drop_peer(id),
            Due::Claim { silent } => {
                self.with_home(now, id, |home, cx| home.claim(cx, silent));
            }
            Due::ClaimAsBackup { silent } => {
                self.with_home(now, id, |home, cx| home.claim_as_backup(cx, silent));
            }
            Due::Release => {
                self.with_home(now, id, |home, cx| home.release(cx));
            }
            Due::Leave => {
                if let Some(home) = self.homes.get_mut(id) {
                    let since = now;
                    home.role = Role::Past {
                        primary: None,
                        since,
                    };
                }
            }
            Due::Drop => self.drop_home(id),
        }
        let max_closed = self.cfg.max_closed;
        let stopping = self.stopping;
        self.with_home(now, id, |home, cx| {
            home.age(cx);
            home.shorten_journal();
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
            Role::Primary(primary) if !is_own && home.is_spent() && !primary.is_handing_over() => {
                Due::Drop
            }
            Role::Primary(primary) => self.due_as_primary(now, primary),
            Role::Backup(backup) => {
                let restarted = self.has_restarted(&backup.primary, backup.primary_incarnation);
                let silent = restarted || self.is_silent(now, backup.heard);
                if silent && home.is_spent() {
                    Due::Drop
                } else if silent && !backup.is_joined() && self.cfg.guards.complete_before_claim {
                    Due::Leave
                } else if self.stopping && !silent {
                    Due::Release
                } else {
                    Due::ClaimAsBackup { silent }
                }
            }
            Role::Past { since, .. } => {
                let kept = self.cfg.start_window + self.cfg.retention;
                if home.usage.live == 0 && *since + kept <= now {
                    Due::Drop
                } else {
                    Due::Nothing
                }
            }
        }
    }

    fn due_as_primary(&self, now: Moment, primary: &Primary) -> Due {
        match &primary.pair {
            // A successor of this process must know which configs were used.
            Pair::Alone if !primary.journal.as_ref().is_none_or(Journal::is_settled) => {
                Due::Nothing
            }
            Pair::Alone if self.candidate().is_some() => Due::Invite,
            Pair::Alone => Due::Nothing,
            Pair::Joining(log) => {
                let restarted = self.has_restarted(&log.peer.name, log.peer.incarnation);
                if restarted || self.is_silent(now, log.heard) {
                    Due::DropPeer
                } else {
                    Due::Nothing
                }
            }
            Pair::Paired { log, .. } => {
                let restarted = self.has_restarted(&log.peer.name, log.peer.incarnation);
                let silent = restarted || self.is_silent(now, log.heard);
                Due::Claim { silent }
            }
        }
    }

    fn is_silent(&self, now: Moment, heard: Moment) -> bool {
        heard + self.cfg.suspect_after <= now
    }

    fn drop_home(&mut self, id: &HomeId) {
        self.outcomes.forget(id);
        let home = self.homes.remove(id);
        if home.is_some_and(|home| home.primary().is_some_and(|h| h.journal.is_some())) {
            self.out.push(Action::Sync {
                home: id.clone(),
                number: 0,
                ops: Vec::new(),
                rewrite: false,
                retire: true,
            });
        }
    }

    fn invite(&mut self, now: Moment, id: &HomeId) {
        if let Some(peer) = self.candidate().cloned() {
            self.with_home(now, id, |home, cx| home.invite(cx.now, &peer));
        }
    }

    fn drop_peer(&mut self, id: &HomeId) {
        if let Some(primary) = self.homes.get_mut(id).and_then(Home::primary_mut) {
            primary.pair = Pair::Alone;
        }
    }

    /// Failure: a failure domain that is cut off with one of its two entries dead takes
    /// no more orders, because nobody there may take over the homes of both. New keys
    /// need no verdict: a home that nobody but this entry ever had is founded for them.
    fn found_if_needed(&mut self, now: Moment) {
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
        let role = Role::Primary(Box::new(Primary::alone(journal)));
        let home = Home::new(HomeEpoch::default(), role);
        self.homes.insert(id.clone(), home);
        self.own = Some(id);
    }

    fn is_stuck(&self, now: Moment, primary: &Primary) -> bool {
        let Pair::Paired { log, claimed } = &primary.pair else {
            return false;
        };
        claimed.is_some() && log.heard + 2 * self.cfg.suspect_after <= now
    }

    fn mint_if_due(&mut self, now: Moment) {
        let Some(id) = self.own.clone().filter(|_| self.is_mint_due(now)) else {
            return;
        };
        self.with_home(now, &id, |home, cx| home.mint(cx));
    }

    fn is_mint_due(&self, now: Moment) -> bool {
        let Some(home) = self.own.as_ref().and_then(|id| self.homes.get(id)) else {
            return false;
        };
        let Some(primary) = home.primary() else {
            return false;
        };
        if self.stopping || home.is_minting() || self.room() == Room::Full {
            return false;
        }
        match primary.minted {
            Some((_, since)) => since + self.cfg.generation_period <= now,
            None => self.may_open(now, primary),
        }
    }

    /// The first keys of a home wait until it has a backup, unless there is none to be had.
    fn may_open(&self, now: Moment, primary: &Primary) -> bool {
        match &primary.pair {
            Pair::Paired { .. } => true,
            Pair::Joining(_) => false,
            Pair::Alone => {
                let known_alone = self.members.is_some() && self.candidate().is_none();
                known_alone || self.is_silent(now, self.founded)
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
    /// Whether no key of the home can start or is on record any more.
    fn is_spent(&self) -> bool {
        self.usage.keys == 0 && self.watermarks.retained_from >= self.watermarks.unissued_from
    }
}
