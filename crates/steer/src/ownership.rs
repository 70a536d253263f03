//! Which entry admits requests to which endpoint.
//!
//! Every entry follows a roster of its failure domain, which determines the owner of each
//! endpoint, and admits only while its membership is in force: leased by control, or
//! backed by promises of a majority of the members. A member that has given a promise
//! doesn't confirm the receiver's removal before the promise expires, and control removes a
//! silent entry only with enough confirmations. Lease and promises are checked against the
//! current time before each admission, because a process that was suspended may resume with
//! expired ones and a full queue.

use std::collections::BTreeMap;
use std::time::Duration;

use filberthead_types::{Epoch, Moment, NodeName};

use crate::config::{Config, SlotOwnership};
use crate::hash::Key;
use crate::lease::{Grant, LEASE_DURATION, LEASE_MARGIN, Roster, majority};
use crate::{EndpointInfo, EntryInfo};

/// How long a process waits for its first grant after its start before it counts as
/// isolated. Shorter than the time for which it refuses callers for want of a proven
/// table, so that it has slots once it admits them.
const FIRST_GRANT_TIMEOUT: Duration = Duration::from_secs(2);
/// Serials whose time of sending is kept; an answer to an older one comes too late.
const MAX_TRACKED_SERIALS: u64 = 16;

/// An entry's membership in its failure domain's roster.
#[derive(Debug)]
pub struct Ownership {
    node: NodeName,
    leased: bool,
    started: Moment,
    roster: Option<Roster>,
    /// The roster that it followed as a member, while it doesn't acknowledge the one without it.
    unreleased: Option<Roster>,
    serial: u64,
    /// When each of the newest renewals was sent, by serial.
    sent_at: BTreeMap<u64, Moment>,
    control_lease_until: Moment,
    /// When the promise of each other member to this one expires.
    promises_received: BTreeMap<NodeName, Moment>,
    /// When this member's promise to each other one expires, with the margin.
    promises_given: BTreeMap<NodeName, Moment>,
    /// The member that control wants to remove, by its newest grant.
    suspect: Option<NodeName>,
    /// Members whose removal this one has confirmed, with the serial of the last renewal that did.
    /// They get no promises until a grant shows that they were kept: otherwise two removed members
    /// that reconnect could put each other in force under the old roster.
    confirmed_removals: BTreeMap<NodeName, u64>,
}

impl Ownership {
    /// Starts without a roster; with `leased` false, as the only member.
    pub fn new(now: Moment, node: NodeName, leased: bool) -> Self {
        let single_member = Roster {
            epoch: Epoch(0),
            members: vec![node.clone()],
        };
        Self {
            node,
            leased,
            started: now,
            roster: (!leased).then_some(single_member),
            unreleased: None,
            serial: 0,
            sent_at: BTreeMap::new(),
            control_lease_until: Moment::ZERO,
            promises_received: BTreeMap::new(),
            promises_given: BTreeMap::new(),
            suspect: None,
            confirmed_removals: BTreeMap::new(),
        }
    }

    /// Without leases, uses the live entries as the roster. Ownership is exclusive then only
    /// while all entries see the same set.
    pub(crate) fn set_entries(&mut self, entries: &[EntryInfo], cfg: &Config) {
        if self.leased {
            return;
        }
        let members = entries
            .iter()
            .filter(|entry| entry.failure_domain == cfg.failure_domain && !entry.leaving)
            .map(|entry| entry.name.clone())
            .collect();
        let epoch = Epoch(0);
        self.roster = Some(Roster { epoch, members });
    }

    /// Epoch of the roster that this entry follows.
    pub(crate) fn epoch(&self) -> Option<Epoch> {
        self.roster.as_ref().map(|roster| roster.epoch)
    }

    /// The roster that this entry follows.
    pub fn roster(&self) -> Option<&Roster> {
        self.roster.as_ref()
    }

    /// The roster that control is told: the last one as a member until
    /// [`acknowledge_loss`](Self::acknowledge_loss).
    pub(crate) fn acknowledged_roster(&self) -> Option<&Roster> {
        self.unreleased.as_ref().or(self.roster.as_ref())
    }

    /// Lets control know that this entry has given up the endpoints that it lost.
    pub(crate) fn acknowledge_loss(&mut self) {
        self.unreleased = None;
    }

    /// The member that gets no more promises: control has received no renewals from it, and
    /// this entry's last promise to it has expired. A member that still requests promises is
    /// alive, and keeps its endpoints although it can't reach control.
    pub fn refusing(&self, now: Moment) -> Option<&NodeName> {
        self.suspect.as_ref().filter(|name| {
            let until = self.promises_given.get(*name).copied();
            until.is_none_or(|until| now >= until)
        })
    }

    /// Returns the member whose removal this entry confirms to control in the renewal of the newest
    /// serial, and from now on refuses it promises.
    pub fn confirm_removal(&mut self, now: Moment) -> Option<NodeName> {
        let refusing = self.refusing(now).cloned()?;
        self.confirmed_removals
            .insert(refusing.clone(), self.serial);
        Some(refusing)
    }

    /// Members that may still hold a promise of this entry. A process that has just started
    /// may have given promises before its restart, so it returns all members.
    pub fn promise_holders(&self, now: Moment) -> Vec<NodeName> {
        if now < self.started + LEASE_DURATION + LEASE_MARGIN {
            let members = self.roster.iter().flat_map(|r| &r.members);
            let suspect = self.suspect.iter();
            return members.chain(suspect).cloned().collect();
        }
        let unexpired = self
            .promises_given
            .iter()
            .filter(|(_, until)| now < **until);
        unexpired.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the serial for a renewal and the promise requests that are sent now.
    pub fn next_serial(&mut self, now: Moment) -> u64 {
        self.serial += 1;
        self.sent_at.insert(self.serial, now);
        let oldest = self.serial.saturating_sub(MAX_TRACKED_SERIALS);
        self.sent_at = self.sent_at.split_off(&oldest);
        self.serial
    }

    /// When the renewal with this serial was sent; `None` if it is no longer tracked.
    pub fn sent_at(&self, serial: u64) -> Option<Moment> {
        self.sent_at.get(&serial).copied()
    }

    /// Applies control's answer to a renewal.
    pub fn apply_grant(&mut self, grant: &Grant) {
        let current_epoch = self.roster.as_ref().map_or(Epoch(0), |r| r.epoch);
        let epoch = grant.roster.as_ref().map(|roster| roster.epoch);
        if epoch.is_some_and(|epoch| epoch < current_epoch) {
            return;
        }
        self.suspect = grant.refuse.clone();
        let Some(roster) = &grant.roster else { return };
        let is_newer = roster.epoch > current_epoch;
        // Control may have carried out a removal that was confirmed after the renewal which this
        // grant answers.
        let is_kept = |name: &NodeName, confirmed_by: u64| {
            grant.serial >= confirmed_by
                && (is_newer || roster.has(name) && grant.refuse.as_ref() != Some(name))
        };
        self.confirmed_removals
            .retain(|name, confirmed_by| !is_kept(name, *confirmed_by));
        if is_newer {
            let previous = self.roster.replace(roster.clone());
            self.unreleased = if roster.has(&self.node) {
                None
            } else {
                self.unreleased
                    .take()
                    .or(previous.filter(|r| r.has(&self.node)))
            };
        }
        if grant.leased
            && let Some(sent_at) = self.sent_at.get(&grant.serial)
        {
            self.control_lease_until = self.control_lease_until.max(*sent_at + LEASE_DURATION);
        }
    }

    /// Handles another member's promise request; returns whether it gets the promise.
    pub fn grant_promise(&mut self, now: Moment, by: &NodeName, epoch: Epoch) -> bool {
        // A member that was removed while it was partitioned still requests promises under
        // its old roster. A promise would put it back in force alongside the new owner of
        // its endpoints. After a restart an entry can't detect this, so it gives no promises
        // before it has a roster.
        let covers_both = |r: &Roster| r.has(by) && r.has(&self.node) && epoch.next() >= r.epoch;
        let is_member = self.roster.as_ref().is_some_and(covers_both);
        if !is_member || self.confirmed_removals.contains_key(by) || self.refusing(now) == Some(by)
        {
            return false;
        }
        self.promises_given
            .insert(by.clone(), now + LEASE_DURATION + LEASE_MARGIN);
        true
    }

    /// Records another member's promise, the answer to the request with this serial.
    pub fn record_promise(&mut self, from: NodeName, serial: u64) {
        if let Some(sent_at) = self.sent_at.get(&serial) {
            let until = self.promises_received.entry(from).or_default();
            *until = (*until).max(*sent_at + LEASE_DURATION);
        }
    }

    /// The other members, which are asked for promises.
    pub fn other_members(&self) -> Vec<NodeName> {
        let members = self.roster.iter().flat_map(|r| &r.members);
        members
            .filter(|name| **name != self.node)
            .cloned()
            .collect()
    }

    /// Whether this entry's membership is in force: always without leases.
    pub fn in_force(&self, now: Moment) -> bool {
        if !self.leased {
            return true;
        }
        let Some(roster) = &self.roster else {
            return false;
        };
        if !roster.has(&self.node) {
            return false;
        }
        // A member whose removal this one has confirmed may be removed already, and promises until it
        // learns of it.
        let has_promised = |name: &&NodeName| {
            let promise = self.promises_received.get(*name);
            **name == self.node
                || promise.is_some_and(|until| now < *until)
                    && !self.confirmed_removals.contains_key(*name)
        };
        let promises = roster.members.iter().filter(has_promised).count();
        now < self.control_lease_until || promises >= majority(roster.members.len())
    }

    /// Whether this entry has had neither a lease from control nor promises of a majority
    /// for longer than a lease.
    ///
    /// Its own membership has lapsed then, and so has that of every member that relied on
    /// its promise. A member that control removed is not isolated: its endpoints have
    /// another owner.
    pub fn is_isolated(&self, now: Moment) -> bool {
        if !self.leased || self.in_force(now) {
            return false;
        }
        let removed = self.roster.as_ref().is_some_and(|r| !r.has(&self.node));
        if removed {
            return false;
        }
        // After a start there is no lease of its own to wait out, only control's answer.
        if self.roster.is_none() {
            return now >= self.started + FIRST_GRANT_TIMEOUT;
        }
        let promised_until = self.promises_received.values().max().copied();
        let lapsed_since = self
            .control_lease_until
            .max(promised_until.unwrap_or_default());
        now >= lapsed_since + LEASE_DURATION + LEASE_MARGIN
    }

    /// Whether this entry owns `key` and may admit to it now. The key is the name of a
    /// service, for its endpoints in the failure domain, or of one endpoint.
    pub fn owns(&self, now: Moment, key: &str) -> bool {
        let owner = self.roster.as_ref().and_then(|r| owner(&r.members, key));
        owner == Some(&self.node) && self.in_force(now)
    }

    /// Number of the endpoint's slots that this entry may fill.
    pub(crate) fn slots(&self, now: Moment, info: &EndpointInfo, cfg: &Config) -> u32 {
        match cfg.slot_ownership {
            SlotOwnership::Service if self.owns(now, info.service.as_str()) => info.slots,
            SlotOwnership::Endpoint if self.owns(now, info.name.as_str()) => info.slots,
            SlotOwnership::Split if self.in_force(now) => {
                let members = self.roster.as_ref().map_or(&[][..], |r| &r.members);
                split_slots(&rank_members(members, &info.name), info.slots, &self.node)
            }
            _ => 0,
        }
    }
}

fn owner<'a>(members: &'a [NodeName], key: &str) -> Option<&'a NodeName> {
    let key = Key::new().text(key);
    let rank_key = |entry: &&NodeName| (key.clone().text(entry.as_str()).hash(), (*entry).clone());
    members.iter().min_by_key(rank_key)
}

/// The members in rendezvous order for the endpoint.
fn rank_members<'a>(members: &'a [NodeName], endpoint: &NodeName) -> Vec<&'a NodeName> {
    let key = Key::new().text(endpoint.as_str());
    let mut ranked: Vec<_> = members.iter().collect();
    ranked.sort_by_cached_key(|entry| (key.clone().text(entry.as_str()).hash(), (*entry).clone()));
    ranked
}

fn split_slots(ranked: &[&NodeName], slots: u32, node: &NodeName) -> u32 {
    let Some(position) = ranked.iter().position(|entry| *entry == node) else {
        return 0;
    };
    let holders = ranked.len() as u32;
    slots / holders + u32::from((position as u32) < slots % holders)
}
