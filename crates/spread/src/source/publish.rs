//! Messages that the leader initiates: digests, deltas and directory records.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_types::{FailureDomain, Moment};

use crate::reports::Reporter;
use crate::{DomainRecord, MemberInfo, Message, Stamp};

use super::{Action, LastReport, Leadership, Source};

/// Minimum time between two publications, so that a starting failure domain causes a few of
/// them and not one for each member.
const PUBLISH_PAUSE: Duration = Duration::from_millis(200);
/// Maximum number of entries that status still shows after their removal from the directory.
const MAX_REMOVED_KEPT: usize = 256;

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

    /// Where deltas are sent: to the relays, and to the first two members of each failure
    /// domain by name. Each of them forwards it to all others, so that a change during the
    /// failure of a relay doesn't wait until that is detected.
    pub(super) fn delta_targets(&self, now: Moment) -> BTreeSet<SocketAddr> {
        let records = self.directory.records();
        let first_members = records.flat_map(|(_, record)| record.members.iter().take(2));
        let mut addrs: BTreeSet<_> = first_members.map(|member| member.peer_addr).collect();
        addrs.append(&mut self.relays(now));
        addrs
    }

    /// Where digests are sent: to all processes that report here. If no report for a failure
    /// domain has arrived within two periods, also to its first two members by name, so that
    /// a change doesn't wait until the failure of a relay is certain.
    fn relays(&self, now: Moment) -> BTreeSet<SocketAddr> {
        let late = self.cfg.heartbeat_period * 2;
        let mut addrs = BTreeSet::new();
        let mut reporting = BTreeSet::new();
        for reporter in self.reports.iter() {
            addrs.insert(reporter.sender.addr);
            if now.saturating_sub(reporter.last_seen) < late {
                reporting.extend(reporter.roster.members().iter().map(|m| &m.failure_domain));
            }
        }
        for (domain, record) in self.directory.records() {
            if !reporting.contains(domain) {
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
        let silent = |reporter: &Reporter| now.saturating_sub(reporter.last_seen) >= silence;
        if self.reports.iter().any(silent) {
            self.save_last_reports();
            self.reports.expire(now, silence);
            self.check_due = now;
        }
    }

    /// Saves the last report of each entry, so that status can show a removed entry with its
    /// last version.
    fn save_last_reports(&mut self) {
        let reported = self.reports.members().into_iter();
        let reported = reported.map(|(name, last)| (name.clone(), LastReport::from(last)));
        self.last_reports.extend(reported);
        let listed: BTreeSet<_> = self.directory.members().map(|m| &m.name).collect();
        let removed = self
            .last_reports
            .iter()
            .filter(|(name, _)| !listed.contains(name));
        let mut removed: Vec<_> = removed
            .map(|(name, last)| (last.last_seen, name.clone()))
            .collect();
        removed.sort();
        let excess = removed.len().saturating_sub(MAX_REMOVED_KEPT);
        for (_, name) in removed.into_iter().take(excess) {
            self.last_reports.remove(&name);
        }
    }

    /// Updates the directory from the reports and publishes the changed records.
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
        self.save_last_reports();
        self.directory.merge(records.clone());
        let message = Message::Directory {
            term: lead.term,
            records,
            push: true,
        };
        self.send_to_all(now, &message, out);
    }

    fn changed_records(
        &mut self,
        now: Moment,
        lead: Leadership,
    ) -> Vec<(FailureDomain, DomainRecord)> {
        let mut target = self.target_members(now, lead);
        let listed = self.directory.records().map(|(domain, _)| domain.clone());
        let domains: BTreeSet<_> = listed.chain(target.keys().cloned()).collect();
        let mut records = Vec::new();
        for domain in domains {
            let members = target.remove(&domain).unwrap_or_default();
            let current = self.directory.record(&domain);
            if current.map_or(&[][..], |record| &record.members) == members {
                continue;
            }
            self.stamp_number += 1;
            let stamp = Stamp {
                term: lead.term,
                number: self.stamp_number,
            };
            records.push((domain, DomainRecord { stamp, members }));
        }
        records
    }

    /// The members to publish for each failure domain, sorted by name.
    ///
    /// A new leader hasn't received reports from every failure domain, and a relay that has
    /// just started hasn't received them from every member. Publishing only the reported
    /// members would remove all others from answers for some seconds. So until a failure
    /// domain has settled, members are added and updated but not removed.
    fn target_members(
        &self,
        now: Moment,
        lead: Leadership,
    ) -> BTreeMap<FailureDomain, Vec<MemberInfo>> {
        let settled = self.settled_domains(now, lead);
        let reported = self.reports.members();
        let kept = self.directory.members();
        let kept = kept.filter(|member| !settled.contains(&member.failure_domain));
        let mut members: BTreeMap<_, _> = kept.map(|member| (&member.name, member)).collect();
        members.extend(reported.values().map(|last| (&last.info.name, last.info)));
        members.retain(|name, member| self.stopped.get(*name) != Some(&member.incarnation));
        let mut target = BTreeMap::<FailureDomain, Vec<MemberInfo>>::new();
        for member in members.into_values() {
            let domain = member.failure_domain.clone();
            target.entry(domain).or_default().push(member.clone());
        }
        target
    }

    /// Failure domains in which unreported members can be removed: those with a reporter that
    /// has had time to receive reports from all members, and those without a reporter, once this
    /// leader has had time to receive reports from all failure domains, and a member to take the
    /// place of a relay that has stopped.
    fn settled_domains(&self, now: Moment, lead: Leadership) -> BTreeSet<&FailureDomain> {
        let mut settled = BTreeSet::new();
        if now >= lead.since + self.cfg.domain_timeout {
            let listed = self.directory.records().map(|(domain, _)| domain);
            settled.extend(listed.filter(|domain| !self.is_replacing_relay(now, domain)));
        }
        let (mature, recent): (Vec<_>, Vec<_>) = self
            .reports
            .iter()
            .partition(|reporter| now >= reporter.since + self.cfg.member_timeout);
        for domain in recent.into_iter().flat_map(Reporter::domains) {
            settled.remove(domain);
        }
        settled.extend(mature.into_iter().flat_map(Reporter::domains));
        settled
    }

    fn is_replacing_relay(&self, now: Moment, domain: &FailureDomain) -> bool {
        let stopped_at = self.relay_stopped.get(domain);
        stopped_at.is_some_and(|at| now < *at + self.cfg.domain_timeout)
    }
}
