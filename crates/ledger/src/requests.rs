//! Passes that wait for an answer or run.

use std::collections::{BTreeMap, BTreeSet};

use filberthead_types::Moment;

use crate::{Generation, HomeId, Pass};

/// The key that a pass is concerned with.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct PassKey {
    pub(crate) home: HomeId,
    pub(crate) generation: Generation,
    pub(crate) rest: Box<str>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Waiting {
    deadline: Moment,
}

/// Every pass whose answer, or whose end, is still to come.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Passes {
    waiting: BTreeMap<Pass, Waiting>,
    deadlines: BTreeSet<(Moment, Pass)>,
    running: BTreeMap<Pass, PassKey>,
}

impl Passes {
    pub(crate) fn wait(&mut self, pass: Pass, deadline: Moment) {
        self.waiting.insert(pass, Waiting { deadline });
        self.deadlines.insert((deadline, pass));
    }

    pub(crate) fn is_waiting(&self, pass: Pass) -> bool {
        self.waiting.contains_key(&pass)
    }

    /// Whether the pass waited until now.
    pub(crate) fn end_wait(&mut self, pass: Pass) -> bool {
        let Some(waiting) = self.waiting.remove(&pass) else {
            return false;
        };
        self.deadlines.remove(&(waiting.deadline, pass))
    }

    /// A waiting pass whose deadline has come.
    pub(crate) fn pop_expired(&mut self, now: Moment) -> Option<Pass> {
        let (deadline, pass) = *self.deadlines.first()?;
        if now < deadline {
            return None;
        }
        self.deadlines.pop_first();
        self.waiting.remove(&pass);
        Some(pass)
    }

    pub(crate) fn run(&mut self, pass: Pass, key: PassKey) {
        self.running.insert(pass, key);
    }

    pub(crate) fn end_run(&mut self, pass: Pass) -> Option<PassKey> {
        self.running.remove(&pass)
    }

    pub(crate) fn any_running(&self) -> bool {
        !self.running.is_empty()
    }
}
