//! Peer discovery: hellos between control replicas.

use std::net::SocketAddr;

use filberthead_peer::{Body, HelloInfo};
use filberthead_types::{Moment, ReplicaId};

use super::core::Core;

impl Core {
    fn current_hello(&self, now: Moment) -> HelloInfo {
        HelloInfo {
            leads: self.replica.status(now).holds_lease,
            leader: self.leader_addr(now),
            ..self.hello.clone()
        }
    }

    /// Sends a hello to all discovery targets.
    pub(super) fn send_hellos(&mut self, now: Moment) {
        let hello = self.current_hello(now);
        for to in self.address_book.discovery_targets() {
            self.send(to, Body::Hello(hello.clone()));
        }
    }

    /// Handles a hello. One from a replica that isn't a member is answered at once with the
    /// leader's address: it contacts only the replicas of its settings, and only a leader that
    /// has heard from it can add it.
    pub(super) fn handle_hello(
        &mut self,
        now: Moment,
        from: ReplicaId,
        addr: SocketAddr,
        hello: &HelloInfo,
    ) {
        if self.address_book.record_hello(from, hello) {
            self.next_hello = now;
        }
        let members = self.replica.status(now).members;
        let is_member = members.voters.contains(&from) || members.learners.contains(&from);
        if is_member || hello.is_reply || self.leader_addr(now).is_none() {
            return;
        }
        let reply = HelloInfo {
            is_reply: true,
            ..self.current_hello(now)
        };
        self.send(addr, Body::Hello(reply));
    }
}
