//! The time after which an endpoint should have answered.
//!
//! An answer is quick if the endpoint knows the object and slow if it doesn't, several
//! times over, and the difference is what placement by object is worth. Both times are
//! learned from answers, each counted for the one that it is nearer to; and so is how often
//! an endpoint turns out to know an object that this gateway hasn't sent there.

use std::time::Duration;

/// Weight of a new observation: about the last twenty count.
const NEW: f64 = 0.05;
/// What is believed before the first answer, as parts of the objective: a service whose
/// objective can be met at all answers within it, and knowing an object saves most of it.
const SLOW_PRIOR: f64 = 0.9;
const QUICK_PRIOR: f64 = 0.35;
/// The most that an answer counts as, in parts of the time of an unknown object.
const LONGEST: f64 = 1.25;
/// Places in an object's order that are told apart.
const PLACES: usize = 3;
/// What is believed at first of an endpoint of this region that others may have sent the
/// object to: the first place gets it as long as it has room.
const KNOWN_PRIOR: [f64; PLACES] = [0.5, 0.2, 0.1];

/// Free part of an endpoint below which a wait is no longer reckoned to grow without bound.
const SATURATED: f64 = 0.02;

/// Learned times of a service's answers, without the way there and the wait for a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Times {
    quick: f64,
    slow: f64,
    known: [f64; PLACES],
}

/// How an endpoint stands to an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Affinity {
    /// This gateway has sent the object there lately.
    Sent,
    /// Others of this region may have; it stands at this place in the object's order.
    Perhaps(usize),
    /// Nobody is likely to have.
    Stranger,
}

impl Times {
    pub(crate) fn new(objective: Duration) -> Self {
        Self {
            quick: QUICK_PRIOR * objective.as_secs_f64(),
            slow: SLOW_PRIOR * objective.as_secs_f64(),
            known: KNOWN_PRIOR,
        }
    }

    /// Takes in how long an answer took.
    pub(crate) fn observe(&mut self, how: Affinity, has_object: bool, took: Duration) {
        // Nothing tells what a request without an object is to be compared with.
        if how == Affinity::Stranger && !has_object {
            return;
        }
        // An answer that takes far longer tells of its endpoint, not of the service; only
        // if most do, the time grows step by step.
        let took = took.as_secs_f64().min(LONGEST * self.slow);
        let was_quick = (took - self.quick).abs() < (took - self.slow).abs();
        let mean = if was_quick {
            &mut self.quick
        } else {
            &mut self.slow
        };
        *mean += NEW * (took - *mean);
        if let Affinity::Perhaps(place) = how
            && let Some(known) = self.known.get_mut(place)
        {
            *known += NEW * (f64::from(u8::from(was_quick)) - *known);
        }
    }

    /// Seconds that an answer takes.
    pub(crate) fn expected(&self, how: Affinity) -> f64 {
        let known = match how {
            Affinity::Sent => 1.0,
            Affinity::Perhaps(place) => self.known.get(place).copied().unwrap_or(0.0),
            Affinity::Stranger => 0.0,
        };
        known * self.quick + (1.0 - known) * self.slow.max(self.quick)
    }

    /// Times of answers where the object is known, and where it isn't.
    pub(crate) fn both(&self) -> (Duration, Duration) {
        let duration = Duration::from_secs_f64;
        (duration(self.quick), duration(self.slow))
    }

    /// Seconds that an answer takes where the object is known.
    pub(crate) fn quick(&self) -> f64 {
        self.quick
    }
}

/// Seconds until a slot is free, with `load` requests at `slots` slots that take `each`
/// seconds.
pub(crate) fn wait(load: f64, slots: u32, each: f64) -> f64 {
    let slots = f64::from(slots);
    let ahead = (load + 1.0 - slots).max(0.0);
    ahead / slots * each
}

/// Seconds that a request waits on average at an endpoint of so many slots that is busy for
/// this part of its time, by Sakasegawa's approximation for several servers. Near
/// saturation, where it has no bound, it grows on in proportion.
pub(crate) fn queue(utilisation: f64, slots: f64, work: f64) -> f64 {
    let exponent = (2.0 * (slots + 1.0)).sqrt() - 1.0;
    let free = (1.0 - utilisation).max(SATURATED);
    work * utilisation.powf(exponent) / (slots.max(1.0) * free)
}
