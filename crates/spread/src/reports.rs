//! Who reports here, and for which members: kept by a relay for the members behind it
//! and by the leader for the relays.

use std::collections::BTreeMap;
use std::time::Duration;

use filberthead_types::{FailureDomain, Incarnation, Moment, NodeName, Version};

use crate::roster::Roster;
use crate::{Fingerprint, MemberInfo, Report, Sender};

/// What a report asks of its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportOutcome {
    /// The same members as before.
    Unchanged,
    /// Other members than before.
    MembersChanged,
    /// The sender wasn't known: it waits for an answer.
    NewReporter,
    /// Of a process that has been replaced by a newer one.
    Superseded,
}

/// A member as somebody reported it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedMember<'a> {
    pub(crate) info: &'a MemberInfo,
    pub(crate) version: Version,
    pub(crate) last_seen: Moment,
    is_direct: bool,
}

#[derive(Debug)]
pub(crate) struct Reporter {
    pub(crate) sender: Sender,
    /// When it began to report.
    pub(crate) since: Moment,
    pub(crate) last_seen: Moment,
    pub(crate) roster: Roster,
    version: Version,
    expected_hash: Fingerprint,
    other_versions: BTreeMap<u16, Version>,
    replaced_incarnation: Option<Incarnation>,
}

impl Reporter {
    fn new(now: Moment, sender: Sender, replaced_incarnation: Option<Incarnation>) -> Self {
        Self {
            sender,
            since: now,
            last_seen: now,
            roster: Roster::default(),
            version: Version(0),
            expected_hash: Fingerprint::default(),
            other_versions: BTreeMap::new(),
            replaced_incarnation,
        }
    }

    /// Whether the members that it reports for are known.
    pub(crate) fn has_current_roster(&self) -> bool {
        self.roster.hash() == self.expected_hash
    }

    /// Failure domains of the members that it reports for; as a rule it is one.
    pub(crate) fn domains(&self) -> impl Iterator<Item = &FailureDomain> {
        let members = self.roster.members().iter();
        members.map(|member| &member.failure_domain)
    }

    fn update(&mut self, now: Moment, sender: &Sender, report: Report) {
        self.last_seen = now;
        self.sender.addr = sender.addr;
        // Messages may overtake each other; versions in force only go up.
        self.version = self.version.max(report.version);
        self.expected_hash = report.roster;
        self.other_versions = report.other_versions.into_iter().collect();
        if let Some(members) = report.members {
            self.roster = Roster::new(members);
        }
    }

    fn members(&self) -> impl Iterator<Item = ReportedMember<'_>> {
        self.roster.members().iter().zip(0..).map(|(info, index)| {
            let other = self
                .other_versions
                .get(&index)
                .filter(|_| self.has_current_roster());
            ReportedMember {
                info,
                version: other.copied().unwrap_or(self.version),
                last_seen: self.last_seen,
                is_direct: info.name == self.sender.name,
            }
        })
    }
}

/// Everybody who reports here.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    reporters: BTreeMap<NodeName, Reporter>,
}

impl Reports {
    pub(crate) fn clear(&mut self) {
        self.reporters.clear();
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Reporter> {
        self.reporters.values()
    }

    pub(crate) fn get(&self, name: &NodeName) -> Option<&Reporter> {
        self.reporters.get(name)
    }

    /// Takes in a report.
    ///
    /// A report of a process that was replaced may arrive after those of its successor,
    /// left over in a buffer. Taken in, it would show the dead process as live again;
    /// incarnations have no order, so the one replaced last is remembered.
    pub(crate) fn record(&mut self, now: Moment, sender: &Sender, report: Report) -> ReportOutcome {
        let (is_new, replaced_incarnation) = match self.reporters.get(&sender.name) {
            Some(existing) if existing.sender.incarnation == sender.incarnation => (false, None),
            Some(existing) if existing.replaced_incarnation == Some(sender.incarnation) => {
                return ReportOutcome::Superseded;
            }
            Some(existing) => (true, Some(existing.sender.incarnation)),
            None => (true, None),
        };
        if is_new {
            let reporter = Reporter::new(now, sender.clone(), replaced_incarnation);
            self.reporters.insert(sender.name.clone(), reporter);
        }
        let has_members = report.members.is_some();
        if let Some(reporter) = self.reporters.get_mut(&sender.name) {
            reporter.update(now, sender, report);
        }
        match (is_new, has_members) {
            (true, _) => ReportOutcome::NewReporter,
            (false, true) => ReportOutcome::MembersChanged,
            (false, false) => ReportOutcome::Unchanged,
        }
    }

    /// Forgets a process that has said that it stops.
    pub(crate) fn remove(&mut self, sender: &Sender) {
        let is_same_process =
            |existing: &Reporter| existing.sender.incarnation == sender.incarnation;
        if self
            .reporters
            .get(&sender.name)
            .is_some_and(is_same_process)
        {
            self.reporters.remove(&sender.name);
        }
    }

    /// Forgets who has been silent for so long.
    /// Says whether there was any.
    pub(crate) fn expire(&mut self, now: Moment, silence: Duration) -> bool {
        let before = self.reporters.len();
        self.reporters
            .retain(|_, reporter| now.saturating_sub(reporter.last_seen) < silence);
        self.reporters.len() < before
    }

    /// All members reported, each once. What a process says of itself goes before what
    /// others say of it, then what was heard last.
    pub(crate) fn members(&self) -> BTreeMap<&NodeName, ReportedMember<'_>> {
        let mut members = BTreeMap::<&NodeName, ReportedMember<'_>>::new();
        for reported in self.reporters.values().flat_map(Reporter::members) {
            let rank = |r: &ReportedMember<'_>| (r.is_direct, r.last_seen);
            let existing = members.get(&reported.info.name);
            if existing.is_none_or(|existing| rank(existing) < rank(&reported)) {
                members.insert(&reported.info.name, reported);
            }
        }
        members
    }
}
