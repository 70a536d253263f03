//! What the holder of a home decides.
//!
//! A home has a holder and, where the failure domain has a second entry, a backup. Both
//! together are a numbered config. Invariants:
//!
//! - A key starts only once its start is on record at every member of the config, so
//!   whichever member goes on alone knows every key that ever started.
//! - A config ends by an act of the member that leaves it (hand-over, release), or by
//!   control's verdict, which names one winner for ever. No lease is needed: a holder
//!   that lost its config without knowing gets no acknowledgement, so it starts nothing.
//! - A key told "not run" is closed on record, or belongs to a period closed on record.

mod failover;
mod generations;
mod keys;
mod replication;

use std::collections::VecDeque;

use filberthead_types::{Moment, NodeName, ResultCode};

use crate::home::{Home, Role};
use crate::journal::Journal;
use crate::log::{Copying, Log};
use crate::requests::Requests;
use crate::{Action, Config, Decision, Generation, HomeId, Member, Message, Op, Stage, Token};

/// What a holder's decisions need besides the home.
pub(crate) struct Cx<'a> {
    pub(crate) now: Moment,
    pub(crate) cfg: &'a Config,
    pub(crate) me: &'a Member,
    pub(crate) id: &'a HomeId,
    pub(crate) requests: &'a mut Requests,
    pub(crate) out: &'a mut Vec<Action>,
}

impl Cx<'_> {
    /// Answers a pass if it still waits.
    pub(crate) fn answer(&mut self, token: Token, decision: Decision) {
        if self.requests.end_wait(token) {
            self.out.push(Action::Decide { token, decision });
        }
    }

    pub(crate) fn send(&mut self, to: &NodeName, message: Message) {
        self.out.push(Action::Send {
            to: to.clone(),
            message,
        });
    }
}

/// A refusal, with the time after which a resend may bring more.
pub(crate) fn refuse(cfg: &Config, code: ResultCode) -> Decision {
    Decision::Refuse {
        code,
        retry_after: cfg.heartbeat,
    }
}

/// What a key on record means to another send of it.
pub(crate) fn replay(cfg: &Config, stage: &Stage) -> Decision {
    match stage {
        Stage::Finished(answer) => Decision::Replay(answer.clone()),
        Stage::NotStored => refuse(cfg, ResultCode::AnswerNotStored),
        Stage::Closed(code) => refuse(cfg, *code),
        Stage::Started | Stage::Unknown => refuse(cfg, ResultCode::OutcomeUnknown),
    }
}

/// State of a holder besides the records.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Primary {
    pub(crate) pair: Pair,
    /// Steps that are synced to the data folder while there is no backup.
    pub(crate) journal: Option<Journal>,
    /// What waits until a step is on record beside this process.
    waits: VecDeque<(Need, Wait)>,
    /// The period whose prefix is handed out, and since when.
    pub(crate) minted: Option<(Generation, Moment)>,
    /// Periods below the first were superseded at the second.
    superseded: VecDeque<(Generation, Moment)>,
    /// What the newest marks need to be on record.
    watermarks_need: Option<Need>,
    /// Number of the hand-over in the log: another entry holds the home next.
    handing_over: Option<u64>,
}

/// Whether, and how far, a holder has a backup.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Pair {
    /// No backup.
    Alone,
    /// A copy is being made; nothing waits for it yet.
    Joining(Log),
    /// Every start waits for the backup's acknowledgement.
    Paired {
        log: Log,
        /// When control was last asked to let this entry go on alone.
        claimed: Option<Moment>,
    },
}

/// Where a step has to be on record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Need {
    /// At the backup, as the step of this number.
    Acked(u64),
    /// In the data folder, as the step of this number.
    Synced(u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Wait {
    Start {
        generation: Generation,
        suffix: Box<str>,
    },
    Refuse {
        token: Token,
        code: ResultCode,
    },
    Mint(Generation),
}

impl Primary {
    pub(crate) fn alone(journal: Option<Journal>) -> Self {
        Self {
            pair: Pair::Alone,
            journal,
            waits: VecDeque::new(),
            minted: None,
            superseded: VecDeque::new(),
            watermarks_need: None,
            handing_over: None,
        }
    }

    pub(crate) fn log_mut(&mut self) -> Option<&mut Log> {
        match &mut self.pair {
            Pair::Alone => None,
            Pair::Joining(log) | Pair::Paired { log, .. } => Some(log),
        }
    }

    /// Whether control has been asked for leave to go on, and hasn't answered yet.
    pub(crate) fn is_claiming(&self) -> bool {
        matches!(&self.pair, Pair::Paired { claimed, .. } if claimed.is_some())
    }

    /// Whether the home is on its way to the backup.
    pub(crate) fn is_handing_over(&self) -> bool {
        self.handing_over.is_some()
    }

    /// The backup, if it counts.
    pub(crate) fn paired_with(&self) -> Option<&Member> {
        match &self.pair {
            Pair::Paired { log, .. } => Some(&log.peer),
            _ => None,
        }
    }

    /// Who takes the home over.
    pub(crate) fn successor(&self) -> Option<&Member> {
        self.paired_with().filter(|_| self.is_handing_over())
    }

    /// Puts a step on record; where it has to be before anything follows from it.
    fn commit(&mut self, op: Op) -> Option<Need> {
        match &mut self.pair {
            // Nothing behind the hand-over would be taken.
            _ if self.handing_over.is_some() => None,
            Pair::Alone => self.write(op),
            Pair::Joining(log) => {
                log.push(op.clone());
                self.write(op)
            }
            Pair::Paired { log, .. } => Some(Need::Acked(log.push(op))),
        }
    }

    fn write(&mut self, op: Op) -> Option<Need> {
        let journal = self.journal.as_mut()?;
        Some(Need::Synced(journal.push(op)))
    }

    fn is_met(&self, need: Need) -> bool {
        match need {
            Need::Acked(number) => match &self.pair {
                Pair::Paired { log, .. } => log.is_acked(number),
                Pair::Alone | Pair::Joining(_) => true,
            },
            Need::Synced(number) => match &self.journal {
                Some(journal) => journal.is_synced(number),
                None => true,
            },
        }
    }

    /// What a refusal by marks has to wait for.
    fn pending_watermarks(&self) -> Option<Need> {
        self.watermarks_need.filter(|need| !self.is_met(*need))
    }
}

impl Home {
    pub(crate) fn primary(&self) -> Option<&Primary> {
        match &self.role {
            Role::Primary(primary) => Some(primary),
            _ => None,
        }
    }

    pub(crate) fn primary_mut(&mut self) -> Option<&mut Primary> {
        match &mut self.role {
            Role::Primary(primary) => Some(primary),
            _ => None,
        }
    }

    fn commit(&mut self, op: Op) -> Option<Need> {
        self.primary_mut()?.commit(op)
    }
}

impl Primary {
    /// The copy is whole: from here on starts wait for the backup. It learns that it is
    /// the backup only after this, so it can't claim the home while keys start without it.
    fn join_if_copied(&mut self, cfg: &Config) {
        let Pair::Joining(log) = &self.pair else {
            return;
        };
        let Copying::Done(at) = log.copy else {
            return;
        };
        if at > 0 && !log.is_acked(at - 1) {
            return;
        }
        // Failure: this process dies and its successor takes the home up from a journal
        // that ends where the backup came in, while the backup holds the home as well.
        let retired = self.journal.as_mut().is_none_or(Journal::retire);
        if !retired && cfg.guards.retire_before_pairing {
            return;
        }
        if retired {
            self.journal = None;
        }
        if let Pair::Joining(mut log) = std::mem::replace(&mut self.pair, Pair::Alone) {
            log.joined_at = Some(log.end());
            log.poke();
            self.pair = Pair::Paired { log, claimed: None };
        }
    }

    fn next_ready(&mut self) -> Option<Wait> {
        let need = self.waits.front()?.0;
        if !self.is_met(need) {
            return None;
        }
        self.waits.pop_front().map(|(_, wait)| wait)
    }
}
