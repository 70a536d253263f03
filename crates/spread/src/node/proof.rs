//! What lets a node that has started act on a version.
//!
//! A version is proven by either of
//!
//! - the answer of a control leader whose lease is valid: no other replica can have
//!   accepted a change that the leader doesn't know, so what it holds is the newest;
//! - the answers of all other members of the failure domain, at least one, each proven
//!   itself. Then nobody there acts on anything newer, and since a member is dropped
//!   from the lists of the others only on the leader's word, which comes with the
//!   leader's version, no member that an earlier process of this node had its version
//!   from can be missing.
//!
//! A nonce ties the answers to this start: an answer to an earlier process may be as
//! old as that process. In either case the node must then also hold the version.

use std::collections::{BTreeMap, BTreeSet};

use filberthead_types::{Moment, NodeName};
use rand::Rng;
use rand::rngs::StdRng;

use crate::{Answer, Leader, MemberInfo, Message, Responder, Sender};

use super::{Action, Node, Readiness};

#[derive(Debug)]
pub(super) struct Proof {
    nonce: u64,
    since: Moment,
    query_due: Moment,
    waited: bool,
    proven: bool,
    /// Whether each member of the failure domain that has answered is proven itself.
    answers: BTreeMap<NodeName, bool>,
    /// Members of the failure domain that those know of.
    named: BTreeSet<NodeName>,
}

impl Proof {
    pub(super) fn new(rng: &mut StdRng) -> Self {
        Self {
            nonce: rng.random(),
            since: Moment::ZERO,
            query_due: Moment::ZERO,
            waited: false,
            proven: false,
            answers: BTreeMap::new(),
            named: BTreeSet::new(),
        }
    }

    pub(super) fn start(&mut self, now: Moment) {
        self.since = now;
    }

    pub(super) fn is_proven(&self) -> bool {
        self.proven
    }

    /// When the node started, or woke.
    pub(super) fn since(&self) -> Moment {
        self.since
    }

    /// What the node is while it can't act on weights.
    pub(super) fn unproven(&self) -> Readiness {
        if self.waited {
            Readiness::Cautious
        } else {
            Readiness::Starting
        }
    }

    fn take_peer(&mut self, me: &MemberInfo, member: &MemberInfo, proven: bool) {
        if member.failure_domain == me.failure_domain && member.name != me.name {
            self.answers.insert(member.name.clone(), proven);
        }
    }

    fn take_names<'a>(&mut self, me: &MemberInfo, peers: impl Iterator<Item = &'a MemberInfo>) {
        let others = peers.filter(|peer| peer.name != me.name);
        self.named.extend(others.map(|peer| peer.name.clone()));
    }

    fn all_peers_proven(&self) -> bool {
        let proven = |name| self.answers.get(name) == Some(&true);
        !self.answers.is_empty() && self.named.iter().all(proven)
    }
}

impl Node {
    pub(super) fn tick_proof(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.proof.waited |= now >= self.proof.since + self.cfg.start_timeout;
        if !self.proof.proven && now >= self.proof.query_due {
            self.query(now, out);
        }
    }

    /// Asks everybody who could prove the newest version, or hold it.
    pub(super) fn query(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.proof.query_due = now + self.cfg.heartbeat_period;
        let message = Message::Query {
            nonce: self.proof.nonce,
            member: self.me.clone(),
        };
        let fixed = self.contacts.controls.iter().chain(&self.contacts.seeds);
        let mut addrs: BTreeSet<_> = fixed.copied().collect();
        addrs.extend(self.domain_peers().values().map(|peer| peer.peer_addr));
        addrs.remove(&self.me.peer_addr);
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
        let same_domain = member.failure_domain == self.me.failure_domain;
        self.meet(now, member);
        let peers = if same_domain {
            self.domain_peers().into_values().collect()
        } else {
            Vec::new()
        };
        let responder = Responder::Entry {
            member: self.me.clone(),
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
        self.evidence(now, from.addr, answer.version, out);
        self.compare_directory(now, from, answer.directory, out);
        let fresh = answer.nonce == self.proof.nonce;
        match answer.responder {
            Responder::Leader { term } => {
                let addr = from.addr;
                self.follow(now, Leader { term, addr });
                self.proof.proven |= fresh;
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
            } => self.on_peer_answer(now, fresh, member, proven, peers, out),
        }
    }

    fn on_peer_answer(
        &mut self,
        now: Moment,
        fresh: bool,
        member: MemberInfo,
        proven: bool,
        peers: Vec<MemberInfo>,
        out: &mut Vec<Action>,
    ) {
        if fresh {
            self.proof.take_peer(&self.me, &member, proven);
            self.proof.take_names(&self.me, peers.iter());
        }
        let before = self.domain_peers().len();
        self.meet(now, member);
        peers.into_iter().for_each(|peer| self.meet(now, peer));
        let known = self.domain_peers();
        self.proof.take_names(&self.me, known.values());
        if self.proof.all_peers_proven() {
            self.proof.proven = true;
        } else if known.len() > before {
            self.query(now, out);
        }
    }
}
