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
use crate::log::{CopyProgress, Log};
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
    pub(crate) backup: BackupState,
    /// Steps that are synced to the data folder while there is no backup.
    pub(crate) journal: Option<Journal>,
    /// What waits until a step is on record beside this process.
    pending: VecDeque<(Durability, Pending)>,
    /// The period whose prefix is handed out, and since when.
    pub(crate) issued: Option<(Generation, Moment)>,
    /// Periods below the first were superseded at the second.
    superseded: VecDeque<(Generation, Moment)>,
    /// What the newest marks need to be on record.
    watermarks_durability: Option<Durability>,
    /// Number of the hand-over in the log: another entry holds the home next.
    handing_over: Option<u64>,
}

/// Whether, and how far, a holder has a backup.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum BackupState {
    /// No backup.
    Absent,
    /// A copy is being made; nothing waits for it yet.
    Joining(Log),
    /// Every start waits for the backup's acknowledgement.
    Active {
        log: Log,
        /// When control was last asked to let this entry go on alone.
        claimed: Option<Moment>,
    },
}

/// Where a step has to be on record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Durability {
    /// At the backup, as the step of this number.
    Acked(u64),
    /// In the data folder, as the step of this number.
    Synced(u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Pending {
    Start {
        generation: Generation,
        suffix: Box<str>,
    },
    Refuse {
        token: Token,
        code: ResultCode,
    },
    Issue(Generation),
}

impl Primary {
    pub(crate) fn new(journal: Option<Journal>) -> Self {
        Self {
            backup: BackupState::Absent,
            journal,
            pending: VecDeque::new(),
            issued: None,
            superseded: VecDeque::new(),
            watermarks_durability: None,
            handing_over: None,
        }
    }

    pub(crate) fn log_mut(&mut self) -> Option<&mut Log> {
        match &mut self.backup {
            BackupState::Absent => None,
            BackupState::Joining(log) | BackupState::Active { log, .. } => Some(log),
        }
    }

    /// Whether control has been asked for leave to go on, and hasn't answered yet.
    pub(crate) fn is_claiming(&self) -> bool {
        matches!(&self.backup, BackupState::Active { claimed, .. } if claimed.is_some())
    }

    /// Whether the home is on its way to the backup.
    pub(crate) fn is_handing_over(&self) -> bool {
        self.handing_over.is_some()
    }

    /// The backup, if it counts.
    pub(crate) fn active_backup(&self) -> Option<&Member> {
        match &self.backup {
            BackupState::Active { log, .. } => Some(&log.peer),
            _ => None,
        }
    }

    /// Who takes the home over.
    pub(crate) fn successor(&self) -> Option<&Member> {
        self.active_backup().filter(|_| self.is_handing_over())
    }

    /// Puts a step on record; where it has to be before anything follows from it.
    fn commit(&mut self, op: Op) -> Option<Durability> {
        match &mut self.backup {
            // Nothing behind the hand-over would be taken.
            _ if self.handing_over.is_some() => None,
            BackupState::Absent => self.write(op),
            BackupState::Joining(log) => {
                log.push(op.clone());
                self.write(op)
            }
            BackupState::Active { log, .. } => Some(Durability::Acked(log.push(op))),
        }
    }

    fn write(&mut self, op: Op) -> Option<Durability> {
        let journal = self.journal.as_mut()?;
        Some(Durability::Synced(journal.push(op)))
    }

    fn is_durable(&self, durability: Durability) -> bool {
        match durability {
            Durability::Acked(number) => match &self.backup {
                BackupState::Active { log, .. } => log.is_acked(number),
                BackupState::Absent | BackupState::Joining(_) => true,
            },
            Durability::Synced(number) => match &self.journal {
                Some(journal) => journal.is_synced(number),
                None => true,
            },
        }
    }

    /// What a refusal by marks has to wait for.
    fn pending_watermarks(&self) -> Option<Durability> {
        self.watermarks_durability
            .filter(|durability| !self.is_durable(*durability))
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

    fn commit(&mut self, op: Op) -> Option<Durability> {
        self.primary_mut()?.commit(op)
    }
}

impl Primary {
    /// The copy is whole: from here on starts wait for the backup. It learns that it is
    /// the backup only after this, so it can't claim the home while keys start without it.
    fn activate_if_copied(&mut self, cfg: &Config) {
        let BackupState::Joining(log) = &self.backup else {
            return;
        };
        let CopyProgress::Done(at) = log.copy else {
            return;
        };
        if at > 0 && !log.is_acked(at - 1) {
            return;
        }
        // Failure: this process dies and its successor takes the home up from a journal
        // that ends where the backup came in, while the backup holds the home as well.
        let retired = self.journal.as_mut().is_none_or(Journal::retire);
        if !retired && cfg.guards.retire_journal_before_backup {
            return;
        }
        if retired {
            self.journal = None;
        }
        if let BackupState::Joining(mut log) =
            std::mem::replace(&mut self.backup, BackupState::Absent)
        {
            log.active_from = Some(log.end());
            log.mark_due();
            self.backup = BackupState::Active { log, claimed: None };
        }
    }

    fn next_ready(&mut self) -> Option<Pending> {
        let durability = self.pending.front()?.0;
        if !self.is_durable(durability) {
            return None;
        }
        self.pending.pop_front().map(|(_, pending)| pending)
    }
}
