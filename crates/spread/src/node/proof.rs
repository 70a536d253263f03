//! Proof that a starting node needs before it acts on a version.
//!
//! A version is proven by either of
//!
//! - the answer of a control leader whose lease is valid: no other replica can have
//!   accepted a change that the leader doesn't hold, so its version is the newest;
//! - the answers of all other members of the failure domain, at least one, each proven
//!   itself. Then no member acts on a newer version. A member is removed from the lists of
//!   the others only by the leader, whose messages carry the leader's version; so no member
//!   that gave its version to an earlier process of this node can be missing.
//!
//! A nonce ties the answers to this start, since an answer to an earlier process may be as
//! old as that process. In either case the node must then also hold the version.

use std::collections::{BTreeMap, BTreeSet};

use filberthead_types::{Moment, NodeName};
use rand::Rng;
use rand::rngs::StdRng;

use crate::{Answer, Leader, MemberInfo, Message, Responder, Sender};

use super::{Action, Node, Readiness};

/// State of the proof since the last start.
#[derive(Debug)]
pub(super) struct Proof {
    nonce: u64,
    started_at: Moment,
    query_due: Moment,
    timed_out: bool,
    proven: bool,
    /// Whether each member of the failure domain that has answered is proven itself.
    answers: BTreeMap<NodeName, bool>,
    /// Members of the failure domain listed in the answers or known otherwise.
    known_peers: BTreeSet<NodeName>,
}

impl Proof {
    pub(super) fn new(rng: &mut StdRng) -> Self {
        Self {
            nonce: rng.random(),
            started_at: Moment::ZERO,
            query_due: Moment::ZERO,
            timed_out: false,
            proven: false,
            answers: BTreeMap::new(),
            known_peers: BTreeSet::new(),
        }
    }

    pub(super) fn start(&mut self, now: Moment) {
        self.started_at = now;
    }

    pub(super) fn is_proven(&self) -> bool {
        self.proven
    }

    /// When the node started, or resumed after a suspension.
    pub(super) fn started_at(&self) -> Moment {
        self.started_at
    }

    /// Readiness of the node while its version isn't proven.
    pub(super) fn unproven(&self) -> Readiness {
        if self.timed_out {
            Readiness::Cautious
        } else {
            Readiness::Starting
        }
    }

    fn record_answer(&mut self, local: &MemberInfo, member: &MemberInfo, proven: bool) {
        if member.failure_domain == local.failure_domain && member.name != local.name {
            self.answers.insert(member.name.clone(), proven);
        }
    }

    fn add_known_peers<'a>(
        &mut self,
        local: &MemberInfo,
        peers: impl Iterator<Item = &'a MemberInfo>,
    ) {
        let others = peers.filter(|peer| peer.name != local.name);
        self.known_peers
            .extend(others.map(|peer| peer.name.clone()));
    }

    fn all_peers_proven(&self) -> bool {
        let proven = |name| self.answers.get(name) == Some(&true);
        !self.answers.is_empty() && self.known_peers.iter().all(proven)
    }
}

impl Node {
    pub(super) fn tick_proof(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.proof.timed_out |= now >= self.proof.started_at + self.cfg.start_timeout;
        if !self.proof.proven && now >= self.proof.query_due {
            self.query(now, out);
        }
    }

    /// Queries all processes that could prove or hold the newest version.
    pub(super) fn query(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.proof.query_due = now + self.cfg.heartbeat_period;
        let message = Message::Query {
            nonce: self.proof.nonce,
            member: self.local.clone(),
        };
        let fixed = self.contacts.controls.iter().chain(&self.contacts.seeds);
        let mut addrs: BTreeSet<_> = fixed.copied().collect();
        addrs.extend(self.domain_peers().values().map(|peer| peer.peer_addr));
        addrs.remove(&self.local.peer_addr);
        out.extend(addrs.into_iter().map(|to| Action::Send {
            to,
            message: message.clone(),
        }));
    }

    pub(super) fn on_query(
        &mut self,
        now: Moment,
        from: &Sender,
        nonce: u64,
        member: MemberInfo,
        out: &mut Vec<Action>,
    ) {
        let same_domain = member.failure_domain == self.local.failure_domain;
        self.discover(now, member);
        let peers = if same_domain {
            self.domain_peers().into_values().collect()
        } else {
            Vec::new()
        };
        let responder = Responder::Entry {
            member: self.local.clone(),
            proven: self.readiness() == Readiness::Proven,
            peers,
        };
        out.push(Action::Send {
            to: from.addr,
            message: Message::Answer(Answer {
                nonce,
                version: self.history.version(),
                directory: self.directory.hash(),
                responder,
            }),
        });
    }

    pub(super) fn on_answer(
        &mut self,
        now: Moment,
        from: &Sender,
        answer: Answer,
        out: &mut Vec<Action>,
    ) {
        self.record_holder(now, from.addr, answer.version, out);
        self.compare_directory(now, from, answer.directory, out);
        let is_current = answer.nonce == self.proof.nonce;
        match answer.responder {
            Responder::Leader { term } => {
                let addr = from.addr;
                self.follow(now, Leader { term, addr });
                self.proof.proven |= is_current;
            }
            Responder::Follower { leader } => {
                if let Some(leader) = leader {
                    self.hint_leader(leader);
                }
            }
            Responder::Entry {
                member,
                proven,
                peers,
            } => self.on_peer_answer(now, is_current, member, proven, peers, out),
        }
    }

    fn on_peer_answer(
        &mut self,
        now: Moment,
        is_current: bool,
        member: MemberInfo,
        proven: bool,
        peers: Vec<MemberInfo>,
        out: &mut Vec<Action>,
    ) {
        if is_current {
            self.proof.record_answer(&self.local, &member, proven);
            self.proof.add_known_peers(&self.local, peers.iter());
        }
        let before = self.domain_peers().len();
        self.discover(now, member);
        peers.into_iter().for_each(|peer| self.discover(now, peer));
        let discovered = self.domain_peers();
        self.proof.add_known_peers(&self.local, discovered.values());
        if self.proof.all_peers_proven() {
            self.proof.proven = true;
        } else if discovered.len() > before {
            self.query(now, out);
        }
    }
}
