//! How replicas make themselves known to each other.

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

    pub(super) fn send_hellos(&mut self, now: Moment) {
        let hello = self.current_hello(now);
        for to in self.address_book.discovery_targets() {
            self.send(to, Body::Hello(hello.clone()));
        }
    }

    /// A replica that is no member is told at once where the leader is: it greets whom its
    /// settings name, and only a leader that hears it takes it in.
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
        let known = members.voters.contains(&from) || members.learners.contains(&from);
        if known || hello.answers || self.leader_addr(now).is_none() {
            return;
        }
        let answer = HelloInfo {
            answers: true,
            ..self.current_hello(now)
        };
        self.send(addr, Body::Hello(answer));
    }
}
