//! Samples on disk: numbered files below one folder, the oldest deleted first.
//!
//! A process that is killed while it writes leaves a torn record at the end of the
//! newest file. It is cut off at the next start, so nothing is ever written behind it.
//! Damage elsewhere ends the reading of that file and is shown in the report: samples
//! only inform people, and some of them are better than none.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use super::frame::{self, MAGIC};
use super::{PeriodSamples, ServiceSample};

/// Files that the space is split into, at least; deleting one frees no more than an
/// eighth of it.
const MIN_FILES: u64 = 8;
/// Longest file. A reader has one file in memory at a time.
const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024;
const PREFIX: &str = "samples-";
const SUFFIX: &str = ".log";

/// What was counted of a service in a region during one period, over all entries that
/// were heard.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Start of the period, in seconds since the Unix epoch.
    pub start: u64,
    /// Entries that reported on the period, whatever they had to tell.
    pub entries: u32,
    /// The counts.
    pub sample: ServiceSample,
}

impl Record {
    /// The records of a period.
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

/// Why samples can't be kept or read.
#[derive(Debug)]
#[derive(Snafu)]
pub enum StoreError {
    /// The folder can't be made or listed.
    #[snafu(display("can't use the folder of samples {}", path.display()))]
    Folder {
        /// The folder.
        path: PathBuf,
        /// The system's word.
        source: std::io::Error,
    },
    /// A file can't be read, written, synced or deleted.
    #[snafu(display("can't use the file of samples {}", path.display()))]
    Io {
        /// The file.
        path: PathBuf,
        /// The system's word.
        source: std::io::Error,
    },
    /// A record can't be encoded; no type in a record can cause that.
    #[snafu(display("can't encode a sample"))]
    Encode {
        /// The codec's word.
        source: postcard::Error,
    },
}

/// Bytes of a file that are no whole record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// The file.
    pub path: PathBuf,
    /// Where the damage begins, in bytes from the start.
    pub offset: u64,
    /// Bytes from there to the end of the file, none of which are read.
    pub lost: u64,
}

/// Samples that were read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// The records, in the order in which they were written.
    pub records: Vec<Record>,
    /// Damaged files.
    pub damage: Vec<Damage>,
}

/// Reads the samples of a folder whose period starts at `since` or later. A folder that
/// isn't there has none.
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

/// Like [`read_history`], but hands records over one by one, so that no more than a file
/// is in memory at once. Returns the damage.
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
            // The daemon deletes its oldest file whenever it likes.
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

/// Writes samples. There is one for a folder at a time: the replica's.
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
    /// Opens a folder, makes it if needed, and cuts off a torn end.
    ///
    /// Files take up to `max_bytes` in all, and one period's records more.
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
    /// Fails if they can't be written and synced; none of them is kept then.
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
            // What got onto a full disk in part would hide all that follows it. If even
            // that fails, the next start cuts it off.
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

/// Opens a file at the end of its last whole record.
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
            "cut off samples that are torn or damaged"
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
