//! Automatic membership: [`membership_policy`] decides on the next change, and the leader
//! proposes it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use filberthead_consensus::{Event, Proposal};
use filberthead_types::{Moment, ReplicaId};
use log::warn;

use super::core::{Core, Pending};
use super::machine::Entry;
use super::membership_policy::{self, Contact, Step, View};

impl Core {
    /// Passes the replica addresses in the log to the address book, and the complete list to the
    /// gateways.
    pub(super) fn update_replica_addresses(&mut self) {
        for (id, addr) in &self.machine.replica_addresses {
            self.address_book.add_from_log(*id, *addr);
        }
        let mut replicas: Vec<_> = self.address_book.replicas().into_iter().collect();
        replicas.push(self.identity.peer_addr);
        self.fleet.registry.set_replicas(replicas);
    }

    /// Proposes the next membership change or address, if this replica leads.
    pub(super) async fn reconcile_membership(&mut self, now: Moment) {
        let replica = self.replica.status(now);
        let Some(led_since) = self.fleet.led_since.filter(|_| replica.holds_lease) else {
            return;
        };
        let mut contacts: BTreeMap<_, _> = self.address_book.contacts().collect();
        let own_contact = Contact {
            addr: self.identity.peer_addr,
            last_seen: Some(now),
        };
        contacts.insert(self.id, own_contact);
        let progress: HashMap<_, _> = replica.progress.iter().copied().collect();
        let learner_since = &mut self.fleet.learner_since;
        learner_since.retain(|id, _| replica.members.learners.contains(id));
        for id in &replica.members.learners {
            learner_since.entry(*id).or_insert(now);
        }
        let learners = replica.members.learners.iter().copied();
        let is_caught_up =
            |id: &ReplicaId| progress.get(id).copied().unwrap_or(0) >= replica.commit;
        let caught_up: Vec<_> = learners.filter(is_caught_up).collect();
        let view = View {
            now,
            led_since,
            own_id: self.id,
            members: &replica.members,
            contacts: &contacts,
            addresses: &self.machine.replica_addresses,
            learner_since: &self.fleet.learner_since,
            caught_up: &caught_up,
        };
        match membership_policy::next_step(view) {
            Step::Idle => {}
            Step::RecordAddress(id, addr) => self.propose_replica_address(id, addr).await,
            Step::Change(proposal) => {
                // Proposed again at each tick until it is done, so the outcome isn't awaited.
                let token = self.add_pending(Pending::NoReply);
                self.step(Event::Propose { token, proposal }).await;
            }
        }
    }

    /// Whether a change that the leader proposed by itself is in progress.
    pub(super) fn has_unanswered_change(&self) -> bool {
        self.pending.values().any(|p| matches!(p, Pending::NoReply))
    }

    async fn propose_replica_address(&mut self, id: ReplicaId, addr: SocketAddr) {
        if self.has_unanswered_change() {
            return;
        }
        let Ok(buf) = postcard::to_stdvec(&Entry::ReplicaAddress { id, addr }) else {
            warn!("can't encode a replica's address");
            return;
        };
        let token = self.add_pending(Pending::NoReply);
        let proposal = Proposal::Command(buf);
        self.step(Event::Propose { token, proposal }).await;
    }
}

impl From<&super::address_book::KnownReplica> for Contact {
    fn from(known: &super::address_book::KnownReplica) -> Self {
        Self {
            addr: known.addr,
            last_seen: known.last_seen,
        }
    }
}
