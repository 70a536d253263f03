//! When control knows all slots of a region.

use std::time::Duration;

use filberthead_steer::{LEASE_DURATION, LEASE_MARGIN, Lessor, Renew, Roster, ServiceDemand};
use filberthead_types::{Epoch, FailureDomain, Incarnation, Moment, NodeName, Region};

use crate::common::{SLOTS, name, service};

const RUN: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(500);

/// An entry as control sees it: it follows what it is granted.
struct Entry {
    name: NodeName,
    domain: &'static str,
    serial: u64,
    accepted: u64,
    term: Epoch,
    roster: Option<Roster>,
    deaf: bool,
    leaving: bool,
    listed: bool,
}

impl Entry {
    fn new(node: &str, domain: &'static str) -> Self {
        Self {
            name: name(node),
            domain,
            serial: 0,
            accepted: 0,
            term: Epoch(0),
            roster: None,
            deaf: false,
            leaving: false,
            listed: true,
        }
    }

    fn domain(&self) -> FailureDomain {
        self.domain.parse().expect("a name")
    }

    fn renew(&mut self, now: Moment, lessor: &mut Lessor) {
        self.serial += 1;
        let demand = ServiceDemand {
            service: service(),
            slots: SLOTS,
            running: 0,
            waiting: 0,
            shifted: 0,
            shifted_waiting: 0,
        };
        let renew = Renew {
            incarnation: Incarnation(1),
            region: region(),
            failure_domain: self.domain(),
            term: self.term,
            serial: self.serial,
            accepted: self.accepted,
            roster: self.roster.clone(),
            refusing: None,
            promised: Vec::new(),
            leaving: self.leaving,
            parts: Vec::new(),
            demand: self.listed.then_some(demand).into_iter().collect(),
        };
        let grant = lessor.renew(now, &self.name, &renew);
        if !self.deaf {
            self.accepted = grant.serial;
            self.term = grant.term;
            self.roster = grant.roster.or(self.roster.take());
        }
    }
}

fn region() -> Region {
    "zagreb".parse().expect("a name")
}

/// A region with a leader that took over at the start.
struct Site {
    now: Moment,
    lessor: Lessor,
    entries: Vec<Entry>,
    domains: Vec<FailureDomain>,
}

impl Site {
    fn new(entries: Vec<Entry>) -> Self {
        let now = Duration::from_secs(100);
        Self {
            now,
            lessor: Lessor::new(now, Epoch(1), RUN),
            domains: entries.iter().map(Entry::domain).collect(),
            entries,
        }
    }

    fn next_leader(&mut self) {
        self.lessor = Lessor::new(self.now, Epoch(2), RUN);
    }

    /// Lets the entries that `heard` names renew for this long.
    fn run(&mut self, time: Duration, heard: &[&str]) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let renewing = self.entries.iter_mut();
            for entry in renewing.filter(|entry| heard.contains(&entry.name.as_str())) {
                entry.renew(self.now, &mut self.lessor);
            }
        }
    }

    fn knows(&self) -> bool {
        let domains = &self.domains;
        self.lessor.slots_are_complete(self.now, &region(), domains)
    }
}

fn two_domains() -> Site {
    let entries = vec![Entry::new("a1", "zagreb-a"), Entry::new("b1", "zagreb-b")];
    let mut site = Site::new(entries);
    site.run(Duration::from_secs(10), &["a1", "b1"]);
    assert!(site.knows());
    site
}

/// A new leader hears one of two entries. It knows the other one's failure domain by the
/// directory alone, so what it has heard is not what the region has, however long that lasts.
#[test]
fn an_entry_that_the_new_leader_has_not_heard_is_missed() {
    let mut site = two_domains();
    site.next_leader();
    for _ in 0..10 {
        site.run(Duration::from_secs(1), &["a1"]);
        assert!(!site.knows());
    }
    site.run(Duration::from_secs(2), &["a1", "b1"]);
    assert!(site.knows());
}

/// A new leader that has a directory of old may not know some entries. All that are alive
/// have renewed once the leases of the leader before have lapsed.
#[test]
fn a_new_leader_waits_until_all_may_have_renewed() {
    let mut site = two_domains();
    site.domains.clear();
    site.next_leader();
    site.run(LEASE_DURATION, &["a1", "b1"]);
    assert!(!site.knows());
    site.run(LEASE_MARGIN, &["a1", "b1"]);
    assert!(site.knows());
}

/// An entry falls silent. What it said last says nothing of what it has now.
#[test]
fn a_silent_entry_is_missed() {
    let mut site = two_domains();
    site.run(LEASE_DURATION, &["a1"]);
    assert!(!site.knows());
    site.run(STEP, &["a1", "b1"]);
    assert!(site.knows());
}

/// Control's answers don't reach an entry, so that its lease lapses and it owns nothing,
/// while its renewals go on coming.
#[test]
fn an_entry_without_a_lease_has_not_said_what_it_owns() {
    let mut site = two_domains();
    site.entries[1].deaf = true;
    site.run(LEASE_DURATION, &["a1", "b1"]);
    assert!(!site.knows());
    site.entries[1].deaf = false;
    site.run(2 * STEP, &["a1", "b1"]);
    assert!(site.knows());
}

/// An entry starts and takes over endpoints of its neighbour: what the one gave up the
/// other one doesn't own yet, until both follow the roster that names both.
#[test]
fn endpoints_on_their_way_between_entries_are_missed() {
    let entries = vec![Entry::new("a1", "zagreb-a"), Entry::new("a2", "zagreb-a")];
    let mut site = Site::new(entries);
    site.run(Duration::from_secs(10), &["a1"]);
    assert!(site.knows());
    let mut missed = 0;
    for _ in 0..10 {
        site.run(STEP, &["a1", "a2"]);
        let follows = |entry: &Entry| entry.roster.as_ref().is_some_and(|r| r.members.len() == 2);
        let told = site.entries.iter().all(follows);
        assert!(told || !site.knows());
        missed += u32::from(!site.knows());
    }
    assert!(missed > 0 && site.knows());
}

/// An entry that has no list of endpoints yet owns none, whatever there is.
#[test]
fn an_entry_without_a_list_has_not_said_what_it_owns() {
    let mut site = two_domains();
    site.entries[0].listed = false;
    site.run(STEP, &["a1", "b1"]);
    assert!(!site.knows());
}

/// The only entry of a failure domain stops in order. Nothing is left there to wait for.
#[test]
fn an_entry_that_was_stopped_in_order_is_not_missed() {
    let mut site = two_domains();
    site.entries[1].leaving = true;
    site.run(2 * STEP, &["a1", "b1"]);
    assert!(site.knows());
    site.run(LEASE_DURATION, &["a1"]);
    assert!(site.knows());
}
