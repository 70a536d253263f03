//! Bodies of requests, as JSON.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use filberthead_table::{Change, Danger, Edit, ProposalNumber, RowKey, RowValues, Verdict};
use filberthead_types::{ChangeId, NodeName, Region, ReplicaId, Revision, ServiceName};
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// An edit that says both, or neither, of `set` and `remove`.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("an edit needs either `set` with all values or `remove` as true"))]
pub struct EditShapeError;

/// One edited row.
///
/// To remove a row has to be said: a body that lost its `set` on the way through some
/// tool must not count as a removal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditBody {
    /// The service.
    pub service: ServiceName,
    /// The region.
    pub region: Region,
    /// Revision that the author saw; 0 for a row that never was.
    pub revision: Revision,
    /// All values of the row.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub set: Option<RowValues>,
    /// Whether the row is to go.
    #[serde(default)]
    pub remove: bool,
}

impl From<&Edit> for EditBody {
    fn from(edit: &Edit) -> Self {
        Self {
            service: edit.key.service.clone(),
            region: edit.key.region.clone(),
            revision: edit.expected_revision,
            set: edit.set,
            remove: edit.set.is_none(),
        }
    }
}

impl TryFrom<EditBody> for Edit {
    type Error = EditShapeError;

    fn try_from(body: EditBody) -> Result<Self, EditShapeError> {
        ensure!(body.set.is_some() != body.remove, EditShapeSnafu);
        let key = RowKey {
            service: body.service,
            region: body.region,
        };
        Ok(Self {
            key,
            expected_revision: body.revision,
            set: body.set,
        })
    }
}

/// Body of `POST /v1/changes` and `POST /v1/proposals`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// Drawn by the client; a resend carries the same.
    pub id: ChangeId,
    /// Why, for colleagues.
    #[serde(default)]
    pub note: String,
    /// The edited rows.
    pub edits: Vec<EditBody>,
    /// Dangers that are taken.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub allow: BTreeSet<Danger>,
    /// An open proposal that this one takes the place of. Not with a direct change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub supersedes: Option<ProposalNumber>,
}

impl ChangeBody {
    /// The change.
    ///
    /// # Errors
    ///
    /// Fails if an edit has no proper shape.
    pub(crate) fn into_change(self) -> Result<Change, EditShapeError> {
        let edits = self.edits.into_iter().map(Edit::try_from);
        Ok(Change {
            note: self.note,
            edits: edits.collect::<Result<_, _>>()?,
            allow: self.allow,
        })
    }
}

/// Body of `POST /v1/proposals/NUMBER/review`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReviewBody {
    /// Drawn by the client; a resend carries the same.
    pub id: ChangeId,
    /// `approve` or `reject`.
    pub verdict: Verdict,
    /// Why, for colleagues.
    #[serde(default)]
    pub note: String,
}

/// Body of `POST /v1/proposals/NUMBER/accept`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptBody {
    /// Drawn by the client; a resend carries the same.
    pub id: ChangeId,
    /// Why, for colleagues.
    #[serde(default)]
    pub note: String,
    /// Dangers that are taken, besides those that the author takes.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub allow: BTreeSet<Danger>,
}

/// Body of `POST /v1/proposals/NUMBER/withdraw` and `POST /v1/handover`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NoteBody {
    /// Drawn by the client; a resend carries the same.
    pub id: ChangeId,
    /// For colleagues.
    #[serde(default)]
    pub note: String,
}

/// Body of `POST /v1/control/add`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddReplicaBody {
    /// Drawn by the client; a resend carries the same.
    pub id: ChangeId,
    /// Identity of the new replica, from its `/v1/status`.
    pub replica: ReplicaId,
    /// Its name.
    pub name: NodeName,
    /// Where it takes messages of other processes.
    pub peer_addr: SocketAddr,
    /// Where it serves this API.
    pub operator_addr: SocketAddr,
}

/// Body of `POST /v1/control/initialise`, `/promote` and `/remove`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaBody {
    /// Drawn by the client; a resend carries the same.
    pub id: ChangeId,
    /// The replica. To initialise it must be the one that is asked, so that a wrong
    /// address doesn't make a second group.
    pub replica: ReplicaId,
}
