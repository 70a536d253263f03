//! Which control replicas a gateway reports to.
//!
//! If hundreds of gateways reported to every replica, each replica would receive the messages
//! of all gateways, and their total would grow with both numbers. So a gateway reports to a
//! few replicas, the nearest that respond, and these relay the reports to the others. While
//! one of them proves that it holds the newest routes, that is enough. When proofs stop,
//! because the replicas are down, cut off or behind, each report goes to more of them, and in
//! the end to all, so that a reachable replica is found.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_types::Moment;

/// Replicas that are reported to while proofs arrive: one may fail without a gap.
const MIN_REPLICAS: usize = 2;
/// Age of the last proof from which more replicas are reported to: two report periods, so that
/// one lost message makes no difference.
const PROOF_STALE_AFTER: Duration = Duration::from_millis(1200);
/// Time in which the number of replicas doubles while no proof arrives.
const WIDENING_PERIOD: Duration = Duration::from_millis(250);
/// Time after an unanswered report from which a replica counts as unresponsive.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time between reports to one of the other replicas, so that a recovered replica is found:
/// each of a dozen is probed within a minute.
const PROBE_PERIOD: Duration = Duration::from_secs(5);
/// A replica that no notice has listed for this long, while notices arrived, is removed.
const REMOVED_AFTER: Duration = Duration::from_secs(30);
/// Weight of a new sample in the moving average of a replica's round trip time.
const RTT_WEIGHT: f64 = 0.25;

/// State of one replica as seen by the gateway.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    /// When a notice last came from it or listed it; `None` if it is only in the settings.
    last_named: Option<Moment>,
    /// Whether it has ever sent a notice.
    has_announced: bool,
    /// When the oldest report was sent that it hasn't answered yet.
    oldest_unanswered: Option<Moment>,
    /// Moving average of its round trip time in seconds; `None` before its first answer.
    rtt: Option<f64>,
    /// When a report was last sent to it.
    last_report: Moment,
}

impl Contact {
    fn is_unresponsive(&self, now: Moment) -> bool {
        self.oldest_unanswered
            .is_some_and(|at| now >= at + RESPONSE_TIMEOUT)
    }
}

/// The control replicas that a gateway may report to.
#[derive(Clone, Debug)]
pub(crate) struct Contacts {
    seeds: BTreeSet<SocketAddr>,
    replicas: BTreeMap<SocketAddr, Contact>,
    last_probe: Moment,
}

impl Contacts {
    pub(crate) fn new(seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        let seeds: BTreeSet<_> = seeds.into_iter().collect();
        let replicas = seeds.iter().map(|addr| (*addr, Contact::default()));
        Self {
            replicas: replicas.collect(),
            seeds,
            last_probe: Moment::ZERO,
        }
    }

    /// Replaces the replicas from the settings. An empty list means that the settings couldn't
    /// be read, and is ignored.
    pub(crate) fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        let seeds: BTreeSet<_> = seeds.into_iter().collect();
        if seeds.is_empty() {
            return;
        }
        self.seeds = seeds;
        let is_kept = |addr: &SocketAddr, contact: &Contact| {
            contact.last_named.is_some() || self.seeds.contains(addr)
        };
        self.replicas.retain(|addr, contact| is_kept(addr, contact));
        for addr in &self.seeds {
            self.replicas.entry(*addr).or_default();
        }
    }

    /// Records a notice from a replica and the replicas that it lists.
    pub(crate) fn record_notice(&mut self, now: Moment, from: SocketAddr, named: &[SocketAddr]) {
        for addr in named {
            self.replicas.entry(*addr).or_default().last_named = Some(now);
        }
        let contact = self.replicas.entry(from).or_default();
        contact.last_named = Some(now);
        contact.has_announced = true;
    }

    /// Records the answer to a report that was sent at `sent_at`.
    pub(crate) fn record_answer(&mut self, now: Moment, from: SocketAddr, sent_at: Moment) {
        let Some(contact) = self.replicas.get_mut(&from) else {
            return;
        };
        let elapsed = now.saturating_sub(sent_at).as_secs_f64();
        let rtt = contact.rtt.get_or_insert(elapsed);
        *rtt += RTT_WEIGHT * (elapsed - *rtt);
        contact.oldest_unanswered = None;
    }

    /// Whether more than half of the listed replicas have announced their revisions.
    pub(crate) fn majority_announced(&self) -> bool {
        let named = self
            .replicas
            .values()
            .filter(|contact| contact.last_named.is_some());
        let (named, announced) = named.fold((0, 0), |(named, announced), contact| {
            (named + 1, announced + usize::from(contact.has_announced))
        });
        2 * announced > named
    }

    /// Removes replicas that notices no longer list, counted up to the last notice: while no
    /// notice arrives, none leaves a replica out, and the one removed might be the only one
    /// that can still be reached.
    pub(crate) fn remove_unnamed(&mut self, last_notice: Moment) {
        let seeds = &self.seeds;
        self.replicas.retain(|addr, contact| {
            let is_named = contact
                .last_named
                .is_some_and(|at| last_notice < at + REMOVED_AFTER);
            if !is_named {
                contact.last_named = None;
            }
            is_named || seeds.contains(addr)
        });
    }

    /// Replicas to report to now. `proof` is when the report that led to the newest valid proof
    /// was sent.
    pub(crate) fn select(&mut self, now: Moment, proof: Option<Moment>) -> Vec<SocketAddr> {
        let mut order: Vec<_> = self.replicas.iter().map(|(addr, c)| (*addr, *c)).collect();
        order.sort_by(|(_, a), (_, b)| {
            let rtt = |c: &Contact| c.rtt.unwrap_or(f64::MAX);
            let unresponsive = a.is_unresponsive(now).cmp(&b.is_unresponsive(now));
            unresponsive.then(rtt(a).total_cmp(&rtt(b)))
        });
        let width = self.width(now, proof);
        let mut chosen: Vec<_> = order.iter().map(|(addr, _)| *addr).collect();
        let others = chosen.split_off(width.min(chosen.len()));
        chosen.extend(self.next_probe(now, &others));
        for addr in &chosen {
            if let Some(contact) = self.replicas.get_mut(addr) {
                contact.last_report = now;
                contact.oldest_unanswered.get_or_insert(now);
            }
        }
        chosen
    }

    /// How many replicas to report to.
    fn width(&self, now: Moment, proof: Option<Moment>) -> usize {
        let Some(sent_at) = proof.filter(|_| self.majority_announced()) else {
            return usize::MAX;
        };
        let overdue = now.saturating_sub(sent_at + PROOF_STALE_AFTER);
        let doublings = overdue.as_millis().div_ceil(WIDENING_PERIOD.as_millis());
        let doublings = u32::try_from(doublings).unwrap_or(u32::MAX);
        1_usize
            .checked_shl(doublings)
            .map_or(usize::MAX, |times| MIN_REPLICAS.saturating_mul(times))
    }

    /// From time to time one of the other replicas: the one that was reported to longest ago.
    fn next_probe(&mut self, now: Moment, others: &[SocketAddr]) -> Option<SocketAddr> {
        if now < self.last_probe + PROBE_PERIOD {
            return None;
        }
        self.last_probe = now;
        let last_report = |addr: &&SocketAddr| self.replicas.get(*addr).map(|c| c.last_report);
        others.iter().min_by_key(last_report).copied()
    }
}
