//! The list in the platform's JSON format.

use std::net::SocketAddr;

use filberthead_types::{FailureDomain, NodeName, Region, ServiceName};
use serde::de::{Error as _, IgnoredAny};
use serde::{Deserialize, Deserializer};

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// An endpoint of a service.
    Endpoint,
    /// An entry of this system.
    Entry,
}

/// The state that the platform intends for a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It keeps running.
    Live,
    /// It is going to be stopped.
    Leaving,
}

/// A VM of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: NodeName,
    /// What runs on it.
    pub kind: Kind,
    /// The service that it runs; `None` unless it is an endpoint.
    #[serde(default, deserialize_with = "service")]
    pub service: Option<ServiceName>,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests; 0 if missing.
    #[serde(default)]
    pub slots: u32,
    /// Maximum number of connections; 0 if missing.
    #[serde(default)]
    pub connections: u32,
    /// The state that the platform intends for it.
    pub state: State,
}

/// The complete list.
pub type List = Vec<Vm>;

/// An item of the list. A malformed one must not make the others unreadable, because these
/// may be leaving.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(untagged)]
enum ListItem {
    Vm(Vm),
    Other(IgnoredAny),
}

/// Parses a list; also returns the number of malformed items that were skipped.
pub(crate) fn parse(buf: &[u8]) -> Result<(List, usize), serde_json::Error> {
    let items: Vec<ListItem> = serde_json::from_slice(buf)?;
    let total = items.len();
    let list: List = items.into_iter().filter_map(ListItem::into_vm).collect();
    let left_out = total - list.len();
    Ok((list, left_out))
}

impl ListItem {
    fn into_vm(self) -> Option<Vm> {
        match self {
            Self::Vm(vm) => Some(vm),
            Self::Other(_) => None,
        }
    }
}

/// Accepts an empty service as well as a missing one, as for entries.
fn service<'de, D: Deserializer<'de>>(de: D) -> Result<Option<ServiceName>, D::Error> {
    let text = Option::<String>::deserialize(de)?;
    match text.as_deref() {
        None | Some("") => Ok(None),
        Some(text) => text.parse().map(Some).map_err(D::Error::custom),
    }
}
