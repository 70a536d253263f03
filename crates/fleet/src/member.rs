//! The gateway side: reports to control replicas and pulls missing updates.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_allot::{AdmitRatio, RefusedRate, ServiceShares, ServiceWork, Usage};
use filberthead_route::{Delta, Table};
use filberthead_types::{FailureDomain, Moment, Region, ServiceName};

use crate::contacts::Contacts;
use crate::parts::{IncomingTransfers, PartOutcome};
use crate::{
    Demand, Endpoint, EndpointChange, GatewayInfo, Helper, Message, Outbound, Part, Report,
    Revisions, Suspicion,
};

/// Time between reports: three fit into the silence after which a gateway counts as dead, and
/// a lost notice is replaced within one period.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// Least time between two reports if one is made early.
const MIN_REPORT_PAUSE: Duration = Duration::from_millis(100);
/// Time after which an update is pulled again. A pull takes a round trip between regions; with
/// a shorter time each change would arrive twice.
const PULL_RETRY: Duration = Duration::from_millis(250);
/// How long a starting gateway waits for notices from a majority of replicas.
const MAJORITY_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a proof that routes are the newest remains valid, counted from the report that
/// requested it: three report periods, so that one lost or late report doesn't end it, and
/// much less than the time within which a change must be in force everywhere.
const PROVEN_FOR: Duration = Duration::from_millis(1600);
/// How long a gateway that has just started believes totals without a proof: an election and the
/// first proofs take less.
const TRUSTED_BEFORE_PROOF: Duration = Duration::from_secs(5);
/// Number of recent reports whose send times are kept: as many as are sent while a proof is
/// valid, all of them early.
const TRACKED_REPORTS: usize = 16;

/// State that a gateway has received from control.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// Routes to put in force.
    Routes {
        /// Their log index.
        revision: u64,
        /// Version number that the operator gave them, for logs.
        version: u64,
        /// The table.
        table: Arc<Table>,
    },
    /// The complete set of evacuated failure domains.
    Evacuated(BTreeSet<FailureDomain>),
    /// The complete list of endpoints.
    Endpoints(Vec<Endpoint>),
    /// A change to the list of endpoints.
    EndpointsChanged(EndpointChange),
    /// Number of gateways in each failure domain.
    Gateways(Vec<(FailureDomain, u32)>),
    /// Total load of each service by region, in thousandths of a busy slot.
    Demand(Vec<(Region, ServiceName, u32)>),
    /// The part of its requests that may be sent, for each workspace near its allotment.
    Ratios(Vec<AdmitRatio>),
    /// How the capacity of services that are short of it is divided among workspaces.
    Shares(Vec<ServiceShares>),
    /// A replica has received the last report.
    ReportAnswered,
    /// A replica has proved that it is in contact with the leader.
    Proven {
        /// When the report was sent that this proof answers.
        asked_at: Moment,
        /// Number of gateways that the leader counts, if it knows.
        gateways: Option<u32>,
    },
    /// Mean link utilisation of the gateways in this failure domain, in thousandths.
    Links(Option<u32>),
    /// Gateways that requests may be relayed through.
    Helpers(Vec<Helper>),
    /// What gateways hold against requests that may crash endpoints.
    Suspicions(Vec<Suspicion>),
    /// A gateway has seen the load that contention control is for.
    Contended,
}

/// How long an update took to arrive after it was first announced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateDelay {
    /// Time since a replica first announced a newer revision.
    pub since_announced: Duration,
    /// Number of pulls that were sent for it.
    pub requests: u32,
}

/// Result of applying changes to the routes held.
enum PatchOutcome {
    /// The resulting table.
    Table(Arc<Table>),
    /// The changes apply to another revision than the one held.
    Gap,
    /// The changes don't match the routes held, so the complete table is needed.
    Invalid,
}

/// Current load of a gateway.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Offered load for each service.
    pub demand: Vec<Demand>,
    /// Requests of each workspace with an allotment.
    pub usage: Vec<Usage>,
    /// Requests of workspaces that it has refused lately.
    pub refused: Vec<RefusedRate>,
    /// Expected work of workspaces' requests to each service.
    pub work: Vec<ServiceWork>,
    /// Utilisation of its network link in thousandths.
    pub link_milli: u32,
    /// What this gateway holds against requests that may crash endpoints.
    pub suspicions: Vec<Suspicion>,
}

/// A gateway's connection to control and the revisions that it has received.
#[derive(Clone, Debug)]
pub struct Member {
    info: GatewayInfo,
    ready: bool,
    helps: bool,
    contended: bool,
    contacts: Contacts,
    control_last_seen: Option<Moment>,
    /// When the first notice since the start arrived.
    first_notice: Option<Moment>,
    /// The highest revisions that any replica has announced.
    newest: Revisions,
    revisions: Revisions,
    /// The routes of revision `revisions.routes`.
    routes: Option<Arc<Table>>,
    last_pull: Option<(Revisions, Moment)>,
    /// Long messages that are being received.
    transfers: IncomingTransfers,
    /// Since when a newer revision has been announced than the one held.
    behind_since: Option<Moment>,
    /// Number of pulls since then.
    pulls: u32,
    delay: UpdateDelay,
    next_report: Moment,
    /// Ids and send times of the last reports, newest first.
    sent_reports: VecDeque<(u64, Moment)>,
    next_report_id: u64,
    /// The revision of routes that was last proved to be the newest, and when the report that
    /// requested the proof was sent.
    proven: Option<(u64, Moment)>,
}

impl Member {
    /// Starts with the replicas from the settings. Report ids count up from `first_report_id`,
    /// which must be random for each start of the process, so that answers to an earlier
    /// process are ignored.
    pub fn new(
        info: GatewayInfo,
        seeds: impl IntoIterator<Item = SocketAddr>,
        first_report_id: u64,
    ) -> Self {
        Self {
            info,
            ready: false,
            helps: false,
            contended: false,
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

    /// The revisions that this gateway holds.
    pub fn revisions(&self) -> Revisions {
        self.revisions
    }

    /// Whether this gateway may start to serve: it has routes and endpoints, and they are the
    /// newest that a majority of replicas has announced. A single replica may have been down
    /// during hundreds of changes. If a majority can't be reached, the gateway serves after a
    /// timeout with what it has.
    pub fn is_synced(&self, now: Moment) -> bool {
        let has_all = self.revisions.routes > 0 && self.revisions.endpoints.seq > 0;
        let majority = self.contacts.majority_announced();
        let timed_out = self
            .first_notice
            .is_some_and(|at| now >= at + MAJORITY_TIMEOUT);
        has_all && ((majority && !self.revisions.is_behind(&self.newest)) || timed_out)
    }

    /// Whether the routes held were recently proved to be the newest that are accepted.
    ///
    /// Only then may the gateway answer that a route does *not* exist. A gateway that is cut
    /// off, or that started with replicas that are behind, continues with the routes it has,
    /// which may lack later additions.
    ///
    /// A proof is valid from when it was requested, not from when it arrived: a delayed one
    /// says nothing about the present.
    pub fn is_proven(&self, now: Moment) -> bool {
        self.proven_at()
            .is_some_and(|requested_at| now < requested_at + PROVEN_FOR)
    }

    /// When the report was sent that led to the newest proof of the routes held; `None` without
    /// a proof, or if newer routes have been announced.
    pub fn proven_at(&self) -> Option<Moment> {
        let (revision, requested_at) = self.proven?;
        let newest = revision.max(self.newest.routes);
        (self.revisions.routes >= newest).then_some(requested_at)
    }

    /// Whether what control replicas say about other gateways is recent: a replica has lately
    /// been proved to be in contact with the leader. A gateway that has just started believes
    /// them for a while before the first proof. After all processes have restarted there is no
    /// leader yet, but replicas already exchange the reports of gateways.
    pub fn has_current_totals(&self, now: Moment) -> bool {
        match self.proven {
            Some((_, requested_at)) => now < requested_at + PROVEN_FOR,
            None => self
                .first_notice
                .is_some_and(|at| now < at + TRUSTED_BEFORE_PROOF),
        }
    }

    /// How long the last applied update took to arrive.
    pub fn delay(&self) -> UpdateDelay {
        self.delay
    }

    /// When the last message from a control replica arrived; `None` if none has.
    pub fn control_last_seen(&self) -> Option<Moment> {
        self.control_last_seen
    }

    /// Makes the next report due at once, or a moment after the last one.
    pub fn hasten_report(&mut self) {
        let last = self.sent_reports.front().map(|(_, at)| *at);
        let earliest = last.unwrap_or_default() + MIN_REPORT_PAUSE;
        self.next_report = self.next_report.min(earliest);
    }

    /// Sets whether callers may be sent here. A change is reported at the next tick.
    pub fn set_ready(&mut self, ready: bool) {
        if self.ready != ready {
            self.ready = ready;
            self.next_report = Moment::ZERO;
        }
    }

    /// Sets whether other gateways may relay requests through this one. A change is reported at the
    /// next tick.
    pub fn set_helps(&mut self, helps: bool) {
        if self.helps != helps {
            self.helps = helps;
            self.next_report = Moment::ZERO;
        }
    }

    /// Records that this gateway has seen the load that contention control is for. It is reported at the
    /// next tick.
    pub fn set_contended(&mut self) {
        if !self.contended {
            self.contended = true;
            self.next_report = Moment::ZERO;
        }
    }

    /// Replaces the replicas from the settings after a change. An empty list means that they
    /// couldn't be read, and is ignored.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.contacts.set_seeds(seeds);
    }

    /// Sends reports that are due, and pulls overdue parts again. `load` is called only for a
    /// report.
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
        let Load {
            demand,
            usage,
            refused,
            work,
            link_milli,
            suspicions,
        } = load();
        let id = self.new_report_id(now);
        let report = Message::Report(Report {
            gateway: self.info.clone(),
            ready: self.ready,
            helps: self.helps,
            contended: self.contended,
            revisions: self.revisions,
            demand,
            usage,
            refused,
            work,
            link_milli,
            suspicions,
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
        let report = self.sent_reports.iter().find(|(id, _)| *id == report_id);
        report.map(|(_, at)| *at)
    }

    /// Records that routes of `revision` were the newest when this report was answered.
    /// `gateways` is the number that the leader counts, if it knows.
    fn record_proof(
        &mut self,
        report_id: u64,
        revision: u64,
        gateways: Option<u32>,
    ) -> Option<Update> {
        let asked_at = self.report_sent_at(report_id)?;
        if self.proven.is_none_or(|(_, proven)| proven <= asked_at) {
            self.proven = Some((revision, asked_at));
        }
        Some(Update::Proven { asked_at, gateways })
    }

    /// Handles a message from a control replica.
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
                ratios,
                shares,
                link_milli,
                helpers,
                suspicions,
                contended,
                answered_report,
                proven_report,
                leaders_count,
            } => {
                self.contacts.record_notice(now, from, &replicas);
                self.on_notice(now, from, revisions, answered_report);
                let proof = proven_report
                    .and_then(|id| self.record_proof(id, revisions.routes, leaders_count));
                let mut updates = vec![
                    Update::Gateways(gateways),
                    Update::Demand(demand),
                    Update::Ratios(ratios),
                    Update::Shares(shares),
                    Update::Links(link_milli),
                    Update::Helpers(self.without_this(helpers)),
                    Update::Suspicions(suspicions),
                ];
                let last_report = self.sent_reports.front().map(|(id, _)| *id);
                if answered_report.is_some() && answered_report == last_report {
                    updates.push(Update::ReportAnswered);
                }
                updates.extend(contended.then_some(Update::Contended));
                updates.extend(proof);
                (self.pull(now, from, revisions), updates)
            }
            Message::Proof {
                proven_report,
                revisions,
                leaders_count,
            } => {
                self.newest.merge(&revisions);
                let proof = self.record_proof(proven_report, revisions.routes, leaders_count);
                (self.pull(now, from, revisions), proof.into_iter().collect())
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

    /// The other gateways among these.
    fn without_this(&self, mut helpers: Vec<Helper>) -> Vec<Helper> {
        helpers.retain(|helper| helper.addr != self.info.relay_addr);
        helpers
    }

    /// Records a replica's revisions, and the report that its notice answers.
    fn on_notice(
        &mut self,
        now: Moment,
        from: SocketAddr,
        revisions: Revisions,
        answered_report: Option<u64>,
    ) {
        if let Some(sent_at) = answered_report.and_then(|id| self.report_sent_at(id)) {
            self.contacts.record_answer(now, from, sent_at);
        }
        self.first_notice.get_or_insert(now);
        self.newest.merge(&revisions);
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

    /// Applies changes relative to revision `from` to the routes held.
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
                // Newer revisions weren't pulled during the transfer.
                self.last_pull = None;
                out.extend(self.pull(now, from, self.newest));
                (out, updates)
            }
            PartOutcome::Rejected => (Vec::new(), Vec::new()),
        }
    }

    /// Pulls revisions up to `wanted` from a replica, unless they were just pulled from any
    /// replica.
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
