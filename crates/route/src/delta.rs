//! The difference between two tables.
//!
//! A change usually affects a few routes or workspaces of a table that has thousands. Sent in
//! full, each change would occupy the link of every gateway for the transmission of the whole
//! table.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{CallerBounds, Route, Service, Table, Workspace};

/// Consecutive items of the newer table.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
enum Run<T> {
    /// Items that are also consecutive, and equal, in the older table.
    Kept {
        /// Index of the first one in the older table.
        first: u32,
        /// Number of items.
        count: u32,
    },
    /// Items that the older table doesn't have, or not with the same content.
    New(Vec<Arc<T>>),
}

/// An item of a table that is recognised in another table by its name.
trait Named: PartialEq {
    fn name(&self) -> &str;
}

impl Named for Route {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for Workspace {
    fn name(&self) -> &str {
        self.name.as_str()
    }
}

/// Turns one table into another.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Delta {
    routes: Vec<Run<Route>>,
    services: Vec<Service>,
    bounds: CallerBounds,
    workspaces: Vec<Run<Workspace>>,
}

impl Delta {
    /// The delta that turns `older` into `newer`.
    pub fn between(older: &Table, newer: &Table) -> Self {
        Self {
            routes: runs(&older.routes, &newer.routes),
            services: newer.services.clone(),
            bounds: newer.bounds,
            workspaces: runs(&older.workspaces, &newer.workspaces),
        }
    }

    /// The newer table; `None` if the delta doesn't fit `older`.
    pub fn apply(&self, older: &Table) -> Option<Table> {
        Some(Table {
            routes: apply(&self.routes, &older.routes)?,
            services: self.services.clone(),
            bounds: self.bounds,
            workspaces: apply(&self.workspaces, &older.workspaces)?,
        })
    }

    /// Number of routes and workspaces that are new or changed.
    pub fn new_items(&self) -> usize {
        count_new(&self.routes) + count_new(&self.workspaces)
    }
}

/// The runs that turn `older` into `newer`.
fn runs<T: Named>(older: &[Arc<T>], newer: &[Arc<T>]) -> Vec<Run<T>> {
    let indices = older.iter().enumerate();
    let indices: HashMap<&str, usize> = indices.map(|(i, item)| (item.name(), i)).collect();
    let is_at_index = |index: usize, item: &T| older.get(index).is_some_and(|old| **old == *item);
    let mut runs = Vec::new();
    for item in newer {
        let following = match runs.last() {
            Some(Run::Kept { first, count }) => Some((*first + *count) as usize),
            _ => None,
        };
        let same_name = indices.get(item.name()).copied();
        let index = following
            .into_iter()
            .chain(same_name)
            .find(|at| is_at_index(*at, item));
        append(&mut runs, index, item);
    }
    runs
}

/// Appends an item to the runs. `index` is its index in the older table; `None` if that
/// doesn't have it.
fn append<T>(runs: &mut Vec<Run<T>>, index: Option<usize>, item: &Arc<T>) {
    let index = index.and_then(|index| u32::try_from(index).ok());
    match (runs.last_mut(), index) {
        (Some(Run::Kept { first, count }), Some(index)) if *first + *count == index => *count += 1,
        (_, Some(first)) => runs.push(Run::Kept { first, count: 1 }),
        (Some(Run::New(new)), None) => new.push(Arc::clone(item)),
        (_, None) => runs.push(Run::New(vec![Arc::clone(item)])),
    }
}

/// The newer items; `None` if the runs don't fit `older`.
fn apply<T>(runs: &[Run<T>], older: &[Arc<T>]) -> Option<Vec<Arc<T>>> {
    let mut items = Vec::new();
    for run in runs {
        match run {
            Run::Kept { first, count } => {
                let first = *first as usize;
                let kept = older.get(first..first.checked_add(*count as usize)?)?;
                items.extend(kept.iter().cloned());
            }
            Run::New(new) => items.extend(new.iter().cloned()),
        }
    }
    Some(items)
}

fn count_new<T>(runs: &[Run<T>]) -> usize {
    let counts = runs.iter().map(|run| match run {
        Run::Kept { .. } => 0,
        Run::New(new) => new.len(),
    });
    counts.sum()
}
