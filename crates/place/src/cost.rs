//! The time after which an endpoint should have answered.
//!
//! Expected times are learned from answers, separately for objects that an endpoint knows
//! and those that are new to it, because the two differ several times over and the
//! difference is what placement by object is worth.

use std::time::Duration;

/// Weight of a new observation: about the last twenty count.
const NEW: f64 = 0.05;
/// What is believed before the first answer, as parts of the objective: a service whose
/// objective can be met at all answers within it, and knowing an object saves most of it.
const FIRST_PRIOR: f64 = 0.8;
const AGAIN_PRIOR: f64 = 0.3;

/// Learned times of a service's answers, as seen from here, without the way there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Times {
    first: f64,
    again: f64,
}

impl Times {
    pub(crate) fn new(objective: Duration) -> Self {
        Self {
            first: FIRST_PRIOR * objective.as_secs_f64(),
            again: AGAIN_PRIOR * objective.as_secs_f64(),
        }
    }

    pub(crate) fn observe(&mut self, known: bool, took: Duration) {
        let mean = if known {
            &mut self.again
        } else {
            &mut self.first
        };
        *mean += NEW * (took.as_secs_f64() - *mean);
    }

    /// Seconds that an answer takes if the object is known there with this probability.
    pub(crate) fn expected(&self, known: f64) -> f64 {
        known * self.again + (1.0 - known) * self.first.max(self.again)
    }
}

/// Seconds until a slot is free, with `load` requests at `slots` slots that take `each`
/// seconds.
pub(crate) fn wait(load: f64, slots: u32, each: f64) -> f64 {
    let slots = f64::from(slots);
    let ahead = (load + 1.0 - slots).max(0.0);
    ahead / slots * each
}
