//! Orders of operators about routes and evacuations, and reads of what is in force.
//!
//! Any replica takes an order or a read. One that doesn't lead passes it on to the leader
//! and waits for its word; one that knows no leader holds it for a moment, since an
//! election is usually over within a second, and then says that it can't tell.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_consensus::{Event, Proposal, ProposeError};
use filberthead_fleet::{Message, Order, OrderError, ProofRequest};
use filberthead_peer::Body;
use filberthead_route::Change;
use filberthead_types::Moment;
use log::warn;
use tokio::sync::oneshot;

use super::core::{Core, Pending};
use super::fleet::Fleet;
use super::machine::Entry;
use super::roster::MAX_VOTERS;

/// How long an order or read waits for a leader, or for the leader's word. An operator
/// waits a second for an answer; after that a late one would be lost on it.
const WAIT: Duration = Duration::from_millis(850);
/// Orders and reads that wait here at the same time.
const MAX_WAITING: usize = 256;
/// How long a group in the making may hold back orders. A group whose VMs never come up
/// in full has to work with those that did.
const MAKING: Duration = Duration::from_secs(6);

/// Whom the word on an order goes to.
pub(super) enum Asker {
    /// An adapter in this process.
    Here(oneshot::Sender<Result<(), OrderError>>),
    /// A replica that passed it on.
    Replica { to: SocketAddr, token: u64 },
}

/// Whom the word on the newest state goes to.
pub(super) enum Reader {
    /// An adapter in this process.
    Here(oneshot::Sender<Result<Option<Arc<Change>>, OrderError>>),
    /// A replica that passed it on.
    Replica { to: SocketAddr, token: u64 },
}

/// Something that waits for a leader, for its word, or for the log.
pub(super) enum Waiting {
    Order(Order, Asker),
    Read(oneshot::Sender<Result<Option<Arc<Change>>, OrderError>>),
    /// An order passed on under this token.
    Passed(u64, oneshot::Sender<Result<(), OrderError>>),
    /// What was asked of the leader under this token.
    Asked(u64, Unproven),
    /// What may be answered once the log is applied up to this index.
    Behind(u64, Unproven),
}

/// What a replica that doesn't lead answers once the leader has told what is the newest.
pub(super) enum Unproven {
    /// A read of the routes.
    Read(oneshot::Sender<Result<Option<Arc<Change>>, OrderError>>),
    /// Questions of gateways.
    Questions(Vec<ProofRequest>),
}

impl Fleet {
    fn token(&mut self) -> u64 {
        self.next_token = self.next_token.wrapping_add(1);
        self.next_token
    }

    fn wait(&mut self, now: Moment, what: Waiting) {
        if self.waiting.len() >= MAX_WAITING {
            fail(what, OrderError::Busy);
            return;
        }
        self.waiting.push((now + WAIT, what));
    }

    fn take(&mut self, matches: impl Fn(&Waiting) -> bool) -> Option<Waiting> {
        let place = self.waiting.iter().position(|(_, what)| matches(what))?;
        Some(self.waiting.swap_remove(place).1)
    }
}

impl Core {
    pub(super) async fn order(&mut self, order: Order, asker: Asker) {
        let now = self.clock.now();
        if self.replica.status(now).holds_lease {
            if self.is_in_the_making(now) {
                self.fleet.wait(now, Waiting::Order(order, asker));
                return;
            }
            self.propose_order(order, asker).await;
            return;
        }
        match (self.leader_addr(now), asker) {
            (Some(leader), Asker::Here(reply)) => {
                let token = self.fleet.token();
                self.send(leader, Body::Fleet(Message::Order { token, order }));
                self.fleet.wait(now, Waiting::Passed(token, reply));
            }
            (_, asker) => self.fleet.wait(now, Waiting::Order(order, asker)),
        }
    }

    /// Whether the group is still too small to keep what it accepts through as many
    /// losses as it is to tolerate.
    fn is_in_the_making(&self, now: Moment) -> bool {
        let Some(keeping) = &self.fleet.keeping else {
            return false;
        };
        let voters = self.replica.status(now).members.voters.len();
        let since = self.fleet.led_since.unwrap_or(now);
        let wanted = (2 * keeping.tolerate + 1).min(MAX_VOTERS);
        voters < wanted && now < since + MAKING
    }

    async fn propose_order(&mut self, order: Order, asker: Asker) {
        let Ok(buf) = postcard::to_stdvec(&Entry::Order(order)) else {
            warn!("an order can't be encoded");
            self.answer_order(asker, Err(OrderError::Busy));
            return;
        };
        let token = self.pend(Pending::Order(asker));
        let proposal = Proposal::Command(buf);
        self.step(Event::Propose { token, proposal }).await;
    }

    /// Gives the word on an order to whoever asked.
    pub(super) fn answer_order(&mut self, asker: Asker, result: Result<(), OrderError>) {
        match asker {
            Asker::Here(reply) => {
                let _ = reply.send(result);
            }
            Asker::Replica { to, token } => {
                self.send(to, Body::Fleet(Message::OrderDone { token, result }));
            }
        }
    }

    pub(super) async fn passed_done(&mut self, token: u64, result: Result<(), OrderError>) {
        let mine = |what: &Waiting| matches!(what, Waiting::Passed(held, _) if *held == token);
        if let Some(Waiting::Passed(_, reply)) = self.fleet.take(mine) {
            let _ = reply.send(result);
        }
    }

    pub(super) async fn read_routes(
        &mut self,
        reply: oneshot::Sender<Result<Option<Arc<Change>>, OrderError>>,
    ) {
        let now = self.clock.now();
        if self.replica.status(now).holds_lease {
            self.prove(Reader::Here(reply)).await;
            return;
        }
        match self.leader_addr(now) {
            Some(leader) => self.ask_newest(now, leader, Unproven::Read(reply)),
            None => self.fleet.wait(now, Waiting::Read(reply)),
        }
    }

    fn ask_newest(&mut self, now: Moment, leader: SocketAddr, unproven: Unproven) {
        let token = self.fleet.token();
        self.send(leader, Body::Fleet(Message::ReadIndex { token }));
        self.fleet.wait(now, Waiting::Asked(token, unproven));
    }

    /// Asks the leader for what proves the routes held here to gateways that report here.
    /// Without a leader they get no proof, and ask others.
    pub(super) fn ask_for_proofs(&mut self, now: Moment) {
        let questions = self.fleet.registry.take_proof_requests();
        let leader = self.leader_addr(now).filter(|_| !questions.is_empty());
        if let Some(leader) = leader {
            self.ask_newest(now, leader, Unproven::Questions(questions));
        }
    }

    fn answer_unproven(&mut self, unproven: Unproven) {
        match unproven {
            Unproven::Read(reply) => {
                // Whoever asked may have gone; nobody else needs the answer.
                let _ = reply.send(Ok(self.machine.routes.newest().cloned()));
            }
            Unproven::Questions(questions) => {
                let out = self.fleet.registry.prove(questions);
                self.tell(out);
            }
        }
    }

    pub(super) async fn prove(&mut self, reader: Reader) {
        let token = self.pend(Pending::Newest(reader));
        self.step(Event::Read { token }).await;
    }

    /// Gives the word on a read: as the lease stands at this moment, all that was ever
    /// accepted is applied here.
    pub(super) fn answer_read(&mut self, reader: Reader, result: Result<(), OrderError>) {
        match reader {
            Reader::Here(reply) => {
                let _ = reply.send(result.map(|()| self.machine.routes.newest().cloned()));
            }
            Reader::Replica { to, token } => {
                let result = result.map(|()| self.applied);
                self.send(to, Body::Fleet(Message::ReadIndexResult { token, result }));
            }
        }
    }

    pub(super) fn asked_done(&mut self, now: Moment, token: u64, result: Result<u64, OrderError>) {
        let mine = |what: &Waiting| matches!(what, Waiting::Asked(held, _) if *held == token);
        let Some(Waiting::Asked(_, unproven)) = self.fleet.take(mine) else {
            return;
        };
        match result {
            Ok(index) if index <= self.applied => self.answer_unproven(unproven),
            Ok(index) => self.fleet.wait(now, Waiting::Behind(index, unproven)),
            Err(e) => unproven.fail(e),
        }
    }

    pub(super) fn answer_those_behind(&mut self) {
        let applied = self.applied;
        let caught_up =
            |what: &Waiting| matches!(what, Waiting::Behind(index, _) if *index <= applied);
        while let Some(Waiting::Behind(_, unproven)) = self.fleet.take(caught_up) {
            self.answer_unproven(unproven);
        }
    }

    pub(super) async fn retry_waiting(&mut self, now: Moment) {
        let waiting = std::mem::take(&mut self.fleet.waiting);
        let (late, rest): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|(at, _)| now >= *at);
        for (_, what) in late {
            let error = match what {
                Waiting::Passed(..) => OrderError::OutcomeUnknown,
                _ => OrderError::NoLeader,
            };
            fail(what, error);
        }
        self.fleet.waiting = rest;
        let may_lead = self.replica.status(now).holds_lease && !self.is_in_the_making(now);
        if !may_lead && self.leader_addr(now).is_none() {
            return;
        }
        let held = |what: &Waiting| matches!(what, Waiting::Order(..) | Waiting::Read(_));
        let mut again = Vec::new();
        while let Some(what) = self.fleet.take(held) {
            again.push(what);
        }
        for what in again {
            match what {
                Waiting::Order(order, asker) => self.order(order, asker).await,
                Waiting::Read(reply) => self.read_routes(reply).await,
                _ => {}
            }
        }
    }
}

impl Unproven {
    fn fail(self, error: OrderError) {
        match self {
            Self::Read(reply) => {
                let _ = reply.send(Err(error));
            }
            // Gateways ask again with each report.
            Self::Questions(_) => {}
        }
    }
}

fn fail(what: Waiting, error: OrderError) {
    // Whoever asked may have gone; nobody else needs the answer.
    match what {
        Waiting::Order(_, Asker::Here(reply)) | Waiting::Passed(_, reply) => {
            let _ = reply.send(Err(error));
        }
        Waiting::Read(reply) => {
            let _ = reply.send(Err(error));
        }
        Waiting::Asked(_, unproven) | Waiting::Behind(_, unproven) => unproven.fail(error),
        // The replica that passed it on gives up by itself.
        Waiting::Order(_, Asker::Replica { .. }) => {}
    }
}

/// What a failed proposal means to whoever ordered it.
pub(super) fn order_error(error: ProposeError) -> OrderError {
    match error {
        ProposeError::OutcomeUnknown => OrderError::OutcomeUnknown,
        ProposeError::Overloaded => OrderError::Busy,
        ProposeError::NotLeader { .. }
        | ProposeError::MembershipRefused
        | ProposeError::LearnerBehind => OrderError::NoLeader,
    }
}
