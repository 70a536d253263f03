//! The list of endpoints, and what has changed in it lately.
//!
//! The load it answers: a release replaces endpoints one after the other, and each step is
//! a new list. At six hundred endpoints a list is 30 KB; sent whole to every gateway, steps
//! of a second would fill a twentieth of a gateway's link and grow with the square of the
//! deployment. So whoever holds a list is told only what has changed since.
//!
//! A stamp names the same content on every replica, since only the leader of a term gives
//! stamps; so a change from one stamp to another may come from any of them. Lists that were
//! read without a leader have no term, and replicas number them each on its own: nothing is
//! ever told as a change of one of those.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use filberthead_types::{Moment, ServiceName};

use crate::{Endpoint, EndpointChange, EndpointState, Message, Stamp};

/// A change of an endpoint's cold time by less than this is the passing of time seen
/// through a clock of another machine, not news.
const COLD_NOISE: Duration = Duration::from_millis(700);
/// Changes that are kept: as many as come within some tens of seconds of a release. Who
/// was away for longer gets the whole list.
const KEPT_CHANGES: usize = 48;

/// How long just an earlier start must have been read under an identity before it is
/// believed again: several times what a platform's list lags. An endpoint's clock may have
/// been ahead at the start that is held.
const EARLIER_BELIEVED_AFTER: Duration = Duration::from_secs(3);

/// What became of news about the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    /// It is held now.
    New,
    /// Something at least as new is held.
    Old,
    /// It is a change of a list that isn't held.
    Gap,
}

/// The list that a replica holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct List {
    stamp: Stamp,
    by_id: BTreeMap<String, Endpoint>,
    /// When cold times were as they stand.
    at: Moment,
    /// From an older stamp to a newer one, without a gap, up to what is held.
    changes: VecDeque<(Stamp, EndpointChange)>,
    /// Since when readings have had only earlier starts of these.
    earlier: BTreeMap<String, Moment>,
}

impl List {
    pub(crate) fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// The service of each endpoint.
    pub(crate) fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.by_id.values().map(|e| &e.service)
    }

    /// What holds of a list that was read just now: one entry for each identity, and none of
    /// a start that is earlier than the one held. Replicas that show a restart may be behind,
    /// and entries of other writers may have an endpoint's identity.
    pub(crate) fn settled(
        &mut self,
        now: Moment,
        list: Vec<Endpoint>,
        is_served: impl Fn(&ServiceName) -> bool,
    ) -> Vec<Endpoint> {
        let mut best = one_for_each(list, &is_served);
        let passed = now.saturating_sub(self.at);
        let mut since = std::mem::take(&mut self.earlier);
        for read in best.values_mut() {
            let Some(held) = self.by_id.get(&read.id) else {
                continue;
            };
            if read.incarnation >= held.incarnation || !is_served(&held.service) {
                continue;
            }
            let since = since.remove(&read.id).unwrap_or(now);
            if now < since + EARLIER_BELIEVED_AFTER {
                self.earlier.insert(read.id.clone(), since);
                *read = aged(held, passed);
            }
        }
        best.into_values().collect()
    }

    /// Whether a list that was read just now differs from this one by no more than the
    /// passing of time.
    pub(crate) fn tells_nothing_new(&self, now: Moment, list: &[Endpoint]) -> bool {
        let same = |e: &Endpoint| {
            let held = self.by_id.get(&e.id);
            held.is_some_and(|held| is_same(&aged(held, now.saturating_sub(self.at)), e))
        };
        self.by_id.len() == list.len() && list.iter().all(same)
    }

    /// Takes in a whole list.
    pub(crate) fn replace(&mut self, now: Moment, stamp: Stamp, list: Vec<Endpoint>) -> Taken {
        if stamp <= self.stamp {
            return Taken::Old;
        }
        self.age(now);
        let by_id: BTreeMap<_, _> = list.into_iter().map(|e| (e.id.clone(), e)).collect();
        let held = |e: &&Endpoint| self.by_id.get(&e.id).is_some_and(|held| is_same(held, e));
        let change = EndpointChange {
            from: self.stamp,
            changed: by_id.values().filter(|e| !held(e)).cloned().collect(),
            gone: self
                .by_id
                .keys()
                .filter(|id| !by_id.contains_key(*id))
                .cloned()
                .collect(),
        };
        self.by_id = by_id;
        self.keep(stamp, change);
        Taken::New
    }

    /// Takes in a change.
    pub(crate) fn apply(&mut self, now: Moment, stamp: Stamp, change: EndpointChange) -> Taken {
        if stamp <= self.stamp {
            return Taken::Old;
        }
        if change.from != self.stamp {
            return Taken::Gap;
        }
        self.age(now);
        for id in &change.gone {
            self.by_id.remove(id);
        }
        for endpoint in &change.changed {
            self.by_id.insert(endpoint.id.clone(), endpoint.clone());
        }
        self.keep(stamp, change);
        Taken::New
    }

    fn keep(&mut self, stamp: Stamp, change: EndpointChange) {
        self.stamp = stamp;
        self.changes.push_back((stamp, change));
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    /// What somebody lacks who holds the list with this stamp.
    pub(crate) fn since(&self, now: Moment, base: Stamp) -> Option<Message> {
        if self.stamp <= base {
            return None;
        }
        let passed = now.saturating_sub(self.at);
        let news = match self.change_since(base) {
            Some(mut change) => {
                let fresh = |e: &Endpoint| self.by_id.get(&e.id).map(|e| aged(e, passed));
                change.changed = change.changed.iter().filter_map(fresh).collect();
                Message::EndpointsChanged {
                    stamp: self.stamp,
                    change,
                }
            }
            None => Message::Endpoints {
                stamp: self.stamp,
                list: self.by_id.values().map(|e| aged(e, passed)).collect(),
            },
        };
        Some(news)
    }

    /// All changes from a stamp on as one, if they are all kept and shorter than the list.
    fn change_since(&self, base: Stamp) -> Option<EndpointChange> {
        if base.term == 0 {
            return None;
        }
        let first = self.changes.iter().position(|(_, c)| c.from == base)?;
        let mut changed = BTreeMap::new();
        let mut gone = BTreeMap::new();
        for (_, change) in self.changes.iter().skip(first) {
            for endpoint in &change.changed {
                gone.remove(&endpoint.id);
                changed.insert(&endpoint.id, endpoint);
            }
            for id in &change.gone {
                changed.remove(id);
                gone.insert(id, ());
            }
        }
        (changed.len() + gone.len() < self.by_id.len()).then(|| EndpointChange {
            from: base,
            changed: changed.into_values().cloned().collect(),
            gone: gone.into_keys().cloned().collect(),
        })
    }

    fn age(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.at);
        self.at = now;
        for endpoint in self.by_id.values_mut() {
            endpoint.cold_left = endpoint.cold_left.saturating_sub(passed);
        }
    }
}

fn one_for_each(
    list: Vec<Endpoint>,
    is_served: impl Fn(&ServiceName) -> bool,
) -> BTreeMap<String, Endpoint> {
    let outranks = |a: &Endpoint, b: &Endpoint| {
        rank(a, is_served(&a.service)) > rank(b, is_served(&b.service))
    };
    let mut best: BTreeMap<String, Endpoint> = BTreeMap::new();
    for read in list {
        let held = best.get(&read.id);
        if held.is_none_or(|held| outranks(&read, held)) {
            best.insert(read.id.clone(), read);
        }
    }
    best
}

/// Of two entries with one identity the one that ranks higher holds. In this order: one of a
/// service that routes name, since the other gets no request in any case; the later start;
/// one that drains, since nothing is sent where that may be true. The rest only makes the
/// choice the same on every replica.
fn rank(e: &Endpoint, is_served: bool) -> impl Ord + '_ {
    (
        is_served,
        e.incarnation,
        e.state == EndpointState::Draining,
        Reverse((e.addr, &e.service, &e.domain, e.slots)),
        e.cold_left,
    )
}

fn aged(e: &Endpoint, passed: Duration) -> Endpoint {
    Endpoint {
        cold_left: e.cold_left.saturating_sub(passed),
        ..e.clone()
    }
}

fn is_same(a: &Endpoint, b: &Endpoint) -> bool {
    let plain = |e: &Endpoint| Endpoint {
        cold_left: Duration::ZERO,
        ..e.clone()
    };
    a.cold_left.abs_diff(b.cold_left) < COLD_NOISE && plain(a) == plain(b)
}
