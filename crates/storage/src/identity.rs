//! The identity of a replica, stored in its data folder.
//!
//! It is generated at random when the folder is created and stored nowhere else: a replica
//! whose disk was wiped has lost its votes and acknowledgements, so it must return under a
//! new identity that no other replica relies on.

use filberthead_types::ReplicaId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::error::{IdentityMissingSnafu, OtherClusterSnafu, StorageError, damaged};
use crate::files::Folder;
use crate::record::{self, Decoded};

const IDENTITY_FILE: &str = "identity";
const FORMAT: u32 = 1;

#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct Identity {
    format: u32,
    replica: ReplicaId,
    cluster: String,
}

/// Reads the identity of the folder, or generates one if the folder is new. `has_state`:
/// the folder holds a log or snapshot, so a missing identity is an error.
pub(crate) fn load_or_create(
    folder: &mut Folder,
    cluster: &str,
    has_state: bool,
) -> Result<ReplicaId, StorageError> {
    let Some(buf) = folder.read(IDENTITY_FILE)? else {
        return create(folder, cluster, has_state);
    };
    let path = folder.file_path(IDENTITY_FILE);
    let identity = match record::decode::<Identity>(&buf, 0) {
        Decoded::Record { value, next, .. } if next == buf.len() => value,
        _ => {
            return Err(damaged(path, 0, "no valid identity"));
        }
    };
    if identity.format != FORMAT {
        return Err(damaged(path, 0, "unknown format"));
    }
    if identity.cluster != cluster {
        return OtherClusterSnafu {
            path: folder.path(),
            found: identity.cluster,
            expected: cluster,
        }
        .fail();
    }
    Ok(identity.replica)
}

fn create(folder: &mut Folder, cluster: &str, has_state: bool) -> Result<ReplicaId, StorageError> {
    if has_state {
        let path = folder.path();
        return IdentityMissingSnafu { path }.fail();
    }
    let replica = ReplicaId(StdRng::from_os_rng().random());
    let identity = Identity {
        format: FORMAT,
        replica,
        cluster: cluster.to_owned(),
    };
    folder.write_atomically(IDENTITY_FILE, &record::encode(0, &identity)?)?;
    Ok(replica)
}
