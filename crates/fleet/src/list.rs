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
const COLD_TIME_TOLERANCE: Duration = Duration::from_millis(700);
/// Changes that are kept: as many as come within some tens of seconds of a release. Who
/// was away for longer gets the whole list.
const KEPT_CHANGES: usize = 48;

/// How long just an earlier start must have been read under an identity before it is
/// believed again: several times what a platform's list lags. An endpoint's clock may have
/// been ahead at the start that is held.
const EARLIER_START_ACCEPTED_AFTER: Duration = Duration::from_secs(3);

/// What became of news about the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListOutcome {
    /// It is held now.
    Applied,
    /// Something at least as new is held.
    Stale,
    /// It is a change of a list that isn't held.
    Gap,
}

/// The list that a replica holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointList {
    stamp: Stamp,
    by_id: BTreeMap<String, Endpoint>,
    /// When cold times were as they stand.
    updated_at: Moment,
    /// From an older stamp to a newer one, without a gap, up to what is held.
    changes: VecDeque<(Stamp, EndpointChange)>,
    /// Since when readings have had only earlier starts of these.
    earlier_since: BTreeMap<String, Moment>,
}

impl EndpointList {
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
    pub(crate) fn reconcile(
        &mut self,
        now: Moment,
        list: Vec<Endpoint>,
        is_served: impl Fn(&ServiceName) -> bool,
    ) -> Vec<Endpoint> {
        let mut best = deduplicate(list, &is_served);
        let elapsed = now.saturating_sub(self.updated_at);
        let mut since = std::mem::take(&mut self.earlier_since);
        for entry in best.values_mut() {
            let Some(current) = self.by_id.get(&entry.id) else {
                continue;
            };
            if entry.incarnation >= current.incarnation || !is_served(&current.service) {
                continue;
            }
            let since = since.remove(&entry.id).unwrap_or(now);
            if now < since + EARLIER_START_ACCEPTED_AFTER {
                self.earlier_since.insert(entry.id.clone(), since);
                *entry = aged(current, elapsed);
            }
        }
        best.into_values().collect()
    }

    /// Whether a list that was read just now differs from this one by no more than the
    /// passing of time.
    pub(crate) fn is_unchanged(&self, now: Moment, list: &[Endpoint]) -> bool {
        let is_unchanged = |e: &Endpoint| {
            let current = self.by_id.get(&e.id);
            current.is_some_and(|current| {
                is_equivalent(&aged(current, now.saturating_sub(self.updated_at)), e)
            })
        };
        self.by_id.len() == list.len() && list.iter().all(is_unchanged)
    }

    /// Takes in a whole list.
    pub(crate) fn replace(
        &mut self,
        now: Moment,
        stamp: Stamp,
        list: Vec<Endpoint>,
    ) -> ListOutcome {
        if stamp <= self.stamp {
            return ListOutcome::Stale;
        }
        self.advance_to(now);
        let by_id: BTreeMap<_, _> = list.into_iter().map(|e| (e.id.clone(), e)).collect();
        let current = |e: &&Endpoint| {
            self.by_id
                .get(&e.id)
                .is_some_and(|current| is_equivalent(current, e))
        };
        let change = EndpointChange {
            from: self.stamp,
            changed: by_id.values().filter(|e| !current(e)).cloned().collect(),
            gone: self
                .by_id
                .keys()
                .filter(|id| !by_id.contains_key(*id))
                .cloned()
                .collect(),
        };
        self.by_id = by_id;
        self.push_change(stamp, change);
        ListOutcome::Applied
    }

    /// Takes in a change.
    pub(crate) fn apply(
        &mut self,
        now: Moment,
        stamp: Stamp,
        change: EndpointChange,
    ) -> ListOutcome {
        if stamp <= self.stamp {
            return ListOutcome::Stale;
        }
        if change.from != self.stamp {
            return ListOutcome::Gap;
        }
        self.advance_to(now);
        for id in &change.gone {
            self.by_id.remove(id);
        }
        for endpoint in &change.changed {
            self.by_id.insert(endpoint.id.clone(), endpoint.clone());
        }
        self.push_change(stamp, change);
        ListOutcome::Applied
    }

    fn push_change(&mut self, stamp: Stamp, change: EndpointChange) {
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
        let elapsed = now.saturating_sub(self.updated_at);
        let message = match self.change_since(base) {
            Some(mut change) => {
                let refresh = |e: &Endpoint| self.by_id.get(&e.id).map(|e| aged(e, elapsed));
                change.changed = change.changed.iter().filter_map(refresh).collect();
                Message::EndpointsChanged {
                    stamp: self.stamp,
                    change,
                }
            }
            None => Message::Endpoints {
                stamp: self.stamp,
                list: self.by_id.values().map(|e| aged(e, elapsed)).collect(),
            },
        };
        Some(message)
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

    fn advance_to(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        for endpoint in self.by_id.values_mut() {
            endpoint.cold_left = endpoint.cold_left.saturating_sub(elapsed);
        }
    }
}

fn deduplicate(
    list: Vec<Endpoint>,
    is_served: impl Fn(&ServiceName) -> bool,
) -> BTreeMap<String, Endpoint> {
    let outranks = |a: &Endpoint, b: &Endpoint| {
        rank(a, is_served(&a.service)) > rank(b, is_served(&b.service))
    };
    let mut best: BTreeMap<String, Endpoint> = BTreeMap::new();
    for entry in list {
        let current = best.get(&entry.id);
        if current.is_none_or(|current| outranks(&entry, current)) {
            best.insert(entry.id.clone(), entry);
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

fn aged(e: &Endpoint, elapsed: Duration) -> Endpoint {
    Endpoint {
        cold_left: e.cold_left.saturating_sub(elapsed),
        ..e.clone()
    }
}

fn is_equivalent(a: &Endpoint, b: &Endpoint) -> bool {
    let without_cold_time = |e: &Endpoint| Endpoint {
        cold_left: Duration::ZERO,
        ..e.clone()
    };
    a.cold_left.abs_diff(b.cold_left) < COLD_TIME_TOLERANCE
        && without_cold_time(a) == without_cold_time(b)
}
