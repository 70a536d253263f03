//! Messages of other ledgers and of control.

use filberthead_types::{Incarnation, Moment, NodeName};

use crate::backup::{Append, Backup};
use crate::home::{Home, Role};
use crate::primary::Holder;
use crate::{ConfigNumber, HomeId, Ledger, Member, Message, Verdict};

impl Ledger {
    pub(crate) fn received(&mut self, now: Moment, from: &NodeName, message: Message) {
        match message {
            Message::Append {
                home,
                config,
                holder,
                backup,
                first,
                ops,
                joined_at,
            } => {
                if backup != self.me.incarnation && self.cfg.guards.check_backup {
                    return;
                }
                let append = Append {
                    holder,
                    first,
                    ops,
                    joined_at,
                };
                self.append(now, from, &home, config, append);
            }
            Message::Ack { home, config, next } => {
                self.with_home(now, &home, |home, cx| home.acked(cx, config, next));
            }
            Message::Release { home, config } => self.released(now, &home, config),
            Message::Holds {
                incarnation,
                homes,
                prefix,
            } => self.learn_holds(now, from, incarnation, homes, prefix),
            Message::Outcome { home, record } => self.take_outcome(now, from, &home, record),
            Message::OutcomeKept {
                home,
                generation,
                rest,
            } => self.outcomes.remove(&home, generation, &rest),
            Message::Verdict(verdict) => {
                self.decided(now, &verdict);
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
        config: ConfigNumber,
        append: Append,
    ) {
        if self.stopping && !self.homes.contains_key(id) {
            // This entry would be gone before it is of use.
            return;
        }
        if !self.follows(now, from, id, config, &append) {
            return;
        }
        self.with_home(now, id, |home, cx| home.append(cx, from, append));
    }

    /// Whether this entry is, or becomes, the backup that a message means.
    fn follows(
        &mut self,
        now: Moment,
        from: &NodeName,
        id: &HomeId,
        config: ConfigNumber,
        append: &Append,
    ) -> bool {
        let Some(home) = self.homes.get(id) else {
            if append.first == 0 {
                let backup = Backup::new(now, from, append.holder);
                let home = Home::new(config, Role::Backup(backup));
                self.homes.insert(id.clone(), home);
            }
            return append.first == 0;
        };
        if config == home.config && matches!(home.role, Role::Past { .. }) {
            // It didn't hear that this entry has left the config.
            self.with_home(now, id, |home, cx| home.send_release(cx, from));
            return false;
        }
        // Failure: a holder that was replaced without knowing goes on sending; were it
        // acknowledged, it and its successor would both run a key.
        if config < home.config {
            if !self.cfg.guards.check_config {
                self.with_home(now, id, |home, cx| {
                    home.append_unchecked(cx, from, config, append);
                });
            }
            return false;
        }
        if config == home.config {
            return true;
        }
        if append.first > 0 {
            return false;
        }
        self.rejoin(now, from, id, config, append.holder);
        true
    }

    /// Starts over as backup of a newer config; the records at hand are still true.
    fn rejoin(
        &mut self,
        now: Moment,
        from: &NodeName,
        id: &HomeId,
        config: ConfigNumber,
        holder: Incarnation,
    ) {
        let to = Member {
            name: from.clone(),
            incarnation: holder,
            failure_domain: self.me.failure_domain.clone(),
            leaving: false,
        };
        self.with_home(now, id, |home, cx| {
            if home.holder().is_some() {
                home.depose(cx, config, &to);
            }
            home.config = config;
            home.role = Role::Backup(Backup::new(cx.now, from, holder));
        });
    }

    fn released(&mut self, now: Moment, id: &HomeId, config: ConfigNumber) {
        self.with_home(now, id, |home, cx| {
            let log = home.holder_mut().and_then(Holder::log_mut);
            if log.is_some_and(|log| log.config == config) {
                home.go_alone(cx, config.next());
            }
        });
    }

    fn decided(&mut self, now: Moment, verdict: &Verdict) {
        let me = self.me.incarnation;
        let next = verdict.config.next();
        self.with_home(now, &verdict.home, |home, cx| {
            if home.config != verdict.config {
                return;
            }
            match &home.role {
                Role::Holder(holder) => {
                    let Some(peer) = holder.paired_with().cloned() else {
                        return;
                    };
                    if verdict.winner == me && holder.is_handing_over() {
                        // Nobody asks for a config while it is handed over; the successor
                        // may hold the home already.
                        return;
                    }
                    if verdict.winner == me {
                        home.go_alone(cx, next);
                    } else {
                        home.depose(cx, next, &peer);
                    }
                }
                Role::Backup(_) if verdict.winner == me => home.take_over(cx.now, next),
                Role::Backup(_) => {
                    home.config = next;
                    home.role = Role::Past {
                        holder: Some(verdict.winner),
                        since: cx.now,
                    };
                }
                Role::Past { .. } => {}
            }
        });
    }
}
