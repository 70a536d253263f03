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
const FOLLOWED: usize = 2;
/// Age of the last proof from which more replicas are asked: two reports, so that one lost
/// message doesn't count.
const PROOF_DUE: Duration = Duration::from_millis(1200);
/// Time in which the number of replicas asked doubles while no proof comes.
const WIDENED_EVERY: Duration = Duration::from_millis(250);
/// Silence after a report from which a replica isn't preferred any more.
const SILENT_AFTER: Duration = Duration::from_millis(1200);
/// Time between reports to a replica that isn't followed, so that one that has come back is
/// found: each of a dozen within a minute.
const LOOK_AROUND: Duration = Duration::from_secs(5);
/// A replica that no notice has named for this long, while others came, is no longer reported
/// to.
const FORGOTTEN: Duration = Duration::from_secs(30);
/// Weight of a new observation of the way to a replica.
const NEW_WAY: f64 = 0.25;

/// What is known of a replica.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    /// When it was last named or heard; never for one of the settings that wasn't.
    named: Option<Moment>,
    /// Whether it has sent a notice.
    told: bool,
    /// When the first report was sent that it hasn't answered yet.
    unanswered: Option<Moment>,
    /// Seconds until it answers.
    way: Option<f64>,
    /// When it was last reported to.
    reported: Moment,
}

impl Contact {
    fn is_silent(&self, now: Moment) -> bool {
        self.unanswered.is_some_and(|at| now >= at + SILENT_AFTER)
    }
}

/// The replicas that a gateway knows.
#[derive(Clone, Debug)]
pub(crate) struct Contacts {
    seeds: BTreeSet<SocketAddr>,
    known: BTreeMap<SocketAddr, Contact>,
    looked_around: Moment,
}

impl Contacts {
    pub(crate) fn new(seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        let seeds: BTreeSet<_> = seeds.into_iter().collect();
        let known = seeds.iter().map(|addr| (*addr, Contact::default()));
        Self {
            known: known.collect(),
            seeds,
            looked_around: Moment::ZERO,
        }
    }

    /// Replaces the replicas of the settings. None at all means that they couldn't be read.
    pub(crate) fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        let seeds: BTreeSet<_> = seeds.into_iter().collect();
        if seeds.is_empty() {
            return;
        }
        self.seeds = seeds;
        let stays = |addr: &SocketAddr, contact: &Contact| {
            contact.named.is_some() || self.seeds.contains(addr)
        };
        self.known.retain(|addr, contact| stays(addr, contact));
        for addr in &self.seeds {
            self.known.entry(*addr).or_default();
        }
    }

    /// Takes in a notice and the replicas that it names.
    pub(crate) fn told(&mut self, now: Moment, from: SocketAddr, named: &[SocketAddr]) {
        for addr in named {
            self.known.entry(*addr).or_default().named = Some(now);
        }
        let contact = self.known.entry(from).or_default();
        contact.named = Some(now);
        contact.told = true;
    }

    /// Takes in the answer to a report that was sent at `asked`.
    pub(crate) fn answered(&mut self, now: Moment, from: SocketAddr, asked: Moment) {
        let Some(contact) = self.known.get_mut(&from) else {
            return;
        };
        let took = now.saturating_sub(asked).as_secs_f64();
        let way = contact.way.get_or_insert(took);
        *way += NEW_WAY * (took - *way);
        contact.unanswered = None;
    }

    /// Whether more than half of the replicas that were named have told what they hold.
    pub(crate) fn most_told(&self) -> bool {
        let named = self
            .known
            .values()
            .filter(|contact| contact.named.is_some());
        let (named, told) = named.fold((0, 0), |(named, told), contact| {
            (named + 1, told + usize::from(contact.told))
        });
        2 * told > named
    }

    /// Forgets replicas that weren't named for long, counted up to the last notice: while
    /// none comes nobody is left out of any, and who is forgotten then may be the only one
    /// that can still be reached.
    pub(crate) fn forget(&mut self, last_notice: Moment) {
        let seeds = &self.seeds;
        self.known.retain(|addr, contact| {
            let is_named = contact.named.is_some_and(|at| last_notice < at + FORGOTTEN);
            if !is_named {
                contact.named = None;
            }
            is_named || seeds.contains(addr)
        });
    }

    /// Whom to report to now; `proof` is when the last proof was asked for that holds.
    pub(crate) fn report(&mut self, now: Moment, proof: Option<Moment>) -> Vec<SocketAddr> {
        let mut order: Vec<_> = self.known.iter().map(|(addr, c)| (*addr, *c)).collect();
        order.sort_by(|(_, a), (_, b)| {
            let way = |c: &Contact| c.way.unwrap_or(f64::MAX);
            let silent = a.is_silent(now).cmp(&b.is_silent(now));
            silent.then(way(a).total_cmp(&way(b)))
        });
        let width = self.width(now, proof);
        let mut followed: Vec<_> = order.iter().map(|(addr, _)| *addr).collect();
        let others = followed.split_off(width.min(followed.len()));
        followed.extend(self.look_around(now, &others));
        for addr in &followed {
            if let Some(contact) = self.known.get_mut(addr) {
                contact.reported = now;
                contact.unanswered.get_or_insert(now);
            }
        }
        followed
    }

    /// How many replicas are asked.
    fn width(&self, now: Moment, proof: Option<Moment>) -> usize {
        let Some(asked) = proof.filter(|_| self.most_told()) else {
            return usize::MAX;
        };
        let overdue = now.saturating_sub(asked + PROOF_DUE);
        let doublings = overdue.as_millis().div_ceil(WIDENED_EVERY.as_millis());
        let doublings = u32::try_from(doublings).unwrap_or(u32::MAX);
        1_usize
            .checked_shl(doublings)
            .map_or(usize::MAX, |times| FOLLOWED.saturating_mul(times))
    }

    /// One of those that aren't followed, from time to time: the one that was reported to
    /// longest ago.
    fn look_around(&mut self, now: Moment, others: &[SocketAddr]) -> Option<SocketAddr> {
        if now < self.looked_around + LOOK_AROUND {
            return None;
        }
        self.looked_around = now;
        let reported = |addr: &&SocketAddr| self.known.get(*addr).map(|c| c.reported);
        others.iter().min_by_key(reported).copied()
    }
}
