//! The group keeps its membership: [`roster`] decides, the leader's replica carries it out.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use filberthead_consensus::{Event, Proposal};
use filberthead_types::{Moment, ReplicaId};
use log::warn;

use super::core::{Core, Pending};
use super::machine::Entry;
use super::roster::{self, Next, Seen, View};

impl Core {
    /// Tells everybody where replicas are that the log names.
    pub(super) fn learn_located(&mut self) {
        for (id, addr) in &self.machine.located {
            self.book.located(*id, *addr);
        }
        let mut replicas: Vec<_> = self.book.replicas().into_iter().collect();
        replicas.push(self.about.peer_addr);
        self.fleet.registry.set_replicas(replicas);
    }

    pub(super) async fn keep_membership(&mut self, now: Moment) {
        let replica = self.replica.status(now);
        let Some(led_since) = self.fleet.led_since.filter(|_| replica.holds_lease) else {
            return;
        };
        let mut seen: BTreeMap<_, _> = self.book.seen().collect();
        let own = Seen {
            addr: self.about.peer_addr,
            heard: Some(now),
        };
        seen.insert(self.id, own);
        let progress: HashMap<_, _> = replica.progress.iter().copied().collect();
        let joined = &mut self.fleet.joined;
        joined.retain(|id, _| replica.members.learners.contains(id));
        for id in &replica.members.learners {
            joined.entry(*id).or_insert(now);
        }
        let learners = replica.members.learners.iter().copied();
        let held = |id: &ReplicaId| progress.get(id).copied().unwrap_or(0) >= replica.commit;
        let caught_up: Vec<_> = learners.filter(held).collect();
        let view = View {
            now,
            led_since,
            own: self.id,
            members: &replica.members,
            seen: &seen,
            located: &self.machine.located,
            joined: &self.fleet.joined,
            caught_up: &caught_up,
        };
        match roster::next(view) {
            Next::Rest => {}
            Next::Locate(id, addr) => self.propose_location(id, addr).await,
            Next::Change(proposal) => {
                // Asked again at each tick until it is done, so its outcome is not awaited.
                let token = self.pend(Pending::Nobody);
                self.step(Event::Propose { token, proposal }).await;
            }
        }
    }

    async fn propose_location(&mut self, id: ReplicaId, addr: SocketAddr) {
        let under_way = self.pending.values().any(|p| matches!(p, Pending::Nobody));
        if under_way {
            return;
        }
        let Ok(buf) = postcard::to_stdvec(&Entry::Locate { id, addr }) else {
            warn!("a location can't be encoded");
            return;
        };
        let token = self.pend(Pending::Nobody);
        let proposal = Proposal::Command(buf);
        self.step(Event::Propose { token, proposal }).await;
    }
}

impl From<&super::book::Known> for Seen {
    fn from(known: &super::book::Known) -> Self {
        Self {
            addr: known.addr,
            heard: known.heard,
        }
    }
}
