//! How one table differs from another.
//!
//! The load it answers: tables of thousands of routes of which a change touches a few. Sent
//! whole, each change takes the link of every gateway for as long as the table is long.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{CallerBounds, Route, Service, Table};

/// Routes that follow one another in the newer table.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
enum Run {
    /// They follow one another in the older table too.
    Kept {
        /// Place of the first one there.
        first: u32,
        /// How many there are.
        count: u32,
    },
    /// They aren't in the older table as they are now.
    New(Vec<Arc<Route>>),
}

/// What makes one table of another.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Delta {
    runs: Vec<Run>,
    services: Vec<Service>,
    bounds: CallerBounds,
}

impl Delta {
    /// What makes `newer` of `older`.
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

    /// The newer table; `None` if this isn't a change of the older one.
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

    /// How many routes are new or not as they were.
    pub fn new_routes(&self) -> usize {
        let counts = self.runs.iter().map(|run| match run {
            Run::Kept { .. } => 0,
            Run::New(new) => new.len(),
        });
        counts.sum()
    }
}

/// Adds a route to the runs, which stands at `place` in the older table or isn't there.
fn append(runs: &mut Vec<Run>, index: Option<usize>, route: &Arc<Route>) {
    let index = index.and_then(|index| u32::try_from(index).ok());
    match (runs.last_mut(), index) {
        (Some(Run::Kept { first, count }), Some(index)) if *first + *count == index => *count += 1,
        (_, Some(first)) => runs.push(Run::Kept { first, count: 1 }),
        (Some(Run::New(new)), None) => new.push(Arc::clone(route)),
        (_, None) => runs.push(Run::New(vec![Arc::clone(route)])),
    }
}
