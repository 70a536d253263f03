//! Decisions about keys.

use filberthead_types::ResultCode;

use super::{Cx, Durability, Pending, Primary, refuse, replay};
use crate::home::{Home, Record};
use crate::requests::RequestKey;
use crate::{Decision, Digest, Generation, Key, KeyRecord, Op, Stage, Token};

impl Home {
    /// Decides about a request. `fits` is whether there is space for another key.
    pub(crate) fn begin(
        &mut self,
        cx: &mut Cx<'_>,
        token: Token,
        key: &Key,
        digest: Digest,
        fits: bool,
    ) {
        let generation = key.prefix.generation;
        if let Some(record) = self.record(generation, &key.suffix) {
            match check_record(cx, record, digest) {
                RecordCheck::Answer(decision) => cx.answer(token, decision),
                RecordCheck::Wait => self.add_waiter(cx, generation, &key.suffix, token),
            }
            return;
        }
        if let Some(code) = self.refuse_unknown(cx, generation) {
            return cx.answer(token, refuse(cx.cfg, code));
        }
        if !fits {
            // Closing the generation answers every key that there is no space for with one
            // record, and makes "not run" permanently true for each of them.
            self.close_all(cx);
        }
        if generation < self.watermarks.open_from && cx.cfg.guards.check_watermarks {
            let code = if fits {
                ResultCode::KeyClosed
            } else {
                ResultCode::LedgerFull
            };
            let durability = self.primary().and_then(Primary::pending_watermarks);
            return self.when_durable(cx, durability, Pending::Refuse { token, code });
        }
        self.start(cx, token, key, digest);
    }

    /// The refusal of a key that isn't on record and that may or may not have run; `None`
    /// if it certainly hasn't.
    pub(super) fn refuse_unknown(&self, cx: &Cx<'_>, generation: Generation) -> Option<ResultCode> {
        if generation >= self.watermarks.unissued_from {
            return Some(ResultCode::HomeUnreachable);
        }
        // Guards against a resend after the record of its key was dropped, which would run
        // the request again. Records are dropped only below this watermark.
        if generation < self.watermarks.retained_from && cx.cfg.guards.check_watermarks {
            return Some(ResultCode::KeyExpired);
        }
        None
    }

    pub(super) fn add_waiter(
        &mut self,
        cx: &mut Cx<'_>,
        generation: Generation,
        suffix: &str,
        token: Token,
    ) {
        let Some(run) = self.run_mut(generation, suffix) else {
            return;
        };
        run.waiters.retain(|waiter| cx.requests.is_waiting(*waiter));
        if run.waiters.len() < cx.cfg.max_waiters {
            run.waiters.push(token);
        } else {
            cx.answer(token, refuse(cx.cfg, ResultCode::StillRunning));
        }
    }

    pub(super) fn start(&mut self, cx: &mut Cx<'_>, token: Token, key: &Key, digest: Digest) {
        let generation = key.prefix.generation;
        let record = KeyRecord {
            generation,
            suffix: key.suffix.clone(),
            digest,
            stage: Stage::Started,
        };
        self.put(record.clone());
        self.start_run(generation, &key.suffix, token);
        let mut durability = self.log_op(Op::Put(record));
        // Guards against a primary that dies after the request was sent out and before its
        // backup has the record: the backup would take over and run a resend. With the
        // start on record at the backup first, every later primary has the key.
        if !cx.cfg.guards.record_before_start {
            durability = None;
        }
        let suffix = key.suffix.clone();
        self.when_durable(cx, durability, Pending::Start { generation, suffix });
    }

    /// Completes `pending` once the operation is durable, or at once if it has to be on
    /// record nowhere else.
    pub(super) fn when_durable(
        &mut self,
        cx: &mut Cx<'_>,
        durability: Option<Durability>,
        pending: Pending,
    ) {
        match (durability, self.primary_mut()) {
            (Some(durability), Some(primary)) => primary.pending.push_back((durability, pending)),
            _ => self.complete(cx, pending),
        }
    }

    pub(super) fn complete(&mut self, cx: &mut Cx<'_>, pending: Pending) {
        match pending {
            Pending::Start { generation, suffix } => self.grant(cx, generation, &suffix),
            Pending::Refuse { token, code } => cx.answer(token, refuse(cx.cfg, code)),
            Pending::Issue(generation) => self.issued(cx.now, generation),
        }
    }

    /// Called once the start is on record: lets the oldest request that still waits run the
    /// key.
    pub(super) fn grant(&mut self, cx: &mut Cx<'_>, generation: Generation, suffix: &str) {
        let Some(run) = self.run_mut(generation, suffix) else {
            return;
        };
        run.waiters.retain(|waiter| cx.requests.is_waiting(*waiter));
        if run.waiters.is_empty() {
            let stage = Stage::Closed(ResultCode::DeadlineBeforeRun);
            return self.end(cx, generation, suffix, stage);
        }
        let token = run.waiters.remove(0);
        run.granted = Some(token);
        cx.answer(token, Decision::Start);
        let key = RequestKey {
            home: cx.id.clone(),
            generation,
            suffix: suffix.into(),
        };
        cx.requests.run(token, key);
    }

    /// Ends the run of a key, with the last state that this entry will learn.
    pub(crate) fn end(
        &mut self,
        cx: &mut Cx<'_>,
        generation: Generation,
        suffix: &str,
        stage: Stage,
    ) {
        let run = self.end_run(generation, suffix).unwrap_or_default();
        for token in run.waiters {
            let decision = replay(cx.cfg, &stage);
            cx.answer(token, decision);
        }
        if matches!(stage, Stage::Closed(_)) && !cx.cfg.guards.close_refused {
            return self.remove(generation, suffix);
        }
        self.record_outcome(generation, suffix, stage);
    }

    /// Records the outcome of a key unless its state is final.
    pub(crate) fn record_outcome(&mut self, generation: Generation, suffix: &str, stage: Stage) {
        let Some(record) = self.record(generation, suffix) else {
            return;
        };
        if record.stage.is_final() {
            return;
        }
        let record = KeyRecord {
            generation,
            suffix: suffix.into(),
            digest: record.digest,
            stage,
        };
        self.put(record.clone());
        self.log_op(Op::Put(record));
    }
}

enum RecordCheck {
    Answer(Decision),
    Wait,
}

fn check_record(cx: &Cx<'_>, record: &Record, digest: Digest) -> RecordCheck {
    if record.digest != digest {
        return RecordCheck::Answer(refuse(cx.cfg, ResultCode::KeyReused));
    }
    match (&record.stage, &record.run) {
        (Stage::Started, Some(_)) => RecordCheck::Wait,
        (stage, _) => RecordCheck::Answer(replay(cx.cfg, stage)),
    }
}
