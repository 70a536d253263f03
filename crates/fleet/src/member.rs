//! The gateway side: reports, and asks for what it lacks.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_route::{Delta, Table};
use filberthead_types::{FailureDomain, Moment, Region, ServiceName};

use crate::contacts::Contacts;
use crate::parts::{Receiving, Taken};
use crate::{
    Demand, Endpoint, EndpointChange, GatewayInfo, Message, Outbound, Part, Report, Revisions,
};

/// Time between reports: three fit into the silence after which a gateway is taken for
/// dead, and a notice that was lost is made up for within it.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// An answer to a question takes two ways between regions; asked sooner again, each
/// change would come twice.
const ASK_AGAIN: Duration = Duration::from_millis(250);
/// How long a gateway that starts waits to hear from most replicas.
const UNHEARD_OF: Duration = Duration::from_millis(1500);

/// How long a proof that routes are the newest is good for, from when it was asked for: three
/// reports, so that one that is lost or late doesn't end it; and much less than the time
/// within which a change is to be in force everywhere.
const PROVEN_FOR: Duration = Duration::from_millis(1600);
/// Questions that are remembered: as many reports as go out while a proof is good.
const TRACKED_REPORTS: usize = 4;

/// What a gateway learns.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// Routes to put in force.
    Routes {
        /// Their revision.
        revision: u64,
        /// The operator's number.
        version: u64,
        /// The table.
        table: Arc<Table>,
    },
    /// The failure domains that are evacuated from now on.
    Evacuated(BTreeSet<FailureDomain>),
    /// The endpoints there are.
    Endpoints(Vec<Endpoint>),
    /// What has changed in them.
    EndpointsChanged(EndpointChange),
    /// How many gateways there are in each failure domain.
    Gateways(Vec<(FailureDomain, u32)>),
    /// What all gateways of each region were asked to carry.
    Demand(Vec<(Region, ServiceName, u32)>),
    /// Thousandths of their links that gateways of this failure domain use on average.
    Links(Option<u32>),
}

/// How long news took from when it was first heard of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateDelay {
    /// Since a replica first said that it holds something newer.
    pub since_announced: Duration,
    /// Questions for it.
    pub requests: u32,
}

/// What comes of changes of routes.
enum Changed {
    /// The newer table.
    Table(Arc<Table>),
    /// They are changes of routes that aren't held.
    Gap,
    /// They don't fit the routes that they name, so only a whole table helps.
    Invalid,
}

/// What a gateway carries.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// What it was asked to carry.
    pub demand: Vec<Demand>,
    /// Thousandths of its link that are in use.
    pub link_milli: u32,
}

/// What a gateway knows of control.
#[derive(Clone, Debug)]
pub struct Member {
    info: GatewayInfo,
    ready: bool,
    contacts: Contacts,
    control_last_seen: Option<Moment>,
    /// When the first notice of all came.
    first_told: Option<Moment>,
    /// The newest of everything that anybody was heard to hold.
    newest: Revisions,
    revisions: Revisions,
    /// The routes of that revision.
    routes: Option<Arc<Table>>,
    asked: Option<(Revisions, Moment)>,
    /// Long messages of which some parts are here.
    receiving: Receiving,
    /// When news was first heard of that isn't here yet.
    lacking: Option<Moment>,
    /// Questions since then.
    asks: u32,
    delay: UpdateDelay,
    next_report: Moment,
    /// The questions of the last reports, and when they were asked.
    sent_reports: VecDeque<(u64, Moment)>,
    next_report_id: u64,
    /// The revision of the routes that was last proved to be the newest, and when that was
    /// asked.
    proven: Option<(u64, Moment)>,
}

impl Member {
    /// Starts with the replicas of the settings. Questions are numbered from
    /// `first_question`, which is to be drawn anew for each life of the process, so that an
    /// answer to an earlier life answers nothing.
    pub fn new(
        info: GatewayInfo,
        seeds: impl IntoIterator<Item = SocketAddr>,
        first_report_id: u64,
    ) -> Self {
        Self {
            info,
            ready: false,
            contacts: Contacts::new(seeds),
            control_last_seen: None,
            first_told: None,
            newest: Revisions::default(),
            revisions: Revisions::default(),
            routes: None,
            asked: None,
            receiving: Receiving::default(),
            lacking: None,
            asks: 0,
            delay: UpdateDelay::default(),
            next_report: Moment::ZERO,
            sent_reports: VecDeque::new(),
            next_report_id: first_report_id,
            proven: None,
        }
    }

    /// What this gateway holds.
    pub fn revisions(&self) -> Revisions {
        self.revisions
    }

    /// Whether it may serve by what it knows: it has routes and endpoints, the newest that
    /// most replicas know of. One replica alone may have been down while hundreds of
    /// changes passed. Where most can't be reached, what the others know has to do after
    /// a while.
    pub fn is_synced(&self, now: Moment) -> bool {
        let has_all = self.revisions.routes > 0 && self.revisions.endpoints.seq > 0;
        let most = self.contacts.most_told();
        let waited = self.first_told.is_some_and(|at| now >= at + UNHEARD_OF);
        has_all && ((most && !self.revisions.lacks(&self.newest)) || waited)
    }

    /// Whether the routes held here were lately proved to be the newest that are accepted.
    ///
    /// Only then may it be said that something is *not* in them. A gateway that is cut off,
    /// or has started beside replicas that are behind, goes on by what it has, which may
    /// lack what was added since.
    ///
    /// A proof counts from when it was asked for and not from when it came: held up on its
    /// way, it says nothing about the present.
    pub fn is_proven(&self, now: Moment) -> bool {
        self.proven_at()
            .is_some_and(|asked| now < asked + PROVEN_FOR)
    }

    /// When that was last asked which proved the routes held here, if anything did and nobody
    /// was heard to hold newer ones.
    pub fn proven_at(&self) -> Option<Moment> {
        let (revision, asked) = self.proven?;
        let newest = revision.max(self.newest.routes);
        (self.revisions.routes >= newest).then_some(asked)
    }

    /// How long the news took that was taken in last.
    pub fn delay(&self) -> UpdateDelay {
        self.delay
    }

    /// When a control replica was last heard.
    pub fn control_last_seen(&self) -> Option<Moment> {
        self.control_last_seen
    }

    /// Says whether callers may be sent here; a change is reported at the next tick.
    pub fn set_ready(&mut self, ready: bool) {
        if self.ready != ready {
            self.ready = ready;
            self.next_report = Moment::ZERO;
        }
    }

    /// Replaces the replicas of the settings, when these have changed. None at all means
    /// that they couldn't be read, and changes nothing.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.contacts.set_seeds(seeds);
    }

    /// Reports if it is time. `load` is asked only then.
    pub fn tick(&mut self, now: Moment, load: impl FnOnce() -> Load) -> Vec<Outbound> {
        let mut out = self.receiving.tick(now);
        out.extend(self.report(now, load));
        out
    }

    fn report(&mut self, now: Moment, load: impl FnOnce() -> Load) -> Vec<Outbound> {
        if now < self.next_report {
            return Vec::new();
        }
        self.next_report = now + REPORT_PERIOD;
        self.contacts
            .forget(self.control_last_seen.unwrap_or_default());
        let to = self.contacts.report(now, self.proven_at());
        let Load { demand, link_milli } = load();
        let id = self.new_report_id(now);
        let report = Message::Report(Report {
            gateway: self.info.clone(),
            ready: self.ready,
            revisions: self.revisions,
            demand,
            link_milli,
            id,
        });
        to.into_iter().map(|to| (to, report.clone())).collect()
    }

    fn new_report_id(&mut self, now: Moment) -> u64 {
        let id = self.next_report_id;
        self.next_report_id = id.wrapping_add(1);
        self.sent_reports.truncate(TRACKED_REPORTS - 1);
        self.sent_reports.push_front((id, now));
        id
    }

    fn report_sent_at(&self, report_id: u64) -> Option<Moment> {
        let asked = self
            .sent_reports
            .iter()
            .find(|(asked, _)| *asked == report_id);
        asked.map(|(_, at)| *at)
    }

    /// Takes in that routes of `revision` were the newest when this question was answered.
    fn prove(&mut self, report_id: u64, revision: u64) {
        let Some(at) = self.report_sent_at(report_id) else {
            return;
        };
        if self.proven.is_none_or(|(_, proven)| proven <= at) {
            self.proven = Some((revision, at));
        }
    }

    /// Takes in a message of a control replica.
    pub fn receive(
        &mut self,
        now: Moment,
        from: SocketAddr,
        message: Message,
    ) -> (Vec<Outbound>, Vec<Update>) {
        self.control_last_seen = Some(now);
        let held = self.revisions;
        let taken = self.take(now, from, message);
        if self.revisions != held {
            self.receiving.forget_held(&self.revisions);
            self.note_delay(now);
        }
        taken
    }

    fn note_delay(&mut self, now: Moment) {
        let since = self.lacking.unwrap_or(now);
        self.delay = UpdateDelay {
            since_announced: now.saturating_sub(since),
            requests: self.asks,
        };
        if !self.revisions.lacks(&self.newest) {
            self.lacking = None;
            self.asks = 0;
        }
    }

    fn take(
        &mut self,
        now: Moment,
        from: SocketAddr,
        message: Message,
    ) -> (Vec<Outbound>, Vec<Update>) {
        match message {
            Message::Notice {
                revisions,
                replicas,
                gateways,
                demand,
                link_milli,
                answered_report,
                proven_report,
            } => {
                self.contacts.told(now, from, &replicas);
                self.noticed(now, from, revisions, (answered_report, proven_report));
                let updates = vec![
                    Update::Gateways(gateways),
                    Update::Demand(demand),
                    Update::Links(link_milli),
                ];
                (self.ask(now, from, revisions), updates)
            }
            Message::Proof {
                proven_report,
                revisions,
            } => {
                self.newest.raise(&revisions);
                self.prove(proven_report, revisions.routes);
                (self.ask(now, from, revisions), Vec::new())
            }
            Message::Routes {
                revision,
                version,
                table,
            } if revision > self.revisions.routes => {
                let update = self.set_routes(revision, version, table);
                (Vec::new(), vec![update])
            }
            Message::RoutesChanged {
                revision,
                version,
                from: older,
                changes,
            } if revision > self.revisions.routes => match self.changed_routes(older, &changes) {
                Changed::Table(table) => {
                    let update = self.set_routes(revision, version, table);
                    (Vec::new(), vec![update])
                }
                Changed::Gap => {
                    self.newest.routes = self.newest.routes.max(revision);
                    (self.ask(now, from, self.newest), Vec::new())
                }
                Changed::Invalid => {
                    let whole = Revisions {
                        routes: 0,
                        ..self.revisions
                    };
                    (vec![(from, Message::Pull(whole))], Vec::new())
                }
            },
            Message::Evacuated { revision, domains } if revision > self.revisions.evacuated => {
                self.revisions.evacuated = revision;
                (Vec::new(), vec![Update::Evacuated(domains)])
            }
            Message::Endpoints { stamp, list } if stamp > self.revisions.endpoints => {
                self.revisions.endpoints = stamp;
                (Vec::new(), vec![Update::Endpoints(list)])
            }
            Message::EndpointsChanged { stamp, change } if stamp > self.revisions.endpoints => {
                if change.from != self.revisions.endpoints {
                    self.newest.endpoints = self.newest.endpoints.max(stamp);
                    return (self.ask(now, from, self.newest), Vec::new());
                }
                self.revisions.endpoints = stamp;
                (Vec::new(), vec![Update::EndpointsChanged(change)])
            }
            Message::Part(part) => self.take_part(now, from, part),
            _ => (Vec::new(), Vec::new()),
        }
    }

    /// Takes in what a replica holds, and the questions that its notice answers and proves.
    fn noticed(
        &mut self,
        now: Moment,
        from: SocketAddr,
        revisions: Revisions,
        (answered_report, proven_report): (Option<u64>, Option<u64>),
    ) {
        if let Some(asked) = answered_report.and_then(|id| self.report_sent_at(id)) {
            self.contacts.answered(now, from, asked);
        }
        self.first_told.get_or_insert(now);
        self.newest.raise(&revisions);
        if let Some(proven_report) = proven_report {
            self.prove(proven_report, revisions.routes);
        }
    }

    fn set_routes(&mut self, revision: u64, version: u64, table: Arc<Table>) -> Update {
        self.revisions.routes = revision;
        self.routes = Some(Arc::clone(&table));
        Update::Routes {
            revision,
            version,
            table,
        }
    }

    /// The routes held here with changes of the routes of revision `from`.
    fn changed_routes(&self, from: u64, changes: &[Arc<Delta>]) -> Changed {
        let held = self
            .routes
            .as_ref()
            .filter(|_| from == self.revisions.routes);
        let Some(mut table) = held.cloned() else {
            return Changed::Gap;
        };
        for change in changes {
            match change.apply(&table) {
                Some(changed) => table = Arc::new(changed),
                None => return Changed::Invalid,
            }
        }
        Changed::Table(table)
    }

    fn take_part(
        &mut self,
        now: Moment,
        from: SocketAddr,
        part: Part,
    ) -> (Vec<Outbound>, Vec<Update>) {
        if !self.revisions.is_before(part.revision) {
            return (Vec::new(), Vec::new());
        }
        match self.receiving.take(now, from, part) {
            Taken::Ask(requests) => {
                let out = requests.into_iter().map(|request| (from, request));
                (out.collect(), Vec::new())
            }
            Taken::Whole(news) => {
                let (mut out, updates) = self.take(now, from, *news);
                // What came after it wasn't asked for while it was on its way.
                self.asked = None;
                out.extend(self.ask(now, from, self.newest));
                (out, updates)
            }
            Taken::Useless => (Vec::new(), Vec::new()),
        }
    }

    /// Asks for what a replica holds beyond this gateway, unless the same was asked of
    /// somebody a moment ago.
    fn ask(&mut self, now: Moment, from: SocketAddr, theirs: Revisions) -> Vec<Outbound> {
        if !self.revisions.lacks(&theirs) {
            return Vec::new();
        }
        self.lacking.get_or_insert(now);
        let covered = self.receiving.covers(&self.revisions, &theirs);
        if !covered.lacks(&theirs) {
            return Vec::new();
        }
        let under_way = self
            .asked
            .is_some_and(|(asked, at)| now < at + ASK_AGAIN && !asked.lacks(&theirs));
        if under_way {
            return Vec::new();
        }
        self.asked = Some((theirs, now));
        self.asks += 1;
        vec![(from, Message::Pull(covered))]
    }
}
