//! The log file: one generation holds all state after the snapshot, then what came since.
//!
//! A new snapshot begins a new generation, whose first record repeats what is still
//! needed; the old file goes only once the new one is synced under its name. A crash in
//! between leaves both, and the newer one counts.

use std::borrow::Cow;
use std::fs::File;
use std::io::Write;
use std::os::unix::fs::FileExt;

use filberthead_consensus::{Entry, HardState, Persist, Snapshot};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::error::{IoSnafu, StorageError, damaged};
use crate::files::Folder;
use crate::record::{self, Found};

pub(crate) const PREFIX: &str = "log-";
const SYNCED: &str = "synced";

/// What a record of the log says. Entries replace any stored at or after the first.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct Change<'a> {
    /// Set in the first record of a generation: the snapshot that it builds on.
    base: Option<u64>,
    hard_state: Option<HardState>,
    entries: Cow<'a, [Entry]>,
}

impl<'a> Change<'a> {
    fn of(persist: &'a Persist) -> Self {
        Self {
            base: None,
            hard_state: persist.hard_state,
            entries: Cow::Borrowed(&persist.entries),
        }
    }
}

/// The log as read back, and as written since.
#[derive(Clone, Debug, Default)]
pub(crate) struct State {
    pub(crate) hard_state: HardState,
    pub(crate) entries: Vec<Entry>,
    /// The snapshot that the entries follow.
    pub(crate) base: u64,
}

impl State {
    /// Drops what a snapshot covers, or all if the log does not continue it.
    fn cover(&mut self, snapshot: &Snapshot) {
        let same = |e: &Entry| e.index == snapshot.index && e.term == snapshot.term;
        if self.entries.iter().any(same) {
            self.entries.retain(|e| e.index > snapshot.index);
        } else {
            self.entries.clear();
        }
        self.base = snapshot.index;
    }

    fn check(&self, change: &Change<'_>) -> Result<(), &'static str> {
        let Some(first) = change.entries.first().map(|e| e.index) else {
            return Ok(());
        };
        let (base, last) = match change.base {
            Some(base) => (base, base),
            None => (self.base, self.base + self.entries.len() as u64),
        };
        let in_order = change
            .entries
            .iter()
            .zip(first..)
            .all(|(e, i)| e.index == i);
        if !in_order || first <= base || first > last + 1 {
            return Err("entries leave a gap");
        }
        Ok(())
    }

    /// Takes over a change that was checked.
    fn apply(&mut self, change: Change<'_>) {
        if let Some(base) = change.base {
            self.entries.clear();
            self.base = base;
        }
        self.hard_state = change.hard_state.unwrap_or(self.hard_state);
        if let Some(first) = change.entries.first() {
            self.entries
                .truncate((first.index - self.base - 1) as usize);
        }
        self.entries.extend(change.entries.into_owned());
    }
}

/// The open log file.
#[derive(Debug)]
struct LogFile {
    name: String,
    file: File,
}

/// The log of a folder.
#[derive(Debug)]
pub(crate) struct Log {
    pub(crate) state: State,
    file: Option<LogFile>,
    synced: File,
    next_generation: u64,
    next_seq: u64,
}

impl Log {
    /// Reads the newest generation, and cuts what a crash left half-written at its end.
    pub(crate) fn open(folder: &mut Folder) -> Result<Self, StorageError> {
        let mut names = folder.names(PREFIX)?;
        let mut log = Self {
            state: State::default(),
            file: None,
            synced: folder.open_note(SYNCED)?,
            next_generation: 0,
            next_seq: 0,
        };
        if let Some(name) = names.pop() {
            log.next_generation = generation(&name) + 1;
            log.read(folder, name)?;
        }
        log.check_synced(folder)?;
        folder.remove(&names)?;
        Ok(log)
    }

    /// Whether nothing was ever written.
    pub(crate) fn is_empty(&self) -> bool {
        self.file.is_none()
    }

    fn read(&mut self, folder: &mut Folder, name: String) -> Result<(), StorageError> {
        let buf = folder.read(&name)?.unwrap_or_default();
        let end = self
            .replay(&buf)
            .map_err(|(at, reason)| damaged(folder.file(&name), at, reason))?;
        let file = folder.open_append(&name)?;
        if end < buf.len() {
            let cut = buf.len() - end;
            log::warn!(file = name.as_str(), at = end, cut; "cut a torn tail");
            let action = "cut";
            let path = folder.file(&name);
            file.set_len(end as u64).context(IoSnafu { action, path })?;
        }
        // The process may have been killed between the write of its last record and the
        // sync. The record is read back all the same, and others will count on it.
        folder.sync(&file, &name)?;
        self.file = Some(LogFile { name, file });
        Ok(())
    }

    /// Takes over all good records and returns where they end.
    fn replay(&mut self, buf: &[u8]) -> Result<usize, (usize, &'static str)> {
        let mut at = 0;
        loop {
            match record::decode::<Change<'_>>(buf, at) {
                Found::Record { seq, value, next } => {
                    self.replay_one(at, seq, value).map_err(|e| (at, e))?;
                    at = next;
                }
                Found::End if at == 0 => return Err((0, "empty file")),
                Found::End => return Ok(at),
                // The first record was synced before the file got its name, and only
                // the last write can have been cut short.
                Found::Torn(reason) if at == 0 || record::any_after(buf, at) => {
                    return Err((at, reason));
                }
                Found::Torn(_) => return Ok(at),
                Found::Unknown(reason) => return Err((at, reason)),
            }
        }
    }

    fn replay_one(&mut self, at: usize, seq: u64, change: Change<'_>) -> Result<(), &'static str> {
        if change.base.is_some() != (at == 0) {
            return Err("first record out of place");
        }
        if at != 0 && seq != self.next_seq {
            return Err("record out of order");
        }
        self.state.check(&change)?;
        self.state.apply(change);
        self.next_seq = seq + 1;
        Ok(())
    }

    /// Compares with the note of what was synced. A last record that was synced, and is
    /// gone or bad now, looks like a torn write; but others may count on it.
    fn check_synced(&self, folder: &Folder) -> Result<(), StorageError> {
        let note = folder.read(SYNCED)?.unwrap_or_default();
        // The note is written without a sync: after a power loss it may be torn.
        let Found::Record { seq, .. } = record::decode::<()>(&note, 0) else {
            return Ok(());
        };
        if seq < self.next_seq {
            return Ok(());
        }
        let name = self.file.as_ref().map_or(PREFIX, |file| &file.name);
        let reason = "synced records are missing at its end";
        Err(damaged(folder.file(name), 0, reason))
    }

    /// Writes all that was read back into a new file. After a sync that failed, the
    /// system may take pages for clean that never reached the disk.
    pub(crate) fn rewrite(&mut self, folder: &mut Folder) -> Result<(), StorageError> {
        if self.is_empty() {
            return Ok(());
        }
        self.begin(folder)
    }

    /// Appends what `persist` asks for, and returns once it is synced.
    pub(crate) fn append(
        &mut self,
        folder: &mut Folder,
        persist: &Persist,
    ) -> Result<(), StorageError> {
        let change = Change::of(persist);
        self.check(folder, &change)?;
        let Some(log) = &mut self.file else {
            self.state.apply(change);
            return self.begin(folder);
        };
        let buf = record::encode(self.next_seq, &change)?;
        let action = "write";
        let path = folder.file(&log.name);
        log.file.write_all(&buf).context(IoSnafu { action, path })?;
        folder.sync(&log.file, &log.name)?;
        self.state.apply(change);
        self.count_synced(folder)
    }

    /// Begins a generation on a snapshot that is synced already, and adds what else
    /// `persist` asks for.
    pub(crate) fn begin_on(
        &mut self,
        folder: &mut Folder,
        snapshot: &Snapshot,
        persist: &Persist,
    ) -> Result<(), StorageError> {
        self.state.cover(snapshot);
        let change = Change::of(persist);
        self.check(folder, &change)?;
        self.state.apply(change);
        self.begin(folder)
    }

    fn begin(&mut self, folder: &mut Folder) -> Result<(), StorageError> {
        let change = Change {
            base: Some(self.state.base),
            hard_state: Some(self.state.hard_state),
            entries: Cow::Borrowed(&self.state.entries),
        };
        let name = format!("{PREFIX}{:020}", self.next_generation);
        let file = folder.write(&name, &record::encode(self.next_seq, &change)?)?;
        self.next_generation += 1;
        let old = self.file.replace(LogFile { name, file });
        self.count_synced(folder)?;
        folder.remove(old.map(|old| old.name).as_slice())
    }

    fn check(&self, folder: &Folder, change: &Change<'_>) -> Result<(), StorageError> {
        self.state
            .check(change)
            .map_err(|reason| damaged(folder.path().to_owned(), 0, reason))
    }

    /// Notes that the record just written is synced. The note itself isn't: it costs
    /// no sync, and outlives any end of the process short of a power loss.
    fn count_synced(&mut self, folder: &Folder) -> Result<(), StorageError> {
        let note = record::encode(self.next_seq, &())?;
        let action = "write";
        let path = folder.file(SYNCED);
        self.synced
            .write_all_at(&note, 0)
            .context(IoSnafu { action, path })?;
        self.next_seq += 1;
        Ok(())
    }
}

fn generation(name: &str) -> u64 {
    let digits = name.strip_prefix(PREFIX).unwrap_or_default();
    digits.parse().unwrap_or_default()
}
