//! Snapshot of the cluster as this entry sees it.

use std::net::SocketAddr;
use std::sync::Arc;

use filberthead_caller::StartNumber;
use filberthead_spread::MemberInfo;
use filberthead_spread::node::Readiness;
use filberthead_steer::EntryInfo;
use filberthead_table::View;
use filberthead_types::NodeName;
use tokio::sync::watch;

/// The table in force and the live processes. Immutable: each change publishes a new one
/// on a watch channel, whose readers need the newest only.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cluster {
    /// The table in force. Must not be acted on unless `readiness` is `Proven`.
    pub(crate) view: Arc<View>,
    /// Whether the table is proven.
    pub(crate) readiness: Readiness,
    /// Whether the table is known to be the newest, so that a service missing from it
    /// doesn't exist. False while this entry is cut off.
    pub(crate) current: bool,
    /// The start of the process that this snapshot belongs to; `None` while callers may
    /// not be answered.
    pub(crate) start: Option<StartNumber>,
    /// The live entries, including this one and those that are leaving.
    pub(crate) entries: Vec<MemberInfo>,
    /// Peer address of the leading control replica, if known.
    pub(crate) control: Option<SocketAddr>,
}

/// Reads the newest [`Cluster`].
pub(crate) type ClusterReader = watch::Receiver<Arc<Cluster>>;

impl Cluster {
    /// Peer address of a live entry; `None` if no live entry has that name.
    pub(crate) fn peer_addr(&self, name: &NodeName) -> Option<SocketAddr> {
        let member = self.entries.iter().find(|member| member.name == *name)?;
        Some(member.peer_addr)
    }

    /// The live entries, converted for steering.
    pub(crate) fn entry_infos(&self) -> Vec<EntryInfo> {
        let info = |member: &MemberInfo| EntryInfo {
            name: member.name.clone(),
            incarnation: member.incarnation,
            caller_addr: member.caller_addr,
            region: member.region.clone(),
            failure_domain: member.failure_domain.clone(),
            leaving: member.leaving,
        };
        self.entries.iter().map(info).collect()
    }
}
