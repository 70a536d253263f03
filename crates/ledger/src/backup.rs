//! What the backup of a home does.

use filberthead_types::{Incarnation, Moment, NodeName};

use crate::home::{Home, Role};
use crate::primary::Cx;
use crate::{Action, Claim, HomeEpoch, Member, Message, Op};

/// State of a backup besides the records.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Backup {
    pub(crate) primary: NodeName,
    pub(crate) primary_incarnation: Incarnation,
    /// Number of the first step that isn't here.
    next: u64,
    active: bool,
    /// When the holder was heard last.
    pub(crate) last_seen: Moment,
    /// When control was last asked to let this entry go on alone.
    pub(crate) claimed: Option<Moment>,
}

/// A message of a home's holder, its home and config left out.
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

    /// Whether every key that the holder may start is on record here first.
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

    /// Takes in the steps of a message that fit, and acknowledges all that are here.
    pub(crate) fn append(&mut self, cx: &mut Cx<'_>, from: &NodeName, append: Append) {
        let epoch = self.epoch;
        let Some(backup) = self.backup_mut() else {
            return;
        };
        backup.last_seen = cx.now;
        let Some(skip) = backup.next.checked_sub(append.first) else {
            // A gap: what is missing comes again.
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

    /// What happens without the check of configs, for the guard switch only.
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

    /// Asks control to let this entry hold the home, again and again: a claim on its way
    /// may win, so only its verdict ends it.
    pub(crate) fn claim_as_backup(&mut self, cx: &mut Cx<'_>, silent: bool) {
        let epoch = self.epoch;
        let Some(backup) = self.backup_mut() else {
            return;
        };
        // Failure: the holder dies while its records are being copied; the half copy
        // takes over, misses a key that ran, and runs it again.
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

    /// Leaves the config on a planned stop, if the holder still counts on this entry.
    pub(crate) fn release(&mut self, cx: &mut Cx<'_>) {
        let Role::Backup(backup) = &self.role else {
            return;
        };
        if backup.claimed.is_some() {
            // A claim on its way may win, and nobody would hold the home then.
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
