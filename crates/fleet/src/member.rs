//! The gateway side: reports, and asks for what it lacks.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_route::{Delta, Table};
use filberthead_types::{FailureDomain, Moment, Region, ServiceName};

use crate::contacts::Contacts;
use crate::parts::{IncomingTransfers, PartOutcome};
use crate::{
    Demand, Endpoint, EndpointChange, GatewayInfo, Message, Outbound, Part, Report, Revisions,
};

/// Time between reports: three fit into the silence after which a gateway is taken for
/// dead, and a notice that was lost is made up for within it.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// An answer to a question takes two ways between regions; asked sooner again, each
/// change would come twice.
const PULL_RETRY: Duration = Duration::from_millis(250);
/// How long a gateway that starts waits to hear from most replicas.
const MAJORITY_TIMEOUT: Duration = Duration::from_millis(1500);

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
enum PatchOutcome {
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
    first_notice: Option<Moment>,
    /// The newest of everything that anybody was heard to hold.
    newest: Revisions,
    revisions: Revisions,
    /// The routes of that revision.
    routes: Option<Arc<Table>>,
    last_pull: Option<(Revisions, Moment)>,
    /// Long messages of which some parts are here.
    transfers: IncomingTransfers,
    /// When news was first heard of that isn't here yet.
    behind_since: Option<Moment>,
    /// Questions since then.
    pulls: u32,
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
            first_notice: None,
            newest: Revisions::default(),
            revisions: Revisions::default(),
            routes: None,
            last_pull: None,
            transfers: IncomingTransfers::default(),
            behind_since: None,
            pulls: 0,
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
        let majority = self.contacts.majority_announced();
        let timed_out = self
            .first_notice
            .is_some_and(|at| now >= at + MAJORITY_TIMEOUT);
        has_all && ((majority && !self.revisions.is_behind(&self.newest)) || timed_out)
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
        let mut out = self.transfers.tick(now);
        out.extend(self.report(now, load));
        out
    }

    fn report(&mut self, now: Moment, load: impl FnOnce() -> Load) -> Vec<Outbound> {
        if now < self.next_report {
            return Vec::new();
        }
        self.next_report = now + REPORT_PERIOD;
        self.contacts
            .remove_unnamed(self.control_last_seen.unwrap_or_default());
        let to = self.contacts.select(now, self.proven_at());
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
        let before = self.revisions;
        let result = self.apply(now, from, message);
        if self.revisions != before {
            self.transfers.cancel_superseded(&self.revisions);
            self.record_delay(now);
        }
        result
    }

    fn record_delay(&mut self, now: Moment) {
        let since = self.behind_since.unwrap_or(now);
        self.delay = UpdateDelay {
            since_announced: now.saturating_sub(since),
            requests: self.pulls,
        };
        if !self.revisions.is_behind(&self.newest) {
            self.behind_since = None;
            self.pulls = 0;
        }
    }

    fn apply(
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
                self.contacts.record_notice(now, from, &replicas);
                self.on_notice(now, from, revisions, (answered_report, proven_report));
                let updates = vec![
                    Update::Gateways(gateways),
                    Update::Demand(demand),
                    Update::Links(link_milli),
                ];
                (self.pull(now, from, revisions), updates)
            }
            Message::Proof {
                proven_report,
                revisions,
            } => {
                self.newest.merge(&revisions);
                self.prove(proven_report, revisions.routes);
                (self.pull(now, from, revisions), Vec::new())
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
                from: base,
                changes,
            } if revision > self.revisions.routes => match self.patch_routes(base, &changes) {
                PatchOutcome::Table(table) => {
                    let update = self.set_routes(revision, version, table);
                    (Vec::new(), vec![update])
                }
                PatchOutcome::Gap => {
                    self.newest.routes = self.newest.routes.max(revision);
                    (self.pull(now, from, self.newest), Vec::new())
                }
                PatchOutcome::Invalid => {
                    let without_routes = Revisions {
                        routes: 0,
                        ..self.revisions
                    };
                    (vec![(from, Message::Pull(without_routes))], Vec::new())
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
                    return (self.pull(now, from, self.newest), Vec::new());
                }
                self.revisions.endpoints = stamp;
                (Vec::new(), vec![Update::EndpointsChanged(change)])
            }
            Message::Part(part) => self.apply_part(now, from, part),
            _ => (Vec::new(), Vec::new()),
        }
    }

    /// Takes in what a replica holds, and the questions that its notice answers and proves.
    fn on_notice(
        &mut self,
        now: Moment,
        from: SocketAddr,
        revisions: Revisions,
        (answered_report, proven_report): (Option<u64>, Option<u64>),
    ) {
        if let Some(asked) = answered_report.and_then(|id| self.report_sent_at(id)) {
            self.contacts.record_answer(now, from, asked);
        }
        self.first_notice.get_or_insert(now);
        self.newest.merge(&revisions);
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
    fn patch_routes(&self, from: u64, changes: &[Arc<Delta>]) -> PatchOutcome {
        let current = self
            .routes
            .as_ref()
            .filter(|_| from == self.revisions.routes);
        let Some(mut table) = current.cloned() else {
            return PatchOutcome::Gap;
        };
        for change in changes {
            match change.apply(&table) {
                Some(changed) => table = Arc::new(changed),
                None => return PatchOutcome::Invalid,
            }
        }
        PatchOutcome::Table(table)
    }

    fn apply_part(
        &mut self,
        now: Moment,
        from: SocketAddr,
        part: Part,
    ) -> (Vec<Outbound>, Vec<Update>) {
        if !self.revisions.is_older_than(part.revision) {
            return (Vec::new(), Vec::new());
        }
        match self.transfers.accept(now, from, part) {
            PartOutcome::Pull(requests) => {
                let out = requests.into_iter().map(|request| (from, request));
                (out.collect(), Vec::new())
            }
            PartOutcome::Complete(message) => {
                let (mut out, updates) = self.apply(now, from, *message);
                // What came after it wasn't asked for while it was on its way.
                self.last_pull = None;
                out.extend(self.pull(now, from, self.newest));
                (out, updates)
            }
            PartOutcome::Rejected => (Vec::new(), Vec::new()),
        }
    }

    /// Asks for what a replica holds beyond this gateway, unless the same was asked of
    /// somebody a moment ago.
    fn pull(&mut self, now: Moment, from: SocketAddr, wanted: Revisions) -> Vec<Outbound> {
        if !self.revisions.is_behind(&wanted) {
            return Vec::new();
        }
        self.behind_since.get_or_insert(now);
        let expected = self.transfers.with_pending(&self.revisions, &wanted);
        if !expected.is_behind(&wanted) {
            return Vec::new();
        }
        let is_pending = self
            .last_pull
            .is_some_and(|(pulled, at)| now < at + PULL_RETRY && !pulled.is_behind(&wanted));
        if is_pending {
            return Vec::new();
        }
        self.last_pull = Some((wanted, now));
        self.pulls += 1;
        vec![(from, Message::Pull(expected))]
    }
}
