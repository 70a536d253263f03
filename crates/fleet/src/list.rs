//! The list of endpoints and its recent changes.
//!
//! A release replaces endpoints one after the other, and each step makes a new list. With 600
//! endpoints a list takes 30 KB; sending it to every gateway once a second would fill a
//! twentieth of a gateway's link, and the cost would grow with the square of the deployment.
//! So a process that holds a list receives only the changes since then.
//!
//! A stamp identifies the same content on every replica, since only the leader of a term
//! assigns stamps; so a change between two stamps may come from any replica. Lists that were
//! read without a leader have term 0 and are numbered by each replica on its own, so changes
//! relative to such a list are never sent.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use filberthead_types::{Moment, ServiceName};

use crate::{Endpoint, EndpointChange, EndpointState, Message, Stamp};

/// Smaller differences in an endpoint's remaining cold time come from clock differences
/// between machines and don't count as a change.
const COLD_TIME_TOLERANCE: Duration = Duration::from_millis(700);
/// Number of changes kept: what a release makes within some tens of seconds. A process that
/// missed more receives the complete list.
const KEPT_CHANGES: usize = 48;

/// How long readings must show only an earlier start of an endpoint before it replaces the
/// one held: several times the lag of a platform's list. The clock may have been ahead at the
/// start that is held, so the earlier one can't be ignored for good.
const EARLIER_START_ACCEPTED_AFTER: Duration = Duration::from_secs(3);

/// Result of applying a list or a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListOutcome {
    /// It was applied.
    Applied,
    /// A list that is at least as new is already held.
    Stale,
    /// The change is relative to a list that isn't held.
    Gap,
}

/// The list that a replica holds, with its recent changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointList {
    stamp: Stamp,
    by_id: BTreeMap<String, Endpoint>,
    /// The moment to which the remaining cold times in `by_id` refer.
    updated_at: Moment,
    /// Consecutive changes, oldest first, each with the stamp that it leads to; the last one
    /// leads to `stamp`.
    changes: VecDeque<(Stamp, EndpointChange)>,
    /// Since when readings have shown only an earlier start of these endpoints, by identity.
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

    /// Cleans up a list that was just read from the platform: one entry for each identity, and
    /// none for an earlier start than the one held. The platform's replicas may lag behind a
    /// restart, and other programs may write entries with an endpoint's identity.
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

    /// Whether a list that was just read differs from this one only by the passing of time.
    pub(crate) fn is_unchanged(&self, now: Moment, list: &[Endpoint]) -> bool {
        let is_unchanged = |e: &Endpoint| {
            let current = self.by_id.get(&e.id);
            current.is_some_and(|current| {
                is_equivalent(&aged(current, now.saturating_sub(self.updated_at)), e)
            })
        };
        self.by_id.len() == list.len() && list.iter().all(is_unchanged)
    }

    /// Replaces the list if `stamp` is newer.
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
        let is_current = |e: &&Endpoint| {
            self.by_id
                .get(&e.id)
                .is_some_and(|current| is_equivalent(current, e))
        };
        let change = EndpointChange {
            from: self.stamp,
            changed: by_id.values().filter(|e| !is_current(e)).cloned().collect(),
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

    /// Applies a change to the list.
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

    /// The update for a process that holds the list of stamp `base`; `None` if it is up to date.
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

    /// All changes since `base` merged into one; `None` if some are no longer kept or the result
    /// isn't shorter than the list.
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

/// Priority among entries with the same identity; the highest is kept. In this order: a
/// service that has routes, since the other receives no requests anyway; the later start; a
/// draining one, since sending to an endpoint that may be draining must be avoided. The rest
/// only makes the choice deterministic across replicas.
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
