//! The parts of the workspaces' requests that a replica tells gateways to send.

use std::collections::HashMap;
use std::time::Duration;

use filberthead_allot::{AdmitRatio, Pool, Presence, Usage};
use filberthead_route::{Allotment, Table};
use filberthead_types::{Moment, Workspace};

/// How long the parts are cached: half of a gateway's report period. Each sum takes a pass over
/// the reports of all gateways.
const RATIOS_TTL: Duration = Duration::from_millis(250);

/// Least time between two sums if a gateway's report tells of a surge.
const MIN_RATIOS_AGE: Duration = Duration::from_millis(25);

/// The allotments in force, and the parts that follow from them and from the gateways' reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct Allotments {
    limits: HashMap<Workspace, Allotment>,
    pool: Pool,
    ratios: Vec<AdmitRatio>,
    /// When `ratios` expires.
    expires: Moment,
}

impl Allotments {
    /// Applies the allotments of a table.
    pub(crate) fn set_table(&mut self, table: &Table) {
        let workspaces = table.workspaces.iter();
        let limits = workspaces.filter_map(|w| Some((w.name.clone(), w.allotment?)));
        self.limits = limits.collect();
        self.expires = Moment::ZERO;
    }

    /// Makes the next call of [`Self::ratios`] add up the reports anew, unless it was done just now.
    pub(crate) fn expire(&mut self, now: Moment) {
        let soon = self.expires.saturating_sub(RATIOS_TTL) + MIN_RATIOS_AGE;
        if now >= soon {
            self.expires = now;
        }
    }

    /// The parts by the gateways' last reports.
    pub(crate) fn ratios<'a>(
        &mut self,
        now: Moment,
        usage: impl IntoIterator<Item = (Presence, &'a Usage)>,
    ) -> Vec<AdmitRatio> {
        if now >= self.expires {
            self.expires = now + RATIOS_TTL;
            let limits = &self.limits;
            let allotment_of = |workspace: &Workspace| limits.get(workspace).copied();
            self.ratios = self.pool.update(now, allotment_of, usage);
        }
        self.ratios.clone()
    }
}
