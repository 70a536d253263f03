//! Workspaces: who may send requests, identified by API keys, and how many.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use filberthead_types::{Region, Workspace as WorkspaceName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a key's digest that are kept: enough that no two keys of a table share one.
const DIGEST_BYTES: usize = 16;

/// Digest of an API key. Gateways hold digests only, so that neither their memory nor a message
/// on the way to them discloses a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a key: the first half of its SHA-256.
    pub fn of(key: &[u8]) -> Self {
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&Sha256::digest(key)[..DIGEST_BYTES]);
        Self(digest)
    }

    /// The digest as hexadecimal digits, for messages between gateways.
    pub fn to_hex(self) -> String {
        format!("{:032x}", u128::from_be_bytes(self.0))
    }

    /// Reads what [`to_hex`](Self::to_hex) returns.
    pub fn from_hex(text: &str) -> Option<Self> {
        let digits = text.len() == 2 * DIGEST_BYTES;
        let number = u128::from_str_radix(text, 16).ok().filter(|_| digits)?;
        Some(Self(number.to_be_bytes()))
    }
}

/// Prints nothing of the digest: with it, a guessed key could be verified.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// How many requests of a workspace may be sent to endpoints, summed over all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Allotment {
    /// Requests per second. Positive and finite.
    pub rate: f64,
    /// Requests that may exceed the rate at once. Finite and not negative.
    pub burst: f64,
}

/// A workspace and the properties of its requests.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Workspace {
    /// Its name. Endpoints receive it with each request.
    pub name: WorkspaceName,
    /// Digests of the keys that identify its callers.
    pub keys: Vec<KeyDigest>,
    /// The only regions where its requests may run; empty allows all.
    pub regions: Vec<Region>,
    /// Priority of its requests, which takes precedence over that of their routes; 0 is the
    /// highest. `None` leaves it to the routes.
    pub priority: Option<u8>,
    /// Limit of its requests; `None` allows any number.
    pub allotment: Option<Allotment>,
}

/// Finds the workspace that holds a key.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    workspaces: HashMap<KeyDigest, Arc<Workspace>>,
}

impl KeyIndex {
    /// Indexes the workspaces of a table.
    pub fn new<'a>(workspaces: impl IntoIterator<Item = &'a Arc<Workspace>>) -> Self {
        let keys_of = |workspace: &'a Arc<Workspace>| {
            let keys = workspace.keys.iter();
            keys.map(move |key| (*key, Arc::clone(workspace)))
        };
        Self {
            workspaces: workspaces.into_iter().flat_map(keys_of).collect(),
        }
    }

    /// The workspace that holds this key.
    pub fn find(&self, key: KeyDigest) -> Option<&Arc<Workspace>> {
        self.workspaces.get(&key)
    }
}
