//! The log file.
//!
//! Each snapshot starts a new generation of the log, a file whose first record repeats the
//! state that is still needed; later records are changes. The old file is removed only after
//! the new one is synced under its name. A crash in between leaves both, and the newer one
//! is used.

use std::borrow::Cow;
use std::fs::File;
use std::io::Write;
use std::os::unix::fs::FileExt;

use filberthead_consensus::{Entry, HardState, Persist, Snapshot};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::error::{IoSnafu, StorageError, damaged};
use crate::files::Folder;
use crate::record::{self, Decoded};

pub(crate) const PREFIX: &str = "log-";
const SYNCED_FILE: &str = "synced";

/// A record of the log. Its entries replace all stored ones from the first one's index on.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct LogRecord<'a> {
    /// Index of the generation's snapshot; set only in its first record.
    base: Option<u64>,
    hard_state: Option<HardState>,
    entries: Cow<'a, [Entry]>,
}

impl<'a> LogRecord<'a> {
    fn from_persist(persist: &'a Persist) -> Self {
        Self {
            base: None,
            hard_state: persist.hard_state,
            entries: Cow::Borrowed(&persist.entries),
        }
    }
}

/// The content of the log, as read at start and written since.
#[derive(Clone, Debug, Default)]
pub(crate) struct LogState {
    pub(crate) hard_state: HardState,
    pub(crate) entries: Vec<Entry>,
    /// Index of the snapshot that the entries follow.
    pub(crate) base: u64,
}

impl LogState {
    /// Removes the entries that a snapshot covers, or all if the log does not match it.
    fn discard_covered(&mut self, snapshot: &Snapshot) {
        let same = |e: &Entry| e.index == snapshot.index && e.term == snapshot.term;
        if self.entries.iter().any(same) {
            self.entries.retain(|e| e.index > snapshot.index);
        } else {
            self.entries.clear();
        }
        self.base = snapshot.index;
    }

    /// Checks that the record's entries continue the log, or overwrite its end, without gaps.
    fn check_contiguous(&self, log_record: &LogRecord<'_>) -> Result<(), &'static str> {
        let Some(first) = log_record.entries.first().map(|e| e.index) else {
            return Ok(());
        };
        let (base, last) = match log_record.base {
            Some(base) => (base, base),
            None => (self.base, self.base + self.entries.len() as u64),
        };
        let in_order = log_record
            .entries
            .iter()
            .zip(first..)
            .all(|(e, i)| e.index == i);
        if !in_order || first <= base || first > last + 1 {
            return Err("entries leave a gap");
        }
        Ok(())
    }

    /// Applies a record that [`Self::check_contiguous`] has accepted.
    fn apply(&mut self, log_record: LogRecord<'_>) {
        if let Some(base) = log_record.base {
            self.entries.clear();
            self.base = base;
        }
        self.hard_state = log_record.hard_state.unwrap_or(self.hard_state);
        if let Some(first) = log_record.entries.first() {
            self.entries
                .truncate((first.index - self.base - 1) as usize);
        }
        self.entries.extend(log_record.entries.into_owned());
    }
}

/// The open file of the newest generation.
#[derive(Debug)]
struct LogFile {
    name: String,
    file: File,
}

/// The log of a folder.
#[derive(Debug)]
pub(crate) struct Log {
    pub(crate) state: LogState,
    file: Option<LogFile>,
    synced_file: File,
    next_generation: u64,
    next_seq: u64,
}

impl Log {
    /// Reads the newest generation, truncates a torn record at its end, and removes older
    /// generations.
    pub(crate) fn open(folder: &mut Folder) -> Result<Self, StorageError> {
        let mut names = folder.file_names(PREFIX)?;
        let mut log = Self {
            state: LogState::default(),
            file: None,
            synced_file: folder.open_in_place(SYNCED_FILE)?,
            next_generation: 0,
            next_seq: 0,
        };
        if let Some(name) = names.pop() {
            log.next_generation = parse_generation(&name) + 1;
            log.read(folder, name)?;
        }
        log.verify_synced(folder)?;
        folder.remove(&names)?;
        Ok(log)
    }

    /// Whether no log file exists yet.
    pub(crate) fn is_empty(&self) -> bool {
        self.file.is_none()
    }

    fn read(&mut self, folder: &mut Folder, name: String) -> Result<(), StorageError> {
        let buf = folder.read(&name)?.unwrap_or_default();
        let end = self
            .replay(&buf)
            .map_err(|(offset, reason)| damaged(folder.file_path(&name), offset, reason))?;
        let file = folder.open_append(&name)?;
        if end < buf.len() {
            let cut = buf.len() - end;
            log::warn!(file = name.as_str(), at = end, cut; "truncated a torn tail of the log");
            let action = "truncate";
            let path = folder.file_path(&name);
            file.set_len(end as u64).context(IoSnafu { action, path })?;
        }
        // The process may have been killed between the write of the last record and its
        // sync. The record is used from now on, and others will rely on it.
        folder.sync(&file, &name)?;
        self.file = Some(LogFile { name, file });
        Ok(())
    }

    /// Applies all valid records and returns the offset of their end.
    fn replay(&mut self, buf: &[u8]) -> Result<usize, (usize, &'static str)> {
        let mut offset = 0;
        loop {
            match record::decode::<LogRecord<'_>>(buf, offset) {
                Decoded::Record { seq, value, next } => {
                    self.replay_record(offset, seq, value)
                        .map_err(|e| (offset, e))?;
                    offset = next;
                }
                Decoded::End if offset == 0 => return Err((0, "empty file")),
                Decoded::End => return Ok(offset),
                // The first record was synced before the file was renamed, and only the last
                // write can be incomplete.
                Decoded::Torn(reason) if offset == 0 || record::has_record_after(buf, offset) => {
                    return Err((offset, reason));
                }
                Decoded::Torn(_) => return Ok(offset),
                Decoded::Undecodable(reason) => return Err((offset, reason)),
            }
        }
    }

    fn replay_record(
        &mut self,
        offset: usize,
        seq: u64,
        log_record: LogRecord<'_>,
    ) -> Result<(), &'static str> {
        if log_record.base.is_some() != (offset == 0) {
            return Err("first record out of place");
        }
        if offset != 0 && seq != self.next_seq {
            return Err("record out of order");
        }
        self.state.check_contiguous(&log_record)?;
        self.state.apply(log_record);
        self.next_seq = seq + 1;
        Ok(())
    }

    /// Compares the log with the `synced` file. A synced last record that is now missing or
    /// invalid looks like a torn write, but others may rely on it.
    fn verify_synced(&self, folder: &Folder) -> Result<(), StorageError> {
        let marker = folder.read(SYNCED_FILE)?.unwrap_or_default();
        // The file is written without a sync, so a power loss may leave it torn.
        let Decoded::Record { seq, .. } = record::decode::<()>(&marker, 0) else {
            return Ok(());
        };
        if seq < self.next_seq {
            return Ok(());
        }
        let name = self.file.as_ref().map_or(PREFIX, |file| &file.name);
        let reason = "synced records are missing at its end";
        Err(damaged(folder.file_path(name), 0, reason))
    }

    /// Writes the content of the log to a new file. After a failed sync, the kernel may
    /// consider pages clean that never reached the disk.
    pub(crate) fn rewrite(&mut self, folder: &mut Folder) -> Result<(), StorageError> {
        if self.is_empty() {
            return Ok(());
        }
        self.write_generation(folder)
    }

    /// Appends the changes of `persist`, and returns once they are synced.
    pub(crate) fn append(
        &mut self,
        folder: &mut Folder,
        persist: &Persist,
    ) -> Result<(), StorageError> {
        let log_record = LogRecord::from_persist(persist);
        self.check_contiguous(folder, &log_record)?;
        let Some(log_file) = &mut self.file else {
            self.state.apply(log_record);
            return self.write_generation(folder);
        };
        let buf = record::encode(self.next_seq, &log_record)?;
        let action = "write";
        let path = folder.file_path(&log_file.name);
        log_file
            .file
            .write_all(&buf)
            .context(IoSnafu { action, path })?;
        folder.sync(&log_file.file, &log_file.name)?;
        self.state.apply(log_record);
        self.mark_synced(folder)
    }

    /// Starts a generation after a snapshot that is already synced, and adds the other changes
    /// of `persist`.
    pub(crate) fn start_generation(
        &mut self,
        folder: &mut Folder,
        snapshot: &Snapshot,
        persist: &Persist,
    ) -> Result<(), StorageError> {
        self.state.discard_covered(snapshot);
        let log_record = LogRecord::from_persist(persist);
        self.check_contiguous(folder, &log_record)?;
        self.state.apply(log_record);
        self.write_generation(folder)
    }

    /// Writes the content of the log as a new generation, and removes the old one.
    fn write_generation(&mut self, folder: &mut Folder) -> Result<(), StorageError> {
        let log_record = LogRecord {
            base: Some(self.state.base),
            hard_state: Some(self.state.hard_state),
            entries: Cow::Borrowed(&self.state.entries),
        };
        let name = format!("{PREFIX}{:020}", self.next_generation);
        let file = folder.write_atomically(&name, &record::encode(self.next_seq, &log_record)?)?;
        self.next_generation += 1;
        let old = self.file.replace(LogFile { name, file });
        self.mark_synced(folder)?;
        folder.remove(old.map(|old| old.name).as_slice())
    }

    fn check_contiguous(
        &self,
        folder: &Folder,
        log_record: &LogRecord<'_>,
    ) -> Result<(), StorageError> {
        self.state
            .check_contiguous(log_record)
            .map_err(|reason| damaged(folder.path().to_owned(), 0, reason))
    }

    /// Stores in the `synced` file that the record just written is synced. The file itself
    /// isn't, which saves a sync per record; it survives the end of the process, but not
    /// always a power loss.
    fn mark_synced(&mut self, folder: &Folder) -> Result<(), StorageError> {
        let marker = record::encode(self.next_seq, &())?;
        let action = "write";
        let path = folder.file_path(SYNCED_FILE);
        self.synced_file
            .write_all_at(&marker, 0)
            .context(IoSnafu { action, path })?;
        self.next_seq += 1;
        Ok(())
    }
}

fn parse_generation(name: &str) -> u64 {
    let digits = name.strip_prefix(PREFIX).unwrap_or_default();
    digits.parse().unwrap_or_default()
}
