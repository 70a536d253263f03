//! File operations in a data folder, among them atomic replacement.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use snafu::ResultExt;

use crate::error::{IoSnafu, StorageError};

const TEMPORARY_SUFFIX: &str = ".tmp";

/// Syncs a file or folder; tests replace it to inject failures.
#[doc(hidden)]
pub trait FileSync: Send {
    /// Returns once the content and length of `file` are on disk.
    ///
    /// # Errors
    ///
    /// Fails if the system reports that they may not be.
    fn sync(&mut self, file: &File) -> io::Result<()>;
}

/// The sync of the operating system.
#[doc(hidden)]
#[derive(Debug)]
pub struct KernelSync;

impl FileSync for KernelSync {
    fn sync(&mut self, file: &File) -> io::Result<()> {
        file.sync_data()
    }
}

/// A folder and the sync used for its files.
pub(crate) struct Folder {
    path: PathBuf,
    sync: Box<dyn FileSync>,
}

impl Folder {
    /// Opens a folder, creating it if needed.
    pub(crate) fn open(path: &Path, sync: Box<dyn FileSync>) -> Result<Self, StorageError> {
        let is_new = !path.exists();
        let action = "create";
        fs::create_dir_all(path).context(IoSnafu { action, path })?;
        let mut folder = Self {
            path: path.to_owned(),
            sync,
        };
        // Otherwise a power loss could lose the folder with all that was synced in it.
        if let Some(parent) = path.parent().filter(|_| is_new) {
            folder.sync_directory(parent)?;
        }
        Ok(folder)
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    pub(crate) fn file_path(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Names of the files that start with `prefix`, in ascending order, without temporary ones.
    pub(crate) fn file_names(&self, prefix: &str) -> Result<Vec<String>, StorageError> {
        let mut names = self.list()?;
        names.retain(|name| name.starts_with(prefix) && !name.ends_with(TEMPORARY_SUFFIX));
        Ok(names)
    }

    /// Names of all files, in ascending order.
    fn list(&self) -> Result<Vec<String>, StorageError> {
        let action = "list";
        let path = &self.path;
        let mut names = Vec::new();
        for entry in fs::read_dir(path).context(IoSnafu { action, path })? {
            let entry = entry.context(IoSnafu { action, path })?;
            names.push(entry.file_name().to_string_lossy().into_owned());
        }
        names.sort_unstable();
        Ok(names)
    }

    /// Removes temporary files that a crash left behind.
    pub(crate) fn remove_temporary(&self) -> Result<(), StorageError> {
        let mut names = self.list()?;
        names.retain(|name| name.ends_with(TEMPORARY_SUFFIX));
        self.remove(&names)
    }

    /// Content of a file, or `None` if it doesn't exist.
    pub(crate) fn read(&self, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
        let path = self.file_path(name);
        let mut file = match File::open(&path) {
            Ok(file) => file,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => {
                let action = "open";
                return Err(e).context(IoSnafu { action, path });
            }
        };
        let mut buf = Vec::new();
        let action = "read";
        file.read_to_end(&mut buf)
            .context(IoSnafu { action, path })?;
        Ok(Some(buf))
    }

    /// Atomically creates or replaces a file and syncs it. Returns it open for appending.
    pub(crate) fn write_atomically(
        &mut self,
        name: &str,
        content: &[u8],
    ) -> Result<File, StorageError> {
        let temporary = self.file_path(&format!("{name}{TEMPORARY_SUFFIX}"));
        let path = self.file_path(name);
        let io = |action| {
            let path = temporary.clone();
            IoSnafu { action, path }
        };
        let mut file = File::create(&temporary).context(io("create"))?;
        file.write_all(content).context(io("write"))?;
        self.sync.sync(&file).context(io("sync"))?;
        fs::rename(&temporary, &path).context(io("rename"))?;
        self.sync_directory(&self.path.clone())?;
        self.open_append(name)
    }

    pub(crate) fn open_append(&self, name: &str) -> Result<File, StorageError> {
        let path = self.file_path(name);
        let action = "open";
        OpenOptions::new()
            .append(true)
            .open(&path)
            .context(IoSnafu { action, path })
    }

    /// Opens a file to overwrite in place without a sync; creates it if needed.
    pub(crate) fn open_in_place(&self, name: &str) -> Result<File, StorageError> {
        let path = self.file_path(name);
        let action = "open";
        OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)
            .context(IoSnafu { action, path })
    }

    pub(crate) fn sync(&mut self, file: &File, name: &str) -> Result<(), StorageError> {
        let path = self.file_path(name);
        let action = "sync";
        self.sync.sync(file).context(IoSnafu { action, path })
    }

    /// Removes obsolete files. The folder isn't synced: one that reappears after a crash is
    /// removed at the next start.
    pub(crate) fn remove(&self, names: &[String]) -> Result<(), StorageError> {
        for name in names {
            let path = self.file_path(name);
            let action = "remove";
            fs::remove_file(&path).context(IoSnafu { action, path })?;
        }
        Ok(())
    }

    /// Syncs a directory. Without this, a renamed file may be lost in a power loss although its
    /// content was synced.
    fn sync_directory(&mut self, path: &Path) -> Result<(), StorageError> {
        let action = "open";
        let folder = File::open(path).context(IoSnafu { action, path })?;
        let action = "sync";
        self.sync.sync(&folder).context(IoSnafu { action, path })
    }
}

impl std::fmt::Debug for Folder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Folder").field(&self.path).finish()
    }
}
