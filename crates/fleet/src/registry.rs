//! The control side: which gateways are live, and what they are to be told.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_route::Table;
use filberthead_types::{FailureDomain, Moment, NodeName, Region, ServiceName};

use crate::list::{EndpointList, ListOutcome};
use crate::parts::OutgoingTransfers;
use crate::routes::Routes;
use crate::{
    Demand, Endpoint, EndpointChange, GatewayInfo, Message, Outbound, RelayedReport, Report,
    Revision, Revisions, Stamp,
};

/// Silence after which a gateway is no longer named to callers: three reports, so that
/// one that is lost or late takes nobody out of service.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1600);
/// Silence after which a gateway is forgotten. Its place in counts lasts this long, since
/// one that is cut off from control may still be serving.
const REMOVED_AFTER: Duration = Duration::from_secs(30);

/// Time for which sums over all gateways are kept: each of hundreds of reports is answered
/// with them.
const TOTALS_TTL: Duration = Duration::from_millis(100);
/// Questions that may wait for the leader's word; further ones are asked again anyway.
const MAX_PROOF_REQUESTS: usize = 1024;

/// A report that came to this replica itself.
#[derive(Clone, Copy, Debug)]
struct DirectReport {
    addr: SocketAddr,
    received_at: Moment,
    /// What the gateway holds, by its report and what it was sent since.
    revisions: Revisions,
}

#[derive(Clone, Debug)]
struct GatewayState {
    info: GatewayInfo,
    /// Its last report to this replica; none if only others heard it.
    direct: Option<DirectReport>,
    ready: bool,
    last_seen: Moment,
    demand: Vec<Demand>,
    link_milli: u32,
}

/// The question of a gateway's report that waits for a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProofRequest {
    /// Who asked.
    pub from: SocketAddr,
    /// The question.
    pub report_id: u64,
}

/// Sums over all gateways, as notices tell them.
#[derive(Clone, Debug)]
struct Totals {
    computed_at: Moment,
    gateways: Vec<(FailureDomain, u32)>,
    demand: Vec<(Region, ServiceName, u32)>,
    links: BTreeMap<FailureDomain, u32>,
}

/// What a control replica knows of gateways, and holds for them.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    gateways: BTreeMap<NodeName, GatewayState>,
    replicas: Vec<SocketAddr>,
    revisions: Revisions,
    routes: Routes,
    evacuated: BTreeSet<FailureDomain>,
    endpoints: EndpointList,
    /// Long messages that gateways receive in parts.
    transfers: OutgoingTransfers,
    /// Questions that this replica couldn't answer itself.
    proof_requests: Vec<ProofRequest>,
    /// When other replicas were last told of gateways.
    last_roster: Moment,
    totals: RefCell<Option<Totals>>,
}

impl Registry {
    /// What this replica holds.
    pub fn revisions(&self) -> Revisions {
        self.revisions
    }

    /// Tells where the control replicas are, this one included.
    pub fn set_replicas(&mut self, replicas: Vec<SocketAddr>) {
        self.replicas = replicas;
    }

    /// Takes in the routes in force, applied at `revision` of the log.
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
        self.routes.set(revision, version, table);
        self.announce(now)
    }

    /// Takes in the evacuated failure domains, as of `revision` of the log.
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

    /// Takes in a list of endpoints that this replica, the leader of `term`, has read
    /// just now. A list that tells nothing new keeps its stamp.
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

    /// How many endpoints the list names of each service that the routes in force don't
    /// know. No request goes to them.
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

    /// Takes in a message of a gateway or of another replica. `proven` says whether this
    /// replica can prove at this moment that nothing newer than what it holds is accepted.
    pub fn receive(
        &mut self,
        now: Moment,
        from: SocketAddr,
        message: Message,
        proven: bool,
    ) -> Vec<Outbound> {
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
        let gateway = GatewayState {
            info: report.gateway,
            direct: Some(DirectReport {
                addr: from,
                received_at: now,
                revisions: report.revisions,
            }),
            ready: report.ready,
            last_seen: now,
            demand: report.demand,
            link_milli: report.link_milli,
        };
        let domain = gateway.info.domain.clone();
        self.store(gateway);
        if !proven && self.proof_requests.len() < MAX_PROOF_REQUESTS {
            let report_id = id;
            self.proof_requests.push(ProofRequest { from, report_id });
        }
        let proven_report = proven.then_some(id);
        vec![(from, self.notice(now, &domain, Some(id), proven_report))]
    }

    fn store(&mut self, gateway: GatewayState) {
        let current = self.gateways.insert(gateway.info.name.clone(), gateway);
        if current.is_none() {
            self.totals.replace(None);
        }
    }

    /// Takes in what another replica tells of gateways, as far as it is newer.
    fn on_roster(&mut self, now: Moment, gateways: Vec<RelayedReport>) {
        for relayed in gateways {
            let last_seen = now.saturating_sub(relayed.age);
            let current = self.gateways.get(&relayed.gateway.name);
            if current.is_some_and(|current| current.last_seen >= last_seen) {
                continue;
            }
            let direct = current.and_then(|current| current.direct);
            self.store(GatewayState {
                info: relayed.gateway,
                direct,
                ready: relayed.ready,
                last_seen,
                demand: relayed.demand,
                link_milli: relayed.link_milli,
            });
        }
    }

    /// What other replicas are to be told of gateways: all that have reported here since
    /// they were last told.
    pub fn roster(&mut self, now: Moment) -> Option<Message> {
        let since = std::mem::replace(&mut self.last_roster, now);
        let reported = |gateway: &&GatewayState| {
            gateway
                .direct
                .is_some_and(|d| d.received_at >= since && d.received_at < now)
        };
        let relayed = |gateway: &GatewayState| RelayedReport {
            gateway: gateway.info.clone(),
            ready: gateway.ready,
            demand: gateway.demand.clone(),
            link_milli: gateway.link_milli,
            age: now.saturating_sub(gateway.last_seen),
        };
        let gateways = self.gateways.values().filter(reported);
        let gateways: Vec<_> = gateways.map(relayed).collect();
        (!gateways.is_empty()).then_some(Message::Roster(gateways))
    }

    /// The questions that wait for a proof. They are not given again.
    pub fn take_proof_requests(&mut self) -> Vec<ProofRequest> {
        std::mem::take(&mut self.proof_requests)
    }

    /// The answers to questions, once it is known that nothing newer than what is held here
    /// was accepted when they were taken.
    pub fn prove(&self, proof_requests: Vec<ProofRequest>) -> Vec<Outbound> {
        let revisions = self.revisions;
        let answer = |ProofRequest { from, report_id }| {
            let proven_report = report_id;
            (
                from,
                Message::Proof {
                    proven_report,
                    revisions,
                },
            )
        };
        proof_requests.into_iter().map(answer).collect()
    }

    fn updates_for(&mut self, now: Moment, revisions: &Revisions, to: SocketAddr) -> Vec<Outbound> {
        let messages = self.updates_since(now, revisions);
        messages.into_iter().map(|message| (to, message)).collect()
    }

    /// What somebody lacks who holds this; of what is long the first part. What changes where
    /// requests may go comes before what may be long.
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

    /// What another replica lacks of the list if it holds `have`.
    pub fn endpoints_since(&self, now: Moment, base: Stamp) -> Option<Message> {
        self.endpoints.since(now, base)
    }

    /// Tells the gateways that report here what is new: short news itself, and of what is long
    /// that it is there, since each of them hears several replicas.
    fn announce(&mut self, now: Moment) -> Vec<Outbound> {
        self.gateways
            .retain(|_, gateway| now < gateway.last_seen + REMOVED_AFTER);
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
            let index = cache.iter().position(|(current, _)| *current == revisions);
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

    /// The failure domains and last reports of the gateways that report here.
    fn reporting_gateways(&self, now: Moment) -> Vec<(FailureDomain, DirectReport)> {
        let live = |gateway: &GatewayState| {
            let direct = gateway
                .direct
                .filter(|direct| now < direct.received_at + LIVENESS_TIMEOUT)?;
            Some((gateway.info.domain.clone(), direct))
        };
        self.gateways.values().filter_map(live).collect()
    }

    /// Notes what gateways hold when these messages have arrived. The next report says whether
    /// they have.
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

    /// A notice for gateways of a failure domain, which may prove what it says.
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
            link_milli: totals.links.get(domain).copied(),
            answered_report,
            proven_report,
        }
    }

    fn totals(&self, now: Moment) -> Totals {
        Totals {
            computed_at: now,
            gateways: self.gateway_counts(),
            demand: self.demand(now),
            links: self.link_means(now),
        }
    }

    /// Gateways by failure domain. Those that fell silent lately count as well: they may
    /// be cut off from here and go on sending to endpoints.
    fn gateway_counts(&self) -> Vec<(FailureDomain, u32)> {
        let mut counts = BTreeMap::new();
        for gateway in self.gateways.values() {
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

    /// Mean use of the links of each failure domain's gateways.
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

    /// The gateways that callers may be sent to.
    pub fn ready_gateways(&self, now: Moment) -> Vec<GatewayInfo> {
        let ready = |gateway: &&GatewayState| gateway.ready && gateway.is_live(now);
        let gateways = self.gateways.values().filter(ready);
        gateways.map(|gateway| gateway.info.clone()).collect()
    }
}

fn is_part(message: &&Message) -> bool {
    matches!(message, Message::Part(_))
}

/// Before there are routes any service may come to be known.
fn is_served(table: Option<&Table>, service: &ServiceName) -> bool {
    table.is_none_or(|table| table.services.iter().any(|s| s.name == *service))
}

impl GatewayState {
    fn is_live(&self, now: Moment) -> bool {
        now < self.last_seen + LIVENESS_TIMEOUT
    }
}
