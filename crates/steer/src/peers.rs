//! Other entries: what they report, and what has been sent to them since.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_types::{Moment, NodeName, ServiceName};

use crate::config::Config;
use crate::hash::Key;
use crate::{EntryInfo, ServiceReport};

/// How long an entry that refused gets nothing more for that service.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// Weight of a report in the mean filled part of an entry's slots: over about 2 s.
const MEAN_GAIN: f64 = 0.1;

#[derive(Debug)]
pub(crate) struct PeerService {
    pub(crate) report: ServiceReport,
    received: Moment,
    /// When requests were sent that the report can't show yet and that haven't ended.
    unseen: VecDeque<Moment>,
    paused_until: Moment,
    /// Mean filled part of its slots.
    mean: f64,
}

/// Another entry's state for one service as a decision reckons with it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerLoad {
    pub(crate) capacity: u32,
    /// Running and waiting there, with what was sent since the report.
    pub(crate) load: u32,
    /// Running there by its report alone.
    pub(crate) running: u32,
    /// Whether the report is recent.
    pub(crate) fresh: bool,
    /// Mean filled part of its slots, by its reports.
    pub(crate) mean: f64,
    pub(crate) shift_room: u32,
    pub(crate) hold_seconds: f64,
}

#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) info: EntryInfo,
    pub(crate) hop: Duration,
    /// No connection could be made since its last report. Its reports come from it by
    /// another way than requests reach it, and until one does, each attempt would cost
    /// its caller the time of a failed connection.
    unreachable: bool,
    services: HashMap<ServiceName, PeerService>,
}

impl Peer {
    fn new(info: EntryInfo, cfg: &Config) -> Self {
        let hop = if info.region != cfg.region {
            cfg.rtt_inter_region
        } else if info.failure_domain != cfg.failure_domain {
            cfg.rtt_region
        } else {
            cfg.rtt_domain
        };
        Self {
            info,
            hop,
            unreachable: false,
            services: HashMap::new(),
        }
    }

    /// The entry's load, or `None` if it has never reported the service, has just
    /// refused, or hasn't any room for the service at all.
    pub(crate) fn load(
        &self,
        now: Moment,
        service: &ServiceName,
        ttl: Duration,
    ) -> Option<PeerLoad> {
        let state = self.services.get(service)?;
        if self.unreachable || state.report.capacity == 0 || now < state.paused_until {
            return None;
        }
        let unseen = state.unseen.len() as u32;
        let known = state.report.running + state.report.waiting + unseen;
        // A report that is too old says neither idle nor dead: reckon with an entry
        // that is full but serves, so that it comes after those known to have room.
        let stale = now.saturating_sub(state.received) >= ttl;
        let load = if stale {
            known.max(state.report.capacity)
        } else {
            known
        };
        Some(PeerLoad {
            capacity: state.report.capacity,
            load,
            running: state.report.running,
            fresh: !stale,
            mean: state.mean,
            shift_room: state.report.shift_room.saturating_sub(unseen),
            hold_seconds: f64::from(state.report.hold_micros) * 1e-6,
        })
    }

    /// Slots that it last reported.
    pub(crate) fn slots(&self, service: &ServiceName) -> Option<u32> {
        self.services.get(service).map(|state| state.report.slots)
    }

    fn take(&mut self, now: Moment, report: ServiceReport) {
        let hop = self.hop;
        match self.services.get_mut(&report.service) {
            Some(state) => {
                state.report = report;
                state.mean += MEAN_GAIN * (state.report.filled() - state.mean);
                state.received = now;
                // Sent a round trip or longer ago: arrived before the report left.
                while state.unseen.front().is_some_and(|&sent| sent + hop < now) {
                    state.unseen.pop_front();
                }
            }
            None => {
                let service = report.service.clone();
                let state = PeerService {
                    report,
                    received: now,
                    unseen: VecDeque::new(),
                    paused_until: Moment::ZERO,
                    mean: 0.0,
                };
                self.services.insert(service, state);
            }
        }
    }
}

/// All other live entries.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_name: BTreeMap<NodeName, Peer>,
}

impl Peers {
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.by_name.values()
    }

    pub(crate) fn set(&mut self, infos: impl IntoIterator<Item = EntryInfo>, cfg: &Config) {
        let mut old = std::mem::take(&mut self.by_name);
        for info in infos {
            if info.name == cfg.node {
                continue;
            }
            let mut peer = match old.remove(&info.name) {
                Some(peer) if peer.info.incarnation == info.incarnation => peer,
                _ => Peer::new(info.clone(), cfg),
            };
            peer.info = info;
            self.by_name.insert(peer.info.name.clone(), peer);
        }
    }

    pub(crate) fn report(&mut self, now: Moment, from: &NodeName, reports: Vec<ServiceReport>) {
        if let Some(peer) = self.by_name.get_mut(from) {
            peer.unreachable = false;
            for report in reports {
                peer.take(now, report);
            }
        }
    }

    pub(crate) fn addr(&self, name: &NodeName) -> Option<SocketAddr> {
        self.by_name.get(name).map(|peer| peer.info.caller_addr)
    }

    pub(crate) fn sent(&mut self, now: Moment, to: &NodeName, service: &ServiceName) {
        let state = self
            .by_name
            .get_mut(to)
            .and_then(|peer| peer.services.get_mut(service));
        if let Some(state) = state {
            state.unseen.push_back(now);
        }
    }

    /// A request that was sent at `sent` has ended there.
    pub(crate) fn finished(&mut self, by: &NodeName, service: &ServiceName, sent: Moment) {
        let state = self
            .by_name
            .get_mut(by)
            .and_then(|peer| peer.services.get_mut(service));
        if let Some(state) = state
            && let Ok(place) = state.unseen.binary_search(&sent)
        {
            state.unseen.remove(place);
        }
    }

    pub(crate) fn unreachable(&mut self, name: &NodeName) {
        if let Some(peer) = self.by_name.get_mut(name) {
            peer.unreachable = true;
        }
    }

    pub(crate) fn refused(&mut self, now: Moment, by: &NodeName, service: &ServiceName) {
        let state = self
            .by_name
            .get_mut(by)
            .and_then(|peer| peer.services.get_mut(service));
        if let Some(state) = state {
            state.paused_until = now + REFUSED_PAUSE;
        }
    }

    /// Who gets this entry's reports: nearest first, then by rendezvous, so that in a
    /// large cluster each entry still hears from some of every region.
    pub(crate) fn listeners(&self, cfg: &Config) -> Vec<NodeName> {
        let mut ranked: Vec<_> = self
            .iter()
            .map(|peer| {
                let key = Key::new()
                    .text(cfg.node.as_str())
                    .text(peer.info.name.as_str());
                (peer.hop, key.hash(), &peer.info.name)
            })
            .collect();
        ranked.sort();
        let near = ranked
            .iter()
            .filter(|(hop, ..)| *hop < cfg.rtt_inter_region);
        let far = ranked
            .iter()
            .filter(|(hop, ..)| *hop >= cfg.rtt_inter_region);
        near.take(cfg.report_fan_out / 2)
            .chain(far)
            .take(cfg.report_fan_out)
            .map(|(.., name)| (*name).clone())
            .collect()
    }
}
