//! The reports that a process receives: at a relay those of members, at the leader those of
//! relays.

use std::collections::BTreeMap;
use std::time::Duration;

use filberthead_types::{FailureDomain, Incarnation, Moment, NodeName, Version};

use crate::roster::Roster;
use crate::{Fingerprint, MemberInfo, Report, Sender};

/// Result of recording a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportOutcome {
    /// It contains no list of members.
    Unchanged,
    /// It contains a list of members.
    MembersChanged,
    /// The sender is new and waits for an answer.
    NewReporter,
    /// Its process has been replaced by a newer one; the report was ignored.
    Superseded,
}

/// A member as reported by itself or another process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedMember<'a> {
    pub(crate) info: &'a MemberInfo,
    pub(crate) version: Version,
    pub(crate) last_seen: Moment,
    is_direct: bool,
}

/// A process that reports here, and its last report.
#[derive(Debug)]
pub(crate) struct Reporter {
    pub(crate) sender: Sender,
    /// When its first report arrived.
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

    /// Whether `roster` is the list of members that its last report refers to.
    pub(crate) fn has_current_roster(&self) -> bool {
        self.roster.hash() == self.expected_hash
    }

    /// Failure domains of the members that it reports for; normally one.
    pub(crate) fn domains(&self) -> impl Iterator<Item = &FailureDomain> {
        let members = self.roster.members().iter();
        members.map(|member| &member.failure_domain)
    }

    fn update(&mut self, now: Moment, sender: &Sender, report: Report) {
        self.last_seen = now;
        self.sender.addr = sender.addr;
        // Messages may be reordered; versions in force only increase.
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

/// All processes that report here, by name.
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

    /// Records a report.
    ///
    /// A report of a replaced process may be delayed in a buffer and arrive after those of
    /// its successor. If it were recorded, the dead process would count as live again.
    /// Incarnations have no order, so the one replaced last is kept to recognise it.
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

    /// Removes a process that is stopping, and returns its last report.
    pub(crate) fn remove(&mut self, sender: &Sender) -> Option<Reporter> {
        let existing = self.reporters.get(&sender.name)?;
        if existing.sender.incarnation != sender.incarnation {
            return None;
        }
        self.reporters.remove(&sender.name)
    }

    /// Removes processes that have been silent for `silence`; returns whether there were any.
    pub(crate) fn expire(&mut self, now: Moment, silence: Duration) -> bool {
        let before = self.reporters.len();
        self.reporters
            .retain(|_, reporter| now.saturating_sub(reporter.last_seen) < silence);
        self.reporters.len() < before
    }

    /// All reported members, each once. A process's report about itself has priority over
    /// reports of others, and then the newest report.
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
