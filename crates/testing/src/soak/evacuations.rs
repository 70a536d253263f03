//! Checks control's sequence of evacuations, and what reached endpoints, against operators' orders.
//!
//! Control's sequence is what its replicas logged. It is explained if there is an order of all orders
//! in which each copy of an order, one for each send, takes effect once at most: that of an
//! acknowledged order before the acknowledgement, and that of another before a later order of the
//! same operator about that failure domain was acknowledged. Copies bear no name, so control can't
//! tell a second one from a new order. Besides, what an acknowledged order asks for must have been in
//! force between its first send and its acknowledgement. Failure domains are independent of each
//! other, so each is checked by itself.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime};

use super::violations::{EndpointRun, Violation};

/// Time from the acknowledgement of an evacuation after which nothing may reach the failure domain.
pub(super) const EVACUATION_BOUND: Duration = Duration::from_secs(5);
/// Time without any fault after which gateways have the newest state.
const CONTACT_BOUND: Duration = Duration::from_secs(4);
/// Precision of the times in logs, which have milliseconds and come from another clock.
const PRECISION: Duration = Duration::from_millis(5);
/// A replica that is killed may lose what it logged within this time before: log lines are written
/// by a thread of their own.
const UNWRITTEN: Duration = Duration::from_millis(200);
/// Longest time until another replica logs what a lost line said.
const RELOGGED: Duration = Duration::from_secs(10);
/// What a control replica logs with each change.
const MESSAGE: &str = "evacuated failure domains revision=";

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// That a failure domain is evacuated.
    Start,
    /// That its evacuation ends.
    End,
}

/// How an order, or one send of it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// A replica acknowledged it.
    Acknowledged,
    /// A replica refused it with this status.
    Refused(u16),
    /// There was no clear answer.
    Unknown,
}

/// One send of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderSend {
    /// Index of the replica.
    pub replica: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When it was answered, had failed or was given up.
    pub ended: Instant,
    /// How it ended.
    pub outcome: OrderOutcome,
}

/// An order about a failure domain, with all sends of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationOrder {
    /// Index of the operator.
    pub operator: usize,
    /// The failure domain.
    pub domain: String,
    /// What it asks for.
    pub change: EvacuationChange,
    /// When it was sent first.
    pub sent: Instant,
    /// When it was acknowledged, refused or given up.
    pub ended: Instant,
    /// How it ended.
    pub outcome: OrderOutcome,
    /// The sends, in order.
    pub sends: Vec<OrderSend>,
}

/// The evacuated failure domains that a replica logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedSet {
    /// Index of the replica.
    pub replica: usize,
    /// Index of the log entry of the change.
    pub revision: u64,
    /// All evacuated failure domains from then on.
    pub domains: BTreeSet<String>,
    /// When the replica applied it.
    pub at: Instant,
}

/// What happened to evacuations in a soak.
#[derive(Clone, Debug, Default)]
pub struct EvacuationRecord {
    /// Orders of all operators.
    pub orders: Vec<EvacuationOrder>,
    /// What control replicas applied, in the order of each one's log.
    pub applied: Vec<AppliedSet>,
    /// When control replicas were killed.
    pub kills: Vec<Instant>,
    /// Times of faults, in order.
    pub faults: Vec<(Instant, Instant)>,
}

impl EvacuationOrder {
    fn is_acknowledged(&self) -> bool {
        self.outcome == OrderOutcome::Acknowledged
    }
}

impl EvacuationRecord {
    /// Number of acknowledged orders, and of all.
    pub fn acknowledged(&self) -> (usize, usize) {
        let acknowledged = self.orders.iter().filter(|order| order.is_acknowledged());
        (acknowledged.count(), self.orders.len())
    }

    /// A line for each order, with the time of each send as `at` writes it.
    pub fn to_text(&self, at: impl Fn(Instant) -> String) -> String {
        let line = |order: &EvacuationOrder| {
            let sends = order.sends.iter().map(|send| {
                let (sent, ended) = (at(send.sent), at(send.ended));
                format!(
                    " [{sent} to {}, {ended} {:?}]",
                    send.replica + 1,
                    send.outcome
                )
            });
            let (ended, sends) = (at(order.ended), sends.collect::<String>());
            let EvacuationOrder {
                operator,
                domain,
                change,
                outcome,
                ..
            } = order;
            format!("{ended} operator {operator}: {change:?} of {domain} {outcome:?}{sends}\n")
        };
        self.orders.iter().map(line).collect()
    }

    /// Orders about this failure domain.
    fn about(&self, domain: &str) -> impl Iterator<Item = &EvacuationOrder> + Clone {
        let orders = self.orders.iter();
        orders.filter(move |order| order.domain == domain)
    }

    /// When an order may be logged as carried out at the latest; `None` for any time.
    fn last_effect(&self, order: &EvacuationOrder) -> Option<Instant> {
        if order.is_acknowledged() {
            return Some(self.logged_until(order.ended));
        }
        let later = self.about(&order.domain).filter(|later| {
            later.operator == order.operator && later.sent >= order.ended && later.is_acknowledged()
        });
        later.map(|later| self.logged_until(later.ended)).min()
    }

    fn copies<'a>(&self, order: &'a EvacuationOrder) -> Vec<Copy<'a>> {
        let last_effect = self.last_effect(order);
        let copy = |send: &OrderSend| Copy {
            order,
            sent: send.sent,
            last_effect,
        };
        order.sends.iter().map(copy).collect()
    }

    /// Whether what an acknowledged order asks for was in force between its first send and its
    /// acknowledgement.
    fn was_in_force(&self, order: &EvacuationOrder, transitions: &[Transition]) -> bool {
        let last = self.logged_until(order.ended) + PRECISION;
        let ends_after =
            |next: Option<&Transition>| next.is_none_or(|next| next.to + PRECISION >= order.sent);
        let initially = order.change == EvacuationChange::End && ends_after(transitions.first());
        let mut changes = transitions.iter().enumerate();
        initially
            || changes.any(|(index, transition)| {
                transition.change == order.change
                    && transition.from <= last
                    && ends_after(transitions.get(index + 1))
            })
    }

    /// When what was acknowledged at this time is logged at the latest.
    fn logged_until(&self, acknowledged: Instant) -> Instant {
        let mut kills = self.kills.iter();
        let is_lost = kills
            .any(|kill| acknowledged <= *kill + UNWRITTEN && *kill <= acknowledged + UNWRITTEN);
        match is_lost {
            true => acknowledged + RELOGGED,
            false => acknowledged,
        }
    }

    /// Whether there was no fault in this time nor shortly before.
    fn is_calm(&self, from: Instant, to: Instant) -> bool {
        let mut faults = self.faults.iter();
        !faults.any(|(began, ended)| *began <= to && *ended + CONTACT_BOUND >= from)
    }

    /// Whether a failure domain is evacuated once nothing is ordered any more, by the orders alone.
    pub fn is_evacuated_at_end(&self, domain: &str) -> bool {
        self.last_change(domain) == Some(EvacuationChange::Start)
    }

    /// What the last order about a failure domain asks for; `None` if several may be the last.
    fn last_change(&self, domain: &str) -> Option<EvacuationChange> {
        let acknowledged = self.about(domain).filter(|order| order.is_acknowledged());
        let last = acknowledged.max_by_key(|order| order.sent)?;
        let mut others = self
            .about(domain)
            .filter(|order| order.change != last.change);
        let all_before = others.all(|order| {
            let until = self.last_effect(order);
            until.is_some_and(|until| until <= last.sent)
        });
        all_before.then_some(last.change)
    }

    /// Times from an acknowledged evacuation until an end was first sent; `None` if none was.
    fn certainly_evacuated(&self, domain: &str) -> Vec<(Instant, Option<Instant>)> {
        let starts = self
            .about(domain)
            .filter(|order| order.change == EvacuationChange::Start && order.is_acknowledged());
        let time = |start: &EvacuationOrder| {
            let ends = self.about(domain).filter(|order| {
                let until = self.last_effect(order);
                order.change == EvacuationChange::End
                    && until.is_none_or(|until| until > start.sent)
            });
            (start.ended, ends.map(|order| order.sent).min())
        };
        let times = starts.map(time);
        times
            .filter(|(from, until)| until.is_none_or(|until| until > *from))
            .collect()
    }
}

/// A change of whether a failure domain is evacuated.
#[derive(Clone, Debug)]
struct Transition {
    revision: u64,
    change: EvacuationChange,
    /// When it was first logged, and the time before it at which it wasn't if lines are lost.
    from: Instant,
    to: Instant,
}

/// The copy of an order that one send of it brought to a replica.
struct Copy<'a> {
    order: &'a EvacuationOrder,
    sent: Instant,
    last_effect: Option<Instant>,
}

impl Copy<'_> {
    fn explains(&self, transition: &Transition) -> bool {
        self.order.change == transition.change
            && self.sent <= transition.to + PRECISION
            && self
                .last_effect
                .is_none_or(|last| transition.from <= last + PRECISION)
    }
}

/// Reads what a replica logged. `instant` translates the times of its log.
pub fn applied_sets(
    replica: usize,
    log: &str,
    instant: impl Fn(SystemTime) -> Instant,
) -> Vec<AppliedSet> {
    let parse = |line: &str| {
        let (head, fields) = line.split_once(MESSAGE)?;
        let (revision, domains) = fields.split_once(" domains=")?;
        let domains = domains.trim_matches(['"', '{', '}']);
        let names = domains.split(", ").filter(|name| !name.is_empty());
        let at = humantime::parse_rfc3339(head.split(' ').next()?).ok()?;
        Some(AppliedSet {
            replica,
            revision: revision.parse().ok()?,
            domains: names.map(str::to_owned).collect(),
            at: instant(at),
        })
    };
    log.lines().filter_map(parse).collect()
}

/// Checks the record against the runs at endpoints; `domain_of` is an endpoint's failure domain.
pub fn find_evacuation_violations<'a>(
    record: &EvacuationRecord,
    runs: &[EndpointRun],
    domain_of: impl Fn(usize) -> &'a str,
) -> Vec<Violation> {
    let mut found = check_answers(record);
    let (transitions, disagreements) = transitions(record);
    found.extend(disagreements);
    let ordered = record.orders.iter().map(|order| order.domain.as_str());
    let domains: BTreeSet<&str> = ordered
        .chain(transitions.keys().map(String::as_str))
        .collect();
    for domain in domains {
        let changes = transitions.get(domain).map_or(&[][..], Vec::as_slice);
        found.extend(check_sequence(record, domain, changes));
        found.extend(check_end(record, domain, changes));
        let reached = runs.iter().filter(|run| domain_of(run.endpoint) == domain);
        found.extend(check_reached(record, domain, reached));
    }
    found
}

/// Checks that no order was refused, or remained without an acknowledgement in a time without faults.
fn check_answers(record: &EvacuationRecord) -> Vec<Violation> {
    let orders = record.orders.iter();
    let check = |order: &EvacuationOrder| match order.outcome {
        OrderOutcome::Refused(status) => Some(Violation::EvacuationOrderRefused(
            order.domain.clone(),
            status,
        )),
        OrderOutcome::Unknown if record.is_calm(order.sent, order.ended) => Some(
            Violation::EvacuationOrderUnanswered(order.domain.clone(), order.change),
        ),
        _ => None,
    };
    orders.filter_map(check).collect()
}

/// The changes of each failure domain in order, and violations where replicas disagree.
fn transitions(record: &EvacuationRecord) -> (BTreeMap<String, Vec<Transition>>, Vec<Violation>) {
    let mut sets: BTreeMap<u64, (&BTreeSet<String>, Instant)> = BTreeMap::new();
    let mut disagreeing = BTreeSet::new();
    for applied in &record.applied {
        let entry = (&applied.domains, applied.at);
        let known = sets.entry(applied.revision).or_insert(entry);
        known.1 = known.1.min(applied.at);
        if *known.0 != applied.domains {
            disagreeing.insert(applied.revision);
        }
    }
    // A replica that applied a revision had applied all before it.
    let mut next = None;
    for (_, at) in sets.values_mut().rev() {
        *at = next.map_or(*at, |next| (*at).min(next));
        next = Some(*at);
    }
    let mut transitions: BTreeMap<String, Vec<Transition>> = BTreeMap::new();
    let (none, mut before, mut known_at) = (BTreeSet::new(), None, None);
    for (revision, (domains, to)) in sets {
        let changed: Vec<&String> = domains
            .symmetric_difference(before.unwrap_or(&none))
            .collect();
        // Several at once: lines of revisions in between are lost.
        let from = match (changed.len(), known_at) {
            (0 | 1, _) | (_, None) => to,
            (_, Some(known)) => known,
        };
        for domain in changed {
            let change = match domains.contains(domain) {
                true => EvacuationChange::Start,
                false => EvacuationChange::End,
            };
            let transition = Transition {
                revision,
                change,
                from,
                to,
            };
            transitions
                .entry(domain.clone())
                .or_default()
                .push(transition);
        }
        (before, known_at) = (Some(domains), Some(to));
    }
    let disagreeing = disagreeing.into_iter();
    let violations = disagreeing.map(Violation::EvacuationsDisagree).collect();
    (transitions, violations)
}

/// Checks that the orders about a failure domain explain all changes of it, and that each
/// acknowledged one was in force at some time.
fn check_sequence(
    record: &EvacuationRecord,
    domain: &str,
    transitions: &[Transition],
) -> Vec<Violation> {
    let acknowledged = record.about(domain).filter(|order| order.is_acknowledged());
    let without_effect = acknowledged.filter(|order| !record.was_in_force(order, transitions));
    let mut found: Vec<Violation> = without_effect
        .map(|order| Violation::AcknowledgedWithoutEffect(domain.to_owned(), order.change))
        .collect();
    let copies: Vec<Copy<'_>> = record
        .about(domain)
        .flat_map(|o| record.copies(o))
        .collect();
    let explained_by = |transition: &Transition| -> Vec<usize> {
        let copies = copies.iter().enumerate();
        let fitting = copies.filter(|(_, copy)| copy.explains(transition));
        fitting.map(|(index, _)| index).collect()
    };
    let edges: Vec<Vec<usize>> = transitions.iter().map(explained_by).collect();
    let mut taken = vec![None; copies.len()];
    for (index, transition) in transitions.iter().enumerate() {
        if !assign(index, &edges, &mut taken, &mut BTreeSet::new()) {
            found.push(unexplained(domain, transition));
        }
    }
    found
}

fn unexplained(domain: &str, transition: &Transition) -> Violation {
    let (domain, revision) = (domain.to_owned(), transition.revision);
    match transition.change {
        EvacuationChange::Start => Violation::EvacuatedUnasked { domain, revision },
        EvacuationChange::End => Violation::EvacuationTakenBack { domain, revision },
    }
}

/// Assigns a copy to a transition, and others to those that had it if needed: a step of bipartite
/// matching.
fn assign(
    from: usize,
    edges: &[Vec<usize>],
    taken: &mut [Option<usize>],
    visited: &mut BTreeSet<usize>,
) -> bool {
    for &to in &edges[from] {
        if !visited.insert(to) {
            continue;
        }
        let holder = taken[to];
        if holder.is_none_or(|holder| assign(holder, edges, taken, visited)) {
            taken[to] = Some(from);
            return true;
        }
    }
    false
}

/// Checks that the last order is in force at the end, at all replicas.
fn check_end(
    record: &EvacuationRecord,
    domain: &str,
    transitions: &[Transition],
) -> Option<Violation> {
    let expected = record.last_change(domain)?;
    let last = transitions
        .last()
        .map_or(EvacuationChange::End, |t| t.change);
    let newest: BTreeMap<usize, &AppliedSet> = record
        .applied
        .iter()
        .map(|set| (set.replica, set))
        .collect();
    let evacuated = expected == EvacuationChange::Start;
    let mut replicas = newest.values();
    let all = replicas.all(|set| set.domains.contains(domain) == evacuated);
    (last != expected || !all).then(|| Violation::EvacuationOrderLost(domain.to_owned(), expected))
}

/// Checks that nothing reached a failure domain while it was certainly evacuated, in times
/// without faults.
fn check_reached<'a>(
    record: &EvacuationRecord,
    domain: &str,
    runs: impl Iterator<Item = &'a EndpointRun>,
) -> Option<Violation> {
    let evacuated = record.certainly_evacuated(domain);
    let is_late = |run: &&EndpointRun| {
        let mut times = evacuated.iter();
        let late = times.any(|(from, until)| {
            run.at > *from + EVACUATION_BOUND && until.is_none_or(|until| run.at < until)
        });
        late && record.is_calm(run.at, run.at)
    };
    let got = runs.filter(is_late).count();
    (got > 0).then(|| Violation::SentToEvacuatedDomain(domain.to_owned(), got))
}
