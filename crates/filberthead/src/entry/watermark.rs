//! The version that this entry is known to have acted on, kept on its disk.
//!
//! The proof that an entry asks for at its start covers what its failure domain knows.
//! It can't cover a version that only this entry had when it was stopped; an entry with
//! a data folder remembers that by itself.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use filberthead_types::Version;
use log::warn;

const FILE: &str = "version-in-force";
const TEMPORARY: &str = "version-in-force.tmp";

/// The file, if the entry has a data folder.
#[derive(Debug)]
pub(crate) struct Watermark {
    folder: Option<PathBuf>,
}

impl Watermark {
    /// Uses a folder, which is made if there is none.
    pub(crate) fn new(folder: Option<PathBuf>) -> Self {
        if let Some(folder) = &folder
            && let Err(e) = fs::create_dir_all(folder)
        {
            warn!(folder:? = folder, error:% = e; "the data folder can't be made");
        }
        Self { folder }
    }

    /// The version on the disk; 0 if there is none.
    ///
    /// A file that can't be read leaves the entry with the proof of its failure domain,
    /// as if it had no disk. That is no reason not to serve.
    pub(crate) fn load(&self) -> Version {
        let Some(folder) = &self.folder else {
            return Version::default();
        };
        match read(&folder.join(FILE)) {
            Ok(version) => version,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Version::default(),
            Err(e) => {
                warn!(folder:? = folder, error:% = e; "the version in force can't be read");
                Version::default()
            }
        }
    }

    /// Syncs a version. Must come before the entry acts on it.
    pub(crate) fn store(&self, version: Version) {
        if let Some(folder) = &self.folder
            && let Err(e) = write(folder, version)
        {
            warn!(folder:? = folder, error:% = e; "the version in force can't be stored");
        }
    }
}

fn read(path: &Path) -> io::Result<Version> {
    let text = fs::read_to_string(path)?;
    let number = text.trim().parse().map_err(io::Error::other)?;
    Ok(Version(number))
}

/// Replaces the file as a whole, so that a crash leaves the old one or the new one.
fn write(folder: &Path, version: Version) -> io::Result<()> {
    let temporary = folder.join(TEMPORARY);
    let mut f = File::create(&temporary)?;
    writeln!(f, "{version}")?;
    f.sync_all()?;
    fs::rename(&temporary, folder.join(FILE))?;
    File::open(folder)?.sync_all()
}
