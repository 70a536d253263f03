//! The part of spreading that runs on each entry.

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

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(
    clippy::large_enum_variant,
    reason = "an event lives for one step only"
)]
pub enum Event {
    /// Time has passed. Sent at least every 100 ms.
    Tick,
    /// A message came in.
    Received {
        /// Who sent it.
        from: Sender,
        /// The message.
        message: Message,
    },
    /// This process begins a planned stop.
    Leave,
    /// This process ends now; the last event of a planned stop.
    Stop,
}

/// Which weights the node may act on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Readiness {
    /// None: the node has just started and asks for the newest version.
    #[default]
    Starting,
    /// None, but it may serve: the newest version isn't proven, or a newer one than the
    /// one held is known to exist. Serve endpoints of the own failure domain that
    /// report themselves ready, by even share, and move nothing across regions.
    Cautious,
    /// Those of the view in force.
    Proven,
}

impl Readiness {
    /// The name, as operators see it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Cautious => "cautious",
            Self::Proven => "proven",
        }
    }
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// To whom.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Act on this view from now on. Versions only go up.
    InForce(Arc<View>),
    /// The live and leaving entries of all failure domains, this one included.
    Entries(Vec<MemberInfo>),
    /// The readiness has changed.
    Readiness(Readiness),
    /// Another node holds other rows under the version held here: the memory of one of
    /// the two is damaged, and an operator should restart both.
    Diverged,
}

/// Addresses that a node learns from its settings.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    /// The control replicas.
    pub controls: Vec<SocketAddr>,
    /// Entries to ask at start.
    pub seeds: Vec<SocketAddr>,
}

/// State of a node as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Version held.
    pub version: Version,
    /// Newest version known to exist.
    pub newest_known: Version,
    /// Which weights it may act on.
    pub readiness: Readiness,
    /// The control leader as far as known.
    pub leader: Option<Leader>,
    /// When a message of the leader last came here, straight or by the relay.
    pub leader_last_seen: Option<Moment>,
    /// The relay that it reports to; `None` if it reports to control.
    pub relay: Option<NodeName>,
    /// Whether the last node that compared holds other rows under the version held here.
    pub diverged: bool,
}

/// The spreading state of one entry.
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

/// When periodic messages go out next.
#[derive(Debug, Default)]
struct Due {
    report: Moment,
    digest: Moment,
    gossip: Moment,
    remote_gossip: Moment,
    probe: Moment,
}

/// What the owner has been told.
#[derive(Debug, Default)]
struct Notified {
    in_force: Option<Version>,
    readiness: Readiness,
    diverged: bool,
    /// Hashes of the directory and of the failure domain's roster, and whether this
    /// entry leaves: what the entries are made of.
    entries: Option<(Fingerprint, Fingerprint, bool)>,
}

impl Node {
    /// A node that holds nothing and is [`Readiness::Starting`].
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

    /// Says what to do after an event.
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

    /// The newest view held, proven or not. Its weights may be acted on only when an
    /// [`Action::InForce`] has handed it out; its limits are bounds at any time.
    pub fn view(&self) -> &Arc<View> {
        self.history.view()
    }

    /// The control leader as far as known.
    pub fn leader(&self) -> Option<Leader> {
        self.leader
    }

    /// Whether nothing newer than the view held can have been in force for longer than a
    /// leader takes to be missed: the view is proven, and the leader, which says what it
    /// holds itself, is heard. Only then does what the view lacks not exist.
    ///
    /// A node that is cut off stays [`Readiness::Proven`]: it may act on what it knows.
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
            // A suspended process wakes with a view that may be hundreds of changes
            // old and a proof that says nothing of them: it is as good as restarted.
            Some(last) if now.saturating_sub(last) > self.cfg.suspend_threshold => {
                self.restart(now, out)
            }
            Some(_) => {}
        }
    }

    fn first_step(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.jitter_due_times(now);
        self.restart(now, out);
    }

    fn restart(&mut self, now: Moment, out: &mut Vec<Action>) {
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
            Message::TablePull { base } => {
                out.extend(send(from.addr, self.history.update_since(base)))
            }
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

    /// Tells the owner what has changed.
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

    /// Guards against old weights after a restart or a lost message: a view goes out
    /// only while it is proven to be the newest one this node can know of. Its version
    /// can't go down, because [`History`] never goes back.
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

    /// Other failure domains as the leader has published them, the own one as its
    /// members see each other: a failure domain that is cut off has nobody else to ask.
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
