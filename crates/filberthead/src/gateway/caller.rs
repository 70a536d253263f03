//! Who sent a request, and the charge of the request to the caller's workspace.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_allot::Admission;
use filberthead_endpoint::RequestBody;
use filberthead_route::{KeyDigest, Workspace};
use filberthead_types::{Fingerprint, Region, ServiceName, Workspace as WorkspaceName};
use http::request::Parts;
use http::{HeaderMap, HeaderName};

use super::core::{ActiveRoutes, Core};
use crate::fingerprint::fingerprint;

/// Who sent a request.
#[derive(Clone, Debug)]
pub(crate) enum Caller {
    /// Nobody in particular: the route needs no key.
    Anonymous,
    /// A caller of a workspace.
    Known {
        workspace: Arc<Workspace>,
        /// Digest of the key that identifies the caller.
        key: KeyDigest,
    },
}

/// The request needs a key, and has none, several, or one that no workspace holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnknownCaller;

impl Caller {
    /// Identifies the caller by the key in header `name`. On a public route any key is optional.
    pub(crate) fn identify(
        routes: &ActiveRoutes,
        headers: &HeaderMap,
        name: &HeaderName,
        public: bool,
    ) -> Result<Self, UnknownCaller> {
        let key = single_value(headers, name).map(KeyDigest::of);
        Self::identify_by(routes, key, public)
    }

    /// Identifies the caller by the digest of its key. On a public route any key is optional.
    pub(crate) fn identify_by(
        routes: &ActiveRoutes,
        key: Option<KeyDigest>,
        public: bool,
    ) -> Result<Self, UnknownCaller> {
        if !routes.needs_keys {
            return Ok(Self::Anonymous);
        }
        let found = key.and_then(|key| Some((key, Arc::clone(routes.keys.find(key)?))));
        match found {
            Some((key, workspace)) => Ok(Self::Known { workspace, key }),
            None if public => Ok(Self::Anonymous),
            None => Err(UnknownCaller),
        }
    }

    /// Whether newer routes still identify the caller by the same key as of the same workspace.
    pub(crate) fn is_known_to(&self, routes: &ActiveRoutes) -> bool {
        match self {
            Self::Anonymous => true,
            Self::Known { workspace, key } => {
                let holder = routes.keys.find(*key);
                holder.is_some_and(|holder| holder.name == workspace.name)
            }
        }
    }

    /// Digest of the caller's key.
    pub(crate) fn key(&self) -> Option<KeyDigest> {
        match self {
            Self::Anonymous => None,
            Self::Known { key, .. } => Some(*key),
        }
    }

    /// Name of the caller's workspace.
    pub(crate) fn workspace(&self) -> Option<&WorkspaceName> {
        match self {
            Self::Anonymous => None,
            Self::Known { workspace, .. } => Some(&workspace.name),
        }
    }

    /// Fingerprint of a request as this caller's, who is known by the workspace or else by the address
    /// `ip`.
    pub(crate) fn fingerprint(
        &self,
        service: &ServiceName,
        head: &Parts,
        body: &RequestBody,
        ip: IpAddr,
    ) -> Fingerprint {
        let ip = match ip.to_canonical() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped(),
            IpAddr::V6(ip) => ip,
        };
        let workspace = self.workspace().map(|name| name.as_str().as_bytes());
        fingerprint(service, head, body, workspace.unwrap_or(&ip.octets()))
    }

    /// Priority of the workspace, which takes precedence over that of the route.
    pub(crate) fn priority(&self) -> Option<u8> {
        match self {
            Self::Anonymous => None,
            Self::Known { workspace, .. } => workspace.priority,
        }
    }

    /// The only regions where the workspace's requests may run; empty allows all.
    pub(crate) fn regions(&self) -> &[Region] {
        match self {
            Self::Anonymous => &[],
            Self::Known { workspace, .. } => &workspace.regions,
        }
    }
}

/// The header's value if it occurs once and isn't empty.
fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a [u8]> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?.as_bytes();
    (values.next().is_none() && !value.is_empty()).then_some(value)
}

/// What a request takes of its workspace's allotment: one unit for each attempt. Dropped, what is unspent of
/// it is given back.
pub(crate) struct Charge<'a> {
    core: &'a Core,
    /// `None` if the caller belongs to no workspace.
    workspace: Option<&'a WorkspaceName>,
    /// Units that no attempt was started with, or that came back from one that no endpoint has run.
    unspent: u32,
    /// Units that were taken here. Another gateway gives its own back.
    taken: u32,
    /// Service and expected work, while contention control is on.
    work: Option<(&'a ServiceName, Duration)>,
}

/// Why a request isn't admitted, and the time after which it may be.
#[derive(Clone, Copy, Debug)]
pub(crate) enum NotAdmitted {
    /// The workspace has used up its allotment.
    Allotment(Duration),
    /// The service is short of capacity, and the workspace has had its share of it.
    Share(Duration),
}

impl<'a> Charge<'a> {
    /// Takes one unit from the caller's allotment, if the workspace's share of the service also has room
    /// for it.
    pub(crate) fn take(
        core: &'a Core,
        caller: &'a Caller,
        (service, priority): (&'a ServiceName, u8),
    ) -> Result<Self, NotAdmitted> {
        let workspace = caller.workspace();
        let mut charge = Self {
            core,
            workspace,
            unspent: 0,
            taken: 0,
            work: None,
        };
        if let Some(workspace) = workspace {
            if let Admission::Refused { retry_after } = core.admit(workspace) {
                return Err(NotAdmitted::Allotment(retry_after));
            }
            // Dropped when the share is used, the charge gives the unit back.
            (charge.unspent, charge.taken) = (1, 1);
            let work = core.admit_share(service, workspace, priority);
            let work = work.map_err(NotAdmitted::Share)?;
            charge.work = work.map(|work| (service, work));
        }
        (charge.unspent, charge.taken) = (1, 1);
        Ok(charge)
    }

    /// The charge of a relayed request, whose first unit its sender has taken.
    pub(crate) fn taken_elsewhere(core: &'a Core, caller: &'a Caller) -> Self {
        Self {
            core,
            workspace: caller.workspace(),
            unspent: 1,
            taken: 0,
            work: None,
        }
    }

    /// Spends a unit on an attempt.
    pub(crate) fn spend(&mut self) {
        self.unspent = self.unspent.saturating_sub(1);
    }

    /// Takes another unit from the allotment for a further attempt, unless there is an unspent one. Returns
    /// false if there is none.
    pub(crate) fn renew(&mut self) -> bool {
        if self.unspent > 0 {
            return true;
        }
        let is_admitted = self
            .workspace
            .is_none_or(|workspace| self.core.admit_retry(workspace) == Admission::Admitted);
        if is_admitted {
            self.unspent = 1;
            self.taken += 1;
        }
        is_admitted
    }

    /// Counts the request's work as served.
    pub(crate) fn record_served(&mut self) {
        if let Some((service, work)) = self.work.take() {
            self.core.record_share_served(service, work);
        }
    }

    /// Takes a unit back after an attempt that no endpoint has run.
    pub(crate) fn restore(&mut self) {
        self.unspent += 1;
    }
}

impl Drop for Charge<'_> {
    fn drop(&mut self) {
        if let Some(workspace) = self.workspace {
            for _ in 0..self.unspent.min(self.taken) {
                self.core.refund(workspace);
            }
        }
    }
}
