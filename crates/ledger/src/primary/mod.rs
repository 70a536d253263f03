//! Decisions of the primary of a home.
//!
//! A home has a primary and, where the failure domain has a second entry, a backup. Both
//! together are its members, and each pair has a number, the epoch. Invariants:
//!
//! - A key starts only once its start is on record at every member of the epoch, so
//!   whichever member continues alone has every key that ever started.
//! - An epoch ends by an act of the member that leaves it (hand-over, release), or by a
//!   claim result from control, which names one winner permanently. No lease is needed: a
//!   primary that has been replaced without noticing gets no acknowledgement, so it starts
//!   nothing.
//! - A key refused as "not run" is closed on record, or belongs to a generation closed on
//!   record.

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

/// What the methods of a home need of its ledger.
pub(crate) struct Cx<'a> {
    pub(crate) now: Moment,
    pub(crate) cfg: &'a Config,
    pub(crate) me: &'a Member,
    pub(crate) id: &'a HomeId,
    pub(crate) requests: &'a mut Requests,
    pub(crate) out: &'a mut Vec<Action>,
}

impl Cx<'_> {
    /// Answers a request if it still waits.
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

/// A refusal, with the time after which a resend may be answered otherwise.
pub(crate) fn refuse(cfg: &Config, code: ResultCode) -> Decision {
    Decision::Refuse {
        code,
        retry_after: cfg.heartbeat,
    }
}

/// The answer to another send of a key that is on record.
pub(crate) fn replay(cfg: &Config, stage: &Stage) -> Decision {
    match stage {
        Stage::Finished(answer) => Decision::Replay(answer.clone()),
        Stage::NotStored => refuse(cfg, ResultCode::AnswerNotStored),
        Stage::Closed(code) => refuse(cfg, *code),
        Stage::Started | Stage::Unknown => refuse(cfg, ResultCode::OutcomeUnknown),
    }
}

/// State of a primary, without the records.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Primary {
    pub(crate) backup: BackupState,
    /// Journal in the data folder, while there is no backup; `None` without a data folder
    /// or once the backup is active.
    pub(crate) journal: Option<Journal>,
    /// What waits until an operation is durable, in order.
    pending: VecDeque<(Durability, Pending)>,
    /// The generation whose prefix is handed out, and since when.
    pub(crate) issued: Option<(Generation, Moment)>,
    /// Generations below the first were superseded at the second.
    superseded: VecDeque<(Generation, Moment)>,
    /// Where the newest watermarks have to be on record.
    watermarks_durability: Option<Durability>,
    /// Number of the [`Op::HandOver`] in the log, once it was added.
    handing_over: Option<u64>,
}

/// Whether a primary has a backup.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum BackupState {
    /// There is none.
    Absent,
    /// The records are being copied to it; no start waits for it yet.
    Joining(Log),
    /// Every start waits for its acknowledgement.
    Active {
        log: Log,
        /// When the last claim to continue without it was sent, `None` if none was sent.
        claimed: Option<Moment>,
    },
}

/// Where an operation has to be on record before its effects become visible.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Durability {
    /// At the backup, which must acknowledge the operation of this number.
    Acked(u64),
    /// In the data folder, which must have synced the operation of this number.
    Synced(u64),
}

/// What is done once an operation is durable.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Pending {
    /// Let a request run the key.
    Start {
        generation: Generation,
        suffix: Box<str>,
    },
    /// Refuse a request.
    Refuse { token: Token, code: ResultCode },
    /// Hand out the prefix of this generation.
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

    /// Whether a claim was sent and its result hasn't arrived.
    pub(crate) fn is_claiming(&self) -> bool {
        matches!(&self.backup, BackupState::Active { claimed, .. } if claimed.is_some())
    }

    /// Whether the home is being handed over to the backup.
    pub(crate) fn is_handing_over(&self) -> bool {
        self.handing_over.is_some()
    }

    /// The backup, if it is active.
    pub(crate) fn active_backup(&self) -> Option<&Member> {
        match &self.backup {
            BackupState::Active { log, .. } => Some(&log.peer),
            _ => None,
        }
    }

    /// The entry that the home is being handed over to.
    pub(crate) fn successor(&self) -> Option<&Member> {
        self.active_backup().filter(|_| self.is_handing_over())
    }

    /// Adds an operation to the log or the journal. Returns where it has to be on record
    /// before its effects become visible, `None` if nowhere.
    fn log_op(&mut self, op: Op) -> Option<Durability> {
        match &mut self.backup {
            // The backup would apply nothing after the hand-over.
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

    /// What a refusal that is based on the watermarks has to wait for, `None` if they are
    /// durable.
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

    fn log_op(&mut self, op: Op) -> Option<Durability> {
        self.primary_mut()?.log_op(op)
    }
}

impl Primary {
    /// Makes the backup active once its copy is complete: from here on starts wait for it.
    /// It is notified only after this, so it can't claim the home while keys start without
    /// it.
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
        // Guards against two primaries: if this process died, its successor would recover
        // the home from a journal that ends where the backup became active, while the
        // backup has become primary as well.
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
