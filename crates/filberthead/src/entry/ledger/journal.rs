//! Journals of homes in the data folder, and the thread that waits for the disk.
//!
//! A file a home: frames of a length, a checksum and encoded steps; the first frame names
//! the home. Invariants:
//!
//! - a step is reported as synced only after its file, and the folder that names the file,
//!   are synced; after any failure the duty ends, and with it the process, since nobody
//!   knows what a disk holds after a failed sync;
//! - one process uses the folder: a home must not be taken up twice;
//! - only the last frame of a file may be torn, by a crash before its sync. Damage before
//!   that makes the home lost, for a start may be missing.

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

/// Writes that wait for the disk. When full the ledger duty keeps further ones, of which
/// there is at most one for each open request; none starts meanwhile.
const WRITE_CAPACITY: usize = 1024;
/// Writes that share one sync.
const MAX_BATCH: usize = 64;
/// Pause before a report is offered again to a ledger duty that is behind.
const REPORT_PAUSE: Duration = Duration::from_millis(1);
const HEADER_LEN: usize = 8;
const FOLDER: &str = "ledger";
const LOCK: &str = "ledger.lock";
const TEMPORARY: &str = "new";

/// Why the journals can't be used.
#[derive(Debug)]
#[derive(Snafu)]
pub enum JournalError {
    /// A file or folder can't be used.
    #[snafu(display("can't use {}", path.display()))]
    File {
        /// Its path.
        path: PathBuf,
        /// The system's word.
        source: io::Error,
    },
    /// Another process uses the data folder.
    #[snafu(display("another process uses {}", path.display()))]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// A step can't be encoded.
    #[snafu(display("a journal's step can't be encoded"))]
    Encode {
        /// The codec's word.
        source: postcard::Error,
    },
}

/// Steps to be synced, in order.
#[derive(Debug)]
pub(crate) struct JournalWrite {
    pub(crate) home: HomeId,
    pub(crate) number: u64,
    pub(crate) ops: Vec<Op>,
    /// They replace the file's content.
    pub(crate) rewrite: bool,
    /// The file is to be removed instead.
    pub(crate) retire: bool,
}

/// The write of this home and number, and all before it, are synced.
#[derive(Debug)]
pub(crate) struct JournalSynced {
    pub(crate) home: HomeId,
    pub(crate) number: u64,
}

/// A home found in the folder.
#[derive(Debug)]
pub(crate) struct Recovered {
    pub(crate) home: HomeId,
    pub(crate) ops: Vec<Op>,
}

/// The ledger duty's ends of the rings.
#[derive(Debug)]
pub(crate) struct JournalSide {
    pub(crate) tx: Sender<JournalWrite>,
    pub(crate) rx: Receiver<JournalSynced>,
}

/// The disk's ends.
#[derive(Debug)]
pub(crate) struct DiskSide {
    rx: Receiver<JournalWrite>,
    tx: Sender<JournalSynced>,
}

/// Makes the rings between ledger and disk.
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

/// The folder of journals.
#[derive(Debug)]
pub(crate) struct Journals {
    folder: PathBuf,
    files: BTreeMap<HomeId, File>,
    /// Held for as long as this process runs.
    _lock: File,
}

impl Journals {
    /// Opens the folder under `data`, and reads what predecessors left there.
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
                info!(home:% = found.home, steps = found.ops.len(); "a home is taken up again");
                recovered.push(found);
            }
        }
        Ok(recovered)
    }

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

    fn path(&self, home: &HomeId) -> PathBuf {
        let name = format!("{:016x}-{:x}", home.founder.0, home.serial);
        self.folder.join(name)
    }

    /// Writes a batch and syncs each file once.
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

    /// Writes a whole file beside the old one and puts it in its place.
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

/// A file that was made, renamed or removed is so for good once its folder is synced.
fn sync_folder(path: &Path) -> Result<(), JournalError> {
    let folder = File::open(path).context(FileSnafu { path })?;
    folder.sync_all().context(FileSnafu { path })
}

fn frame(value: &impl Serialize) -> Result<Vec<u8>, JournalError> {
    let payload = postcard::to_allocvec(value).context(EncodeSnafu)?;
    let len = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let mut buf = Vec::with_capacity(HEADER_LEN + payload.len());
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    buf.extend_from_slice(&payload);
    Ok(buf)
}

/// What a file holds.
struct Parsed {
    home: HomeId,
    ops: Vec<Op>,
    /// Bytes up to the end of the last whole frame.
    len: usize,
}

/// Reads a file; `None` if it is damaged elsewhere than at its end.
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

fn read_frame<T: DeserializeOwned>(buf: &[u8], at: usize) -> Option<(T, usize)> {
    let (payload, end) = payload(buf, at)?;
    Some((postcard::from_bytes(payload).ok()?, end))
}

fn is_frame(buf: &[u8], at: usize) -> bool {
    payload(buf, at).is_some_and(|(payload, _)| !payload.is_empty())
}

fn payload(buf: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let header = buf.get(at..at + HEADER_LEN)?;
    let (len, checksum) = header.split_at(4);
    let len = u32::from_le_bytes(len.try_into().ok()?) as usize;
    let start = at + HEADER_LEN;
    let payload = buf.get(start..start.checked_add(len)?)?;
    let checksum = u32::from_le_bytes(checksum.try_into().ok()?);
    (crc32fast::hash(payload) == checksum).then_some((payload, start + len))
}

/// Starts the duty that waits for the disk.
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
