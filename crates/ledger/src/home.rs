//! The records of one home, without any decision about who may start a key.

use std::collections::BTreeMap;

use crate::backup::Backup;
use crate::primary::Primary;
use crate::{Digest, Generation, HomeEpoch, KeyRecord, Op, Stage, Token, Watermarks};
use filberthead_types::{Incarnation, Moment};

/// A home as one entry knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Home {
    /// Newest config that this entry knows of.
    pub(crate) epoch: HomeEpoch,
    pub(crate) role: Role,
    pub(crate) watermarks: Watermarks,
    pub(crate) usage: Usage,
    generations: BTreeMap<Generation, GenerationRecords>,
}

/// What this entry is to a home.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Role {
    /// Decides on each key.
    Primary(Box<Primary>),
    /// Copies what the holder records.
    Backup(Backup),
    /// Was one of both. Its records are still true, but others may know more.
    Former {
        /// Who held the home last, as far as known.
        primary: Option<Incarnation>,
        /// Since when.
        since: Moment,
    },
}

/// How much a home keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Usage {
    /// Keys on record.
    pub(crate) keys: usize,
    /// Bytes of stored answers.
    pub(crate) stored: usize,
    /// Keys that a pass of this entry runs or waits to start.
    pub(crate) active: usize,
    /// Keys that were refused one by one.
    pub(crate) closed: usize,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct GenerationRecords {
    records: BTreeMap<Box<str>, Record>,
    active: usize,
}

/// What is known of one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Record {
    pub(crate) digest: Digest,
    pub(crate) stage: Stage,
    /// Set while a pass of this entry runs the key or waits to start it.
    pub(crate) run: Option<Box<Run>>,
}

/// Passes of this entry that are concerned with a started key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Run {
    /// The pass that was told to start.
    pub(crate) granted: Option<Token>,
    /// Passes that wait, the oldest first; some may have given up since.
    pub(crate) waiters: Vec<Token>,
}

impl Home {
    pub(crate) fn new(epoch: HomeEpoch, role: Role) -> Self {
        Self {
            epoch,
            role,
            watermarks: Watermarks::default(),
            usage: Usage::default(),
            generations: BTreeMap::new(),
        }
    }

    pub(crate) fn record(&self, generation: Generation, suffix: &str) -> Option<&Record> {
        self.generations.get(&generation)?.records.get(suffix)
    }

    pub(crate) fn run_mut(&mut self, generation: Generation, suffix: &str) -> Option<&mut Run> {
        let period = self.generations.get_mut(&generation)?;
        period.records.get_mut(suffix)?.run.as_deref_mut()
    }

    /// Takes in a record. What is final stays, so records may come late, twice and in
    /// any order.
    pub(crate) fn put(&mut self, new: KeyRecord) {
        let period = self.generations.entry(new.generation).or_default();
        match period.records.get_mut(&new.suffix) {
            Some(old) if old.stage.is_final() => {}
            Some(old) => {
                self.usage.add(&new.stage);
                old.stage = new.stage;
            }
            None => {
                self.usage.keys += 1;
                self.usage.add(&new.stage);
                let record = Record {
                    digest: new.digest,
                    stage: new.stage,
                    run: None,
                };
                period.records.insert(new.suffix, record);
            }
        }
    }

    /// Marks a key on record as one that passes of this entry are concerned with.
    pub(crate) fn start_run(&mut self, generation: Generation, suffix: &str, token: Token) {
        let Some(period) = self.generations.get_mut(&generation) else {
            return;
        };
        let Some(record) = period.records.get_mut(suffix) else {
            return;
        };
        let waiters = vec![token];
        let run = Run {
            granted: None,
            waiters,
        };
        if record.run.replace(Box::new(run)).is_none() {
            period.active += 1;
            self.usage.active += 1;
        }
    }

    /// Ends what [`Home::start_run`] began and gives back the passes.
    pub(crate) fn end_run(&mut self, generation: Generation, suffix: &str) -> Option<Run> {
        let period = self.generations.get_mut(&generation)?;
        let run = period.records.get_mut(suffix)?.run.take()?;
        period.active -= 1;
        self.usage.active -= 1;
        Some(*run)
    }

    /// Keys with passes of this entry.
    pub(crate) fn active_keys(&self) -> Vec<(Generation, Box<str>)> {
        let active = self
            .generations
            .iter()
            .filter(|(_, period)| period.active > 0);
        active
            .flat_map(|(generation, period)| {
                let runs = period.records.iter().filter(|(_, r)| r.run.is_some());
                runs.map(|(suffix, _)| (*generation, suffix.clone()))
            })
            .collect()
    }

    /// The lowest period in which a key has passes of this entry.
    pub(crate) fn lowest_active(&self) -> Option<Generation> {
        let mut generations = self.generations.iter();
        generations
            .find(|(_, period)| period.active > 0)
            .map(|(g, _)| *g)
    }

    /// Raises marks and drops what they make needless.
    pub(crate) fn raise_watermarks(&mut self, watermarks: Watermarks) {
        self.watermarks = self.watermarks.max(watermarks);
        self.drop_expired();
        self.drop_closed();
    }

    /// Below the floor nothing starts whether it is on record or not.
    fn drop_expired(&mut self) {
        let retained_from = self.watermarks.retained_from;
        while let Some(entry) = self.generations.first_entry() {
            if *entry.key() >= retained_from {
                return;
            }
            let period = entry.remove();
            self.usage.active -= period.active;
            for record in period.records.values() {
                self.usage.remove(&record.stage);
            }
        }
    }

    /// Where unknown keys are refused as "not run" anyway, a refused key needs no record.
    fn drop_closed(&mut self) {
        if self.usage.closed == 0 {
            return;
        }
        let usage = &mut self.usage;
        for period in self.generations.range_mut(..self.watermarks.open_from) {
            period.1.records.retain(|_, record| {
                let closed = matches!(record.stage, Stage::Closed(_));
                if closed {
                    usage.remove(&record.stage);
                }
                !closed
            });
        }
    }

    /// All that a journal written anew has to hold.
    pub(crate) fn snapshot(&self) -> Vec<Op> {
        let mut ops = vec![Op::Epoch(self.epoch), Op::Watermarks(self.watermarks)];
        let mut cursor = None;
        while let Some(record) = self.next_after(cursor.as_ref()) {
            cursor = Some((record.generation, record.suffix.clone()));
            ops.push(Op::Put(record));
        }
        ops
    }

    /// The record after `cursor` in the order of periods and keys, to be copied.
    pub(crate) fn next_after(&self, cursor: Option<&(Generation, Box<str>)>) -> Option<KeyRecord> {
        use std::ops::Bound::{Excluded, Unbounded};
        let first = cursor.map_or(Generation(0), |(generation, _)| *generation);
        self.generations
            .range(first..)
            .find_map(|(generation, period)| {
                let after = match cursor {
                    Some((at, suffix)) if at == generation => Excluded(suffix.clone()),
                    _ => Unbounded,
                };
                let (suffix, record) = period.records.range((after, Unbounded)).next()?;
                Some(KeyRecord {
                    generation: *generation,
                    suffix: suffix.clone(),
                    digest: record.digest,
                    stage: record.stage.clone(),
                })
            })
    }

    /// Forgets a key, for the guard switch only.
    pub(crate) fn remove(&mut self, generation: Generation, suffix: &str) {
        let Some(period) = self.generations.get_mut(&generation) else {
            return;
        };
        if let Some(record) = period.records.remove(suffix) {
            self.usage.remove(&record.stage);
        }
    }

    /// Applies a step of the holder's log; whether it hands the home over.
    pub(crate) fn apply(&mut self, op: Op) -> bool {
        match op {
            Op::Put(record) => self.put(record),
            Op::Watermarks(watermarks) => self.raise_watermarks(watermarks),
            Op::Epoch(epoch) => self.epoch = self.epoch.max(epoch),
            Op::HandOver => return true,
        }
        false
    }
}

impl Usage {
    /// Adds a stage that is new to a key.
    fn add(&mut self, stage: &Stage) {
        self.stored += stage.stored_len();
        self.closed += usize::from(matches!(stage, Stage::Closed(_)));
    }

    /// Takes off a key that is dropped.
    fn remove(&mut self, stage: &Stage) {
        self.keys -= 1;
        self.stored -= stage.stored_len();
        self.closed -= usize::from(matches!(stage, Stage::Closed(_)));
    }
}
