//! The record of a case: one line for each event, with the time since its start.

use std::fmt::Display;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Writes events to a file. Clones share it.
#[derive(Clone, Debug)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates the file.
    ///
    /// # Panics
    ///
    /// Panics if it can't be created.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be created");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        }
    }

    /// Writes an event.
    pub fn write(&self, event: impl Display) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        writeln!(file, "{at:8.3} {event}").expect("the record can be written");
    }

    /// Writes what is buffered.
    pub fn flush(&self) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        file.flush().expect("the record can be written");
    }
}
