//! Bearer tokens, stored as salted hashes in a file.
//!
//! A token is 256 random bits, so salted SHA-256 is enough; slow password hashes are
//! needed only for secrets that can be guessed. The salt prevents two files from showing
//! that they share a token. Every line is compared in constant time, so that response
//! times don't reveal how close a guess was.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::SystemTime;

use filberthead_table::{MAX_NAME_BYTES, Role};
use filberthead_types::ServiceName;
use log::error;
use sha2::{Digest, Sha256};
use snafu::{ResultExt, Snafu};
use subtle::ConstantTimeEq;

const SALT_BYTES: usize = 16;
const SECRET_BYTES: usize = 32;
const HASH_BYTES: usize = 32;
/// Maximum number of tokens in a file; bounded because each request is compared with all.
const MAX_TOKENS: usize = 256;
/// Maximum size of a tokens file, in bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// Prefix of every secret, by which secret scanners find one in a log or a repository.
const SECRET_PREFIX: &str = "fht_";

/// All faults of a tokens file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("{}", join_faults(faults)))]
pub struct TokensError {
    /// Line number, from 1, and the fault of the line; 0 for a fault of the whole file.
    pub faults: Vec<(usize, String)>,
}

fn join_faults(faults: &[(usize, String)]) -> String {
    let lines: Vec<_> = faults
        .iter()
        .map(|(line, fault)| format!("line {line}: {fault}"))
        .collect();
    lines.join("; ")
}

/// The operator and the permissions of a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Grant {
    pub(crate) name: String,
    pub(crate) role: Role,
    /// Services that it may change; `None` for all services and the replica group.
    pub(crate) services: Option<BTreeSet<ServiceName>>,
}

#[derive(Clone)]
struct Entry {
    grant: Arc<Grant>,
    salt: [u8; SALT_BYTES],
    hash: [u8; HASH_BYTES],
}

/// The tokens of a file.
#[derive(Clone, Default)]
pub struct Tokens {
    entries: Vec<Entry>,
}

impl fmt::Debug for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = self.entries.iter().map(|entry| &entry.grant.name);
        f.debug_list().entries(names).finish()
    }
}

impl Tokens {
    /// Parses lines of `NAME ROLE SALT:HASH [SERVICE,SERVICE...]`; skips empty lines and
    /// lines that start with `#`.
    ///
    /// # Errors
    ///
    /// Returns the faults of all lines. A file with any bad line is rejected as a whole,
    /// so that a typo can't drop a line that limits a token.
    pub fn parse(text: &str) -> Result<Self, TokensError> {
        let mut entries = Vec::new();
        let mut faults = Vec::new();
        let mut line_of_name = BTreeMap::new();
        for (number, line) in (1..).zip(text.lines()) {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            match parse_line(line) {
                Ok(entry) => {
                    if let Some(first) = line_of_name.insert(entry.grant.name.clone(), number) {
                        let name = &entry.grant.name;
                        faults.push((number, format!("{name} is already on line {first}")));
                    }
                    entries.push(entry);
                }
                Err(fault) => faults.push((number, fault)),
            }
        }
        if entries.len() > MAX_TOKENS {
            faults.push((0, format!("more than {MAX_TOKENS} tokens")));
        }
        if faults.is_empty() {
            Ok(Self { entries })
        } else {
            Err(TokensError { faults })
        }
    }

    /// The grant of a secret; `None` if no line matches.
    pub(crate) fn find(&self, secret: &str) -> Option<Arc<Grant>> {
        let mut found = None;
        for entry in &self.entries {
            let hash = hash_secret(&entry.salt, secret);
            if bool::from(hash.ct_eq(&entry.hash)) {
                found = Some(Arc::clone(&entry.grant));
            }
        }
        found
    }
}

fn parse_line(line: &str) -> Result<Entry, String> {
    let words: Vec<_> = line.split_whitespace().collect();
    let (name, role, hashed, services) = match *words.as_slice() {
        [name, role, hashed] => (name, role, hashed, None),
        [name, role, hashed, services] => (name, role, hashed, Some(services)),
        _ => return Err("a line must be NAME ROLE SALT:HASH [SERVICE,...]".to_owned()),
    };
    if name.len() > MAX_NAME_BYTES {
        return Err(format!("the name is longer than {MAX_NAME_BYTES} bytes"));
    }
    let role: Role = role.parse().map_err(|e| format!("{e}"))?;
    let malformed =
        || format!("SALT:HASH must be {SALT_BYTES} and {HASH_BYTES} bytes in hexadecimal");
    let (salt_text, hash_text) = hashed.split_once(':').ok_or_else(malformed)?;
    let mut salt = [0; SALT_BYTES];
    let mut hash = [0; HASH_BYTES];
    hex::decode_to_slice(salt_text, &mut salt).map_err(|_| malformed())?;
    hex::decode_to_slice(hash_text, &mut hash).map_err(|_| malformed())?;
    let services = services.map(parse_services).transpose()?;
    let grant = Arc::new(Grant {
        name: name.to_owned(),
        role,
        services,
    });
    Ok(Entry { grant, salt, hash })
}

fn parse_services(list: &str) -> Result<BTreeSet<ServiceName>, String> {
    let names = list.split(',').map(str::parse);
    names.collect::<Result<_, _>>().map_err(|e| format!("{e}"))
}

fn hash_secret(salt: &[u8], secret: &str) -> [u8; HASH_BYTES] {
    let hasher = Sha256::new().chain_update(salt);
    hasher.chain_update(secret.as_bytes()).finalize().into()
}

/// A newly generated token.
pub struct NewToken {
    /// The secret, which is not stored and so can be shown only once.
    pub secret: String,
    /// The line to add to the tokens file.
    pub line: String,
}

impl NewToken {
    /// Generates a token.
    ///
    /// # Errors
    ///
    /// Fails if the line would be rejected in a tokens file.
    pub fn generate(name: &str, role: Role, services: &[ServiceName]) -> Result<Self, TokensError> {
        let secret_bytes: [u8; SECRET_BYTES] = rand::random();
        let salt: [u8; SALT_BYTES] = rand::random();
        let secret = format!("{SECRET_PREFIX}{}", hex::encode(secret_bytes));
        let hash = hex::encode(hash_secret(&salt, &secret));
        let mut line = format!("{name} {role} {}:{hash}", hex::encode(salt));
        if !services.is_empty() {
            let names: Vec<_> = services.iter().map(ServiceName::as_str).collect();
            line.push(' ');
            line.push_str(&names.join(","));
        }
        // A name with a line break would give two lines, one that starts with `#` none.
        if Tokens::parse(&line)?.entries.len() != 1 {
            let faults = vec![(1, format!("`{name}` is no name for an operator"))];
            return Err(TokensError { faults });
        }
        Ok(Self { secret, line })
    }
}

/// A tokens file can't be used.
#[derive(Debug)]
#[derive(Snafu)]
pub enum TokenSourceError {
    /// The file can't be read.
    #[snafu(display("can't read the tokens file {}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is too large.
    #[snafu(display("the tokens file {} is over {MAX_FILE_BYTES} bytes", path.display()))]
    Oversize {
        /// The file.
        path: PathBuf,
    },
    /// The file has bad lines.
    #[snafu(display("the tokens file {} is not used: {source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Faults of the lines.
        source: TokensError,
    },
}

/// Modification time and size of a file, by which a change is detected.
type FileStamp = (SystemTime, u64);

/// A tokens file that is reloaded when it changes, so that tokens can be added and
/// revoked without a restart.
#[derive(Debug)]
pub struct TokenSource {
    path: PathBuf,
    current: Mutex<(Option<FileStamp>, Tokens)>,
}

impl TokenSource {
    /// Loads the file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or has a bad line.
    pub fn open(path: impl Into<PathBuf>) -> Result<Self, TokenSourceError> {
        let path = path.into();
        let stamp = file_stamp(&path);
        let tokens = read(&path)?;
        Ok(Self {
            path,
            current: Mutex::new((stamp, tokens)),
        })
    }

    /// The tokens of the current file.
    ///
    /// If the file has become unreadable or has a bad line, no token is valid. Keeping the
    /// earlier tokens would keep a just revoked one valid, visible only in the log.
    pub(crate) fn current(&self) -> Tokens {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        let stamp = file_stamp(&self.path);
        if stamp.is_some() && current.0 == stamp {
            return current.1.clone();
        }
        let tokens = read(&self.path).unwrap_or_else(|e| {
            error!("no token is valid until the tokens file is fixed: {e}");
            Tokens::default()
        });
        *current = (stamp, tokens);
        current.1.clone()
    }
}

fn file_stamp(path: &Path) -> Option<FileStamp> {
    let metadata = std::fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}

fn read(path: &Path) -> Result<Tokens, TokenSourceError> {
    let metadata = std::fs::metadata(path).context(ReadSnafu { path })?;
    if metadata.len() > MAX_FILE_BYTES {
        return OversizeSnafu { path }.fail();
    }
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    Tokens::parse(&text).context(MalformedSnafu { path })
}
