//! The backup of a home.

use filberthead_types::{Incarnation, Moment, NodeName};

use crate::home::{Home, Role};
use crate::primary::Cx;
use crate::{Action, Claim, HomeEpoch, Member, Message, Op};

/// State of a backup, without the records.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Backup {
    pub(crate) primary: NodeName,
    pub(crate) primary_incarnation: Incarnation,
    /// Number of the first operation that it doesn't have.
    next: u64,
    active: bool,
    /// When the last message from the primary arrived.
    pub(crate) last_seen: Moment,
    /// When the last claim was sent; `None` if it never sent one in this epoch.
    pub(crate) claimed: Option<Moment>,
}

/// A [`Message::Append`] without home, epoch and receiver.
pub(crate) struct Append {
    pub(crate) primary: Incarnation,
    pub(crate) first: u64,
    pub(crate) ops: Vec<Op>,
    pub(crate) active_from: Option<u64>,
}

impl Backup {
    pub(crate) fn new(now: Moment, primary: &NodeName, primary_incarnation: Incarnation) -> Self {
        Self {
            primary: primary.clone(),
            primary_incarnation,
            next: 0,
            active: false,
            last_seen: now,
            claimed: None,
        }
    }

    /// Whether no key starts before its record is here.
    pub(crate) fn is_active(&self) -> bool {
        self.active
    }
}

impl Home {
    fn backup_mut(&mut self) -> Option<&mut Backup> {
        match &mut self.role {
            Role::Backup(backup) => Some(backup),
            _ => None,
        }
    }

    /// Applies the operations that follow the ones it has, and acknowledges everything up
    /// to them.
    pub(crate) fn append(&mut self, cx: &mut Cx<'_>, from: &NodeName, append: Append) {
        let epoch = self.epoch;
        let Some(backup) = self.backup_mut() else {
            return;
        };
        backup.last_seen = cx.now;
        let Some(skip) = backup.next.checked_sub(append.first) else {
            // A gap: the primary sends the missing operations again.
            return;
        };
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let mut next = backup.next;
        let mut handed_over = false;
        for op in append.ops.into_iter().skip(skip) {
            handed_over = self.apply(op);
            next += 1;
        }
        if let Some(backup) = self.backup_mut() {
            backup.next = next;
            backup.active |= append.active_from.is_some_and(|at| next >= at);
        }
        self.acknowledge(cx, from, epoch, next);
        if handed_over {
            self.take_over(cx.now, epoch.next());
        }
    }

    /// Applies operations without checking their epoch. Used only where the guard
    /// `check_epoch` is off.
    pub(crate) fn append_unchecked(
        &mut self,
        cx: &mut Cx<'_>,
        from: &NodeName,
        epoch: HomeEpoch,
        append: &Append,
    ) {
        for op in &append.ops {
            if let Op::Put(record) = op {
                self.put(record.clone());
            }
        }
        let next = append.first + append.ops.len() as u64;
        self.acknowledge(cx, from, epoch, next);
    }

    fn acknowledge(&self, cx: &mut Cx<'_>, to: &NodeName, epoch: HomeEpoch, next: u64) {
        let message = Message::Ack {
            home: cx.id.clone(),
            epoch,
            next,
        };
        cx.send(to, message);
    }

    /// Sends a claim to become primary, and repeats it: a claim in flight may win, so only
    /// its result ends it.
    pub(crate) fn claim_as_backup(&mut self, cx: &mut Cx<'_>, silent: bool) {
        let epoch = self.epoch;
        let Some(backup) = self.backup_mut() else {
            return;
        };
        // Guards against an incomplete copy: if the primary died while its records are
        // being copied and this entry took over, it would miss a key that ran, and run it
        // again.
        if !backup.active && cx.cfg.guards.complete_before_claim {
            return;
        }
        let due = backup
            .claimed
            .map_or(silent, |at| at + cx.cfg.heartbeat <= cx.now);
        if !due {
            return;
        }
        backup.claimed = Some(cx.now);
        let claim = Claim {
            home: cx.id.clone(),
            epoch,
            claimant: cx.me.incarnation,
        };
        cx.out.push(Action::Claim(claim));
    }

    /// Leaves the epoch on a planned stop, unless this entry has claimed the home.
    pub(crate) fn release(&mut self, cx: &mut Cx<'_>) {
        let Role::Backup(backup) = &self.role else {
            return;
        };
        if backup.claimed.is_some() {
            // A claim in flight may win, and then the home would have no primary.
            return;
        }
        let primary = Member {
            name: backup.primary.clone(),
            incarnation: backup.primary_incarnation,
            failure_domain: cx.id.failure_domain.clone(),
            leaving: false,
        };
        self.role = Role::Former {
            primary: Some(primary.incarnation),
            since: cx.now,
        };
        self.send_release(cx, &primary.name);
    }

    pub(crate) fn send_release(&self, cx: &mut Cx<'_>, to: &NodeName) {
        let message = Message::Release {
            home: cx.id.clone(),
            epoch: self.epoch,
        };
        cx.send(to, message);
    }
}
