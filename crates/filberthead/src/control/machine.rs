//! The replicated state machine: the operators' table, and verdicts on homes of keys.
//!
//! All share the log because all need the same promise: what is committed is never
//! taken back. Verdicts stand beside the table and not in it, since they have no version
//! and aren't spread: only the two entries concerned want to know. Routes and evacuations
//! are numbered by the index of the entry that changed them, which every replica knows
//! alike.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use filberthead_fleet::Order;
use filberthead_ledger::{Claim, ClaimResult, ClaimResults};
use filberthead_route::{LatestChange, OfferResult};
use filberthead_table::{Command, Outcome, Table};
use filberthead_types::{FailureDomain, ReplicaId};
use serde::{Deserialize, Serialize};

/// What a log entry carries.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum Entry {
    /// An act of an operator.
    Table(Command),
    /// One of two entries that have lost each other asks to go on alone.
    Claim(Claim),
    /// An operator's order about routes or evacuations.
    Order(Order),
    /// Where a replica takes messages, so that all members find it after a restart.
    Locate {
        /// The replica.
        id: ReplicaId,
        /// Its address.
        addr: SocketAddr,
    },
}

/// What came of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Applied {
    /// Of an operator's act.
    Table(Outcome),
    /// Of a claim.
    Claim(ClaimResult),
    /// Of an order, or of a location: nothing to tell, both always hold.
    Noted,
}

/// State after some entry of the log.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Machine {
    /// The table; shared with those who were shown it.
    pub(crate) table: Arc<Table>,
    /// Who went on, by home and config.
    pub(crate) verdicts: ClaimResults,
    /// The routes in force.
    pub(crate) routes: LatestChange,
    /// Index of the entry that put them in force; 0 for none.
    pub(crate) routes_at: u64,
    /// Failure domains whose endpoints are to get nothing.
    pub(crate) evacuated: BTreeSet<FailureDomain>,
    /// Index of the entry that last changed that set; 0 for none.
    pub(crate) evacuated_at: u64,
    /// Where replicas take messages.
    pub(crate) located: BTreeMap<ReplicaId, SocketAddr>,
}

impl Machine {
    /// Applies the entry at `index`; every replica comes to the same result.
    pub(crate) fn apply(&mut self, index: u64, entry: &Entry) -> Applied {
        match entry {
            Entry::Table(command) => {
                let outcome = Arc::make_mut(&mut self.table).apply(command);
                Applied::Table(outcome)
            }
            Entry::Claim(claim) => Applied::Claim(self.verdicts.apply(claim)),
            Entry::Order(order) => {
                self.order(index, order);
                Applied::Noted
            }
            Entry::Locate { id, addr } => {
                self.located.insert(*id, *addr);
                Applied::Noted
            }
        }
    }

    /// An order that changes nothing, being sent again or overtaken, keeps the revision.
    fn order(&mut self, index: u64, order: &Order) {
        match order {
            Order::Routes(change) => {
                if self.routes.offer(change) == OfferResult::Accepted {
                    self.routes_at = index;
                }
            }
            Order::Evacuate(domain) => {
                if self.evacuated.insert(domain.clone()) {
                    self.evacuated_at = index;
                }
            }
            Order::Return(domain) => {
                if self.evacuated.remove(domain) {
                    self.evacuated_at = index;
                }
            }
        }
    }
}
