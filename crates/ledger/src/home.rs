//! The records of one home. Which keys may start is decided in [`crate::primary`].

use std::collections::BTreeMap;

use crate::backup::Backup;
use crate::primary::Primary;
use crate::{Digest, Generation, HomeEpoch, KeyRecord, Op, Stage, Token, Watermarks};
use filberthead_types::{Incarnation, Moment};

/// State of a home at one entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Home {
    /// Newest epoch that this entry has seen.
    pub(crate) epoch: HomeEpoch,
    pub(crate) role: Role,
    pub(crate) watermarks: Watermarks,
    pub(crate) usage: Usage,
    generations: BTreeMap<Generation, GenerationRecords>,
}

/// Role of this entry for a home.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Role {
    /// Decides which keys start.
    Primary(Box<Primary>),
    /// Stores a copy of the primary's records.
    Backup(Backup),
    /// Was primary or backup before. Its final records are still valid, but other entries
    /// may have newer ones.
    Former {
        /// The last known primary, `None` if this entry doesn't know of any.
        primary: Option<Incarnation>,
        /// When this entry got this role.
        since: Moment,
    },
}

/// Sizes of a home's records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Usage {
    /// Keys on record.
    pub(crate) keys: usize,
    /// Bytes of stored answers.
    pub(crate) stored: usize,
    /// Keys that a request at this entry runs or waits to start.
    pub(crate) active: usize,
    /// Keys that were refused with a record each.
    pub(crate) closed: usize,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct GenerationRecords {
    records: BTreeMap<Box<str>, Record>,
    active: usize,
}

/// Record of one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Record {
    pub(crate) digest: Digest,
    pub(crate) stage: Stage,
    /// Set while a request at this entry runs the key or waits to start it.
    pub(crate) run: Option<Box<Run>>,
}

/// Requests at this entry for a started key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Run {
    /// The request that was allowed to run.
    pub(crate) granted: Option<Token>,
    /// Requests that wait, the oldest first; some may have been cancelled since.
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
        let gen_records = self.generations.get_mut(&generation)?;
        gen_records.records.get_mut(suffix)?.run.as_deref_mut()
    }

    /// Stores a record. A final state is never replaced, so records may arrive late, twice
    /// and in any order.
    pub(crate) fn put(&mut self, new: KeyRecord) {
        let gen_records = self.generations.entry(new.generation).or_default();
        match gen_records.records.get_mut(&new.suffix) {
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
                gen_records.records.insert(new.suffix, record);
            }
        }
    }

    /// Adds a run to a key that is on record, with the request that is to start it.
    pub(crate) fn start_run(&mut self, generation: Generation, suffix: &str, token: Token) {
        let Some(gen_records) = self.generations.get_mut(&generation) else {
            return;
        };
        let Some(record) = gen_records.records.get_mut(suffix) else {
            return;
        };
        let waiters = vec![token];
        let run = Run {
            granted: None,
            waiters,
        };
        if record.run.replace(Box::new(run)).is_none() {
            gen_records.active += 1;
            self.usage.active += 1;
        }
    }

    /// Removes the run that [`Home::start_run`] added and returns it.
    pub(crate) fn end_run(&mut self, generation: Generation, suffix: &str) -> Option<Run> {
        let gen_records = self.generations.get_mut(&generation)?;
        let run = gen_records.records.get_mut(suffix)?.run.take()?;
        gen_records.active -= 1;
        self.usage.active -= 1;
        Some(*run)
    }

    /// Keys that have a run at this entry.
    pub(crate) fn active_keys(&self) -> Vec<(Generation, Box<str>)> {
        let active = self
            .generations
            .iter()
            .filter(|(_, gen_records)| gen_records.active > 0);
        active
            .flat_map(|(generation, gen_records)| {
                let runs = gen_records.records.iter().filter(|(_, r)| r.run.is_some());
                runs.map(|(suffix, _)| (*generation, suffix.clone()))
            })
            .collect()
    }

    /// The lowest generation in which a key has a run at this entry.
    pub(crate) fn lowest_active(&self) -> Option<Generation> {
        let mut generations = self.generations.iter();
        generations
            .find(|(_, gen_records)| gen_records.active > 0)
            .map(|(g, _)| *g)
    }

    /// Raises the watermarks and drops the records that they make unnecessary.
    pub(crate) fn raise_watermarks(&mut self, watermarks: Watermarks) {
        self.watermarks = self.watermarks.max(watermarks);
        self.drop_expired();
        self.drop_closed();
    }

    /// Drops the generations below `retained_from`: their keys never start, on record or
    /// not.
    fn drop_expired(&mut self) {
        let retained_from = self.watermarks.retained_from;
        while let Some(entry) = self.generations.first_entry() {
            if *entry.key() >= retained_from {
                return;
            }
            let gen_records = entry.remove();
            self.usage.active -= gen_records.active;
            for record in gen_records.records.values() {
                self.usage.remove(&record.stage);
            }
        }
    }

    /// Drops refused keys below `open_from`: there, keys without a record are refused as
    /// "not run" anyway.
    fn drop_closed(&mut self) {
        if self.usage.closed == 0 {
            return;
        }
        let usage = &mut self.usage;
        for gen_records in self.generations.range_mut(..self.watermarks.open_from) {
            gen_records.1.records.retain(|_, record| {
                let closed = matches!(record.stage, Stage::Closed(_));
                if closed {
                    usage.remove(&record.stage);
                }
                !closed
            });
        }
    }

    /// The operations that a rewritten journal has to contain.
    pub(crate) fn snapshot(&self) -> Vec<Op> {
        let mut ops = vec![Op::Epoch(self.epoch), Op::Watermarks(self.watermarks)];
        let mut cursor = None;
        while let Some(record) = self.next_after(cursor.as_ref()) {
            cursor = Some((record.generation, record.suffix.clone()));
            ops.push(Op::Put(record));
        }
        ops
    }

    /// The record after `cursor` in the order of generations and keys.
    pub(crate) fn next_after(&self, cursor: Option<&(Generation, Box<str>)>) -> Option<KeyRecord> {
        use std::ops::Bound::{Excluded, Unbounded};
        let first = cursor.map_or(Generation(0), |(generation, _)| *generation);
        self.generations
            .range(first..)
            .find_map(|(generation, gen_records)| {
                let after = match cursor {
                    Some((at, suffix)) if at == generation => Excluded(suffix.clone()),
                    _ => Unbounded,
                };
                let (suffix, record) = gen_records.records.range((after, Unbounded)).next()?;
                Some(KeyRecord {
                    generation: *generation,
                    suffix: suffix.clone(),
                    digest: record.digest,
                    stage: record.stage.clone(),
                })
            })
    }

    /// Removes a key. Used only where the guard `close_refused` is off.
    pub(crate) fn remove(&mut self, generation: Generation, suffix: &str) {
        let Some(gen_records) = self.generations.get_mut(&generation) else {
            return;
        };
        if let Some(record) = gen_records.records.remove(suffix) {
            self.usage.remove(&record.stage);
        }
    }

    /// Applies an operation of the primary's log; returns whether it hands the home over.
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
    /// Adds the state that a key changes to.
    fn add(&mut self, stage: &Stage) {
        self.stored += stage.stored_len();
        self.closed += usize::from(matches!(stage, Stage::Closed(_)));
    }

    /// Subtracts a key whose record is dropped.
    fn remove(&mut self, stage: &Stage) {
        self.keys -= 1;
        self.stored -= stage.stored_len();
        self.closed -= usize::from(matches!(stage, Stage::Closed(_)));
    }
}
