//! A model of orders about evacuations: replicas freeze, messages and closes are held up, leaders
//! change, and operators give up and resend. No given-up order may take effect after a later one
//! was acknowledged.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use filberthead_fleet::{
    EvacuationAction, EvacuationOrder, NextStep, OrderAttempt, OrderError, OrderId, OrderOutcome,
    OrderRevisions,
};
use filberthead_types::{FailureDomain, Moment};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const REPLICAS: usize = 5;
const OPERATORS: usize = 4;
const DOMAINS: [&str; 2] = ["zagreb-a", "split-a"];
/// When operators send no more orders.
const END: u64 = 20_000;
/// Time after which an operator turns to another replica, and after which it gives an order up.
const PATIENCE: u64 = 1_000;
const RESEND_FOR: u64 = 4_000;
/// Time that a replica has for an order, in milliseconds.
const LIMIT: u64 = 850;
/// A pause that a replica notices, and after which it rejects what it finds in its sockets.
const NOTICED_PAUSE: u64 = 300;
/// Time after such a pause in which orders are rejected.
const BACKLOG: u64 = 100;

/// What the system does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// As designed.
    Conditional,
    /// Orders take effect whatever their condition.
    WithoutCondition,
    /// It isn't checked whether the operator still waits.
    WithoutSenderCheck,
}

/// Number of an attempt to send an order, unique in a run.
type Copy = usize;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The operator may begin another order.
    Decide {
        operator: usize,
    },
    /// The operator sends its order, or gives it up.
    Send {
        operator: usize,
    },
    /// The operator has waited long enough for this copy.
    GiveUp(Copy),
    /// The operator is told that this copy was carried out, or to try again.
    Answer(Copy, bool),
    /// The replica reads this copy.
    Read(Copy),
    /// The leader is asked for the revision.
    Query(Copy, usize),
    /// Its answer arrives.
    Revision(Copy, Result<u64, u8>),
    /// The sender is checked.
    Check(Copy),
    /// A leader is asked to commit the copy under a condition.
    Propose(Copy, usize, u64),
    /// The outcome arrives; `None` if the replica didn't lead.
    Outcome(Copy, Option<bool>),
    /// The copy's limit has passed.
    Expire(Copy),
    Freeze,
    ChangeLeader,
}

/// A copy of an order, sent to a replica.
struct Sent {
    operator: usize,
    order: usize,
    replica: usize,
    /// When the replica's kernel knows that the operator has closed the connection.
    closed_at: Option<u64>,
    given_up_at: Option<u64>,
    attempt: Option<OrderAttempt>,
    is_done: bool,
}

struct Order {
    domain: FailureDomain,
    action: EvacuationAction,
    first_sent: u64,
    acknowledged_at: Option<u64>,
}

#[derive(Default)]
struct Operator {
    order: Option<usize>,
    pause: u64,
}

/// The run of a seed.
struct Run {
    rng: StdRng,
    rule: Rule,
    has_faults: bool,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    leader: usize,
    frozen_until: [u64; REPLICAS],
    /// When each replica last noticed that it had stood still.
    resumed_at: [Option<u64>; REPLICAS],
    index: u64,
    revisions: OrderRevisions,
    orders: Vec<Order>,
    copies: Vec<Sent>,
    operators: Vec<Operator>,
    taken_back: usize,
}

impl Run {
    fn new(seed: u64, rule: Rule, has_faults: bool) -> Self {
        let mut run = Self {
            rng: StdRng::seed_from_u64(seed),
            rule,
            has_faults,
            now: 0,
            events: BinaryHeap::new(),
            next_event: 0,
            leader: 0,
            frozen_until: [0; REPLICAS],
            resumed_at: [None; REPLICAS],
            index: 0,
            revisions: OrderRevisions::default(),
            orders: Vec::new(),
            copies: Vec::new(),
            operators: (0..OPERATORS).map(|_| Operator::default()).collect(),
            taken_back: 0,
        };
        for operator in 0..OPERATORS {
            run.schedule(operator as u64, Event::Decide { operator });
        }
        if has_faults {
            run.schedule(500, Event::Freeze);
            run.schedule(700, Event::ChangeLeader);
        }
        run
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.next_event += 1;
        let at = self.now + after;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    /// Delay of a message between replicas; some are held up for long.
    fn delay(&mut self) -> u64 {
        if self.has_faults && self.rng.random_bool(0.1) {
            return self.rng.random_range(100..60_000);
        }
        self.rng.random_range(1..20)
    }

    fn moment(&self) -> Moment {
        Duration::from_millis(self.now)
    }

    fn play(mut self) -> Self {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            if let Some(replica) = self.replica_of(&event) {
                let frozen_until = self.frozen_until[replica];
                if at < frozen_until {
                    self.schedule(frozen_until - at, event);
                    continue;
                }
            }
            self.handle(event);
        }
        self
    }

    /// The replica that handles an event; `None` if an operator does.
    fn replica_of(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Read(copy)
            | Event::Revision(copy, _)
            | Event::Check(copy)
            | Event::Outcome(copy, _)
            | Event::Expire(copy) => Some(self.copies[*copy].replica),
            Event::Query(_, at) | Event::Propose(_, at, _) => Some(*at),
            _ => None,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Decide { operator } => self.decide(operator),
            Event::Send { operator } => self.send(operator),
            Event::GiveUp(copy) => self.give_up(copy),
            Event::Answer(copy, is_acknowledged) => self.answer(copy, is_acknowledged),
            Event::Read(copy) => self.read(copy),
            Event::Query(copy, at) => self.query(copy, at),
            Event::Revision(copy, result) => {
                let result = result.map_err(|_| OrderError::NoLeader);
                self.advance(copy, |attempt, now| attempt.on_revision(now, result));
            }
            Event::Check(copy) => self.check(copy),
            Event::Propose(copy, at, expected) => self.propose(copy, at, expected),
            Event::Outcome(copy, outcome) => {
                let outcome = match outcome {
                    Some(true) => Ok(OrderOutcome::InForce),
                    Some(false) => Ok(OrderOutcome::Superseded),
                    None => Err(OrderError::NoLeader),
                };
                self.advance(copy, |attempt, now| attempt.on_outcome(now, outcome));
            }
            Event::Expire(copy) => self.finish(copy, false),
            Event::Freeze => self.freeze(),
            Event::ChangeLeader => {
                self.leader = self.rng.random_range(0..REPLICAS);
                self.repeat(Event::ChangeLeader, 300..4_000);
            }
        }
    }

    fn repeat(&mut self, event: Event, pause: std::ops::Range<u64>) {
        if self.now < END {
            let after = self.rng.random_range(pause);
            self.schedule(after, event);
        }
    }

    fn freeze(&mut self) {
        let replica = self.rng.random_range(0..REPLICAS);
        let pause = self.rng.random_range(50..6_000);
        let until = self.frozen_until[replica].max(self.now + pause);
        // A pause soon after a noticed one is noticed as well.
        let follows = self.resumed_at[replica].is_some_and(|at| self.now < at + BACKLOG);
        if pause >= NOTICED_PAUSE || follows {
            self.resumed_at[replica] = Some(until);
        }
        self.frozen_until[replica] = until;
        // A frozen leader is replaced.
        if replica == self.leader {
            self.leader = (replica + 1) % REPLICAS;
        }
        self.repeat(Event::Freeze, 100..2_000);
    }

    fn decide(&mut self, operator: usize) {
        if self.now >= END {
            return;
        }
        let domain = DOMAINS[self.rng.random_range(0..DOMAINS.len())];
        let action = match self.rng.random_bool(0.5) {
            true => EvacuationAction::Evacuate,
            false => EvacuationAction::Return,
        };
        self.orders.push(Order {
            domain: domain.parse().expect("a valid name"),
            action,
            first_sent: self.now,
            acknowledged_at: None,
        });
        self.operators[operator] = Operator {
            order: Some(self.orders.len() - 1),
            pause: 50,
        };
        self.send(operator);
    }

    fn send(&mut self, operator: usize) {
        let Some(order) = self.operators[operator].order else {
            return;
        };
        if self.now >= self.orders[order].first_sent + RESEND_FOR {
            self.end_order(operator);
            return;
        }
        let replica = self.rng.random_range(0..REPLICAS);
        let copy = self.copies.len();
        self.copies.push(Sent {
            operator,
            order,
            replica,
            closed_at: None,
            given_up_at: None,
            attempt: None,
            is_done: false,
        });
        let arrives = self.rng.random_range(1..5);
        self.schedule(arrives, Event::Read(copy));
        self.schedule(PATIENCE, Event::GiveUp(copy));
    }

    fn end_order(&mut self, operator: usize) {
        self.operators[operator].order = None;
        let pause = self.rng.random_range(10..2_000);
        self.schedule(pause, Event::Decide { operator });
    }

    fn is_current(&self, copy: Copy) -> bool {
        let sent = &self.copies[copy];
        sent.given_up_at.is_none() && self.operators[sent.operator].order == Some(sent.order)
    }

    fn give_up(&mut self, copy: Copy) {
        if !self.is_current(copy) {
            return;
        }
        let operator = self.copies[copy].operator;
        self.close(copy);
        let pause = self.operators[operator].pause;
        self.operators[operator].pause *= 2;
        self.schedule(pause, Event::Send { operator });
    }

    /// The operator closes the connection of a copy. The replica's kernel learns of it a little
    /// later, or never if the replica stands still and the close is lost.
    fn close(&mut self, copy: Copy) {
        let replica = self.copies[copy].replica;
        let pause = self.frozen_until[replica].saturating_sub(self.now);
        let is_lost = pause >= NOTICED_PAUSE && self.rng.random_bool(0.5);
        let delay = self.rng.random_range(1..40);
        let sent = &mut self.copies[copy];
        sent.given_up_at = Some(self.now);
        sent.closed_at = (!is_lost).then_some(self.now + delay);
    }

    fn answer(&mut self, copy: Copy, is_acknowledged: bool) {
        if !self.is_current(copy) {
            return;
        }
        let Sent {
            operator, order, ..
        } = self.copies[copy];
        self.close(copy);
        if is_acknowledged {
            self.orders[order].acknowledged_at = Some(self.now);
            self.end_order(operator);
        } else {
            let pause = self.operators[operator].pause;
            self.operators[operator].pause *= 2;
            self.schedule(pause, Event::Send { operator });
        }
    }

    fn read(&mut self, copy: Copy) {
        let limit = Duration::from_millis(LIMIT);
        let attempt = OrderAttempt::new(self.moment(), self.moment() + limit);
        self.copies[copy].attempt = Some(attempt);
        let resumed = self.resumed_at[self.copies[copy].replica];
        let is_delayed = resumed.is_some_and(|at| self.now >= at && self.now < at + BACKLOG);
        let is_checked = self.rule != Rule::WithoutSenderCheck;
        if is_checked && (is_delayed || self.is_closed(copy)) {
            self.finish(copy, false);
            return;
        }
        self.schedule(LIMIT, Event::Expire(copy));
        self.perform(copy, NextStep::QueryRevision);
    }

    fn is_closed(&self, copy: Copy) -> bool {
        let closed_at = self.copies[copy].closed_at;
        closed_at.is_some_and(|at| at <= self.now)
    }

    fn check(&mut self, copy: Copy) {
        let is_waiting = self.rule == Rule::WithoutSenderCheck || !self.is_closed(copy);
        self.advance(copy, |attempt, now| attempt.on_sender(now, is_waiting));
    }

    fn advance(&mut self, copy: Copy, step: impl FnOnce(&mut OrderAttempt, Moment) -> NextStep) {
        let now = self.moment();
        let sent = &mut self.copies[copy];
        if sent.is_done {
            return;
        }
        let Some(attempt) = &mut sent.attempt else {
            return;
        };
        let next = step(attempt, now);
        self.perform(copy, next);
    }

    fn perform(&mut self, copy: Copy, next: NextStep) {
        let leader = self.leader;
        match next {
            NextStep::QueryRevision => {
                let delay = self.delay();
                self.schedule(delay, Event::Query(copy, leader));
            }
            NextStep::CheckSender { at } => {
                let after = at.saturating_sub(self.moment());
                let after = u64::try_from(after.as_millis()).unwrap_or(0);
                self.schedule(after, Event::Check(copy));
            }
            NextStep::Propose { expected } => {
                let delay = self.delay();
                self.schedule(delay, Event::Propose(copy, leader, expected));
            }
            NextStep::Finish(result) => self.finish(copy, result.is_ok()),
        }
    }

    fn finish(&mut self, copy: Copy, is_acknowledged: bool) {
        let sent = &mut self.copies[copy];
        if std::mem::replace(&mut sent.is_done, true) {
            return;
        }
        let delay = self.rng.random_range(1..5);
        self.schedule(delay, Event::Answer(copy, is_acknowledged));
    }

    fn query(&mut self, copy: Copy, at: usize) {
        let domain = &self.orders[self.copies[copy].order].domain;
        let result = match at == self.leader {
            true => Ok(self.revisions.get(domain)),
            false => Err(0),
        };
        let delay = self.delay();
        self.schedule(delay, Event::Revision(copy, result));
    }

    fn propose(&mut self, copy: Copy, at: usize, expected: u64) {
        let delay = self.delay();
        if at != self.leader {
            self.schedule(delay, Event::Outcome(copy, None));
            return;
        }
        let expected = match self.rule {
            Rule::WithoutCondition => {
                let domain = &self.orders[self.copies[copy].order].domain;
                self.revisions.get(domain)
            }
            _ => expected,
        };
        let is_in_force = self.commit(copy, expected);
        self.schedule(delay, Event::Outcome(copy, Some(is_in_force)));
    }

    fn commit(&mut self, copy: Copy, expected: u64) -> bool {
        self.index += 1;
        let order = &self.orders[self.copies[copy].order];
        let entry = EvacuationOrder {
            id: OrderId(copy as u64),
            received_by: "control-1".parse().expect("a valid name"),
            domain: order.domain.clone(),
            action: order.action,
            expected,
        };
        let is_in_force = self.revisions.apply(self.index, &entry) == OrderOutcome::InForce;
        if is_in_force && self.is_taking_back(copy) {
            self.taken_back += 1;
        }
        is_in_force
    }

    /// Whether an order about the same failure domain was first sent after this copy was given up
    /// and has been acknowledged.
    fn is_taking_back(&self, copy: Copy) -> bool {
        let sent = &self.copies[copy];
        let Some(given_up_at) = sent.given_up_at else {
            return false;
        };
        let domain = &self.orders[sent.order].domain;
        self.orders.iter().any(|later| {
            later.domain == *domain
                && later.first_sent >= given_up_at
                && later.acknowledged_at.is_some()
        })
    }

    fn unacknowledged(&self) -> usize {
        let orders = self.orders.iter();
        orders
            .filter(|order| order.acknowledged_at.is_none())
            .count()
    }
}

fn runs_that_take_back(rule: Rule, seeds: std::ops::Range<u64>) -> Vec<u64> {
    let is_broken = |seed: &u64| Run::new(*seed, rule, true).play().taken_back > 0;
    seeds.filter(is_broken).collect()
}

/// An order that its operator has given up takes effect after a later one was acknowledged.
#[test]
fn a_given_up_order_never_undoes_a_later_one() {
    assert_eq!(
        runs_that_take_back(Rule::Conditional, 0..2_500),
        Vec::<u64>::new()
    );
}

/// The model would not notice an order that is carried out late.
#[test]
fn orders_without_a_condition_or_a_sender_check_undo_later_ones() {
    let without_condition = runs_that_take_back(Rule::WithoutCondition, 0..400).len();
    let without_check = runs_that_take_back(Rule::WithoutSenderCheck, 0..400).len();
    assert!(without_condition > 100, "{without_condition} of 400");
    assert!(without_check > 100, "{without_check} of 400");
}

/// Operators that order at the same time supersede each other until they give up.
#[test]
fn every_order_is_acknowledged_without_faults() {
    for seed in 0..200 {
        let run = Run::new(seed, Rule::Conditional, false).play();
        assert!(run.orders.len() > 20, "orders are sent");
        assert_eq!(run.unacknowledged(), 0, "seed {seed}");
    }
}

/// An order that changes nothing is acknowledged, so an older one may not pass it.
#[test]
fn an_order_that_changes_nothing_supersedes_older_ones() {
    let mut revisions = OrderRevisions::default();
    let mut outcomes = BTreeMap::new();
    for (index, action) in [
        (1, EvacuationAction::Return),
        (2, EvacuationAction::Evacuate),
    ] {
        let order = EvacuationOrder {
            id: OrderId(index),
            received_by: "control-1".parse().expect("a valid name"),
            domain: DOMAINS[0].parse().expect("a valid name"),
            action,
            expected: 0,
        };
        outcomes.insert(index, revisions.apply(index, &order));
    }
    assert_eq!(outcomes[&1], OrderOutcome::InForce);
    assert_eq!(outcomes[&2], OrderOutcome::Superseded);
}
