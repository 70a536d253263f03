//! The list as the platform writes it.

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

/// What the platform has in mind for a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It stays.
    Live,
    /// It is to go.
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
    /// The service that it runs, if it is an endpoint.
    #[serde(default, deserialize_with = "service")]
    pub service: Option<ServiceName>,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it runs at the same time.
    #[serde(default)]
    pub slots: u32,
    /// Connections that it accepts.
    #[serde(default)]
    pub connections: u32,
    /// What the platform has in mind for it.
    pub state: State,
}

/// The whole list.
pub type List = Vec<Vm>;

/// A line of the list. One that can't be understood must not hide all the others, which
/// may be leaving.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(untagged)]
enum ListItem {
    Vm(Vm),
    Other(IgnoredAny),
}

/// Reads a list; also tells how many of its lines were left out as malformed.
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

/// An entry's line may have an empty service as well as none.
fn service<'de, D: Deserializer<'de>>(de: D) -> Result<Option<ServiceName>, D::Error> {
    let text = Option::<String>::deserialize(de)?;
    match text.as_deref() {
        None | Some("") => Ok(None),
        Some(text) => text.parse().map(Some).map_err(D::Error::custom),
    }
}
