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

use super::membership_policy::Contact;

/// What is known of another replica.
#[derive(Clone, Debug)]
pub(crate) struct KnownReplica {
    /// Where it takes messages.
    pub(crate) addr: SocketAddr,
    /// Its administration API, once it has said so.
    pub(crate) operator_addr: Option<SocketAddr>,
    /// When it was last heard from.
    pub(crate) last_seen: Option<Moment>,
}

/// Addresses by identity.
#[derive(Debug, Default)]
pub(crate) struct AddressBook {
    own_addr: Option<SocketAddr>,
    configured: BTreeSet<SocketAddr>,
    known: BTreeMap<ReplicaId, KnownReplica>,
    /// Where a leader is that others have told of and that wasn't heard yet.
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

    /// Adds addresses of changed settings.
    pub(crate) fn configure(&mut self, addrs: impl IntoIterator<Item = SocketAddr>) {
        self.configured.extend(addrs);
    }

    /// Takes in that a replica was heard from.
    pub(crate) fn record_contact(&mut self, now: Moment, origin: &Origin) {
        let Some(id) = origin.replica else {
            return;
        };
        let known = self.known.entry(id).or_insert_with(|| KnownReplica {
            addr: origin.addr,
            operator_addr: None,
            last_seen: None,
        });
        known.addr = origin.addr;
        known.last_seen = Some(now);
        if self.leader_hint == Some(origin.addr) {
            self.leader_hint = None;
        }
    }

    /// Takes in what a replica says about itself, and of a leader that isn't known here. Says
    /// whether it told of one.
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

    /// Takes in a registration from the replicated table.
    pub(crate) fn add_registered(
        &mut self,
        id: ReplicaId,
        addr: SocketAddr,
        operator_addr: SocketAddr,
    ) {
        if self.own_addr == Some(addr) {
            return;
        }
        // What a replica says itself is newer than what was registered for it.
        self.known.entry(id).or_insert(KnownReplica {
            addr,
            operator_addr: Some(operator_addr),
            last_seen: None,
        });
    }

    /// Takes in an address from the replicated log.
    pub(crate) fn add_located(&mut self, id: ReplicaId, addr: SocketAddr) {
        if self.own_addr == Some(addr) {
            return;
        }
        self.known.entry(id).or_insert(KnownReplica {
            addr,
            operator_addr: None,
            last_seen: None,
        });
    }

    /// Every known replica, as the keeping of membership sees it.
    pub(crate) fn contacts(&self) -> impl Iterator<Item = (ReplicaId, Contact)> + '_ {
        self.known.iter().map(|(id, known)| (*id, known.into()))
    }

    /// What is known of a replica.
    pub(crate) fn get(&self, id: ReplicaId) -> Option<&KnownReplica> {
        self.known.get(&id)
    }

    /// Whether some replica to greet has not been heard from yet.
    pub(crate) fn has_unseen_replicas(&self) -> bool {
        let contacted = |addr: &SocketAddr| {
            let mut known = self.known.values();
            known.any(|known| known.addr == *addr && known.last_seen.is_some())
        };
        !self.discovery_targets().iter().all(contacted)
    }

    /// Forgets a leader that others told of and that was never heard.
    pub(crate) fn clear_leader_hint(&mut self) {
        self.leader_hint = None;
    }

    /// Everybody to greet: all replicas that there may be, and a leader that others told of.
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
