//! Samples on disk: numbered files in one folder, of which the oldest is deleted first.
//!
//! A process that is killed while it writes leaves a torn record at the end of the
//! newest file. The next start truncates it, so nothing is ever appended after it.
//! Damage elsewhere ends the reading of that file and is shown in the burn report, but is no
//! error: samples only inform people, and some of them are better than none.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use super::frame::{self, MAGIC};
use super::{PeriodSamples, ServiceSample};

/// Minimum number of files that the space is split into, so that deleting one file removes
/// at most an eighth of the samples.
const MIN_FILES: u64 = 8;
/// Length at which a new file is started. A reader has one file in memory at a time.
const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024;
const PREFIX: &str = "samples-";
const SUFFIX: &str = ".log";

/// Counts for a service in a region during one period, over all entries that reported.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Start of the period, in seconds since the Unix epoch.
    pub start: u64,
    /// Number of entries that reported on the period, with or without counts for this
    /// service.
    pub entries: u32,
    /// The counts.
    pub sample: ServiceSample,
}

impl Record {
    /// Splits a period into its records.
    pub fn from_period(period: PeriodSamples) -> impl Iterator<Item = Self> {
        let PeriodSamples {
            start,
            entries,
            samples,
        } = period;
        samples.into_iter().map(move |sample| Self {
            start,
            entries,
            sample,
        })
    }
}

/// Why samples can't be stored or read.
#[derive(Debug)]
#[derive(Snafu)]
pub enum StoreError {
    /// The folder can't be created or listed.
    #[snafu(display("can't use the folder of samples {}", path.display()))]
    Folder {
        /// The folder.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// A file can't be read, written, synced or deleted.
    #[snafu(display("can't use the file of samples {}", path.display()))]
    Io {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// A record can't be encoded. The types in a record never cause this.
    #[snafu(display("can't encode a sample"))]
    Encode {
        /// The codec's error.
        source: postcard::Error,
    },
}

/// The unreadable end of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// The file.
    pub path: PathBuf,
    /// Offset of the first damaged byte.
    pub offset: u64,
    /// Number of bytes from there to the end of the file; none of them are read.
    pub lost: u64,
}

/// The samples that were read from a folder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// The records, in the order of writing.
    pub records: Vec<Record>,
    /// Damaged files.
    pub damage: Vec<Damage>,
}

/// Reads the samples of a folder whose period starts at `since` or later. A missing folder
/// has no samples.
///
/// # Errors
///
/// Fails if the folder or a file can't be read; damage inside a file is no error.
pub fn read_history(dir: &Path, since: u64) -> Result<History, StoreError> {
    let mut history = History::default();
    let records = &mut history.records;
    history.damage = visit_history(dir, since, |record| records.push(record))?;
    Ok(history)
}

/// Like [`read_history`], but passes the records to `visit` one by one, so that no more than
/// one file is in memory at a time. Returns the damage.
///
/// # Errors
///
/// As [`read_history`].
pub fn visit_history(
    dir: &Path,
    since: u64,
    mut visit: impl FnMut(Record),
) -> Result<Vec<Damage>, StoreError> {
    let mut damage = Vec::new();
    if !dir.exists() {
        return Ok(damage);
    }
    for number in file_numbers(dir)? {
        let path = file_path(dir, number);
        let buf = match std::fs::read(&path) {
            Ok(buf) => buf,
            // The control process may delete its oldest file in the meantime.
            Err(err) if err.kind() == std::io::ErrorKind::NotFound => continue,
            Err(err) => return Err(err).context(IoSnafu { path }),
        };
        let contents = frame::read(&buf);
        let recent = contents.records.into_iter().filter(|r| r.start >= since);
        recent.for_each(&mut visit);
        if contents.valid_len < buf.len() {
            damage.push(Damage {
                path,
                offset: contents.valid_len as u64,
                lost: (buf.len() - contents.valid_len) as u64,
            });
        }
    }
    Ok(damage)
}

/// Writes samples. Only one store may use a folder at a time, that of its control replica.
#[derive(Debug)]
pub struct SampleStore {
    dir: PathBuf,
    file_bytes: u64,
    max_files: u64,
    number: u64,
    file: File,
    len: u64,
}

impl SampleStore {
    /// Opens a folder, creates it if needed, and truncates the newest file after its last
    /// valid record.
    ///
    /// Together the files take at most `max_bytes` plus the records of one period.
    ///
    /// # Errors
    ///
    /// Fails if the folder or its newest file can't be used.
    pub fn open(dir: &Path, max_bytes: u64) -> Result<Self, StoreError> {
        std::fs::create_dir_all(dir).context(FolderSnafu { path: dir })?;
        let number = file_numbers(dir)?.last().copied().unwrap_or(1);
        let (file, len) = open_file(&file_path(dir, number))?;
        let file_bytes = (max_bytes / MIN_FILES).clamp(1, MAX_FILE_BYTES);
        Ok(Self {
            dir: dir.to_owned(),
            file_bytes,
            max_files: max_bytes / file_bytes,
            number,
            file,
            len,
        })
    }

    /// Appends records and syncs them.
    ///
    /// # Errors
    ///
    /// Fails if they can't be written and synced; then none of them is stored.
    pub fn append(&mut self, records: &[Record]) -> Result<(), StoreError> {
        if records.is_empty() {
            return Ok(());
        }
        if self.len >= self.file_bytes {
            self.rotate()?;
        }
        let mut buf = Vec::new();
        for record in records {
            frame::write(&mut buf, record).context(EncodeSnafu)?;
        }
        let written = self
            .file
            .write_all(&buf)
            .and_then(|()| self.file.sync_data());
        if written.is_err() {
            // A partly written record, as on a full disk, would make all later ones
            // unreadable. If this fails too, the next start truncates the file.
            let _ = self.file.set_len(self.len);
        }
        let path = file_path(&self.dir, self.number);
        written.context(IoSnafu { path })?;
        self.len += buf.len() as u64;
        Ok(())
    }

    fn rotate(&mut self) -> Result<(), StoreError> {
        self.number += 1;
        (self.file, self.len) = open_file(&file_path(&self.dir, self.number))?;
        let numbers = file_numbers(&self.dir)?;
        let excess = numbers.len().saturating_sub(self.max_files as usize);
        for number in &numbers[..excess] {
            let path = file_path(&self.dir, *number);
            std::fs::remove_file(&path).context(IoSnafu { path })?;
        }
        Ok(())
    }
}

/// Opens a file for appending and truncates it after its last valid record. Returns the
/// file and its length.
fn open_file(path: &Path) -> Result<(File, u64), StoreError> {
    let mut file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .context(IoSnafu { path })?;
    let buf = std::fs::read(path).context(IoSnafu { path })?;
    let valid_len = frame::read(&buf).valid_len as u64;
    if valid_len < buf.len() as u64 {
        log::warn!(
            path = path.display().to_string(), offset = valid_len, lost = buf.len() as u64 - valid_len;
            "truncated a sample file after its last valid record"
        );
        file.set_len(valid_len).context(IoSnafu { path })?;
    }
    if valid_len > 0 {
        return Ok((file, valid_len));
    }
    file.write_all(MAGIC).context(IoSnafu { path })?;
    Ok((file, MAGIC.len() as u64))
}

fn file_path(dir: &Path, number: u64) -> PathBuf {
    dir.join(format!("{PREFIX}{number:010}{SUFFIX}"))
}

/// Numbers of the files in a folder, ascending.
fn file_numbers(dir: &Path) -> Result<Vec<u64>, StoreError> {
    let entries = std::fs::read_dir(dir).context(FolderSnafu { path: dir })?;
    let mut numbers = Vec::new();
    for entry in entries {
        let name = entry.context(FolderSnafu { path: dir })?.file_name();
        numbers.extend(name.to_str().and_then(parse_number));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

fn parse_number(name: &str) -> Option<u64> {
    let number = name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?;
    number.parse().ok()
}
