//! Orders about evacuations, as step functions free of I/O.
//!
//! An order has no version, so a replica that was held up could carry out one that its operator
//! has given up, after a newer one. So the replicated state keeps the order revision of each failure
//! domain, the log index of the last order about it ([`OrderRevisions`]). The replica that receives
//! an order reads the revision, checks that the operator still waits, and proposes the order on
//! condition that the revision is unchanged ([`OrderAttempt`]).
//!
//! This relies on operators that close the connection of an order that they give up, before they
//! send anything newer, and on that close arriving within [`CLOSE_DELAY`] of the order.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use filberthead_types::{FailureDomain, Moment, NodeName};
use serde::{Deserialize, Serialize};

use crate::OrderError;

/// Time between the receipt of an order and the check that its operator still waits: an operator
/// that gives up closes its connection, and that close may be a round trip behind the order.
const CLOSE_DELAY: Duration = Duration::from_millis(50);

/// Identifies an order in logs, from its receipt on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct OrderId(pub u64);

impl fmt::Display for OrderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What an operator orders about a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum EvacuationAction {
    /// Its endpoints get no more requests.
    Evacuate,
    /// Its endpoints get requests again.
    Return,
}

/// An order about a failure domain that takes effect only while its condition holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// Its id.
    pub id: OrderId,
    /// The replica that received it.
    pub received_by: NodeName,
    /// The failure domain.
    pub domain: FailureDomain,
    /// What is ordered.
    pub action: EvacuationAction,
    /// The order revision that the failure domain must still have.
    pub expected: u64,
}

impl fmt::Display for EvacuationOrder {
    /// What is ordered, for logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let action = match self.action {
            EvacuationAction::Evacuate => "evacuate",
            EvacuationAction::Return => "return",
        };
        write!(f, "{action} {}", self.domain)
    }
}

/// What became of a committed order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum OrderOutcome {
    /// It is in force.
    InForce,
    /// Another order about the failure domain was committed first, so it had no effect.
    Superseded,
}

/// For each failure domain, the log index of the last order about it that was in force, even if
/// that changed nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderRevisions(BTreeMap<FailureDomain, u64>);

impl OrderRevisions {
    /// The order revision of a failure domain; 0 before the first order.
    pub fn get(&self, domain: &FailureDomain) -> u64 {
        self.0.get(domain).copied().unwrap_or(0)
    }

    /// Records an order that was committed at `index` without a condition.
    pub fn record(&mut self, index: u64, domain: &FailureDomain) {
        self.0.insert(domain.clone(), index);
    }

    /// Decides on an order that was committed at `index`.
    pub fn apply(&mut self, index: u64, order: &EvacuationOrder) -> OrderOutcome {
        if self.get(&order.domain) != order.expected {
            return OrderOutcome::Superseded;
        }
        self.record(index, &order.domain);
        OrderOutcome::InForce
    }
}

/// What a replica that has received an order does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Ask the leader for the order revision of the failure domain.
    QueryRevision,
    /// Wait until this time and then check whether the operator still waits.
    CheckSender {
        /// The time, which may have passed.
        at: Moment,
    },
    /// Propose the order on condition that its failure domain has this order revision.
    Propose {
        /// The order revision.
        expected: u64,
    },
    /// Answer the operator.
    Finish(Result<(), OrderError>),
}

/// An order at the replica that received it.
#[derive(Clone, Debug)]
pub struct OrderAttempt {
    received_at: Moment,
    deadline: Moment,
    expected: u64,
}

impl OrderAttempt {
    /// An order that was received at a time and must be answered by the deadline. It begins with
    /// [`NextStep::QueryRevision`].
    pub fn new(received_at: Moment, deadline: Moment) -> Self {
        Self {
            received_at,
            deadline,
            expected: 0,
        }
    }

    /// By when the order must be answered.
    pub fn deadline(&self) -> Moment {
        self.deadline
    }

    /// The leader has answered, or can't be reached.
    pub fn on_revision(&mut self, now: Moment, revision: Result<u64, OrderError>) -> NextStep {
        match revision {
            Ok(revision) => {
                self.expected = revision;
                let at = now.max(self.received_at + CLOSE_DELAY);
                NextStep::CheckSender { at }
            }
            // Nothing was proposed, so the next leader may be asked.
            Err(OrderError::NoLeader) if now < self.deadline => NextStep::QueryRevision,
            Err(error) => NextStep::Finish(Err(error)),
        }
    }

    /// The check after [`NextStep::CheckSender`] was made.
    pub fn on_sender(&mut self, now: Moment, is_waiting: bool) -> NextStep {
        if !is_waiting {
            return NextStep::Finish(Err(OrderError::SenderGone));
        }
        if now >= self.deadline {
            return NextStep::Finish(Err(OrderError::NoLeader));
        }
        let expected = self.expected;
        NextStep::Propose { expected }
    }

    /// The proposal has ended.
    pub fn on_outcome(
        &mut self,
        now: Moment,
        outcome: Result<OrderOutcome, OrderError>,
    ) -> NextStep {
        match outcome {
            Ok(OrderOutcome::InForce) => NextStep::Finish(Ok(())),
            Ok(OrderOutcome::Superseded) if now < self.deadline => NextStep::QueryRevision,
            Ok(OrderOutcome::Superseded) => NextStep::Finish(Err(OrderError::Superseded)),
            // Not logged anywhere, so it can't take effect any more.
            Err(OrderError::NoLeader) if now < self.deadline => NextStep::QueryRevision,
            Err(error) => NextStep::Finish(Err(error)),
        }
    }
}
