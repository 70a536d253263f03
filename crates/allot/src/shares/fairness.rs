//! Max-min fair division of capacity, in order of priority.

use super::PRIORITIES;

/// Alike demands.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    /// Work that each of them asks for.
    pub(super) each: f64,
    /// Number of them.
    pub(super) count: f64,
}

impl Demand {
    pub(super) fn one(work: f64) -> Self {
        Self {
            each: work,
            count: 1.0,
        }
    }
}

/// The largest work that each demand may get so that all together get `capacity`; infinite if all get
/// what they ask for.
pub(super) fn fair_level(capacity: f64, demands: &mut [Demand]) -> f64 {
    demands.sort_unstable_by(|a, b| a.each.total_cmp(&b.each));
    let mut left = capacity.max(0.0);
    let mut count: f64 = demands.iter().map(|demand| demand.count).sum();
    for demand in demands.iter() {
        let level = left / count;
        if demand.each > level {
            return level;
        }
        left -= demand.each * demand.count;
        count -= demand.count;
    }
    f64::INFINITY
}

/// The level of each priority. More urgent ones get what they ask for first.
pub(super) fn fair_levels(
    capacity: f64,
    demands: &mut [Vec<Demand>; PRIORITIES],
) -> [f64; PRIORITIES] {
    let mut left = capacity;
    let mut levels = [f64::INFINITY; PRIORITIES];
    for (demands, level) in demands.iter_mut().zip(&mut levels) {
        *level = fair_level(left, demands);
        let taken = demands.iter().map(|d| d.each.min(*level) * d.count);
        left = (left - taken.sum::<f64>()).max(0.0);
    }
    levels
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against taking from those who ask for less than an equal share.
    #[test]
    fn small_demands_are_met_and_large_ones_are_equal() {
        let mut demands = [8.0, 1.0, 4.0, 2.0].map(Demand::one);
        let level = fair_level(9.0, &mut demands);
        assert!((level - 3.0).abs() < 1e-9, "{level}");
        assert_eq!(fair_level(15.0, &mut demands), f64::INFINITY);
        assert_eq!(fair_level(0.0, &mut demands), 0.0);
    }

    /// Guards against less urgent work that displaces more urgent work.
    #[test]
    fn urgent_work_comes_first() {
        let mut demands: [Vec<Demand>; PRIORITIES] = Default::default();
        demands[1] = vec![Demand::one(4.0), Demand::one(2.0)];
        demands[2] = vec![Demand::one(4.0), Demand::one(2.0)];
        demands[3] = vec![Demand::one(1.0)];
        let levels = fair_levels(9.0, &mut demands);
        assert_eq!(levels[0], f64::INFINITY);
        assert_eq!(levels[1], f64::INFINITY);
        assert!((levels[2] - 1.5).abs() < 1e-9, "{levels:?}");
        assert_eq!(levels[3], 0.0);
    }
}
