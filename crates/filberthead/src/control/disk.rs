//! The disk duty: the only one that waits for the log's disk.
//!
//! A full or failing disk takes the replica out of service, but doesn't end the process. The
//! replica drops its in-memory state, as in a restart, and starts again from the data folder once
//! that is writable. Ending the process instead would have it restarted over and over for as long
//! as the disk is full.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use filberthead_consensus::Members;
use filberthead_observe::ControlMetrics;
use filberthead_ring::{PushError, Receiver, Sender};
use filberthead_storage::{Disk, StorageError};
use log::{error, info};
use tokio::time::{Instant, sleep};

use super::input::{DiskJob, InitialiseError, Input};
use crate::stop::Stop;
use crate::{Duty, DutyError};

/// How often a failed data folder is opened again.
const REOPEN_PERIOD: Duration = Duration::from_millis(300);

/// How long the disk must be idle before a note is written: orders come in bursts, each waits for
/// the log's sync, and only the last note counts.
const NOTE_DELAY: Duration = Duration::from_millis(20);

/// Location and cluster name of the data folder.
#[derive(Clone, Debug)]
pub(crate) struct DataFolder {
    pub(crate) folder: PathBuf,
    pub(crate) cluster: String,
}

/// Starts the duty.
pub(crate) fn spawn(
    (disk, data_folder): (Disk, DataFolder),
    rx: Receiver<DiskJob>,
    tx: Sender<Input>,
    metrics: Arc<ControlMetrics>,
    stop: Stop,
) -> Result<Duty, DutyError> {
    let duty = DiskDuty {
        disk: Some(disk),
        data_folder,
        epoch: 0,
        note: None,
        tx,
        metrics,
    };
    Duty::spawn("disk", move || duty.run(rx, stop))
}

struct DiskDuty {
    /// `None` while the folder can't be written.
    disk: Option<Disk>,
    data_folder: DataFolder,
    /// Number of recoveries of the data folder.
    epoch: u64,
    /// The newest note that isn't written yet.
    note: Option<Vec<u8>>,
    tx: Sender<Input>,
    metrics: Arc<ControlMetrics>,
}

impl DiskDuty {
    async fn run(mut self, mut rx: Receiver<DiskJob>, mut stop: Stop) {
        loop {
            tokio::select! {
                job = rx.recv() => match job {
                    Some(job) => self.run_job(job).await,
                    None => return,
                },
                () = sleep(REOPEN_PERIOD), if self.disk.is_none() => self.reopen().await,
                () = sleep(NOTE_DELAY), if self.disk.is_some() && self.note.is_some() => {
                    self.write_note().await;
                }
                () = stop.wait() => return,
            }
        }
    }

    async fn run_job(&mut self, job: DiskJob) {
        let Some(disk) = &mut self.disk else {
            // No reply that depends on this job has been sent.
            return;
        };
        let result = match job {
            DiskJob::Persist { epoch, .. } if epoch != self.epoch => return,
            DiskJob::Persist { persist, .. } => {
                let started = Instant::now();
                let result = disk.persist(&persist);
                self.metrics.record_sync(started.elapsed());
                result.map(|()| Some(Input::Persisted { seq: persist.seq }))
            }
            DiskJob::WriteNote(note) => {
                self.note = Some(note);
                Ok(None)
            }
            DiskJob::Initialise { members, reply } => {
                let result = initialise(disk, &members);
                let answer = match &result {
                    Ok(_) => Ok(()),
                    Err(StorageError::BootstrapConflict { .. }) => {
                        Err(InitialiseError::AlreadyInitialised)
                    }
                    Err(e) => Err(InitialiseError::Storage(e.to_string())),
                };
                // The operator may have disconnected; a resend gets the same answer.
                let _ = reply.send(answer);
                match result {
                    Err(StorageError::BootstrapConflict { .. }) => Ok(None),
                    other => other.map(Some),
                }
            }
        };
        match result {
            Ok(input) => {
                if let Some(input) = input {
                    self.report(input).await;
                }
            }
            Err(e) => self.fail(&e).await,
        }
    }

    async fn write_note(&mut self) {
        let (Some(disk), Some(note)) = (&mut self.disk, self.note.take()) else {
            return;
        };
        if let Err(e) = disk.write_note(&note) {
            self.fail(&e).await;
        }
    }

    /// Closes the data folder until it can be opened again. After a failed sync it is unknown what
    /// the disk holds, and another sync may falsely succeed, so the open files aren't used again.
    async fn fail(&mut self, error: &StorageError) {
        error!(error:% = error, cause:? = std::error::Error::source(error);
            "the data folder failed");
        self.disk = None;
        self.report(Input::DiskFailed).await;
    }

    async fn reopen(&mut self) {
        let DataFolder { folder, cluster } = &self.data_folder;
        let reopened = Disk::reopen(folder, cluster).and_then(|disk| Ok((disk.load()?, disk)));
        match reopened {
            Ok((durable, disk)) => {
                info!(replica:% = disk.replica(); "the data folder works again");
                self.epoch += 1;
                self.disk = Some(disk);
                let epoch = self.epoch;
                self.report(Input::DiskRecovered { epoch, durable }).await;
            }
            Err(e) => log::debug!(error:% = e; "the data folder still fails"),
        }
    }

    async fn report(&self, input: Input) {
        let mut input = input;
        while let Err(PushError::Full(back)) = self.tx.push(input) {
            input = back;
            tokio::task::yield_now().await;
        }
    }
}

fn initialise(disk: &mut Disk, members: &Members) -> Result<Input, StorageError> {
    disk.bootstrap(members, Vec::new())?;
    Ok(Input::Initialised(disk.load()?))
}
