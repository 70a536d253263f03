//! The control side: which gateways are live, and what they are to be told.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_route::Table;
use filberthead_types::{FailureDomain, Moment, NodeName, Region, ServiceName};

use crate::list::{List, Taken};
use crate::{
    Demand, Endpoint, EndpointChange, GatewayInfo, Have, Message, Outbound, Report, Stamp,
};

/// Silence after which a gateway is no longer named to callers: three reports, so that
/// one that is lost or late takes nobody out of service.
const LIVE_FOR: Duration = Duration::from_millis(1600);
/// Silence after which a gateway is forgotten. Its place in counts lasts this long, since
/// one that is cut off from control may still be serving.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Seen {
    info: GatewayInfo,
    addr: SocketAddr,
    ready: bool,
    at: Moment,
    demand: Vec<Demand>,
    link_milli: u32,
}

/// What a control replica knows of gateways, and holds for them.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    gateways: BTreeMap<NodeName, Seen>,
    replicas: Vec<SocketAddr>,
    have: Have,
    version: u64,
    table: Option<Arc<Table>>,
    evacuated: BTreeSet<FailureDomain>,
    endpoints: List,
}

impl Registry {
    /// What this replica holds.
    pub fn have(&self) -> Have {
        self.have
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
        if revision <= self.have.routes {
            return Vec::new();
        }
        self.have.routes = revision;
        self.version = version;
        self.table = Some(table);
        self.notices(now)
    }

    /// Takes in the evacuated failure domains, as of `revision` of the log.
    pub fn set_evacuated(
        &mut self,
        now: Moment,
        revision: u64,
        domains: &BTreeSet<FailureDomain>,
    ) -> Vec<Outbound> {
        if revision <= self.have.evacuated {
            return Vec::new();
        }
        self.have.evacuated = revision;
        self.evacuated.clone_from(domains);
        self.notices(now)
    }

    /// Takes in a list of endpoints that this replica, the leader of `term`, has read
    /// just now. A list that tells nothing new keeps its stamp.
    pub fn listed(&mut self, now: Moment, term: u64, list: Vec<Endpoint>) -> Vec<Outbound> {
        let table = self.table.as_deref();
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
    pub fn unserved(&self) -> BTreeMap<&ServiceName, usize> {
        let mut counts = BTreeMap::new();
        for service in self.endpoints.services() {
            if !is_served(self.table.as_deref(), service) {
                *counts.entry(service).or_default() += 1;
            }
        }
        counts
    }

    fn after(&mut self, now: Moment, taken: Taken) -> Vec<Outbound> {
        self.have.endpoints = self.endpoints.stamp();
        match taken {
            Taken::New => self.notices(now),
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
            return vec![(from, Message::Ask(self.have))];
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
            Message::Ask(have) => self.newer_than(now, &have, from),
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
        let seen = Seen {
            info: report.gateway,
            addr: from,
            ready: report.ready,
            at: now,
            demand: report.demand,
            link_milli: report.link_milli,
        };
        let domain = seen.info.domain.clone();
        self.gateways.insert(seen.info.name.clone(), seen);
        let proves = proven.then_some(report.question);
        vec![(from, self.notice(now, &domain, proves))]
    }

    fn newer_than(&self, now: Moment, have: &Have, to: SocketAddr) -> Vec<Outbound> {
        let routes = self
            .table
            .as_ref()
            .filter(|_| self.have.routes > have.routes);
        let routes = routes.map(|table| Message::Routes {
            revision: self.have.routes,
            version: self.version,
            table: Arc::clone(table),
        });
        let evacuated = (self.have.evacuated > have.evacuated).then(|| Message::Evacuated {
            revision: self.have.evacuated,
            domains: self.evacuated.clone(),
        });
        let endpoints = self.endpoints_for(now, have.endpoints);
        let news = [routes, evacuated, endpoints];
        news.into_iter().flatten().map(|news| (to, news)).collect()
    }

    /// What another replica lacks of the list if it holds `have`.
    pub fn endpoints_for(&self, now: Moment, have: Stamp) -> Option<Message> {
        self.endpoints.since(now, have)
    }

    fn notices(&mut self, now: Moment) -> Vec<Outbound> {
        self.gateways
            .retain(|_, seen| now < seen.at + FORGOTTEN_AFTER);
        let mut notices: BTreeMap<&FailureDomain, Message> = BTreeMap::new();
        let live = self.gateways.values().filter(|seen| seen.is_live(now));
        live.map(|seen| {
            let domain = &seen.info.domain;
            let notice = notices.entry(domain);
            let notice = notice.or_insert_with(|| self.notice(now, domain, None));
            (seen.addr, notice.clone())
        })
        .collect()
    }

    /// A notice for gateways of a failure domain, which may prove what it says.
    fn notice(&self, now: Moment, domain: &FailureDomain, proves: Option<u64>) -> Message {
        Message::Notice {
            have: self.have,
            replicas: self.replicas.clone(),
            gateways: self.counts(),
            demand: self.demand(now),
            link_milli: self.link_milli(now, domain),
            proves,
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

    /// Mean use of the links of a failure domain's gateways.
    fn link_milli(&self, now: Moment, domain: &FailureDomain) -> Option<u32> {
        let ready = |seen: &&Seen| seen.ready && seen.is_live(now) && seen.info.domain == *domain;
        let used: Vec<u32> = self
            .gateways
            .values()
            .filter(ready)
            .map(|seen| seen.link_milli)
            .collect();
        let count = u32::try_from(used.len()).unwrap_or(u32::MAX);
        used.iter().sum::<u32>().checked_div(count)
    }

    /// The gateways that callers may be sent to.
    pub fn ready(&self, now: Moment) -> Vec<GatewayInfo> {
        let ready = |seen: &&Seen| seen.ready && seen.is_live(now);
        let gateways = self.gateways.values().filter(ready);
        gateways.map(|seen| seen.info.clone()).collect()
    }
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
