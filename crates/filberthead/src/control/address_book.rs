//! Addresses of the control replicas.
//!
//! A replica's identity is stored in its data folder, its address comes from its settings. Each
//! message carries both, so the mapping is learned when a replica is heard from. Settings name
//! the replicas to contact at start; the replicated table and log name those that joined later,
//! so that a replacement is found without editing settings anywhere.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use filberthead_peer::{HelloInfo, Origin};
use filberthead_types::{Incarnation, Moment, ReplicaId};

use super::membership_policy::Contact;

/// What is known of another replica.
#[derive(Clone, Debug)]
pub(crate) struct KnownReplica {
    /// Address for messages of peers.
    pub(crate) addr: SocketAddr,
    /// Address of its administration API; `None` until it has announced it.
    pub(crate) operator_addr: Option<SocketAddr>,
    /// When a message from it last arrived; `None` if none has since this process started.
    pub(crate) last_seen: Option<Moment>,
    /// The start of its process that was last heard from.
    incarnation: Option<Incarnation>,
    /// Level of features that it has announced since that start; 0 if none.
    pub(crate) features: u32,
}

/// Addresses by replica id.
#[derive(Debug, Default)]
pub(crate) struct AddressBook {
    own_addr: Option<SocketAddr>,
    /// Addresses from the settings.
    configured: BTreeSet<SocketAddr>,
    known: BTreeMap<ReplicaId, KnownReplica>,
    /// Address of a leader that another replica has named and that hasn't been heard from yet.
    leader_hint: Option<SocketAddr>,
}

impl AddressBook {
    /// Starts with the addresses of the settings.
    pub(crate) fn new(
        own_addr: SocketAddr,
        configured: impl IntoIterator<Item = SocketAddr>,
    ) -> Self {
        Self {
            own_addr: Some(own_addr),
            configured: configured.into_iter().collect(),
            known: BTreeMap::new(),
            leader_hint: None,
        }
    }

    /// Adds the addresses of reloaded settings.
    pub(crate) fn configure(&mut self, addrs: impl IntoIterator<Item = SocketAddr>) {
        self.configured.extend(addrs);
    }

    /// Records a message from a replica and the address it came from.
    pub(crate) fn record_contact(&mut self, now: Moment, origin: &Origin) {
        let Some(id) = origin.replica else {
            return;
        };
        let known = self.known.entry(id).or_insert_with(|| KnownReplica {
            addr: origin.addr,
            operator_addr: None,
            last_seen: None,
            incarnation: None,
            features: 0,
        });
        known.addr = origin.addr;
        known.last_seen = Some(now);
        // Another release may have been started.
        if known.incarnation.replace(origin.incarnation) != Some(origin.incarnation) {
            known.features = 0;
        }
        if self.leader_hint == Some(origin.addr) {
            self.leader_hint = None;
        }
    }

    /// Records what a replica announces of itself and of the leader. Returns whether it named a
    /// leader that hasn't been heard from and wasn't the hint already.
    pub(crate) fn record_hello(&mut self, id: ReplicaId, hello: &HelloInfo) -> bool {
        if let Some(known) = self.known.get_mut(&id) {
            known.operator_addr = Some(hello.operator_addr);
        }
        let mut others = self.known.values();
        let hint = hello.leader.filter(|addr| {
            let contacted = others.any(|known| known.addr == *addr && known.last_seen.is_some());
            self.own_addr != Some(*addr) && !contacted
        });
        if hint.is_none() || hint == self.leader_hint {
            return false;
        }
        self.leader_hint = hint;
        true
    }

    /// Records the level of features that a replica announces.
    pub(crate) fn record_features(&mut self, id: ReplicaId, features: u32) {
        if let Some(known) = self.known.get_mut(&id) {
            known.features = features;
        }
    }

    /// The level of features that a replica has announced; 0 if none.
    pub(crate) fn features(&self, id: ReplicaId) -> u32 {
        self.known.get(&id).map_or(0, |known| known.features)
    }

    /// Adds a replica registered in the replicated table.
    pub(crate) fn add_registered(
        &mut self,
        id: ReplicaId,
        addr: SocketAddr,
        operator_addr: SocketAddr,
    ) {
        if self.own_addr == Some(addr) {
            return;
        }
        // An address that the replica itself has announced is newer.
        self.known.entry(id).or_insert(KnownReplica {
            addr,
            operator_addr: Some(operator_addr),
            last_seen: None,
            incarnation: None,
            features: 0,
        });
    }

    /// Adds a replica's address from the replicated log.
    pub(crate) fn add_from_log(&mut self, id: ReplicaId, addr: SocketAddr) {
        if self.own_addr == Some(addr) {
            return;
        }
        self.known.entry(id).or_insert(KnownReplica {
            addr,
            operator_addr: None,
            last_seen: None,
            incarnation: None,
            features: 0,
        });
    }

    /// All known replicas with the time they were last seen, for the membership policy.
    pub(crate) fn contacts(&self) -> impl Iterator<Item = (ReplicaId, Contact)> + '_ {
        self.known.iter().map(|(id, known)| (*id, known.into()))
    }

    /// Returns what is known of a replica.
    pub(crate) fn get(&self, id: ReplicaId) -> Option<&KnownReplica> {
        self.known.get(&id)
    }

    /// Whether some discovery target hasn't been heard from yet.
    pub(crate) fn has_unseen_replicas(&self) -> bool {
        let contacted = |addr: &SocketAddr| {
            let mut known = self.known.values();
            known.any(|known| known.addr == *addr && known.last_seen.is_some())
        };
        !self.discovery_targets().iter().all(contacted)
    }

    /// Drops the address of a leader that another replica has named.
    pub(crate) fn clear_leader_hint(&mut self) {
        self.leader_hint = None;
    }

    /// Addresses to send hellos to: all configured and known replicas, and the leader that
    /// another replica has named.
    pub(crate) fn discovery_targets(&self) -> BTreeSet<SocketAddr> {
        let mut addrs = self.replicas();
        addrs.extend(self.leader_hint);
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
