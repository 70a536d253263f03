//! The traces of operators' orders about a failure domain, collected from the logs of control.
//!
//! A replica logs each order under an id from its receipt on, and the leader gets that id with
//! the order. The index of the log entry that an order became gives the sequence in which orders
//! took effect, whatever the clocks of the replicas show.

use std::collections::BTreeMap;

use crate::Event;

/// Message that an order has been applied, which each replica logs.
const APPLIED: &str = "order applied";
/// Message that an order has been committed, which the replica logs that proposed it.
const COMMITTED: &str = "order committed";

/// The orders to collect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFilter<'a> {
    /// Those about this failure domain.
    FailureDomain(&'a str),
    /// The one with this id.
    Id(&'a str),
}

/// What the logs contain about one order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrderTrace {
    /// Its id; `None` if it was applied without one.
    pub id: Option<String>,
    /// Index of its log entry; `None` if no log shows that it was applied.
    pub index: Option<u64>,
    /// The lines about it, sorted by time. Of those that say that it was applied, it has the first.
    pub events: Vec<Event>,
}

impl OrderTrace {
    /// Collects the traces from the lines of the logs of all replicas: first the orders that were
    /// applied, by index, and then the others, by time.
    pub fn from_lines<'a>(
        filter: OrderFilter<'_>,
        lines: impl IntoIterator<Item = &'a str>,
    ) -> Vec<Self> {
        let events: Vec<_> = lines.into_iter().filter_map(Event::parse).collect();
        let mut traces: BTreeMap<String, Self> = BTreeMap::new();
        for event in events {
            if let Some(key) = key(&event) {
                traces.entry(key).or_default().add(event);
            }
        }
        let mut traces = merged(traces.into_values().collect());
        traces.retain(|trace| trace.matches(filter));
        traces.iter_mut().for_each(Self::sort);
        traces.sort_by_key(|trace| {
            let began = trace.events.first().map(|event| event.at.clone());
            (trace.index.unwrap_or(u64::MAX), began)
        });
        traces
    }

    fn add(&mut self, event: Event) {
        self.id = event.field("order").map(str::to_owned);
        if [APPLIED, COMMITTED].contains(&event.message.as_str()) {
            self.index = event.field("index").and_then(|index| index.parse().ok());
        }
        self.events.push(event);
    }

    fn matches(&self, filter: OrderFilter<'_>) -> bool {
        match filter {
            OrderFilter::Id(id) => self.id.as_deref() == Some(id),
            OrderFilter::FailureDomain(domain) => self.events.iter().any(|event| {
                let content = event.field("content").and_then(|text| text.split_once(' '));
                content.is_some_and(|(action, name)| action != "routes" && name == domain)
            }),
        }
    }

    fn sort(&mut self) {
        // The sort is stable: lines of one process with equal timestamps keep their order.
        self.events.sort_by(|a, b| a.at.cmp(&b.at));
        let mut is_applied = false;
        self.events.retain(|event| {
            let is_repeated = event.message == APPLIED && is_applied;
            is_applied |= event.message == APPLIED;
            !is_repeated
        });
    }
}

/// Adds the lines of entries without an id to the orders that were committed as these entries.
fn merged(traces: Vec<OrderTrace>) -> Vec<OrderTrace> {
    let (mut traces, without_id): (Vec<_>, Vec<_>) =
        traces.into_iter().partition(|trace| trace.id.is_some());
    for entry in without_id {
        match traces.iter_mut().find(|trace| trace.index == entry.index) {
            Some(trace) => trace.events.extend(entry.events),
            None => traces.push(entry),
        }
    }
    traces
}

/// The order that a line is about: its id, or the index of an entry without one.
fn key(event: &Event) -> Option<String> {
    if let Some(id) = event.field("order") {
        return Some(id.to_owned());
    }
    let index = event.field("index").filter(|_| event.message == APPLIED)?;
    Some(format!("index {index}"))
}
