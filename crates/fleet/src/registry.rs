//! The control side: tracks the gateways and sends them the updates that they need.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_allot::{
    AdmitRatio, DividedService, Presence, RefusedRate, ServiceShares, ServiceWork, Usage,
    WorkspaceTotals, sum_up,
};
use filberthead_route::{Table, Workspace};
use filberthead_types::{
    FailureDomain, Moment, NodeName, Region, ResultCode, ServiceName, Workspace as WorkspaceName,
};

use crate::allotments::Allotments;
use crate::division::Division;
use crate::list::{EndpointList, ListOutcome};
use crate::parts::OutgoingTransfers;
use crate::routes::Routes;
use crate::suspicion::merge;
use crate::{
    Demand, Endpoint, EndpointChange, GatewayInfo, Helper, Message, Outbound, RelayedReport,
    Report, Revision, Revisions, Stamp, Suspicion,
};

/// Silence after which a gateway is no longer returned to callers: three report periods, so
/// that one lost or late report takes no gateway out of service.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1600);
/// Silence after which a gateway is removed. Until then it still counts as a gateway of its
/// failure domain, since one that is cut off from control may still be serving.
const REMOVED_AFTER: Duration = Duration::from_secs(30);
/// Time after which a replica that has started counts all gateways that have a part of a limit: for
/// as long as one that is cut off keeps it, and until gateways in touch have reported to some
/// replica and been relayed.
pub const COUNT_COMPLETE_AFTER: Duration = Duration::from_secs(7);

/// Time between two reports of a gateway below which the later one is early.
const EARLY_REPORT: Duration = Duration::from_millis(400);
/// How far below the last report's number a report of the same process can be. A restarted process
/// begins at a random number.
const MAX_OVERTAKEN: u64 = 10_000;
/// How long totals over all gateways are cached: every answer to hundreds of reports contains
/// them.
const TOTALS_TTL: Duration = Duration::from_millis(100);
/// Gateways of the same failure domain, of others of the region and of other regions that a gateway is
/// told to relay requests through, each: enough to share its load, and few bytes in a notice.
const HELPERS_PER_DISTANCE: usize = 4;
/// Proof requests that may wait for the leader. Further ones are dropped: the next report
/// requests a proof again.
const MAX_PROOF_REQUESTS: usize = 1024;

/// The last report that a gateway sent to this replica itself.
#[derive(Clone, Copy, Debug)]
struct DirectReport {
    addr: SocketAddr,
    /// Its id. A gateway numbers its reports one by one, from a random number on.
    id: u64,
    received_at: Moment,
    /// Revisions that the gateway holds, according to its report and the updates sent since.
    revisions: Revisions,
}

/// State of a gateway from its newest report, direct or relayed.
#[derive(Clone, Debug)]
struct GatewayState {
    info: GatewayInfo,
    /// Its last report to this replica; `None` if it has reported only to others.
    direct: Option<DirectReport>,
    ready: bool,
    helps: bool,
    contended: bool,
    /// When the report was read, less its age if it was relayed.
    last_seen: Moment,
    /// The earliest moment at which it can have been sent.
    as_of: Moment,
    demand: Vec<Demand>,
    usage: Vec<Usage>,
    refused: Vec<RefusedRate>,
    work: Vec<ServiceWork>,
    link_milli: u32,
    suspicions: Vec<Suspicion>,
}

/// A report of a gateway that waits for a proof from the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProofRequest {
    /// The gateway's address.
    pub from: SocketAddr,
    /// Id of the report.
    pub report_id: u64,
}

/// A workspace, and its requests over all gateways.
#[derive(Clone, Debug)]
pub struct WorkspaceUsage {
    /// The workspace.
    pub workspace: Arc<Workspace>,
    /// Its requests by the gateways' last reports; zero if it has no allotment.
    pub totals: WorkspaceTotals,
    /// The part of its requests that gateways may send, from 0 to 1.
    pub ratio: f64,
    /// Its refused requests per second over the last seconds, by code.
    pub refused: Vec<(ResultCode, f64)>,
    /// Services of which it asks for more than its share: priority of the requests, and the part of them
    /// that gateways may send.
    pub shares: Vec<(ServiceName, u8, f64)>,
}

/// Totals over all gateways, as sent in notices.
#[derive(Clone, Debug)]
struct Totals {
    computed_at: Moment,
    gateways: Vec<(FailureDomain, u32)>,
    demand: Vec<(Region, ServiceName, u32)>,
    ratios: Vec<AdmitRatio>,
    shares: Vec<ServiceShares>,
    links: BTreeMap<FailureDomain, u32>,
    /// Helpers for the gateways of each failure domain.
    helpers: BTreeMap<FailureDomain, Vec<Helper>>,
    suspicions: Vec<Suspicion>,
    contended: bool,
}

/// State of the gateways as seen by a control replica, and the routes, evacuations and
/// endpoints that it distributes to them.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    gateways: BTreeMap<NodeName, GatewayState>,
    /// When the first message arrived.
    started_at: Option<Moment>,
    replicas: Vec<SocketAddr>,
    revisions: Revisions,
    routes: Routes,
    evacuated: BTreeSet<FailureDomain>,
    endpoints: EndpointList,
    /// Long messages that gateways pull in parts.
    transfers: OutgoingTransfers,
    /// Reports that this replica couldn't answer with a proof.
    proof_requests: Vec<ProofRequest>,
    /// Since when what is received may have waited unread; `None` if it hasn't.
    unread_since: Option<Moment>,
    /// When reports were last relayed to the other replicas.
    last_roster: Moment,
    totals: RefCell<Option<Totals>>,
    allotments: RefCell<Allotments>,
    division: RefCell<Division>,
}

impl Registry {
    /// The revisions that this replica holds.
    pub fn revisions(&self) -> Revisions {
        self.revisions
    }

    /// Sets the addresses of all control replicas, this one included.
    pub fn set_replicas(&mut self, replicas: Vec<SocketAddr>) {
        self.replicas = replicas;
    }

    /// Sets the routes in force, applied at log index `revision`.
    pub fn set_routes(
        &mut self,
        now: Moment,
        revision: u64,
        version: u64,
        table: Arc<Table>,
    ) -> Vec<Outbound> {
        if revision <= self.revisions.routes {
            return Vec::new();
        }
        self.revisions.routes = revision;
        self.allotments.borrow_mut().set_table(&table);
        self.routes.set(revision, version, table);
        self.announce(now)
    }

    /// Sets the evacuated failure domains as of log index `revision`.
    pub fn set_evacuated(
        &mut self,
        now: Moment,
        revision: u64,
        domains: &BTreeSet<FailureDomain>,
    ) -> Vec<Outbound> {
        if revision <= self.revisions.evacuated {
            return Vec::new();
        }
        self.revisions.evacuated = revision;
        self.evacuated.clone_from(domains);
        self.announce(now)
    }

    /// Sets the list of endpoints that this replica, the leader of `term`, has just read. An
    /// unchanged list keeps its stamp.
    pub fn set_endpoints(&mut self, now: Moment, term: u64, list: Vec<Endpoint>) -> Vec<Outbound> {
        let table = self.routes.table();
        let list = self.endpoints.reconcile(now, list, |s| is_served(table, s));
        let current = self.endpoints.stamp();
        if current.term == term && self.endpoints.is_unchanged(now, &list) {
            return Vec::new();
        }
        let seq = if current.term == term {
            current.seq + 1
        } else {
            1
        };
        let outcome = self.endpoints.replace(now, Stamp { term, seq }, list);
        self.announce_if_applied(now, outcome)
    }

    /// Number of listed endpoints of each service without routes in force. They receive no
    /// requests.
    pub fn unrouted_services(&self) -> BTreeMap<&ServiceName, usize> {
        let mut counts = BTreeMap::new();
        for service in self.endpoints.services() {
            if !is_served(self.routes.table(), service) {
                *counts.entry(service).or_default() += 1;
            }
        }
        counts
    }

    fn announce_if_applied(&mut self, now: Moment, outcome: ListOutcome) -> Vec<Outbound> {
        self.revisions.endpoints = self.endpoints.stamp();
        match outcome {
            ListOutcome::Applied => self.announce(now),
            ListOutcome::Stale | ListOutcome::Gap => Vec::new(),
        }
    }

    fn apply_change(
        &mut self,
        now: Moment,
        from: SocketAddr,
        stamp: Stamp,
        change: EndpointChange,
    ) -> Vec<Outbound> {
        let outcome = self.endpoints.apply(now, stamp, change);
        if outcome == ListOutcome::Gap {
            return vec![(from, Message::PullEndpoints(self.revisions.endpoints))];
        }
        self.announce_if_applied(now, outcome)
    }

    /// Sets since when what is received from now on may have waited, as this process stood still; `None`
    /// if it hasn't. Reports that are read after a pause are relayed as being that old: they may be
    /// older than what other replicas hold.
    pub fn set_unread_since(&mut self, since: Option<Moment>) {
        self.unread_since = since;
    }

    /// Handles a message from a gateway or another replica. `proven` is whether this replica
    /// can prove at this moment that no newer revision than its own has been accepted.
    pub fn receive(
        &mut self,
        now: Moment,
        from: SocketAddr,
        message: Message,
        proven: bool,
    ) -> Vec<Outbound> {
        self.started_at.get_or_insert(now);
        match message {
            Message::Report(report) => self.on_report(now, from, report, proven),
            Message::Roster(gateways) => {
                self.on_roster(now, gateways);
                Vec::new()
            }
            Message::Pull(revisions) => self.updates_for(now, &revisions, from),
            Message::PullEndpoints(base) => {
                let messages = self.endpoints_since(now, base);
                messages
                    .into_iter()
                    .map(|message| (from, message))
                    .collect()
            }
            Message::PullPart { digest, index } => {
                let part = self.transfers.part(now, digest, index);
                part.into_iter().map(|part| (from, part)).collect()
            }
            Message::Endpoints { stamp, list } => {
                let outcome = self.endpoints.replace(now, stamp, list);
                self.announce_if_applied(now, outcome)
            }
            Message::EndpointsChanged { stamp, change } => {
                self.apply_change(now, from, stamp, change)
            }
            _ => Vec::new(),
        }
    }

    fn on_report(
        &mut self,
        now: Moment,
        from: SocketAddr,
        report: Report,
        proven: bool,
    ) -> Vec<Outbound> {
        let id = report.id;
        if self.is_overtaken(&report) {
            return Vec::new();
        }
        let gateway = GatewayState {
            info: report.gateway,
            direct: Some(DirectReport {
                addr: from,
                id,
                received_at: now,
                revisions: report.revisions,
            }),
            ready: report.ready,
            helps: report.helps,
            contended: report.contended,
            last_seen: now,
            as_of: self.unread_since.unwrap_or(now),
            demand: report.demand,
            usage: report.usage,
            refused: report.refused,
            work: report.work,
            link_milli: report.link_milli,
            suspicions: report.suspicions,
        };
        let domain = gateway.info.domain.clone();
        if self.is_early(&gateway) {
            // It tells of a surge: the answer has to count it.
            self.totals.replace(None);
            self.allotments.borrow_mut().expire(now);
            self.division.borrow_mut().expire(now);
        }
        self.store(gateway);
        if !proven && self.proof_requests.len() < MAX_PROOF_REQUESTS {
            let report_id = id;
            self.proof_requests.push(ProofRequest { from, report_id });
        }
        let proven_report = proven.then_some(id);
        vec![(from, self.notice(now, &domain, Some(id), proven_report))]
    }

    /// Whether a later report of the same process has arrived before. Counting the earlier one
    /// would take back what the gateway has reserved since.
    fn is_overtaken(&self, report: &Report) -> bool {
        let current = self.gateways.get(&report.gateway.name);
        let last = current.and_then(|gateway| gateway.direct);
        last.is_some_and(|last| (1..=MAX_OVERTAKEN).contains(&last.id.wrapping_sub(report.id)))
    }

    /// Whether a report comes earlier than it is due.
    fn is_early(&self, report: &GatewayState) -> bool {
        let last = self.gateways.get(&report.info.name).and_then(|g| g.direct);
        last.is_some_and(|last| report.last_seen < last.received_at + EARLY_REPORT)
    }

    fn store(&mut self, gateway: GatewayState) {
        let current = self.gateways.insert(gateway.info.name.clone(), gateway);
        if current.is_none() {
            self.totals.replace(None);
        }
    }

    /// Applies relayed reports that are newer than the ones held.
    fn on_roster(&mut self, now: Moment, gateways: Vec<RelayedReport>) {
        for relayed in gateways {
            let last_seen = now.saturating_sub(relayed.age);
            let as_of = self.unread_since.unwrap_or(now).saturating_sub(relayed.age);
            let is_older = |current: &GatewayState| match self.unread_since {
                Some(_) => current.last_seen >= last_seen,
                None => current.as_of >= last_seen,
            };
            let current = self.gateways.get(&relayed.gateway.name);
            if current.is_some_and(is_older) {
                continue;
            }
            let direct = current.and_then(|current| current.direct);
            self.store(GatewayState {
                info: relayed.gateway,
                direct,
                ready: relayed.ready,
                helps: relayed.helps,
                contended: relayed.contended,
                last_seen,
                as_of,
                demand: relayed.demand,
                usage: relayed.usage,
                refused: relayed.refused,
                work: relayed.work,
                link_milli: relayed.link_milli,
                suspicions: relayed.suspicions,
            });
        }
    }

    /// The message that relays reports to the other replicas: those received here since the
    /// last call; `None` if there are none.
    pub fn roster(&mut self, now: Moment) -> Option<Message> {
        self.gateways
            .retain(|_, gateway| now < gateway.last_seen + REMOVED_AFTER);
        let since = std::mem::replace(&mut self.last_roster, now);
        let reported = |gateway: &&GatewayState| {
            gateway
                .direct
                .is_some_and(|d| d.received_at >= since && d.received_at < now)
        };
        let relayed = |gateway: &GatewayState| RelayedReport {
            gateway: gateway.info.clone(),
            ready: gateway.ready,
            helps: gateway.helps,
            contended: gateway.contended,
            demand: gateway.demand.clone(),
            usage: gateway.usage.clone(),
            refused: gateway.refused.clone(),
            work: gateway.work.clone(),
            link_milli: gateway.link_milli,
            suspicions: gateway.suspicions.clone(),
            age: now.saturating_sub(gateway.as_of),
        };
        let gateways = self.gateways.values().filter(reported);
        let gateways: Vec<_> = gateways.map(relayed).collect();
        (!gateways.is_empty()).then_some(Message::Roster(gateways))
    }

    /// Removes and returns the reports that wait for a proof.
    pub fn take_proof_requests(&mut self) -> Vec<ProofRequest> {
        std::mem::take(&mut self.proof_requests)
    }

    /// The proofs for these reports. Called once the leader has confirmed that no newer
    /// revision than the ones held here had been accepted when the requests were taken.
    /// `leaders_count` is the number of gateways that the leader counts, if it knows.
    pub fn prove(
        &self,
        proof_requests: Vec<ProofRequest>,
        leaders_count: Option<u32>,
    ) -> Vec<Outbound> {
        let revisions = self.revisions;
        let answer = |ProofRequest { from, report_id }| {
            let proven_report = report_id;
            (
                from,
                Message::Proof {
                    proven_report,
                    revisions,
                    leaders_count,
                },
            )
        };
        proof_requests.into_iter().map(answer).collect()
    }

    fn updates_for(&mut self, now: Moment, revisions: &Revisions, to: SocketAddr) -> Vec<Outbound> {
        let messages = self.updates_since(now, revisions);
        messages.into_iter().map(|message| (to, message)).collect()
    }

    /// The updates for a process that holds these revisions; of long ones the first part.
    /// Evacuations and endpoints precede routes, which may be long.
    fn updates_since(&mut self, now: Moment, revisions: &Revisions) -> Vec<Message> {
        let endpoints = self
            .endpoints_since(now, revisions.endpoints)
            .map(|message| (Revision::Endpoints(revisions.endpoints), message));
        let routes = self
            .routes
            .since(revisions.routes)
            .map(|message| (Revision::Routes(revisions.routes), message));
        let evacuated = self.evacuated_since(revisions.evacuated);
        let long = [endpoints, routes].into_iter().flatten();
        let long = long.map(|(from, message)| self.transfers.begin(now, from, message));
        evacuated.into_iter().chain(long).collect()
    }

    fn evacuated_since(&self, base: u64) -> Option<Message> {
        (self.revisions.evacuated > base).then(|| Message::Evacuated {
            revision: self.revisions.evacuated,
            domains: self.evacuated.clone(),
        })
    }

    /// The update for a replica that holds the list of endpoints `base`; `None` if it is up to
    /// date.
    pub fn endpoints_since(&self, now: Moment, base: Stamp) -> Option<Message> {
        self.endpoints.since(now, base)
    }

    /// Sends updates to the gateways that report here. Short updates are sent as they are; for
    /// long ones only a notice, since each gateway receives it from several replicas and pulls
    /// from one.
    fn announce(&mut self, now: Moment) -> Vec<Outbound> {
        let mut notices: BTreeMap<FailureDomain, Message> = BTreeMap::new();
        let mut cache: Vec<(Revisions, Vec<Message>)> = Vec::new();
        let mut out = Vec::new();
        for (
            domain,
            DirectReport {
                addr, revisions, ..
            },
        ) in self.reporting_gateways(now)
        {
            let index = cache.iter().position(|(key, _)| *key == revisions);
            let index = index.unwrap_or_else(|| {
                cache.push((revisions, self.updates_since(now, &revisions)));
                cache.len() - 1
            });
            let (long, short): (Vec<_>, Vec<_>) = cache[index].1.iter().partition(is_part);
            out.extend(short.into_iter().map(|message| (addr, message.clone())));
            if !long.is_empty() {
                let notice = notices.entry(domain);
                let notice = notice.or_insert_with_key(|d| self.notice(now, d, None, None));
                out.push((addr, notice.clone()));
            }
        }
        self.record_sent(&out);
        out
    }

    /// Failure domain and last report of each live gateway that reports to this replica.
    fn reporting_gateways(&self, now: Moment) -> Vec<(FailureDomain, DirectReport)> {
        let live = |gateway: &GatewayState| {
            let direct = gateway
                .direct
                .filter(|direct| now < direct.received_at + LIVENESS_TIMEOUT)?;
            Some((gateway.info.domain.clone(), direct))
        };
        self.gateways.values().filter_map(live).collect()
    }

    /// Advances the recorded revisions of gateways as if these messages had arrived. Their next
    /// report corrects that if they haven't.
    fn record_sent(&mut self, out: &[Outbound]) {
        let mut sent: BTreeMap<SocketAddr, Revisions> = BTreeMap::new();
        for (to, message) in out {
            message.advance(sent.entry(*to).or_default());
        }
        let direct = self.gateways.values_mut().filter_map(|s| s.direct.as_mut());
        for direct in direct {
            if let Some(sent) = sent.get(&direct.addr) {
                direct.revisions.merge(sent);
            }
        }
    }

    /// A notice for a gateway of `domain`.
    fn notice(
        &self,
        now: Moment,
        domain: &FailureDomain,
        answered_report: Option<u64>,
        proven_report: Option<u64>,
    ) -> Message {
        let mut totals = self.totals.borrow_mut();
        let current = totals
            .take()
            .filter(|totals| now < totals.computed_at + TOTALS_TTL);
        let totals = totals.insert(current.unwrap_or_else(|| self.totals(now)));
        Message::Notice {
            revisions: self.revisions,
            replicas: self.replicas.clone(),
            gateways: totals.gateways.clone(),
            demand: totals.demand.clone(),
            ratios: totals.ratios.clone(),
            shares: totals.shares.clone(),
            link_milli: totals.links.get(domain).copied(),
            helpers: totals.helpers.get(domain).cloned().unwrap_or_default(),
            suspicions: totals.suspicions.clone(),
            contended: totals.contended,
            answered_report,
            proven_report,
            leaders_count: proven_report.and_then(|_| self.counted_gateways(now)),
        }
    }

    fn totals(&self, now: Moment) -> Totals {
        Totals {
            computed_at: now,
            gateways: self.gateway_counts(now),
            demand: self.demand(now),
            ratios: self.ratios(now),
            shares: self.shares(now),
            links: self.link_means(now),
            helpers: self.helpers(now),
            suspicions: self.suspicions(now),
            contended: self
                .remembered_gateways(now)
                .any(|gateway| gateway.contended),
        }
    }

    /// What gateways hold against requests. That of a silent one counts until it is removed.
    fn suspicions(&self, now: Moment) -> Vec<Suspicion> {
        let reported = self.remembered_gateways(now).flat_map(|gateway| {
            let age = now.saturating_sub(gateway.last_seen);
            gateway.suspicions.iter().map(move |s| (age, s))
        });
        merge(reported)
    }

    /// The part of its requests that may be sent, for each workspace near its allotment.
    fn ratios(&self, now: Moment) -> Vec<AdmitRatio> {
        self.allotments.borrow_mut().ratios(now, self.usage(now))
    }

    /// How the capacity of services that are short of it is divided among workspaces.
    fn shares(&self, now: Moment) -> Vec<ServiceShares> {
        let workspaces = self
            .routes
            .table()
            .map_or(0, |table| table.workspaces.len());
        let gateways = self.gateways.values();
        let live = gateways.filter(|gateway| gateway.is_live(now));
        let work = live.flat_map(|gateway| &gateway.work);
        self.division.borrow_mut().shares(now, workspaces, work)
    }

    /// The services of which each named workspace asks for more than its share.
    fn shares_by_workspace(
        &self,
        now: Moment,
    ) -> HashMap<WorkspaceName, Vec<(ServiceName, u8, f64)>> {
        let mut by_workspace: HashMap<_, Vec<_>> = HashMap::new();
        for ServiceShares {
            service, shares, ..
        } in self.shares(now)
        {
            for share in shares {
                let part = (service.clone(), share.priority, share.ratio());
                by_workspace.entry(share.workspace).or_default().push(part);
            }
        }
        by_workspace
    }

    /// The services whose capacity is divided among workspaces.
    pub fn divided_services(&self, now: Moment) -> Vec<DividedService> {
        self.shares(now);
        self.division.borrow().services().to_vec()
    }

    /// The last reported usage of each gateway.
    fn usage(&self, now: Moment) -> impl Iterator<Item = (Presence, &Usage)> {
        self.gateways.values().flat_map(move |gateway| {
            let presence = match gateway.is_live(now) {
                true => Presence::Live,
                false => Presence::Silent,
            };
            gateway.usage.iter().map(move |usage| (presence, usage))
        })
    }

    /// The workspaces of the routes in force, with their requests by the gateways' last reports.
    pub fn workspaces(&self, now: Moment) -> Vec<WorkspaceUsage> {
        let Some(table) = self.routes.table() else {
            return Vec::new();
        };
        let totals = sum_up(self.usage(now));
        let ratios = self.ratios(now);
        let ratios: HashMap<_, _> = ratios.iter().map(|r| (&r.workspace, r.ratio())).collect();
        let refused = self.refused(now);
        let mut shares = self.shares_by_workspace(now);
        let mut usage = |workspace: &Arc<Workspace>| {
            let name = &workspace.name;
            WorkspaceUsage {
                totals: totals.get(name).copied().unwrap_or_default(),
                ratio: ratios.get(name).copied().unwrap_or(1.0),
                refused: refused.get(name).cloned().unwrap_or_default(),
                shares: shares.remove(name).unwrap_or_default(),
                workspace: Arc::clone(workspace),
            }
        };
        table.workspaces.iter().map(&mut usage).collect()
    }

    /// Refused requests per second of each workspace, by code.
    fn refused(&self, now: Moment) -> HashMap<&WorkspaceName, Vec<(ResultCode, f64)>> {
        let live = self
            .gateways
            .values()
            .filter(|gateway| gateway.is_live(now));
        let mut sums: HashMap<&WorkspaceName, Vec<(ResultCode, f64)>> = HashMap::new();
        for refused in live.flat_map(|gateway| &gateway.refused) {
            let per_s = f64::from(refused.refused_milli) / 1000.0;
            let codes = sums.entry(&refused.workspace).or_default();
            match codes.iter_mut().find(|(code, _)| *code == refused.code) {
                Some((_, sum)) => *sum += per_s,
                None => codes.push((refused.code, per_s)),
            }
        }
        sums
    }

    /// Number of gateways, lately silent ones included; `None` if this replica hasn't watched for long
    /// enough to count all that may have a part of a limit.
    pub fn counted_gateways(&self, now: Moment) -> Option<u32> {
        let started_at = self.started_at?;
        let is_complete = now >= started_at + COUNT_COMPLETE_AFTER;
        is_complete.then(|| self.remembered_gateways(now).count() as u32)
    }

    /// The gateways that haven't been silent for so long that they are to be removed.
    fn remembered_gateways(&self, now: Moment) -> impl Iterator<Item = &GatewayState> {
        let gateways = self.gateways.values();
        gateways.filter(move |gateway| now < gateway.last_seen + REMOVED_AFTER)
    }

    /// Number of gateways by failure domain. Lately silent ones are included: they may be cut
    /// off from this replica and still be sending requests to endpoints.
    fn gateway_counts(&self, now: Moment) -> Vec<(FailureDomain, u32)> {
        let mut counts = BTreeMap::new();
        for gateway in self.remembered_gateways(now) {
            *counts.entry(gateway.info.domain.clone()).or_insert(0) += 1;
        }
        counts.into_iter().collect()
    }

    fn demand(&self, now: Moment) -> Vec<(Region, ServiceName, u32)> {
        let mut by_service: BTreeMap<(Region, ServiceName), u32> = BTreeMap::new();
        for gateway in self
            .gateways
            .values()
            .filter(|gateway| gateway.is_live(now))
        {
            for demand in &gateway.demand {
                let key = (gateway.info.region.clone(), demand.service.clone());
                *by_service.entry(key).or_default() += demand.busy_milli;
            }
        }
        let flat = |((region, service), sum)| (region, service, sum);
        by_service.into_iter().map(flat).collect()
    }

    /// Mean link utilisation of the ready gateways by failure domain, in thousandths.
    fn link_means(&self, now: Moment) -> BTreeMap<FailureDomain, u32> {
        let ready = |gateway: &&GatewayState| gateway.ready && gateway.is_live(now);
        let mut used: BTreeMap<FailureDomain, (u32, u32)> = BTreeMap::new();
        for gateway in self.gateways.values().filter(ready) {
            let (sum, count) = used.entry(gateway.info.domain.clone()).or_default();
            *sum += gateway.link_milli;
            *count += 1;
        }
        let mean = |(domain, (sum, count)): (FailureDomain, (u32, u32))| (domain, sum / count);
        used.into_iter().map(mean).collect()
    }

    /// Gateways to relay requests through, for the gateways of each failure domain: some of the same
    /// one, of others of its region, and of other regions.
    fn helpers(&self, now: Moment) -> BTreeMap<FailureDomain, Vec<Helper>> {
        let domains = self.remembered_gateways(now);
        let domains: BTreeMap<_, _> = domains
            .map(|gateway| (&gateway.info.domain, &gateway.info.region))
            .collect();
        let helping: Vec<&GatewayInfo> = self
            .gateways
            .values()
            .filter(|gateway| gateway.ready && gateway.helps && gateway.is_live(now))
            .map(|gateway| &gateway.info)
            .collect();
        let of_domain = |(domain, region): (&FailureDomain, &Region)| {
            (domain.clone(), nearest_helpers(&helping, domain, region))
        };
        domains.into_iter().map(of_domain).collect()
    }

    /// The live gateways that accept callers.
    pub fn ready_gateways(&self, now: Moment) -> Vec<GatewayInfo> {
        let ready = |gateway: &&GatewayState| gateway.ready && gateway.is_live(now);
        let gateways = self.gateways.values().filter(ready);
        gateways.map(|gateway| gateway.info.clone()).collect()
    }
}

/// Up to [`HELPERS_PER_DISTANCE`] gateways at each distance. Those of other failure domains are taken
/// from one after the other, so that they don't all go with one of these.
fn nearest_helpers(
    helping: &[&GatewayInfo],
    domain: &FailureDomain,
    region: &Region,
) -> Vec<Helper> {
    let distance = |info: &GatewayInfo| match (info.domain == *domain, info.region == *region) {
        (true, _) => 0,
        (false, true) => 1,
        (false, false) => 2,
    };
    let at_distance = |wanted: usize| {
        let mut by_domain: BTreeMap<&FailureDomain, Vec<&GatewayInfo>> = BTreeMap::new();
        for info in helping.iter().filter(|info| distance(info) == wanted) {
            by_domain.entry(&info.domain).or_default().push(info);
        }
        let longest = by_domain.values().map(Vec::len).max().unwrap_or(0);
        let in_turns = (0..longest).flat_map(|turn| {
            let turn = by_domain.values().filter_map(move |infos| infos.get(turn));
            turn.copied().collect::<Vec<_>>()
        });
        in_turns.take(HELPERS_PER_DISTANCE).collect::<Vec<_>>()
    };
    let nearest = (0..3).flat_map(at_distance);
    let helper = |info: &GatewayInfo| Helper {
        domain: info.domain.clone(),
        addr: info.relay_addr,
    };
    nearest.map(helper).collect()
}

fn is_part(message: &&Message) -> bool {
    matches!(message, Message::Part(_))
}

/// Whether the routes define this service. Without a table every service counts as defined.
fn is_served(table: Option<&Table>, service: &ServiceName) -> bool {
    table.is_none_or(|table| table.services.iter().any(|s| s.name == *service))
}

impl GatewayState {
    fn is_live(&self, now: Moment) -> bool {
        now < self.last_seen + LIVENESS_TIMEOUT
    }
}
