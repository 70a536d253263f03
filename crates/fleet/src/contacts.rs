//! Which control replicas a gateway reports to.
//!
//! The load it answers: hundreds of gateways, each of which reported to every replica, so
//! that a replica received all of their messages and their number grew with both. A gateway
//! follows a few replicas, the nearest that answer, and these tell the others. As long as
//! one of them proves that it holds the newest routes, nobody else is asked. When proofs
//! stay away, because the replicas are gone, cut off or behind, more are asked with each
//! report, and in the end all, so that a replica that can be reached is found.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_types::Moment;

/// Replicas that are followed while proofs come: one may be lost without a gap.
const MIN_REPLICAS: usize = 2;
/// Age of the last proof from which more replicas are asked: two reports, so that one lost
/// message doesn't count.
const PROOF_STALE_AFTER: Duration = Duration::from_millis(1200);
/// Time in which the number of replicas asked doubles while no proof comes.
const WIDENING_PERIOD: Duration = Duration::from_millis(250);
/// Silence after a report from which a replica isn't preferred any more.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time between reports to a replica that isn't followed, so that one that has come back is
/// found: each of a dozen within a minute.
const PROBE_PERIOD: Duration = Duration::from_secs(5);
/// A replica that no notice has named for this long, while others came, is no longer reported
/// to.
const REMOVED_AFTER: Duration = Duration::from_secs(30);
/// Weight of a new observation of the way to a replica.
const RTT_WEIGHT: f64 = 0.25;

/// What is known of a replica.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    /// When it was last named or heard; never for one of the settings that wasn't.
    last_named: Option<Moment>,
    /// Whether it has sent a notice.
    has_announced: bool,
    /// When the first report was sent that it hasn't answered yet.
    oldest_unanswered: Option<Moment>,
    /// Seconds until it answers.
    rtt: Option<f64>,
    /// When it was last reported to.
    last_report: Moment,
}

impl Contact {
    fn is_unresponsive(&self, now: Moment) -> bool {
        self.oldest_unanswered
            .is_some_and(|at| now >= at + RESPONSE_TIMEOUT)
    }
}

/// The replicas that a gateway knows.
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

    /// Replaces the replicas of the settings. None at all means that they couldn't be read.
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

    /// Takes in a notice and the replicas that it names.
    pub(crate) fn record_notice(&mut self, now: Moment, from: SocketAddr, named: &[SocketAddr]) {
        for addr in named {
            self.replicas.entry(*addr).or_default().last_named = Some(now);
        }
        let contact = self.replicas.entry(from).or_default();
        contact.last_named = Some(now);
        contact.has_announced = true;
    }

    /// Takes in the answer to a report that was sent at `asked`.
    pub(crate) fn record_answer(&mut self, now: Moment, from: SocketAddr, sent_at: Moment) {
        let Some(contact) = self.replicas.get_mut(&from) else {
            return;
        };
        let elapsed = now.saturating_sub(sent_at).as_secs_f64();
        let rtt = contact.rtt.get_or_insert(elapsed);
        *rtt += RTT_WEIGHT * (elapsed - *rtt);
        contact.oldest_unanswered = None;
    }

    /// Whether more than half of the replicas that were named have told what they hold.
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

    /// Forgets replicas that weren't named for long, counted up to the last notice: while
    /// none comes nobody is left out of any, and who is forgotten then may be the only one
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

    /// Whom to report to now; `proof` is when the last proof was asked for that holds.
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

    /// How many replicas are asked.
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

    /// One of those that aren't followed, from time to time: the one that was reported to
    /// longest ago.
    fn next_probe(&mut self, now: Moment, others: &[SocketAddr]) -> Option<SocketAddr> {
        if now < self.last_probe + PROBE_PERIOD {
            return None;
        }
        self.last_probe = now;
        let last_report = |addr: &&SocketAddr| self.replicas.get(*addr).map(|c| c.last_report);
        others.iter().min_by_key(last_report).copied()
    }
}
