//! The part of the distribution protocol that runs on each control replica.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_table::View;
use filberthead_types::{Epoch, FailureDomain, Incarnation, Moment, NodeName, Version};

use crate::directory::Directory;
use crate::history::History;
use crate::reports::{ReportOutcome, ReportedMember, Reports};
use crate::{Answer, Config, Digest, DigestKind, Fingerprint, Leader, MemberInfo, Message};
use crate::{Report, Responder, Sender, Stamp};

mod publish;

/// Input of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed; sent at least every 100 ms.
    Tick,
    /// The replica's state machine has committed this version. Must be sent before the operator
    /// who made the change receives an answer.
    Committed(Arc<View>),
    /// The replica leads with a lease valid until `until`, and has applied all log entries of
    /// earlier terms. Repeated as the lease is renewed.
    Lead {
        /// Its term.
        term: Epoch,
        /// End of the lease.
        until: Moment,
    },
    /// The replica doesn't lead.
    Follow {
        /// The leader, if known.
        leader: Option<Leader>,
    },
    /// A message has arrived.
    Received {
        /// Its sender.
        from: Sender,
        /// The message.
        message: Message,
    },
}

/// Output of a step, carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// Its destination.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The directory has changed: live and leaving entries of all failure domains.
    Entries(Vec<MemberInfo>),
}

/// State of an entry as returned by [`Source::status`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// The entry.
    pub member: MemberInfo,
    /// Version in force there; `None` if no report of it has reached this leader.
    pub version: Option<Version>,
    /// Time since its last report, direct or through its relay; `None` if there was none.
    pub age: Option<Duration>,
    /// Whether it is in the directory.
    pub live: bool,
}

/// State of an entry from its last report.
#[derive(Clone, Debug)]
struct LastReport {
    info: MemberInfo,
    version: Version,
    last_seen: Moment,
}

impl From<ReportedMember<'_>> for LastReport {
    fn from(reported: ReportedMember<'_>) -> Self {
        Self {
            info: reported.info.clone(),
            version: reported.version,
            last_seen: reported.last_seen,
        }
    }
}

/// Term, lease and begin of this replica's leadership.
#[derive(Clone, Copy, Debug)]
struct Leadership {
    term: Epoch,
    until: Moment,
    since: Moment,
}

/// Distribution state of one control replica.
#[derive(Debug)]
pub struct Source {
    cfg: Config,
    /// Addresses of the other control replicas.
    replicas: Vec<SocketAddr>,
    history: History,
    reports: Reports,
    directory: Directory,
    stamp_number: u64,
    lead: Option<Leadership>,
    leader: Option<Leader>,
    /// Last reports received by this leader, by entry, removed entries included.
    last_reports: BTreeMap<NodeName, LastReport>,
    /// Entries that have announced their stop.
    stopped: BTreeMap<NodeName, Incarnation>,
    /// Failure domains whose relay has announced its stop, and when. Another member takes
    /// its place within [`Config::domain_timeout`].
    relay_stopped: BTreeMap<FailureDomain, Moment>,
    digest_due: Moment,
    /// When to check for changed records, at the latest.
    check_due: Moment,
    published: Moment,
    notified: Fingerprint,
}

impl Source {
    /// Creates a source that doesn't lead.
    pub fn new(cfg: Config, replicas: Vec<SocketAddr>) -> Self {
        let directory = Directory::default();
        Self {
            history: History::new(cfg.kept_deltas),
            reports: Reports::default(),
            stamp_number: 0,
            lead: None,
            leader: None,
            last_reports: BTreeMap::new(),
            stopped: BTreeMap::new(),
            relay_stopped: BTreeMap::new(),
            digest_due: Moment::ZERO,
            check_due: Moment::ZERO,
            published: Moment::ZERO,
            notified: directory.hash(),
            cfg,
            replicas,
            directory,
        }
    }

    /// Sets the addresses of the other control replicas after a replacement.
    pub fn set_replicas(&mut self, replicas: Vec<SocketAddr>) {
        self.replicas = replicas;
    }

    /// Processes an event and returns what to do.
    pub fn step(&mut self, now: Moment, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.check_lease(now);
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Committed(view) => self.commit(now, view, &mut out),
            Event::Lead { term, until } => self.become_leader(now, term, until, &mut out),
            Event::Follow { leader } => {
                self.lead = None;
                self.leader = leader;
            }
            Event::Received { from, message } => self.receive(now, &from, message, &mut out),
        }
        self.notify(&mut out);
        out
    }

    /// Live and leaving entries of all failure domains.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// All entries with the version in force at each, sorted by name.
    pub fn status(&self, now: Moment) -> Vec<MemberStatus> {
        let mut last_reports = self.last_reports.clone();
        let reported = self.reports.members().into_iter();
        last_reports.extend(reported.map(|(name, last)| (name.clone(), LastReport::from(last))));
        let gone = last_reports.values().map(|last| (&last.info, false));
        let listed = self.directory.members().map(|member| (member, true));
        let mut status = BTreeMap::new();
        for (member, live) in gone.chain(listed) {
            let last = last_reports.get(&member.name);
            let member_status = MemberStatus {
                member: member.clone(),
                version: last.map(|last| last.version),
                age: last.map(|last| now.saturating_sub(last.last_seen)),
                live,
            };
            status.insert(member.name.clone(), member_status);
        }
        status.into_values().collect()
    }

    /// Ends the leadership when the lease has expired by the local clock, before anything else
    /// is processed. A replica that was suspended or cut off must not prove or publish as if
    /// it still led.
    fn check_lease(&mut self, now: Moment) {
        if self.lead.is_some_and(|lead| now >= lead.until) {
            self.lead = None;
        }
    }

    fn become_leader(&mut self, now: Moment, term: Epoch, until: Moment, out: &mut Vec<Action>) {
        match &mut self.lead {
            Some(lead) if lead.term == term => lead.until = until,
            _ => {
                let since = now;
                self.lead = Some(Leadership { term, until, since });
                self.reports.clear();
                self.last_reports.clear();
                self.stopped.clear();
                self.relay_stopped.clear();
                self.send_digests(now, out);
            }
        }
    }

    fn tick(&mut self, now: Moment, out: &mut Vec<Action>) {
        if self.lead.is_none() {
            return;
        }
        self.expire_reports(now);
        self.publish(now, out);
        if now >= self.digest_due {
            self.send_digests(now, out);
        }
    }

    fn commit(&mut self, now: Moment, view: Arc<View>, out: &mut Vec<Action>) {
        self.history.apply_committed(view);
        if self.lead.is_none() {
            return;
        }
        let Some(delta) = self.history.last_delta() else {
            return;
        };
        for to in self.delta_targets(now) {
            let message = delta.clone();
            out.push(Action::Send { to, message });
        }
    }

    fn receive(&mut self, now: Moment, from: &Sender, message: Message, out: &mut Vec<Action>) {
        let to = from.addr;
        let reply = match message {
            Message::Report(report) => return self.on_report(now, from, report, out),
            Message::Digest(digest) => self.on_digest(&digest),
            Message::TablePull { base } => self.history.catch_up(base),
            Message::DirectoryPull { stamps } => self.records_since(&stamps),
            Message::Directory { records, .. } => {
                self.directory.merge(records);
                None
            }
            Message::Query { nonce, .. } => Some(self.answer(nonce)),
            Message::Bye => {
                self.on_bye(now, from);
                None
            }
            // Sent only between entries, or only to entries.
            Message::ReportPull
            | Message::RosterPull
            | Message::Roster(_)
            | Message::Delta { .. }
            | Message::Table { .. }
            | Message::Answer(_)
            | Message::NotLeader { .. } => None,
        };
        out.extend(reply.map(|message| Action::Send { to, message }));
    }

    fn on_report(&mut self, now: Moment, from: &Sender, report: Report, out: &mut Vec<Action>) {
        let to = from.addr;
        let mut reply = |message| out.push(Action::Send { to, message });
        let Some(lead) = self.lead else {
            let leader = self.leader;
            return reply(Message::NotLeader { leader });
        };
        let directory = report.directory;
        match self.reports.record(now, from, report) {
            ReportOutcome::Superseded => return,
            ReportOutcome::NewReporter => {
                reply(Message::Digest(self.digest(lead.term)));
                self.check_due = now;
            }
            ReportOutcome::MembersChanged => self.check_due = now,
            ReportOutcome::Unchanged => {}
        }
        let reporter = self.reports.get(&from.name);
        if reporter.is_some_and(|reporter| !reporter.has_current_roster()) {
            reply(Message::ReportPull);
        }
        if directory != self.directory.hash() {
            let stamps = self.directory.stamps();
            reply(Message::DirectoryPull { stamps });
        }
    }

    /// Removes an entry that announces its planned stop. The members that it reported for stay
    /// listed until another relay reports for them.
    fn on_bye(&mut self, now: Moment, from: &Sender) {
        let replace_within = self.cfg.domain_timeout;
        self.relay_stopped
            .retain(|_, stopped_at| now < *stopped_at + replace_within);
        if let Some(reporter) = self.reports.remove(from) {
            let domains = reporter.domains().cloned();
            self.relay_stopped
                .extend(domains.map(|domain| (domain, now)));
        }
        self.stopped.insert(from.name.clone(), from.incarnation);
        self.check_due = now;
    }

    /// Pulls the leader's directory if it differs. A follower keeps a copy, so that it has the
    /// addresses of entries when it becomes the leader.
    fn on_digest(&self, digest: &Digest) -> Option<Message> {
        let leader = matches!(digest.kind, DigestKind::Leader { .. });
        let differs = digest.directory != self.directory.hash();
        let stamps = self.directory.stamps();
        (leader && differs).then_some(Message::DirectoryPull { stamps })
    }

    fn records_since(&self, stamps: &[(FailureDomain, Stamp)]) -> Option<Message> {
        let records = self.directory.newer_than(stamps);
        (!records.is_empty()).then(|| Message::Directory {
            term: self.lead.map(|lead| lead.term).unwrap_or_default(),
            records,
            push: false,
        })
    }

    fn answer(&self, nonce: u64) -> Message {
        let responder = match self.lead {
            Some(lead) => Responder::Leader { term: lead.term },
            None => Responder::Follower {
                leader: self.leader,
            },
        };
        Message::Answer(Answer {
            nonce,
            version: self.history.version(),
            directory: self.directory.hash(),
            responder,
        })
    }

    fn digest(&self, term: Epoch) -> Digest {
        Digest {
            version: self.history.version(),
            table: self.history.hash(),
            directory: self.directory.hash(),
            kind: DigestKind::Leader { term },
        }
    }

    fn notify(&mut self, out: &mut Vec<Action>) {
        if self.notified != self.directory.hash() {
            self.notified = self.directory.hash();
            out.push(Action::Entries(self.directory.members().cloned().collect()));
        }
    }
}
