//! The difference between two tables.
//!
//! A change usually affects a few routes of a table that has thousands. Sent in full, each
//! change would occupy the link of every gateway for the transmission of the whole table.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{CallerBounds, Route, Service, Table};

/// Consecutive routes of the newer table.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
enum Run {
    /// Routes that are also consecutive, and equal, in the older table.
    Kept {
        /// Index of the first one in the older table.
        first: u32,
        /// Number of routes.
        count: u32,
    },
    /// Routes that the older table doesn't have, or not with the same content.
    New(Vec<Arc<Route>>),
}

/// Turns one table into another.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Delta {
    runs: Vec<Run>,
    services: Vec<Service>,
    bounds: CallerBounds,
}

impl Delta {
    /// The delta that turns `older` into `newer`.
    pub fn between(older: &Table, newer: &Table) -> Self {
        let indices = older.routes.iter().enumerate();
        let indices: HashMap<&str, usize> = indices.map(|(i, r)| (r.name.as_str(), i)).collect();
        let is_at_index = |index: usize, route: &Route| {
            older.routes.get(index).is_some_and(|old| **old == *route)
        };
        let mut runs = Vec::new();
        for route in &newer.routes {
            let following = match runs.last() {
                Some(Run::Kept { first, count }) => Some((*first + *count) as usize),
                _ => None,
            };
            let same_name = indices.get(route.name.as_str()).copied();
            let index = following
                .into_iter()
                .chain(same_name)
                .find(|at| is_at_index(*at, route));
            append(&mut runs, index, route);
        }
        Self {
            runs,
            services: newer.services.clone(),
            bounds: newer.bounds,
        }
    }

    /// The newer table; `None` if the delta doesn't fit `older`.
    pub fn apply(&self, older: &Table) -> Option<Table> {
        let mut routes = Vec::new();
        for run in &self.runs {
            match run {
                Run::Kept { first, count } => {
                    let first = *first as usize;
                    let kept = older
                        .routes
                        .get(first..first.checked_add(*count as usize)?)?;
                    routes.extend(kept.iter().cloned());
                }
                Run::New(new) => routes.extend(new.iter().cloned()),
            }
        }
        Some(Table {
            routes,
            services: self.services.clone(),
            bounds: self.bounds,
        })
    }

    /// Number of routes that are new or changed.
    pub fn new_routes(&self) -> usize {
        let counts = self.runs.iter().map(|run| match run {
            Run::Kept { .. } => 0,
            Run::New(new) => new.len(),
        });
        counts.sum()
    }
}

/// Appends a route to the runs. `index` is its index in the older table; `None` if that
/// doesn't have it.
fn append(runs: &mut Vec<Run>, index: Option<usize>, route: &Arc<Route>) {
    let index = index.and_then(|index| u32::try_from(index).ok());
    match (runs.last_mut(), index) {
        (Some(Run::Kept { first, count }), Some(index)) if *first + *count == index => *count += 1,
        (_, Some(first)) => runs.push(Run::Kept { first, count: 1 }),
        (Some(Run::New(new)), None) => new.push(Arc::clone(route)),
        (_, None) => runs.push(Run::New(vec![Arc::clone(route)])),
    }
}
