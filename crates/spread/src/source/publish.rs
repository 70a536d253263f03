//! What the leader sends on its own account: digests and lines of the directory.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_types::{FailureDomain, Moment};

use crate::reports::Reporter;
use crate::{DomainRecord, MemberInfo, Message, Stamp};

use super::{Action, Lead, Seen, Source};

/// Shortest time between two publications, so that a failure domain that starts up
/// makes a few of them and not one for each member.
const PUBLISH_PAUSE: Duration = Duration::from_millis(200);
/// Most entries that are shown after they were taken off the directory.
const KEPT_GONE: usize = 256;

impl Source {
    pub(super) fn send_digests(&mut self, now: Moment, out: &mut Vec<Action>) {
        let Some(lead) = self.lead else {
            return;
        };
        self.digest_due = now + self.cfg.heartbeat_period;
        let message = Message::Digest(self.digest(lead.term));
        self.send_to_all(now, &message, out);
    }

    fn send_to_all(&self, now: Moment, message: &Message, out: &mut Vec<Action>) {
        let targets = self
            .relays(now)
            .into_iter()
            .chain(self.replicas.iter().copied());
        out.extend(targets.map(|to| Action::Send {
            to,
            message: message.clone(),
        }));
    }

    /// Where a step goes: to the relays, and to the first two members of each failure
    /// domain by name. Each of them hands it on to all others, so a change that comes at
    /// the moment when a relay dies doesn't wait until that is noticed.
    pub(super) fn step_targets(&self, now: Moment) -> BTreeSet<SocketAddr> {
        let records = self.directory.records();
        let firsts = records.flat_map(|(_, record)| record.members.iter().take(2));
        let mut addrs: BTreeSet<_> = firsts.map(|member| member.peer_addr).collect();
        addrs.append(&mut self.relays(now));
        addrs
    }

    /// Where a digest goes: to whoever reports for a failure domain. While
    /// nobody has for more than two periods, to its first two members by name as well,
    /// so that a change doesn't wait until the death of a relay is certain.
    fn relays(&self, now: Moment) -> BTreeSet<SocketAddr> {
        let late = self.cfg.heartbeat_period * 2;
        let mut addrs = BTreeSet::new();
        let mut heard = BTreeSet::new();
        for reporter in self.reports.iter() {
            addrs.insert(reporter.sender.addr);
            if now.saturating_sub(reporter.heard) < late {
                heard.extend(reporter.roster.members().iter().map(|m| &m.failure_domain));
            }
        }
        for (domain, record) in self.directory.records() {
            if !heard.contains(domain) {
                let first = record
                    .members
                    .iter()
                    .filter(|member| !self.reports_here(member));
                addrs.extend(first.take(2).map(|member| member.peer_addr));
            }
        }
        addrs
    }

    fn reports_here(&self, member: &MemberInfo) -> bool {
        self.reports.get(&member.name).is_some()
    }

    pub(super) fn expire_reports(&mut self, now: Moment) {
        let silence = self.cfg.domain_timeout;
        let silent = |reporter: &Reporter| now.saturating_sub(reporter.heard) >= silence;
        if self.reports.iter().any(silent) {
            self.remember();
            self.reports.expire(now, silence);
            self.check_due = now;
        }
    }

    /// Keeps what was last heard of each entry, so that one that has gone can still be
    /// shown with its last version.
    fn remember(&mut self) {
        let reported = self.reports.members().into_iter();
        let reported = reported.map(|(name, last)| (name.clone(), Seen::from(last)));
        self.seen.extend(reported);
        let listed: BTreeSet<_> = self.directory.members().map(|m| &m.name).collect();
        let gone = self.seen.iter().filter(|(name, _)| !listed.contains(name));
        let mut gone: Vec<_> = gone
            .map(|(name, last)| (last.heard, name.clone()))
            .collect();
        gone.sort();
        let excess = gone.len().saturating_sub(KEPT_GONE);
        for (_, name) in gone.into_iter().take(excess) {
            self.seen.remove(&name);
        }
    }

    /// Brings the directory up to what is reported.
    pub(super) fn publish(&mut self, now: Moment, out: &mut Vec<Action>) {
        let Some(lead) = self.lead else {
            return;
        };
        if now < self.check_due || now < self.published + PUBLISH_PAUSE {
            return;
        }
        self.check_due = now + self.cfg.heartbeat_period;
        let records = self.changed_records(now, lead);
        if records.is_empty() {
            return;
        }
        self.published = now;
        self.remember();
        self.directory.merge(records.clone());
        let message = Message::Directory {
            term: lead.term,
            records,
            push: true,
        };
        self.send_to_all(now, &message, out);
    }

    fn changed_records(&mut self, now: Moment, lead: Lead) -> Vec<(FailureDomain, DomainRecord)> {
        let mut wanted = self.wanted_members(now, lead);
        let listed = self.directory.records().map(|(domain, _)| domain.clone());
        let domains: BTreeSet<_> = listed.chain(wanted.keys().cloned()).collect();
        let mut records = Vec::new();
        for domain in domains {
            let members = wanted.remove(&domain).unwrap_or_default();
            let current = self.directory.record(&domain);
            if current.map_or(&[][..], |record| &record.members) == members {
                continue;
            }
            self.number += 1;
            let stamp = Stamp {
                term: lead.term,
                number: self.number,
            };
            records.push((domain, DomainRecord { stamp, members }));
        }
        records
    }

    /// Members of each failure domain by name.
    ///
    /// Guards against publishing too few: a leader that has just taken over hasn't heard
    /// of every failure domain, and a relay that has just started hasn't heard of every
    /// member behind it. All others would vanish from answers for some seconds. Until a
    /// failure domain has settled, members are added and updated but none is taken off.
    fn wanted_members(&self, now: Moment, lead: Lead) -> BTreeMap<FailureDomain, Vec<MemberInfo>> {
        let settled = self.settled_domains(now, lead);
        let reported = self.reports.members();
        let kept = self.directory.members();
        let kept = kept.filter(|member| !settled.contains(&member.failure_domain));
        let mut members: BTreeMap<_, _> = kept.map(|member| (&member.name, member)).collect();
        members.extend(reported.values().map(|last| (&last.info.name, last.info)));
        members.retain(|name, member| self.stopped.get(*name) != Some(&member.incarnation));
        let mut wanted = BTreeMap::<FailureDomain, Vec<MemberInfo>>::new();
        for member in members.into_values() {
            let domain = member.failure_domain.clone();
            wanted.entry(domain).or_default().push(member.clone());
        }
        wanted
    }

    /// Failure domains about which silence says something: those with a reporter that
    /// has had time to hear of every member, and once this leader has had time to hear
    /// of every failure domain, those without a reporter.
    fn settled_domains(&self, now: Moment, lead: Lead) -> BTreeSet<&FailureDomain> {
        let mut settled = BTreeSet::new();
        if now >= lead.since + self.cfg.domain_timeout {
            settled.extend(self.directory.records().map(|(domain, _)| domain));
        }
        let (seasoned, fresh): (Vec<_>, Vec<_>) = self
            .reports
            .iter()
            .partition(|reporter| now >= reporter.since + self.cfg.member_timeout);
        for domain in fresh.into_iter().flat_map(Reporter::domains) {
            settled.remove(domain);
        }
        settled.extend(seasoned.into_iter().flat_map(Reporter::domains));
        settled
    }
}
