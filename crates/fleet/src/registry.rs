//! The control side: which gateways are live, and what they are to be told.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_route::Table;
use filberthead_types::{FailureDomain, Moment, NodeName, Region, ServiceName};

use crate::list::{List, Taken};
use crate::parts::Sending;
use crate::routes::Routes;
use crate::{
    Demand, Endpoint, EndpointChange, GatewayInfo, Message, Outbound, Relayed, Report, Revision,
    Revisions, Stamp,
};

/// Silence after which a gateway is no longer named to callers: three reports, so that
/// one that is lost or late takes nobody out of service.
const LIVE_FOR: Duration = Duration::from_millis(1600);
/// Silence after which a gateway is forgotten. Its place in counts lasts this long, since
/// one that is cut off from control may still be serving.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(30);

/// Time for which sums over all gateways are kept: each of hundreds of reports is answered
/// with them.
const SUMS_KEPT: Duration = Duration::from_millis(100);
/// Questions that may wait for the leader's word; further ones are asked again anyway.
const MAX_PROOF_REQUESTS: usize = 1024;

/// A report that came to this replica itself.
#[derive(Clone, Copy, Debug)]
struct Direct {
    addr: SocketAddr,
    at: Moment,
    /// What the gateway holds, by its report and what it was sent since.
    revisions: Revisions,
}

#[derive(Clone, Debug)]
struct Seen {
    info: GatewayInfo,
    /// Its last report to this replica; none if only others heard it.
    direct: Option<Direct>,
    ready: bool,
    at: Moment,
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
struct Sums {
    at: Moment,
    gateways: Vec<(FailureDomain, u32)>,
    demand: Vec<(Region, ServiceName, u32)>,
    links: BTreeMap<FailureDomain, u32>,
}

/// What a control replica knows of gateways, and holds for them.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    gateways: BTreeMap<NodeName, Seen>,
    replicas: Vec<SocketAddr>,
    revisions: Revisions,
    routes: Routes,
    evacuated: BTreeSet<FailureDomain>,
    endpoints: List,
    /// Long messages that gateways receive in parts.
    sending: Sending,
    /// Questions that this replica couldn't answer itself.
    proof_requests: Vec<ProofRequest>,
    /// When other replicas were last told of gateways.
    relayed: Moment,
    sums: RefCell<Option<Sums>>,
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
        let list = self.endpoints.settled(now, list, |s| is_served(table, s));
        let held = self.endpoints.stamp();
        if held.term == term && self.endpoints.tells_nothing_new(now, &list) {
            return Vec::new();
        }
        let seq = if held.term == term { held.seq + 1 } else { 1 };
        let taken = self.endpoints.replace(now, Stamp { term, seq }, list);
        self.after(now, taken)
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

    fn after(&mut self, now: Moment, taken: Taken) -> Vec<Outbound> {
        self.revisions.endpoints = self.endpoints.stamp();
        match taken {
            Taken::New => self.announce(now),
            Taken::Old | Taken::Gap => Vec::new(),
        }
    }

    fn changed(
        &mut self,
        now: Moment,
        from: SocketAddr,
        stamp: Stamp,
        change: EndpointChange,
    ) -> Vec<Outbound> {
        let taken = self.endpoints.apply(now, stamp, change);
        if taken == Taken::Gap {
            return vec![(from, Message::PullEndpoints(self.revisions.endpoints))];
        }
        self.after(now, taken)
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
            Message::Report(report) => self.reported(now, from, report, proven),
            Message::Roster(gateways) => {
                self.relayed(now, gateways);
                Vec::new()
            }
            Message::Pull(revisions) => self.newer_than(now, &revisions, from),
            Message::PullEndpoints(base) => {
                let news = self.endpoints_since(now, base);
                news.into_iter().map(|news| (from, news)).collect()
            }
            Message::PullPart { digest, index } => {
                let part = self.sending.part(now, digest, index);
                part.into_iter().map(|part| (from, part)).collect()
            }
            Message::Endpoints { stamp, list } => {
                let taken = self.endpoints.replace(now, stamp, list);
                self.after(now, taken)
            }
            Message::EndpointsChanged { stamp, change } => self.changed(now, from, stamp, change),
            _ => Vec::new(),
        }
    }

    fn reported(
        &mut self,
        now: Moment,
        from: SocketAddr,
        report: Report,
        proven: bool,
    ) -> Vec<Outbound> {
        let id = report.id;
        let seen = Seen {
            info: report.gateway,
            direct: Some(Direct {
                addr: from,
                at: now,
                revisions: report.revisions,
            }),
            ready: report.ready,
            at: now,
            demand: report.demand,
            link_milli: report.link_milli,
        };
        let domain = seen.info.domain.clone();
        self.note(seen);
        if !proven && self.proof_requests.len() < MAX_PROOF_REQUESTS {
            let report_id = id;
            self.proof_requests.push(ProofRequest { from, report_id });
        }
        let proven_report = proven.then_some(id);
        vec![(from, self.notice(now, &domain, Some(id), proven_report))]
    }

    fn note(&mut self, seen: Seen) {
        let held = self.gateways.insert(seen.info.name.clone(), seen);
        if held.is_none() {
            self.sums.replace(None);
        }
    }

    /// Takes in what another replica tells of gateways, as far as it is newer.
    fn relayed(&mut self, now: Moment, gateways: Vec<Relayed>) {
        for relayed in gateways {
            let at = now.saturating_sub(relayed.age);
            let held = self.gateways.get(&relayed.gateway.name);
            if held.is_some_and(|held| held.at >= at) {
                continue;
            }
            let direct = held.and_then(|held| held.direct);
            self.note(Seen {
                info: relayed.gateway,
                direct,
                ready: relayed.ready,
                at,
                demand: relayed.demand,
                link_milli: relayed.link_milli,
            });
        }
    }

    /// What other replicas are to be told of gateways: all that have reported here since
    /// they were last told.
    pub fn roster(&mut self, now: Moment) -> Option<Message> {
        let since = std::mem::replace(&mut self.relayed, now);
        let reported = |seen: &&Seen| seen.direct.is_some_and(|d| d.at >= since && d.at < now);
        let relayed = |seen: &Seen| Relayed {
            gateway: seen.info.clone(),
            ready: seen.ready,
            demand: seen.demand.clone(),
            link_milli: seen.link_milli,
            age: now.saturating_sub(seen.at),
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

    fn newer_than(&mut self, now: Moment, revisions: &Revisions, to: SocketAddr) -> Vec<Outbound> {
        let news = self.news(now, revisions);
        news.into_iter().map(|news| (to, news)).collect()
    }

    /// What somebody lacks who holds this; of what is long the first part. What changes where
    /// requests may go comes before what may be long.
    fn news(&mut self, now: Moment, revisions: &Revisions) -> Vec<Message> {
        let endpoints = self
            .endpoints_since(now, revisions.endpoints)
            .map(|news| (Revision::Endpoints(revisions.endpoints), news));
        let routes = self
            .routes
            .since(revisions.routes)
            .map(|news| (Revision::Routes(revisions.routes), news));
        let evacuated = self.evacuated_for(revisions.evacuated);
        let long = [endpoints, routes].into_iter().flatten();
        let long = long.map(|(from, news)| self.sending.begin(now, from, news));
        evacuated.into_iter().chain(long).collect()
    }

    fn evacuated_for(&self, base: u64) -> Option<Message> {
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
            .retain(|_, seen| now < seen.at + FORGOTTEN_AFTER);
        let mut notices: BTreeMap<FailureDomain, Message> = BTreeMap::new();
        let mut news: Vec<(Revisions, Vec<Message>)> = Vec::new();
        let mut out = Vec::new();
        for (
            domain,
            Direct {
                addr, revisions, ..
            },
        ) in self.reached(now)
        {
            let known = news.iter().position(|(held, _)| *held == revisions);
            let place = known.unwrap_or_else(|| {
                news.push((revisions, self.news(now, &revisions)));
                news.len() - 1
            });
            let (long, short): (Vec<_>, Vec<_>) = news[place].1.iter().partition(is_part);
            out.extend(short.into_iter().map(|message| (addr, message.clone())));
            if !long.is_empty() {
                let notice = notices.entry(domain);
                let notice = notice.or_insert_with_key(|d| self.notice(now, d, None, None));
                out.push((addr, notice.clone()));
            }
        }
        self.note_sent(&out);
        out
    }

    /// The failure domains and last reports of the gateways that report here.
    fn reached(&self, now: Moment) -> Vec<(FailureDomain, Direct)> {
        let live = |seen: &Seen| {
            let direct = seen.direct.filter(|direct| now < direct.at + LIVE_FOR)?;
            Some((seen.info.domain.clone(), direct))
        };
        self.gateways.values().filter_map(live).collect()
    }

    /// Notes what gateways hold when these messages have arrived. The next report says whether
    /// they have.
    fn note_sent(&mut self, out: &[Outbound]) {
        let mut sent: BTreeMap<SocketAddr, Revisions> = BTreeMap::new();
        for (to, message) in out {
            message.raise(sent.entry(*to).or_default());
        }
        let direct = self.gateways.values_mut().filter_map(|s| s.direct.as_mut());
        for direct in direct {
            if let Some(sent) = sent.get(&direct.addr) {
                direct.revisions.raise(sent);
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
        let mut sums = self.sums.borrow_mut();
        let held = sums.take().filter(|sums| now < sums.at + SUMS_KEPT);
        let sums = sums.insert(held.unwrap_or_else(|| self.sums(now)));
        Message::Notice {
            revisions: self.revisions,
            replicas: self.replicas.clone(),
            gateways: sums.gateways.clone(),
            demand: sums.demand.clone(),
            link_milli: sums.links.get(domain).copied(),
            answered_report,
            proven_report,
        }
    }

    fn sums(&self, now: Moment) -> Sums {
        Sums {
            at: now,
            gateways: self.counts(),
            demand: self.demand(now),
            links: self.links(now),
        }
    }

    /// Gateways by failure domain. Those that fell silent lately count as well: they may
    /// be cut off from here and go on sending to endpoints.
    fn counts(&self) -> Vec<(FailureDomain, u32)> {
        let mut counts = BTreeMap::new();
        for seen in self.gateways.values() {
            *counts.entry(seen.info.domain.clone()).or_insert(0) += 1;
        }
        counts.into_iter().collect()
    }

    fn demand(&self, now: Moment) -> Vec<(Region, ServiceName, u32)> {
        let mut sums: BTreeMap<(Region, ServiceName), u32> = BTreeMap::new();
        for seen in self.gateways.values().filter(|seen| seen.is_live(now)) {
            for demand in &seen.demand {
                let key = (seen.info.region.clone(), demand.service.clone());
                *sums.entry(key).or_default() += demand.busy_milli;
            }
        }
        let flat = |((region, service), sum)| (region, service, sum);
        sums.into_iter().map(flat).collect()
    }

    /// Mean use of the links of each failure domain's gateways.
    fn links(&self, now: Moment) -> BTreeMap<FailureDomain, u32> {
        let ready = |seen: &&Seen| seen.ready && seen.is_live(now);
        let mut used: BTreeMap<FailureDomain, (u32, u32)> = BTreeMap::new();
        for seen in self.gateways.values().filter(ready) {
            let (sum, count) = used.entry(seen.info.domain.clone()).or_default();
            *sum += seen.link_milli;
            *count += 1;
        }
        let mean = |(domain, (sum, count)): (FailureDomain, (u32, u32))| (domain, sum / count);
        used.into_iter().map(mean).collect()
    }

    /// The gateways that callers may be sent to.
    pub fn ready_gateways(&self, now: Moment) -> Vec<GatewayInfo> {
        let ready = |seen: &&Seen| seen.ready && seen.is_live(now);
        let gateways = self.gateways.values().filter(ready);
        gateways.map(|seen| seen.info.clone()).collect()
    }
}

fn is_part(message: &&Message) -> bool {
    matches!(message, Message::Part(_))
}

/// Before there are routes any service may come to be known.
fn is_served(table: Option<&Table>, service: &ServiceName) -> bool {
    table.is_none_or(|table| table.services.iter().any(|s| s.name == *service))
}

impl Seen {
    fn is_live(&self, now: Moment) -> bool {
        now < self.at + LIVE_FOR
    }
}
