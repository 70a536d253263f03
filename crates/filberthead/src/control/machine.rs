//! The replicated state machine: the operators' table, results of claims on homes of idempotency
//! keys, routes, evacuations, replica addresses and rosters.
//!
//! All share the log because all need the same guarantee: what is committed is never undone.
//! Claim results are separate from the table since they have no version and aren't distributed:
//! only the two entries concerned need them. The revision of routes and evacuations is the index
//! of the log entry that last changed them, which is the same on every replica.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use filberthead_fleet::{EvacuationAction, EvacuationOrder, Order, OrderOutcome, OrderRevisions};
use filberthead_ledger::{Claim, ClaimResult, ClaimResults};
use filberthead_route::{LatestChange, OfferResult};
use filberthead_steer::StoredRoster;
use filberthead_table::{Command, Operation, Outcome, Table};
use filberthead_types::{FailureDomain, NodeName, ReplicaId};
use serde::{Deserialize, Serialize};

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Entry {
    /// A change of the table by an operator.
    Table(Command),
    /// An entry's claim to continue alone after it lost contact with another one.
    Claim(Claim),
    /// An operator's order about routes or evacuations.
    Order(Order),
    /// The address of a replica, so that all members find it after a restart.
    ReplicaAddress {
        /// The replica.
        id: ReplicaId,
        /// Its address.
        addr: SocketAddr,
    },
    /// The roster of a failure domain, before entries are granted leases by it.
    Roster(StoredRoster),
    /// An operator's order about an evacuation, with a condition.
    EvacuationOrder(EvacuationOrder),
    /// From here on the log has conditional orders. Committed once all members can decode them.
    EnableConditionalOrders,
}

/// Result of applying an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// Of a command on the table.
    Table(Outcome),
    /// Of a command that declares this entry gone; the entry was removed from its roster.
    EntryForgotten(Outcome, NodeName),
    /// Of a claim.
    Claim(ClaimResult),
    /// Of a conditional order.
    EvacuationOrder(OrderOutcome),
    /// Of an entry that always succeeds: an unconditional order, an address, a roster, or the change to
    /// conditional orders.
    NoOutcome,
}

/// What decides on orders about evacuations.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct OrderState {
    /// Order revisions of failure domains.
    pub revisions: OrderRevisions,
    /// Whether all members can decode conditional orders.
    pub is_conditional: bool,
}

impl OrderState {
    /// Records an order without a condition. What was ordered before the group had conditional
    /// orders isn't recorded: snapshots of that time lack it, so replicas would differ.
    fn record(&mut self, index: u64, domain: &FailureDomain) {
        if self.is_conditional {
            self.revisions.record(index, domain);
        }
    }
}

/// State after some entry of the log.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Machine {
    /// The table, shared with its readers.
    pub table: Arc<Table>,
    /// Which entry continued, by home and its epoch.
    pub claim_results: ClaimResults,
    /// The routes in force.
    pub routes: LatestChange,
    /// Index of the entry that put them in force; 0 for none.
    pub routes_revision: u64,
    /// Failure domains whose endpoints get no requests.
    pub evacuated: BTreeSet<FailureDomain>,
    /// Index of the entry that last changed that set; 0 for none.
    pub evacuated_revision: u64,
    /// Addresses of replicas, for messages of peers.
    pub replica_addresses: BTreeMap<ReplicaId, SocketAddr>,
    /// Rosters of failure domains, for the next leader's leases.
    pub rosters: BTreeMap<FailureDomain, StoredRoster>,
    /// What decides on orders about evacuations. It follows the other fields in a snapshot, and
    /// snapshots of earlier releases end without it.
    #[serde(skip)]
    pub orders: OrderState,
}

impl Machine {
    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    ///
    /// Fails if a value can't be serialized, which no type in it can cause.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let buf = postcard::to_stdvec(self)?;
        postcard::to_extend(&self.orders, buf)
    }

    /// Decodes the state from a snapshot of this release or an earlier one.
    ///
    /// # Errors
    ///
    /// Fails if a later release wrote it.
    pub fn decode(buf: &[u8]) -> Result<Self, postcard::Error> {
        let (mut machine, rest): (Self, _) = postcard::take_from_bytes(buf)?;
        if !rest.is_empty() {
            machine.orders = postcard::from_bytes(rest)?;
        }
        Ok(machine)
    }

    /// Applies the entry at `index`, with the same result on every replica.
    pub fn apply(&mut self, index: u64, entry: &Entry) -> Applied {
        match entry {
            Entry::Table(command) => self.apply_command(command),
            Entry::Claim(claim) => Applied::Claim(self.claim_results.apply(claim)),
            Entry::Order(order) => {
                self.apply_order(index, order);
                Applied::NoOutcome
            }
            Entry::ReplicaAddress { id, addr } => {
                self.replica_addresses.insert(*id, *addr);
                Applied::NoOutcome
            }
            Entry::Roster(stored) => {
                let domain = stored.failure_domain.clone();
                self.rosters.insert(domain, stored.clone());
                Applied::NoOutcome
            }
            Entry::EvacuationOrder(order) => {
                let outcome = self.orders.revisions.apply(index, order);
                if outcome == OrderOutcome::InForce {
                    self.set_evacuated(index, &order.domain, order.action);
                }
                Applied::EvacuationOrder(outcome)
            }
            Entry::EnableConditionalOrders => {
                self.orders.is_conditional = true;
                Applied::NoOutcome
            }
        }
    }

    fn apply_command(&mut self, command: &Command) -> Applied {
        let newest = |table: &Table| table.history().next_back().map(|record| record.serial);
        let before = newest(&self.table);
        let outcome = Arc::make_mut(&mut self.table).apply(command);
        // A resend isn't recorded again. The entry may have been replaced since the first one.
        let is_first = newest(&self.table) != before;
        match &command.operation {
            Operation::ForgetEntry(name) if is_first => {
                let rosters = self.rosters.values_mut();
                rosters.for_each(|stored| stored.forget(name));
                Applied::EntryForgotten(outcome, name.clone())
            }
            _ => Applied::Table(outcome),
        }
    }

    /// Applies an order. One that changes nothing, because it is a resend or superseded, keeps
    /// the revision.
    fn apply_order(&mut self, index: u64, order: &Order) {
        match order {
            Order::Routes(change) => {
                if self.routes.offer(change) == OfferResult::Accepted {
                    self.routes_revision = index;
                }
            }
            Order::Evacuate(domain) => {
                self.orders.record(index, domain);
                self.set_evacuated(index, domain, EvacuationAction::Evacuate);
            }
            Order::Return(domain) => {
                self.orders.record(index, domain);
                self.set_evacuated(index, domain, EvacuationAction::Return);
            }
        }
    }

    fn set_evacuated(&mut self, index: u64, domain: &FailureDomain, action: EvacuationAction) {
        let changed = match action {
            EvacuationAction::Evacuate => self.evacuated.insert(domain.clone()),
            EvacuationAction::Return => self.evacuated.remove(domain),
        };
        if changed {
            self.evacuated_revision = index;
        }
    }
}
