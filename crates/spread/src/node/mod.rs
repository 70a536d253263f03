//! The part of the distribution protocol that runs on each entry.

mod domain;
mod leader;
mod proof;
mod report;
mod table;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use filberthead_table::View;
use filberthead_types::{Epoch, Moment, NodeName, Version};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::directory::Directory;
use crate::history::History;
use crate::{Config, Fingerprint, Leader, MemberInfo, Message, Sender};

use self::domain::Domain;
use self::proof::Proof;
use self::table::Pull;

/// Input of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(
    clippy::large_enum_variant,
    reason = "an event lives for one step only"
)]
pub enum Event {
    /// Time has passed; sent at least every 100 ms.
    Tick,
    /// A message has arrived.
    Received {
        /// Its sender.
        from: Sender,
        /// The message.
        message: Message,
    },
    /// This process begins a planned stop.
    Leave,
    /// This process is ending; the last event of a planned stop.
    Stop,
}

/// Which weights a node may act on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Readiness {
    /// None: the node has just started and is querying the newest version.
    #[default]
    Starting,
    /// None, but it may serve: the newest version isn't proven, or a newer one than the
    /// one held is known to exist. Requests go evenly to endpoints of the same failure
    /// domain that report themselves ready, and never to other regions.
    Cautious,
    /// The weights of the view in force.
    Proven,
}

impl Readiness {
    /// The name shown to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Cautious => "cautious",
            Self::Proven => "proven",
        }
    }
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
    /// Act on this view from now on. Versions only increase.
    InForce(Arc<View>),
    /// The live and leaving entries of all failure domains, this one included.
    Entries(Vec<MemberInfo>),
    /// The readiness has changed.
    Readiness(Readiness),
    /// Another node holds different rows under the same version: the memory of one of the
    /// two is corrupted, and an operator should restart both.
    Diverged,
}

/// Addresses from a node's settings.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    /// The control replicas.
    pub controls: Vec<SocketAddr>,
    /// Entries to query at start.
    pub seeds: Vec<SocketAddr>,
}

/// State of a node, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Version of the view held.
    pub version: Version,
    /// Newest version known to exist.
    pub newest_known: Version,
    /// Which weights it may act on.
    pub readiness: Readiness,
    /// The control leader, if known.
    pub leader: Option<Leader>,
    /// When the leader was last known to be live, from its own message or the relay's.
    pub leader_last_seen: Option<Moment>,
    /// The relay that it reports to; `None` if it reports to control.
    pub relay: Option<NodeName>,
    /// Whether the last node compared with holds different rows under the same version.
    pub diverged: bool,
}

/// Distribution state of one entry.
#[derive(Debug)]
pub struct Node {
    cfg: Config,
    rng: StdRng,
    local: MemberInfo,
    contacts: Contacts,
    history: History,
    newest_known: Version,
    pull: Pull,
    diverged: bool,
    directory: Directory,
    directory_pulled_at: Option<Moment>,
    term: Epoch,
    leader: Option<Leader>,
    leader_last_seen: Option<Moment>,
    next_control: usize,
    proof: Proof,
    domain: Domain,
    due: Due,
    last_step_at: Option<Moment>,
    notified: Notified,
}

/// When periodic messages are due next.
#[derive(Debug, Default)]
struct Due {
    report: Moment,
    digest: Moment,
    gossip: Moment,
    remote_gossip: Moment,
    probe: Moment,
}

/// State that was last passed to the owner in actions.
#[derive(Debug, Default)]
struct Notified {
    in_force: Option<Version>,
    readiness: Readiness,
    diverged: bool,
    /// Hashes of the directory and of the failure domain's roster, and whether this entry
    /// is leaving: everything that the list of entries depends on.
    entries: Option<(Fingerprint, Fingerprint, bool)>,
}

impl Node {
    /// Creates a node without state, which is [`Readiness::Starting`].
    pub fn new(cfg: Config, local: MemberInfo, contacts: Contacts) -> Self {
        let mut rng = StdRng::seed_from_u64(cfg.seed);
        Self {
            history: History::new(cfg.kept_deltas),
            newest_known: cfg.watermark,
            pull: Pull::default(),
            diverged: false,
            directory: Directory::default(),
            directory_pulled_at: None,
            term: Epoch::default(),
            leader: None,
            leader_last_seen: None,
            next_control: 0,
            proof: Proof::new(&mut rng),
            domain: Domain::new(&local),
            due: Due::default(),
            last_step_at: None,
            notified: Notified::default(),
            cfg,
            rng,
            local,
            contacts,
        }
    }

    /// Processes an event and returns what to do.
    pub fn step(&mut self, now: Moment, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.begin_step(now, &mut out);
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Received { from, message } => self.receive(now, &from, message, &mut out),
            Event::Leave => self.leave(now, &mut out),
            Event::Stop => self.stop(&mut out),
        }
        self.notify(&mut out);
        out
    }

    /// The newest view held, proven or not. Its weights may be acted on only after an
    /// [`Action::InForce`] with it; its limits apply at any time.
    pub fn view(&self) -> &Arc<View> {
        self.history.view()
    }

    /// The control leader, if known.
    pub fn leader(&self) -> Option<Leader> {
        self.leader
    }

    /// Whether the view held is the newest, but for changes after the leader was last seen:
    /// the view is proven, and the leader, which announces its own version, isn't silent. Only
    /// then may the node answer that something missing from the view doesn't exist.
    ///
    /// A node that is cut off stays [`Readiness::Proven`]: it may act on the view it holds.
    pub fn is_current(&self, now: Moment) -> bool {
        self.readiness() == Readiness::Proven && !self.leader_is_silent(now)
    }

    /// State for operators.
    pub fn status(&self) -> Status {
        Status {
            version: self.history.version(),
            newest_known: self.newest_known,
            readiness: self.readiness(),
            leader: self.leader,
            leader_last_seen: self.leader_last_seen,
            relay: self.domain.relay().cloned(),
            diverged: self.diverged,
        }
    }

    fn begin_step(&mut self, now: Moment, out: &mut Vec<Action>) {
        match self.last_step_at.replace(now) {
            None => self.first_step(now, out),
            // A suspended process resumes with a view that may be hundreds of changes old
            // and a proof that doesn't cover them, so it starts over.
            Some(at) if now.saturating_sub(at) > self.cfg.suspend_threshold => self.reset(now, out),
            Some(_) => {}
        }
    }

    fn first_step(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.jitter_due_times(now);
        self.reset(now, out);
    }

    fn reset(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.proof = Proof::new(&mut self.rng);
        self.proof.start(now);
        self.query(now, out);
    }

    fn tick(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.tick_proof(now, out);
        self.tick_table(now, out);
        self.tick_domain(now, out);
    }

    fn receive(&mut self, now: Moment, from: &Sender, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Report(report) => self.on_report(now, from, report, out),
            Message::ReportPull => self.send_report(from.addr, true, out),
            Message::RosterPull => self.send_roster(from.addr, out),
            Message::Roster(members) => self.on_roster(now, from, members, out),
            Message::Digest(digest) => self.on_digest(now, from, &digest, out),
            Message::TablePull { base } => out.extend(send(from.addr, self.history.catch_up(base))),
            Message::Delta { delta, table, push } => {
                self.on_delta(now, from, &delta, table, push, out);
            }
            Message::Table { view, table } => self.on_table(now, from, &view, table, out),
            Message::DirectoryPull { stamps } => self.on_directory_pull(from, &stamps, out),
            Message::Directory {
                term,
                records,
                push,
            } => {
                self.on_directory(now, term, records, push, out);
            }
            Message::Query { nonce, member } => self.on_query(now, from, nonce, member, out),
            Message::Answer(answer) => self.on_answer(now, from, answer, out),
            Message::NotLeader { leader } => self.on_not_leader(now, leader, out),
            Message::Bye => self.on_bye(now, from, out),
        }
    }

    /// Passes changed state to the owner.
    fn notify(&mut self, out: &mut Vec<Action>) {
        let readiness = self.readiness();
        self.notify_in_force(readiness, out);
        if self.notified.readiness != readiness {
            self.notified.readiness = readiness;
            out.push(Action::Readiness(readiness));
        }
        self.notify_diverged(out);
        self.notify_entries(out);
    }

    /// Passes a view to the owner only while it is proven to be the newest that this node
    /// knows of, so that a restart or a lost message never brings old weights into force.
    /// The version can't decrease, because that of [`History`] never does.
    fn notify_in_force(&mut self, readiness: Readiness, out: &mut Vec<Action>) {
        let version = self.history.version();
        if readiness != Readiness::Proven || self.notified.in_force == Some(version) {
            return;
        }
        self.notified.in_force = Some(version);
        out.push(Action::InForce(Arc::clone(self.history.view())));
    }

    fn notify_diverged(&mut self, out: &mut Vec<Action>) {
        let notified = std::mem::replace(&mut self.notified.diverged, self.diverged);
        if self.diverged && !notified {
            out.push(Action::Diverged);
        }
    }

    fn notify_entries(&mut self, out: &mut Vec<Action>) {
        let roster = self.domain.roster().hash();
        let key = (self.directory.hash(), roster, self.local.leaving);
        if self.notified.entries != Some(key) {
            self.notified.entries = Some(key);
            out.push(Action::Entries(self.entries()));
        }
    }

    /// The entries of other failure domains as published by the leader, and those of the own
    /// one as seen by its members, since a domain that is cut off has no other source.
    fn entries(&self) -> Vec<MemberInfo> {
        let own = &self.local.failure_domain;
        let others = self
            .directory
            .members()
            .filter(|member| member.failure_domain != *own);
        let mut entries: BTreeMap<_, _> = others
            .chain(self.domain.roster().members())
            .map(|member| (&member.name, member))
            .collect();
        entries.insert(&self.local.name, &self.local);
        entries.into_values().cloned().collect()
    }
}

fn send(to: SocketAddr, message: Option<Message>) -> Option<Action> {
    message.map(|message| Action::Send { to, message })
}
