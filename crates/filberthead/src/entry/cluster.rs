//! What an entry knows of its cluster at a moment.

use std::net::SocketAddr;
use std::sync::Arc;

use filberthead_caller::StartNumber;
use filberthead_spread::MemberInfo;
use filberthead_spread::node::Readiness;
use filberthead_steer::EntryInfo;
use filberthead_table::View;
use filberthead_types::NodeName;
use tokio::sync::watch;

/// Table in force and live processes. Replaced as a whole on each change; a watch
/// channel holds the newest one, which is all that its readers want.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cluster {
    /// The table in force. Not to be acted on unless it is proven.
    pub(crate) view: Arc<View>,
    /// Whether it is.
    pub(crate) readiness: Readiness,
    /// Whether what the table lacks doesn't exist. Not so while this entry is cut off.
    pub(crate) current: bool,
    /// Start of the process that all of this belongs to, once callers may be answered.
    pub(crate) start: Option<StartNumber>,
    /// The live entries, this one included, those that are leaving too.
    pub(crate) entries: Vec<MemberInfo>,
    /// Where the control replica that leads takes messages, if known.
    pub(crate) control: Option<SocketAddr>,
}

/// Reads the newest [`Cluster`].
pub(crate) type ClusterReader = watch::Receiver<Arc<Cluster>>;

impl Cluster {
    /// Where a live entry takes messages.
    pub(crate) fn peer_addr(&self, name: &NodeName) -> Option<SocketAddr> {
        let member = self.entries.iter().find(|member| member.name == *name)?;
        Some(member.peer_addr)
    }

    /// The live entries as steering wants them.
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
