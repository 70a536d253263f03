//! Watermark on disk: the newest table version that this entry has acted on.
//!
//! At its start an entry requests a proof that its table is at least as new as any that
//! its failure domain has. The proof can't cover a version that only this entry had when
//! it was stopped; an entry with a data folder therefore stores that version itself.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use filberthead_types::Version;
use log::warn;

const FILE: &str = "version-in-force";
const TEMPORARY: &str = "version-in-force.tmp";

/// The watermark's file in the data folder; does nothing without a data folder.
#[derive(Debug)]
pub(crate) struct Watermark {
    folder: Option<PathBuf>,
}

impl Watermark {
    /// Uses `folder`, which is created if it doesn't exist.
    pub(crate) fn new(folder: Option<PathBuf>) -> Self {
        if let Some(folder) = &folder
            && let Err(e) = fs::create_dir_all(folder)
        {
            warn!(folder:? = folder, error:% = e; "the data folder can't be created");
        }
        Self { folder }
    }

    /// Reads the version from disk; 0 if there is none.
    ///
    /// If the file can't be read, the entry relies on the proof of its failure domain
    /// alone, as an entry without a data folder does, and still serves.
    pub(crate) fn load(&self) -> Version {
        let Some(folder) = &self.folder else {
            return Version::default();
        };
        match read(&folder.join(FILE)) {
            Ok(version) => version,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Version::default(),
            Err(e) => {
                warn!(folder:? = folder, error:% = e; "the table version on disk can't be read");
                Version::default()
            }
        }
    }

    /// Writes a version and syncs it. Must be called before the entry acts on it.
    pub(crate) fn store(&self, version: Version) {
        if let Some(folder) = &self.folder
            && let Err(e) = write(folder, version)
        {
            warn!(folder:? = folder, error:% = e; "the table version can't be stored on disk");
        }
    }
}

fn read(path: &Path) -> io::Result<Version> {
    let text = fs::read_to_string(path)?;
    let number = text.trim().parse().map_err(io::Error::other)?;
    Ok(Version(number))
}

/// Replaces the file atomically, so that a crash leaves either the old or the new one.
fn write(folder: &Path, version: Version) -> io::Result<()> {
    let temporary = folder.join(TEMPORARY);
    let mut f = File::create(&temporary)?;
    writeln!(f, "{version}")?;
    f.sync_all()?;
    fs::rename(&temporary, folder.join(FILE))?;
    File::open(folder)?.sync_all()
}
