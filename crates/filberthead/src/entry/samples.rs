//! The duty that brings what entries have counted to the control replicas.
//!
//! Once a minute an entry hands its counts to the relay of its failure domain: the first
//! of its live entries by name, as for table versions. The relay adds up what it gets and
//! sends one report for all of them to every control replica, so that the replicas' traffic
//! grows with failure domains and not with entries. Every replica gets every report: each
//! keeps samples of its own, and nobody need know who leads, or whether anybody does.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use filberthead_observe::EntryMetrics;
use filberthead_observe::samples::{
    Collector, PERIOD_SECONDS, PeriodSamples, Reporter, SampleReport,
};
use filberthead_peer::Body;
use filberthead_ring::{Receiver, Sender};
use filberthead_spread::MemberInfo;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

use super::cluster::ClusterReader;
use super::incoming::Incoming;
use crate::peers::Outgoing;
use crate::stop::Stop;
use crate::{Duty, DutyError};

/// How often a relay looks for periods to pass on.
const PASS_ON_PERIOD: Duration = Duration::from_secs(2);

/// What the duty is made of.
pub(crate) struct SamplesDuty {
    /// This entry.
    pub(crate) me: MemberInfo,
    /// Where requests, slots and drains are counted.
    pub(crate) metrics: Arc<EntryMetrics>,
    /// The control replicas that the settings name.
    pub(crate) replicas: Vec<SocketAddr>,
    /// Knows the live entries, and the leader, which the settings may not name after a
    /// replacement.
    pub(crate) cluster: ClusterReader,
    /// What other entries of the failure domain have counted.
    pub(crate) rx: Receiver<Incoming>,
    /// Messages out.
    pub(crate) out: Sender<Outgoing>,
}

/// Starts the duty.
pub(crate) fn spawn(duty: SamplesDuty, stop: Stop) -> Result<Duty, DutyError> {
    let relay = Relay {
        collector: Collector::for_relay(),
        reporter: Reporter::default(),
    };
    Duty::spawn("samples", move || duty.run(relay, stop))
}

/// What this entry does for the others while it is the relay.
struct Relay {
    collector: Collector,
    reporter: Reporter,
}

impl SamplesDuty {
    async fn run(mut self, mut relay: Relay, mut stop: Stop) {
        let mut ticks = interval(PASS_ON_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut start = unix_seconds();
        let mut end = Instant::now() + until_next_period(start);
        loop {
            tokio::select! {
                () = sleep_until(end) => {
                    self.hand_over(&mut relay, start);
                    start = unix_seconds();
                    end = Instant::now() + until_next_period(start);
                }
                _ = ticks.tick() => self.pass_on(&mut relay, unix_seconds()),
                message = self.rx.recv() => match message {
                    Some(message) => take(&mut relay, message),
                    None => break,
                },
                () = stop.wait() => break,
            }
        }
        // A planned stop: what is counted goes out as it is.
        self.hand_over(&mut relay, start);
        self.pass_on(&mut relay, u64::MAX);
    }

    /// Gives this entry's own counts to the relay.
    fn hand_over(&self, relay: &mut Relay, start: u64) {
        let period = PeriodSamples {
            start,
            entries: 1,
            samples: self.metrics.take_samples(),
        };
        let report = SampleReport {
            periods: vec![period],
        };
        match self.other_relay() {
            Some(to) => self.send(to, report),
            None => {
                let MemberInfo {
                    name, incarnation, ..
                } = &self.me;
                let now = unix_seconds();
                relay.collector.add_report(now, name, *incarnation, report);
            }
        }
    }

    /// Sends the periods that have waited long enough to control.
    fn pass_on(&self, relay: &mut Relay, now: u64) {
        for period in relay.collector.close(now) {
            let report = relay.reporter.report(period);
            for to in self.controls() {
                self.send(to, report.clone());
            }
        }
    }

    /// The relay, unless it is this entry.
    fn other_relay(&self) -> Option<SocketAddr> {
        let cluster = self.cluster.borrow();
        let mine = |entry: &&MemberInfo| entry.failure_domain == self.me.failure_domain;
        let live = cluster.entries.iter().filter(mine).filter(|e| !e.leaving);
        let relay = live.min_by(|a, b| a.name.cmp(&b.name))?;
        (relay.name != self.me.name).then_some(relay.peer_addr)
    }

    fn controls(&self) -> Vec<SocketAddr> {
        let mut addrs = self.replicas.clone();
        addrs.extend(self.cluster.borrow().control);
        addrs.sort_unstable();
        addrs.dedup();
        addrs
    }

    fn send(&self, to: SocketAddr, report: SampleReport) {
        let body = Body::Samples(report);
        // What a full ring drops shows as missing; a relay's next report repeats it.
        let _ = self.out.push(Outgoing { to, body });
    }
}

fn take(relay: &mut Relay, message: Incoming) {
    if let Body::Samples(report) = message.body {
        let origin = &message.origin;
        let now = unix_seconds();
        relay
            .collector
            .add_report(now, &origin.name, origin.incarnation, report);
    }
}

/// Time to the next whole minute of the wall clock, so that the periods of all entries
/// cover the same minutes as far as their clocks agree.
fn until_next_period(now: u64) -> Duration {
    Duration::from_secs(PERIOD_SECONDS - now % PERIOD_SECONDS)
}

fn unix_seconds() -> u64 {
    // A clock before 1970 is wrong in any case; collectors bear wrong clocks.
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
