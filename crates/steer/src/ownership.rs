//! Which entry admits to which endpoint.
//!
//! Every entry follows a roster of its failure domain, which names the owner of each
//! endpoint, and admits only while its membership is in force: leased by control, or
//! promised by a majority of the members. The lease is checked before each admission,
//! by the clock of that moment, because a process that was suspended wakes with its
//! lease long past and its queue full.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use filberthead_types::{Epoch, Moment, NodeName};

use crate::config::{Config, SlotOwnership};
use crate::hash::Key;
use crate::lease::{Grant, LEASE_DURATION, LEASE_MARGIN, Roster, majority};
use crate::{EndpointInfo, EntryInfo};

/// How long a process that starts waits for its first grant. Shorter than it refuses
/// callers while no table is proven to it, so that it has slots when it opens.
const FIRST_GRANT_TIMEOUT: Duration = Duration::from_secs(2);
/// Renewals whose moment of sending is kept; older ones are too late to be answered.
const MAX_TRACKED_SERIALS: u64 = 16;

/// An entry's membership in its failure domain's roster.
#[derive(Debug)]
pub struct Ownership {
    node: NodeName,
    leased: bool,
    started: Moment,
    roster: Option<Roster>,
    serial: u64,
    sent_at: BTreeMap<u64, Moment>,
    control_lease_until: Moment,
    promises_received: BTreeMap<NodeName, Moment>,
    promises_given: BTreeMap<NodeName, Moment>,
    /// The member that control would have removed.
    suspect: Option<NodeName>,
    /// Members whose removal this one has confirmed by its roster. It promises them
    /// nothing before it learns that they were kept: two members that come back after
    /// each was removed would else put each other in force by the roster of before.
    confirmed_removals: BTreeSet<NodeName>,
}

impl Ownership {
    /// A member of no roster yet.
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
            serial: 0,
            sent_at: BTreeMap::new(),
            control_lease_until: Moment::ZERO,
            promises_received: BTreeMap::new(),
            promises_given: BTreeMap::new(),
            suspect: None,
            confirmed_removals: BTreeSet::new(),
        }
    }

    /// Without leases the live entries are taken for the roster, which is exact only
    /// while all of them see the same.
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

    /// Epoch of the roster that is followed.
    pub(crate) fn epoch(&self) -> Option<Epoch> {
        self.roster.as_ref().map(|roster| roster.epoch)
    }

    /// The roster that is followed.
    pub fn roster(&self) -> Option<&Roster> {
        self.roster.as_ref()
    }

    /// The member that gets no more promises: one that control doesn't hear, and that
    /// hasn't asked here either for as long as a promise holds. One that still asks is
    /// alive, and keeps its endpoints although control can't reach it.
    pub fn refusing(&self, now: Moment) -> Option<&NodeName> {
        self.suspect.as_ref().filter(|name| {
            let until = self.promises_given.get(*name).copied();
            until.is_none_or(|until| now >= until)
        })
    }

    /// Tells control which member gets no more promises, and holds to it.
    pub fn confirm_removal(&mut self, now: Moment) -> Option<NodeName> {
        let refusing = self.refusing(now).cloned()?;
        self.confirmed_removals.insert(refusing.clone());
        Some(refusing)
    }

    /// Members to whom a promise may still hold. A process that has just started may
    /// have promised anything before, so it names all of them.
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

    /// Numbers a renewal, or a question to a member, that is sent now.
    pub fn next_serial(&mut self, now: Moment) -> u64 {
        self.serial += 1;
        self.sent_at.insert(self.serial, now);
        let oldest = self.serial.saturating_sub(MAX_TRACKED_SERIALS);
        self.sent_at = self.sent_at.split_off(&oldest);
        self.serial
    }

    /// When the renewal of this number was sent, unless that is too long ago.
    pub fn sent_at(&self, serial: u64) -> Option<Moment> {
        self.sent_at.get(&serial).copied()
    }

    /// Takes in control's answer to a renewal.
    pub fn apply_grant(&mut self, grant: &Grant) {
        self.suspect = grant.refuse.clone();
        let Some(roster) = &grant.roster else { return };
        let current_epoch = self.roster.as_ref().map_or(Epoch(0), |r| r.epoch);
        if roster.epoch < current_epoch {
            return;
        }
        if roster.epoch > current_epoch {
            self.roster = Some(roster.clone());
            self.confirmed_removals.clear();
        } else {
            let is_kept = |name: &NodeName| roster.has(name) && grant.refuse.as_ref() != Some(name);
            self.confirmed_removals.retain(|name| !is_kept(name));
        }
        if grant.leased
            && let Some(sent_at) = self.sent_at.get(&grant.serial)
        {
            self.control_lease_until = self.control_lease_until.max(*sent_at + LEASE_DURATION);
        }
    }

    /// Answers another member's question: whether it gets a promise.
    pub fn grant_promise(&mut self, now: Moment, by: &NodeName, epoch: Epoch) -> bool {
        // A member that was removed while it was cut off still asks by its old roster; a
        // promise would put it back in force beside whoever has its endpoints now. One
        // that has restarted can't tell, so it promises nothing before it has a roster.
        let covers_both = |r: &Roster| r.has(by) && r.has(&self.node) && epoch.next() >= r.epoch;
        let is_member = self.roster.as_ref().is_some_and(covers_both);
        if !is_member || self.confirmed_removals.contains(by) || self.refusing(now) == Some(by) {
            return false;
        }
        self.promises_given
            .insert(by.clone(), now + LEASE_DURATION + LEASE_MARGIN);
        true
    }

    /// Another member promises, in answer to the question of this number.
    pub fn record_promise(&mut self, from: NodeName, serial: u64) {
        if let Some(sent_at) = self.sent_at.get(&serial) {
            let until = self.promises_received.entry(from).or_default();
            *until = (*until).max(*sent_at + LEASE_DURATION);
        }
    }

    /// Other members, to be asked for promises.
    pub fn other_members(&self) -> Vec<NodeName> {
        let members = self.roster.iter().flat_map(|r| &r.members);
        members
            .filter(|name| **name != self.node)
            .cloned()
            .collect()
    }

    /// Whether this entry's membership is in force now.
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
        let has_promised = |name: &&NodeName| {
            **name == self.node
                || self
                    .promises_received
                    .get(*name)
                    .is_some_and(|until| now < *until)
        };
        let promises = roster.members.iter().filter(has_promised).count();
        now < self.control_lease_until || promises >= majority(roster.members.len())
    }

    /// Whether this entry has long had neither control's lease nor a majority's promises.
    ///
    /// Every membership that it held has lapsed, and so has that of any member which
    /// relied on its promise. A member that control removed is not isolated: another
    /// one has its endpoints.
    pub fn is_isolated(&self, now: Moment) -> bool {
        if !self.leased || self.in_force(now) {
            return false;
        }
        let removed = self.roster.as_ref().is_some_and(|r| !r.has(&self.node));
        if removed {
            return false;
        }
        // A process that has just started has no lease of its own to wait out; it only
        // gives control the time to answer.
        if self.roster.is_none() {
            return now >= self.started + FIRST_GRANT_TIMEOUT;
        }
        let promised_until = self.promises_received.values().max().copied();
        let lapsed_since = self
            .control_lease_until
            .max(promised_until.unwrap_or_default());
        now >= lapsed_since + LEASE_DURATION + LEASE_MARGIN
    }

    /// Whether this entry may admit now to what the key names: a service's endpoints in
    /// the failure domain, or one endpoint.
    pub fn owns(&self, now: Moment, key: &str) -> bool {
        let owner = self.roster.as_ref().and_then(|r| owner(&r.members, key));
        owner == Some(&self.node) && self.in_force(now)
    }

    /// Slots of the endpoint that this entry may fill.
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

/// Entries in the order of their claim to the endpoint.
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
