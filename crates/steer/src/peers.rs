//! Other entries: their reports, and the requests sent to them since.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_types::{Moment, NodeName, ServiceName};

use crate::config::Config;
use crate::hash::Key;
use crate::{EntryInfo, ServiceReport};

/// How long no more requests of a service are sent to an entry that refused one.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);

/// Weight of a report in the mean utilisation of an entry's slots: a mean over about 2 s.
const UTILISATION_GAIN: f64 = 0.1;

#[derive(Debug)]
pub(crate) struct PeerService {
    pub(crate) report: ServiceReport,
    received_at: Moment,
    /// When each request was sent that is unfinished and too recent to be in the report.
    unreported: VecDeque<Moment>,
    /// Until then it gets no requests, because it refused one.
    paused_until: Moment,
    /// Mean utilisation of its slots.
    mean_utilisation: f64,
}

/// An entry's state for one service, as placement decisions use it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerLoad {
    /// Slots that it may fill now.
    pub(crate) capacity: u32,
    /// Requests that run or wait there, and those sent since its report.
    pub(crate) outstanding: u32,
    /// Requests that run there, by its report alone.
    pub(crate) running: u32,
    /// Whether the report is recent.
    pub(crate) fresh: bool,
    /// Mean utilisation of its slots, by its reports.
    pub(crate) mean_utilisation: f64,
    /// How many more shifted requests it accepts.
    pub(crate) shift_room: u32,
    /// Mean time in seconds for which a request holds a slot there.
    pub(crate) hold_seconds: f64,
}

#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) info: EntryInfo,
    /// Round trip to it, assumed from its failure domain and region.
    pub(crate) rtt: Duration,
    /// Connecting to it has failed since its last report. Reports take another path than
    /// requests, and until the next report each attempt would cost its caller the time of a
    /// failed connection.
    unreachable: bool,
    services: HashMap<ServiceName, PeerService>,
}

impl Peer {
    fn new(info: EntryInfo, cfg: &Config) -> Self {
        let rtt = if info.region != cfg.region {
            cfg.rtt_inter_region
        } else if info.failure_domain != cfg.failure_domain {
            cfg.rtt_region
        } else {
            cfg.rtt_domain
        };
        Self {
            info,
            rtt,
            unreachable: false,
            services: HashMap::new(),
        }
    }

    /// The entry's load for the service; `None` if it hasn't reported the service, has just
    /// refused a request, is unreachable or has no capacity.
    pub(crate) fn load(
        &self,
        now: Moment,
        service: &ServiceName,
        report_ttl: Duration,
    ) -> Option<PeerLoad> {
        let state = self.services.get(service)?;
        if self.unreachable || state.report.capacity == 0 || now < state.paused_until {
            return None;
        }
        let unreported = state.unreported.len() as u32;
        let pending = state.report.running + state.report.waiting + unreported;
        // An outdated report means neither idle nor dead. The entry is assumed to be full
        // but serving, so that it ranks after those with free slots.
        let stale = now.saturating_sub(state.received_at) >= report_ttl;
        let outstanding = if stale {
            pending.max(state.report.capacity)
        } else {
            pending
        };
        Some(PeerLoad {
            capacity: state.report.capacity,
            outstanding,
            running: state.report.running,
            fresh: !stale,
            mean_utilisation: state.mean_utilisation,
            shift_room: state.report.shift_room.saturating_sub(unreported),
            hold_seconds: f64::from(state.report.hold_micros) * 1e-6,
        })
    }

    /// Slots in its last report; `None` if it hasn't reported the service.
    pub(crate) fn slots(&self, service: &ServiceName) -> Option<u32> {
        self.services.get(service).map(|state| state.report.slots)
    }

    fn apply_report(&mut self, now: Moment, report: ServiceReport) {
        let rtt = self.rtt;
        match self.services.get_mut(&report.service) {
            Some(state) => {
                state.report = report;
                state.mean_utilisation +=
                    UTILISATION_GAIN * (state.report.utilisation() - state.mean_utilisation);
                state.received_at = now;
                // Requests sent more than a round trip ago arrived before the report was sent.
                while state
                    .unreported
                    .front()
                    .is_some_and(|&sent| sent + rtt < now)
                {
                    state.unreported.pop_front();
                }
            }
            None => {
                let service = report.service.clone();
                let state = PeerService {
                    report,
                    received_at: now,
                    unreported: VecDeque::new(),
                    paused_until: Moment::ZERO,
                    mean_utilisation: 0.0,
                };
                self.services.insert(service, state);
            }
        }
    }
}

/// All other live entries, by name.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_name: BTreeMap<NodeName, Peer>,
}

impl Peers {
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.by_name.values()
    }

    pub(crate) fn set_entries(&mut self, infos: impl IntoIterator<Item = EntryInfo>, cfg: &Config) {
        let mut previous = std::mem::take(&mut self.by_name);
        for info in infos {
            if info.name == cfg.node {
                continue;
            }
            let mut peer = match previous.remove(&info.name) {
                Some(peer) if peer.info.incarnation == info.incarnation => peer,
                _ => Peer::new(info.clone(), cfg),
            };
            peer.info = info;
            self.by_name.insert(peer.info.name.clone(), peer);
        }
    }

    pub(crate) fn record_reports(
        &mut self,
        now: Moment,
        from: &NodeName,
        reports: Vec<ServiceReport>,
    ) {
        if let Some(peer) = self.by_name.get_mut(from) {
            peer.unreachable = false;
            for report in reports {
                peer.apply_report(now, report);
            }
        }
    }

    pub(crate) fn addr(&self, name: &NodeName) -> Option<SocketAddr> {
        self.by_name.get(name).map(|peer| peer.info.caller_addr)
    }

    pub(crate) fn record_sent(&mut self, now: Moment, to: &NodeName, service: &ServiceName) {
        let state = self
            .by_name
            .get_mut(to)
            .and_then(|peer| peer.services.get_mut(service));
        if let Some(state) = state {
            state.unreported.push_back(now);
        }
    }

    /// Records the end of a request that was sent at `sent`.
    pub(crate) fn record_finished(&mut self, by: &NodeName, service: &ServiceName, sent: Moment) {
        let state = self
            .by_name
            .get_mut(by)
            .and_then(|peer| peer.services.get_mut(service));
        if let Some(state) = state
            && let Ok(index) = state.unreported.binary_search(&sent)
        {
            state.unreported.remove(index);
        }
    }

    pub(crate) fn mark_unreachable(&mut self, name: &NodeName) {
        if let Some(peer) = self.by_name.get_mut(name) {
            peer.unreachable = true;
        }
    }

    pub(crate) fn record_refusal(&mut self, now: Moment, by: &NodeName, service: &ServiceName) {
        let state = self
            .by_name
            .get_mut(by)
            .and_then(|peer| peer.services.get_mut(service));
        if let Some(state) = state {
            state.paused_until = now + REFUSAL_PAUSE;
        }
    }

    /// Entries that get this one's reports: up to half of the fan-out in the own region, the
    /// nearest first, and the rest in other regions. Ties are broken by rendezvous hashing,
    /// so that in a large cluster each entry still gets reports from some entries of every
    /// region.
    pub(crate) fn report_targets(&self, cfg: &Config) -> Vec<NodeName> {
        let mut ranked: Vec<_> = self
            .iter()
            .map(|peer| {
                let key = Key::new()
                    .text(cfg.node.as_str())
                    .text(peer.info.name.as_str());
                (peer.rtt, key.hash(), &peer.info.name)
            })
            .collect();
        ranked.sort();
        let in_region = ranked
            .iter()
            .filter(|(rtt, ..)| *rtt < cfg.rtt_inter_region);
        let elsewhere = ranked
            .iter()
            .filter(|(rtt, ..)| *rtt >= cfg.rtt_inter_region);
        in_region
            .take(cfg.report_fan_out / 2)
            .chain(elsewhere)
            .take(cfg.report_fan_out)
            .map(|(.., name)| (*name).clone())
            .collect()
    }
}
