//! Journals of homes in the data folder, and the thread that writes and syncs them.
//!
//! One file for each home: a sequence of frames, each a length, a checksum and encoded
//! steps; the first frame holds the home's id. Invariants:
//!
//! - a step is reported as synced only after its file and the folder with the file's entry
//!   are synced; after any failure the duty ends, and with it the process, since the
//!   content of a disk is undefined after a failed sync;
//! - only one process uses the folder: a home must not be recovered twice;
//! - only the last frame of a file may be torn, by a crash before its sync. Damage before
//!   that makes the home lost, because the record of a start may be missing.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use filberthead_ledger::{HomeId, Op};
use filberthead_ring::{PushError, Receiver, Sender, ring};
use log::{error, info, warn};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use tokio::time::{Duration, sleep};

use crate::stop::Stop;
use crate::{Duty, DutyError};

/// Capacity of the ring of writes for the disk. When it is full the ledger duty queues
/// further ones, at most one for each open request; no request starts meanwhile.
const WRITE_CAPACITY: usize = 1024;
/// Maximum number of writes that share one sync.
const MAX_BATCH: usize = 64;
/// Pause before a report is pushed again if the ledger duty's ring is full.
const REPORT_PAUSE: Duration = Duration::from_millis(1);
/// Bytes of a frame's length and checksum.
const HEADER_LEN: usize = 8;
const FOLDER: &str = "ledger";
const LOCK: &str = "ledger.lock";
/// Extension of a file that hasn't replaced the old one yet.
const TEMPORARY: &str = "new";

/// An error of opening, reading or writing the journals.
#[derive(Debug)]
#[derive(Snafu)]
pub enum JournalError {
    /// An operation on a file or folder failed.
    #[snafu(display("can't use {}", path.display()))]
    File {
        /// Its path.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// Another process uses the data folder.
    #[snafu(display("another process uses {}", path.display()))]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// Encoding a home's id or steps failed.
    #[snafu(display("a journal's step can't be encoded"))]
    Encode {
        /// The codec's error.
        source: postcard::Error,
    },
}

/// A write to a home's journal.
#[derive(Debug)]
pub(crate) struct JournalWrite {
    /// The home whose file is written.
    pub(crate) home: HomeId,
    /// Number of the write, by which it is reported as synced.
    pub(crate) number: u64,
    /// The steps to append, in order.
    pub(crate) ops: Vec<Op>,
    /// Whether the steps replace the file's content instead.
    pub(crate) rewrite: bool,
    /// Whether the file is removed instead.
    pub(crate) retire: bool,
}

/// Reports that this write of the home, and all before it, are synced.
#[derive(Debug)]
pub(crate) struct JournalSynced {
    /// The home whose file was written.
    pub(crate) home: HomeId,
    /// Number of the write.
    pub(crate) number: u64,
}

/// A home read from the folder at start.
#[derive(Debug)]
pub(crate) struct Recovered {
    /// The home's id.
    pub(crate) home: HomeId,
    /// All steps of its journal, in order.
    pub(crate) ops: Vec<Op>,
}

/// The ledger duty's ends of the rings.
#[derive(Debug)]
pub(crate) struct JournalSide {
    pub(crate) tx: Sender<JournalWrite>,
    pub(crate) rx: Receiver<JournalSynced>,
}

/// The journal duty's ends of the rings.
#[derive(Debug)]
pub(crate) struct DiskSide {
    rx: Receiver<JournalWrite>,
    tx: Sender<JournalSynced>,
}

/// Creates the rings between the ledger duty and the journal duty.
pub(crate) fn journal_rings() -> (JournalSide, DiskSide) {
    let (write_tx, write_rx) = ring(WRITE_CAPACITY);
    let (synced_tx, synced_rx) = ring(WRITE_CAPACITY);
    let journal = JournalSide {
        tx: write_tx,
        rx: synced_rx,
    };
    let disk = DiskSide {
        rx: write_rx,
        tx: synced_tx,
    };
    (journal, disk)
}

/// The folder of journals and its open files.
#[derive(Debug)]
pub(crate) struct Journals {
    folder: PathBuf,
    files: BTreeMap<HomeId, File>,
    /// The locked file; the lock is held as long as this process runs.
    _lock: File,
}

impl Journals {
    /// Opens the folder in `data` and reads the homes that earlier processes left there.
    pub(crate) fn open(data: &Path) -> Result<(Self, Vec<Recovered>), JournalError> {
        let folder = data.join(FOLDER);
        std::fs::create_dir_all(&folder).context(FileSnafu { path: &folder })?;
        let lock = lock(&data.join(LOCK))?;
        sync_folder(data)?;
        let mut journals = Self {
            folder,
            files: BTreeMap::new(),
            _lock: lock,
        };
        let recovered = journals.read_all()?;
        Ok((journals, recovered))
    }

    fn read_all(&mut self) -> Result<Vec<Recovered>, JournalError> {
        let mut recovered = Vec::new();
        let path = self.folder.clone();
        for entry in std::fs::read_dir(&path).context(FileSnafu { path: &path })? {
            let path = entry.context(FileSnafu { path: &path })?.path();
            if path.extension().is_some_and(|e| e == TEMPORARY) {
                std::fs::remove_file(&path).context(FileSnafu { path: &path })?;
            } else if let Some(found) = self.read(&path)? {
                info!(home:% = found.home, steps = found.ops.len(); "recovered a home");
                recovered.push(found);
            }
        }
        Ok(recovered)
    }

    /// Reads a home's file and cuts off a torn last frame; `None` if the file is damaged.
    fn read(&mut self, path: &Path) -> Result<Option<Recovered>, JournalError> {
        let buf = std::fs::read(path).context(FileSnafu { path })?;
        let Some(parsed) = parse(&buf) else {
            error!(path:? = path; "a journal is damaged; the keys of its home are lost");
            return Ok(None);
        };
        let file = OpenOptions::new().append(true).open(path);
        let file = file.context(FileSnafu { path })?;
        if parsed.len < buf.len() {
            warn!(path:? = path; "a journal's last write was cut short before its sync");
            file.set_len(parsed.len as u64)
                .context(FileSnafu { path })?;
            file.sync_all().context(FileSnafu { path })?;
        }
        self.files.insert(parsed.home.clone(), file);
        Ok(Some(Recovered {
            home: parsed.home,
            ops: parsed.ops,
        }))
    }

    /// Path of a home's file.
    fn path(&self, home: &HomeId) -> PathBuf {
        let name = format!("{:016x}-{:x}", home.founder.0, home.serial);
        self.folder.join(name)
    }

    /// Performs a batch of writes and syncs each changed file once.
    pub(crate) fn write(&mut self, batch: &[JournalWrite]) -> Result<(), JournalError> {
        let mut appended = BTreeSet::new();
        for write in batch {
            if write.retire {
                appended.remove(&write.home);
                self.remove(&write.home)?;
            } else if write.rewrite || !self.files.contains_key(&write.home) {
                appended.remove(&write.home);
                self.replace(&write.home, &write.ops)?;
            } else if let Some(file) = self.files.get_mut(&write.home) {
                let frame = frame(&write.ops)?;
                let path = &self.folder;
                file.write_all(&frame).context(FileSnafu { path })?;
                appended.insert(write.home.clone());
            }
        }
        for home in &appended {
            if let Some(file) = self.files.get(home) {
                let path = &self.folder;
                file.sync_data().context(FileSnafu { path })?;
            }
        }
        Ok(())
    }

    /// Writes a new file next to the old one and renames it over the old one.
    fn replace(&mut self, home: &HomeId, ops: &[Op]) -> Result<(), JournalError> {
        let path = self.path(home);
        let temporary = path.with_extension(TEMPORARY);
        let mut buf = frame(home)?;
        buf.extend_from_slice(&frame(&ops)?);
        let file = OpenOptions::new()
            .append(true)
            .create(true)
            .open(&temporary);
        let mut file = file.context(FileSnafu { path: &temporary })?;
        file.set_len(0).context(FileSnafu { path: &temporary })?;
        file.write_all(&buf)
            .context(FileSnafu { path: &temporary })?;
        file.sync_all().context(FileSnafu { path: &temporary })?;
        std::fs::rename(&temporary, &path).context(FileSnafu { path: &path })?;
        sync_folder(&self.folder)?;
        self.files.insert(home.clone(), file);
        Ok(())
    }

    fn remove(&mut self, home: &HomeId) -> Result<(), JournalError> {
        self.files.remove(home);
        let path = self.path(home);
        match std::fs::remove_file(&path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => {
                return Err(e).context(FileSnafu { path: &path });
            }
            _ => {}
        }
        sync_folder(&self.folder)
    }
}

fn lock(path: &Path) -> Result<File, JournalError> {
    let file = OpenOptions::new().create(true).append(true).open(path);
    let file = file.context(FileSnafu { path })?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => LockedSnafu { path }.fail(),
        Err(TryLockError::Error(e)) => Err(e).context(FileSnafu { path }),
    }
}

/// Syncs a folder, which makes the creation, renaming or removal of its files durable.
fn sync_folder(path: &Path) -> Result<(), JournalError> {
    let folder = File::open(path).context(FileSnafu { path })?;
    folder.sync_all().context(FileSnafu { path })
}

/// Encodes a value as a frame: length, checksum, payload.
fn frame(value: &impl Serialize) -> Result<Vec<u8>, JournalError> {
    let payload = postcard::to_allocvec(value).context(EncodeSnafu)?;
    let len = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let mut buf = Vec::with_capacity(HEADER_LEN + payload.len());
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    buf.extend_from_slice(&payload);
    Ok(buf)
}

/// The content of a journal file.
struct Parsed {
    home: HomeId,
    ops: Vec<Op>,
    /// Offset of the end of the last complete frame.
    len: usize,
}

/// Parses a file; `None` if it is damaged elsewhere than in its last frame.
fn parse(buf: &[u8]) -> Option<Parsed> {
    let (home, mut len) = read_frame(buf, 0)?;
    let mut ops: Vec<Op> = Vec::new();
    while let Some((more, end)) = read_frame::<Vec<Op>>(buf, len) {
        ops.extend(more);
        len = end;
    }
    let rest = len + 1..buf.len();
    let frame_follows = rest.into_iter().any(|at| is_frame(buf, at));
    (!frame_follows).then_some(Parsed { home, ops, len })
}

/// Decodes the frame at offset `at`; returns its value and the offset of its end.
fn read_frame<T: DeserializeOwned>(buf: &[u8], at: usize) -> Option<(T, usize)> {
    let (payload, end) = payload(buf, at)?;
    Some((postcard::from_bytes(payload).ok()?, end))
}

/// Whether a frame with a payload begins at offset `at`.
fn is_frame(buf: &[u8], at: usize) -> bool {
    payload(buf, at).is_some_and(|(payload, _)| !payload.is_empty())
}

/// Payload of the frame at offset `at`, and the offset of its end; `None` if the frame is
/// incomplete or its checksum is wrong.
fn payload(buf: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let header = buf.get(at..at + HEADER_LEN)?;
    let (len, checksum) = header.split_at(4);
    let len = u32::from_le_bytes(len.try_into().ok()?) as usize;
    let start = at + HEADER_LEN;
    let payload = buf.get(start..start.checked_add(len)?)?;
    let checksum = u32::from_le_bytes(checksum.try_into().ok()?);
    (crc32fast::hash(payload) == checksum).then_some((payload, start + len))
}

/// Starts the journal duty.
pub(crate) fn spawn(journals: Journals, side: DiskSide, stop: Stop) -> Result<Duty, DutyError> {
    Duty::spawn("journal", move || run(journals, side, stop))
}

async fn run(mut journals: Journals, mut side: DiskSide, mut stop: Stop) {
    loop {
        let (first, last) = tokio::select! {
            write = side.rx.recv() => (write, false),
            () = stop.wait() => (side.rx.try_recv(), true),
        };
        let Some(first) = first else {
            return;
        };
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH
            && let Some(write) = side.rx.try_recv()
        {
            batch.push(write);
        }
        if let Err(error) = journals.write(&batch) {
            error!(error:%; "the data folder failed");
            return;
        }
        if !last {
            report(&side.tx, batch).await;
        }
    }
}

/// Reports a batch as synced to the ledger duty.
async fn report(tx: &Sender<JournalSynced>, batch: Vec<JournalWrite>) {
    for write in batch {
        let mut synced = JournalSynced {
            home: write.home,
            number: write.number,
        };
        while let Err(PushError::Full(unsent)) = tx.push(synced) {
            synced = unsent;
            sleep(REPORT_PAUSE).await;
        }
    }
}
