//! The duty that reports the counts of entries to the control replicas.
//!
//! Once a minute an entry sends its counts to the relay of its failure domain: the first
//! of the domain's live entries by name, as for table versions. The relay sums the counts
//! and sends one report for all entries to every control replica, so that the replicas'
//! traffic grows with failure domains and not with entries. Every replica receives every
//! report and stores its own samples, so reporting doesn't depend on a leader.

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
use super::dispatch::IncomingMessage;
use crate::peers::Outgoing;
use crate::stop::Stop;
use crate::{Duty, DutyError};

/// How often a relay checks for periods to forward to control.
const FORWARD_PERIOD: Duration = Duration::from_secs(2);

/// Inputs and outputs of the duty.
pub(crate) struct SamplesDuty {
    /// This entry.
    pub(crate) me: MemberInfo,
    /// Counts of requests, slots and drains.
    pub(crate) metrics: Arc<EntryMetrics>,
    /// Peer addresses of the control replicas in the settings.
    pub(crate) replicas: Vec<SocketAddr>,
    /// The live entries, and the control leader, which may be missing from the settings
    /// after a replacement.
    pub(crate) cluster: ClusterReader,
    /// Counts of other entries of the failure domain, while this entry is the relay.
    pub(crate) rx: Receiver<IncomingMessage>,
    /// Messages to be sent.
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

/// Collects and reports the counts of a failure domain's entries, while this entry is its
/// relay.
struct Relay {
    collector: Collector,
    reporter: Reporter,
}

impl SamplesDuty {
    async fn run(mut self, mut relay: Relay, mut stop: Stop) {
        let mut ticks = interval(FORWARD_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut start = unix_seconds();
        let mut end = Instant::now() + until_next_period(start);
        loop {
            tokio::select! {
                () = sleep_until(end) => {
                    self.submit_counts(&mut relay, start);
                    start = unix_seconds();
                    end = Instant::now() + until_next_period(start);
                }
                _ = ticks.tick() => self.forward_closed(&mut relay, unix_seconds()),
                message = self.rx.recv() => match message {
                    Some(message) => receive(&mut relay, message),
                    None => break,
                },
                () = stop.wait() => break,
            }
        }
        // The entry is stopping: the counts of the incomplete period are sent, too.
        self.submit_counts(&mut relay, start);
        self.forward_closed(&mut relay, u64::MAX);
    }

    /// Submits this entry's counts since `start`, in Unix seconds, to the relay.
    fn submit_counts(&self, relay: &mut Relay, start: u64) {
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

    /// Sends the periods that are closed at `now`, in Unix seconds, to every control replica.
    fn forward_closed(&self, relay: &mut Relay, now: u64) {
        for period in relay.collector.close(now) {
            let report = relay.reporter.report(period);
            for to in self.controls() {
                self.send(to, report.clone());
            }
        }
    }

    /// Peer address of the relay; `None` if that is this entry, or if there is none.
    fn other_relay(&self) -> Option<SocketAddr> {
        let cluster = self.cluster.borrow();
        let same_domain = |entry: &&MemberInfo| entry.failure_domain == self.me.failure_domain;
        let live = cluster
            .entries
            .iter()
            .filter(same_domain)
            .filter(|e| !e.leaving);
        let relay = live.min_by(|a, b| a.name.cmp(&b.name))?;
        (relay.name != self.me.name).then_some(relay.peer_addr)
    }

    /// Peer addresses of all known control replicas, without duplicates.
    fn controls(&self) -> Vec<SocketAddr> {
        let mut addrs = self.replicas.clone();
        addrs.extend(self.cluster.borrow().control);
        addrs.sort_unstable();
        addrs.dedup();
        addrs
    }

    fn send(&self, to: SocketAddr, report: SampleReport) {
        let body = Body::Samples(report);
        // A report dropped by a full ring shows as missing; the relay's next one repeats it.
        let _ = self.out.push(Outgoing { to, body });
    }
}

fn receive(relay: &mut Relay, message: IncomingMessage) {
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
    // A clock before 1970 reads as 0; collectors tolerate wrong clocks.
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
