//! Replication of the records, to the backup and to the data folder.

use filberthead_types::Moment;

use super::{Cx, Primary};
use crate::home::{Home, Role};
use crate::journal::Journal;
use crate::log::CopyProgress;
use crate::{Action, Config, Generation, HomeEpoch, KeyRecord, Message, Op};

/// Approximate bytes of a record in a journal, without its answer.
const RECORD_LEN: usize = 96;
/// Most epochs that a process may use before a successor recovers its journal. The
/// successor starts above all of them, since the journal doesn't contain which ones were
/// used.
const RECOVERY_EPOCH_GAP: u64 = 1 << 32;

impl Home {
    /// Records that operations up to this one are in the data folder.
    pub(crate) fn synced(&mut self, cx: &mut Cx<'_>, number: u64) {
        let Some(primary) = self.primary_mut() else {
            return;
        };
        if let Some(journal) = &mut primary.journal {
            journal.synced(number);
        }
        primary.activate_if_copied(cx.cfg);
        self.complete_durable(cx);
    }

    /// Emits the next write to the data folder, if there is one.
    pub(crate) fn write(&mut self, cx: &mut Cx<'_>) {
        let journal = self
            .primary_mut()
            .and_then(|primary| primary.journal.as_mut());
        let Some(write) = journal.and_then(Journal::write) else {
            return;
        };
        cx.out.push(Action::Sync {
            home: cx.id.clone(),
            number: write.number,
            ops: write.ops,
            rewrite: write.rewrite,
            retire: write.retire,
        });
    }

    /// Rewrites a journal that consists largely of dropped records.
    pub(crate) fn compact_journal(&mut self) {
        let live = self.usage.stored + self.usage.keys * RECORD_LEN;
        let journal = self.primary().and_then(|primary| primary.journal.as_ref());
        if !journal
            .is_some_and(|j| j.needs_compaction(live) && j.is_fully_synced() && !j.is_retiring())
        {
            return;
        }
        let ops = self.snapshot();
        if let Some(journal) = self
            .primary_mut()
            .and_then(|primary| primary.journal.as_mut())
        {
            journal.rewrite(ops);
        }
    }

    /// Recovers a home from the journal of a predecessor in the same data folder.
    pub(crate) fn recover(now: Moment, ops: Vec<Op>) -> Self {
        let role = Role::Primary(Box::new(Primary::new(None)));
        let mut home = Self::new(HomeEpoch::default(), role);
        for op in ops {
            home.apply(op);
        }
        let epoch = HomeEpoch(home.epoch.0 + RECOVERY_EPOCH_GAP);
        home.take_over(now, epoch);
        if let Some(primary) = home.primary_mut() {
            let mut journal = Journal::default();
            journal.push(Op::Epoch(epoch));
            primary.journal = Some(journal);
        }
        home
    }

    /// Sends the operations that the backup doesn't have yet, copies of older records
    /// included.
    pub(crate) fn flush(&mut self, cx: &mut Cx<'_>) {
        self.copy(cx.cfg);
        let Some(log) = self.primary_mut().and_then(Primary::log_mut) else {
            return;
        };
        while let Some(batch) = log
            .unsent(cx.now, cx.cfg)
            .or_else(|| log.due(cx.now, cx.cfg))
        {
            let message = Message::Append {
                home: cx.id.clone(),
                epoch: log.epoch,
                primary: cx.me.incarnation,
                backup: log.peer.incarnation,
                first: batch.first,
                ops: batch.ops,
                active_from: log.active_from,
            };
            cx.send(&log.peer.name, message);
        }
    }

    /// Adds older records to the log of a joining backup, batch by batch.
    pub(super) fn copy(&mut self, cfg: &Config) {
        loop {
            let Some(log) = self.primary_mut().and_then(Primary::log_mut) else {
                return;
            };
            if !log.wants_copy(cfg) {
                return;
            }
            let CopyProgress::After(cursor) = log.copy.clone() else {
                return;
            };
            let records = self.batch_after(cursor, cfg);
            let Some(log) = self.primary_mut().and_then(Primary::log_mut) else {
                return;
            };
            let last = records.last().map(|r| (r.generation, r.suffix.clone()));
            for record in records {
                log.push(Op::Put(record));
            }
            log.copy = match last {
                Some(last) => CopyProgress::After(Some(last)),
                None => CopyProgress::Done(log.end()),
            };
        }
    }

    pub(super) fn batch_after(
        &self,
        mut cursor: Option<(Generation, Box<str>)>,
        cfg: &Config,
    ) -> Vec<KeyRecord> {
        let mut records = Vec::new();
        let mut len = 0;
        while len < cfg.max_batch_bytes {
            let Some(record) = self.next_after(cursor.as_ref()) else {
                break;
            };
            len += record.suffix.len() + record.stage.stored_len();
            cursor = Some((record.generation, record.suffix.clone()));
            records.push(record);
        }
        records
    }
}
