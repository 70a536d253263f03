//! Where the control replicas are reached.
//!
//! A replica's identity lies in its data folder, its address in settings. The two meet
//! when a replica is heard from: each message carries both. Settings name whom to greet
//! at start; the replicated table names those that joined later, so that a replica that
//! replaced another one is found without anybody's settings being edited.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use filberthead_peer::{HelloInfo, Origin};
use filberthead_types::{Moment, ReplicaId};

use super::roster::Seen;

/// What is known of another replica.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    /// Where it takes messages.
    pub(crate) addr: SocketAddr,
    /// Its administration API, once it has said so.
    pub(crate) operator_addr: Option<SocketAddr>,
    /// When it was last heard from.
    pub(crate) heard: Option<Moment>,
}

/// Addresses by identity.
#[derive(Debug, Default)]
pub(crate) struct Book {
    own_addr: Option<SocketAddr>,
    configured: BTreeSet<SocketAddr>,
    known: BTreeMap<ReplicaId, Known>,
    /// Where a leader is that others have told of and that wasn't heard yet.
    told_leader: Option<SocketAddr>,
}

impl Book {
    /// Starts with the addresses of the settings.
    pub(crate) fn new(
        own_addr: SocketAddr,
        configured: impl IntoIterator<Item = SocketAddr>,
    ) -> Self {
        Self {
            own_addr: Some(own_addr),
            configured: configured.into_iter().collect(),
            known: BTreeMap::new(),
            told_leader: None,
        }
    }

    /// Adds addresses of changed settings.
    pub(crate) fn configure(&mut self, addrs: impl IntoIterator<Item = SocketAddr>) {
        self.configured.extend(addrs);
    }

    /// Takes in that a replica was heard from.
    pub(crate) fn heard(&mut self, now: Moment, origin: &Origin) {
        let Some(id) = origin.replica else {
            return;
        };
        let known = self.known.entry(id).or_insert_with(|| Known {
            addr: origin.addr,
            operator_addr: None,
            heard: None,
        });
        known.addr = origin.addr;
        known.heard = Some(now);
        if self.told_leader == Some(origin.addr) {
            self.told_leader = None;
        }
    }

    /// Takes in what a replica says about itself, and of a leader that isn't known here. Says
    /// whether it told of one.
    pub(crate) fn greeted(&mut self, id: ReplicaId, hello: &HelloInfo) -> bool {
        if let Some(known) = self.known.get_mut(&id) {
            known.operator_addr = Some(hello.operator_addr);
        }
        let mut others = self.known.values();
        let new = hello.leader.filter(|addr| {
            let heard = others.any(|known| known.addr == *addr && known.heard.is_some());
            self.own_addr != Some(*addr) && !heard
        });
        if new.is_none() || new == self.told_leader {
            return false;
        }
        self.told_leader = new;
        true
    }

    /// Takes in a registration from the replicated table.
    pub(crate) fn registered(
        &mut self,
        id: ReplicaId,
        addr: SocketAddr,
        operator_addr: SocketAddr,
    ) {
        if self.own_addr == Some(addr) {
            return;
        }
        // What a replica says itself is newer than what was registered for it.
        self.known.entry(id).or_insert(Known {
            addr,
            operator_addr: Some(operator_addr),
            heard: None,
        });
    }

    /// Takes in an address from the replicated log.
    pub(crate) fn located(&mut self, id: ReplicaId, addr: SocketAddr) {
        if self.own_addr == Some(addr) {
            return;
        }
        self.known.entry(id).or_insert(Known {
            addr,
            operator_addr: None,
            heard: None,
        });
    }

    /// Every known replica, as the keeping of membership sees it.
    pub(crate) fn seen(&self) -> impl Iterator<Item = (ReplicaId, Seen)> + '_ {
        self.known.iter().map(|(id, known)| (*id, known.into()))
    }

    /// What is known of a replica.
    pub(crate) fn get(&self, id: ReplicaId) -> Option<&Known> {
        self.known.get(&id)
    }

    /// Whether some replica to greet has not been heard from yet.
    pub(crate) fn has_strangers(&self) -> bool {
        let heard = |addr: &SocketAddr| {
            let mut known = self.known.values();
            known.any(|known| known.addr == *addr && known.heard.is_some())
        };
        !self.to_greet().iter().all(heard)
    }

    /// Forgets a leader that others told of and that was never heard.
    pub(crate) fn forget_told(&mut self) {
        self.told_leader = None;
    }

    /// Everybody to greet: all replicas that there may be, and a leader that others told of.
    pub(crate) fn to_greet(&self) -> BTreeSet<SocketAddr> {
        let mut addrs = self.replicas();
        addrs.extend(self.told_leader);
        addrs
    }

    /// Configured and known replicas, without this one.
    pub(crate) fn replicas(&self) -> BTreeSet<SocketAddr> {
        let known = self.known.values().map(|known| known.addr);
        let mut addrs: BTreeSet<_> = self.configured.iter().copied().chain(known).collect();
        if let Some(own) = self.own_addr {
            addrs.remove(&own);
        }
        addrs
    }
}
