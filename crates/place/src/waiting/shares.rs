//! The work that each workspace has been served lately.

use std::collections::HashMap;
use std::time::Duration;

use filberthead_types::{Moment, Workspace};

/// Workspaces that are told apart. Further ones count as one.
const MAX_WORKSPACES: usize = 256;
/// Time in which half of the work that was served is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Highest level; more work than that makes no difference.
const MAX_LEVEL: u8 = 15;

/// Index of a workspace's entry.
pub(crate) type ShareIndex = usize;

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    /// Seconds of work.
    served: f64,
    /// Requests that wait.
    waiting: u32,
}

/// Served work by workspace.
#[derive(Clone, Debug)]
pub(crate) struct Shares {
    indices: HashMap<Workspace, ShareIndex>,
    /// The first entry is for requests without a workspace, and for workspaces beyond the maximum.
    shares: Vec<Share>,
    halved_at: Moment,
}

impl Default for Shares {
    fn default() -> Self {
        Self {
            indices: HashMap::new(),
            shares: vec![Share::default()],
            halved_at: Moment::ZERO,
        }
    }
}

impl Shares {
    pub(crate) fn index(&mut self, workspace: Option<&Workspace>) -> ShareIndex {
        let Some(workspace) = workspace else {
            return 0;
        };
        if let Some(index) = self.indices.get(workspace) {
            return *index;
        }
        if self.shares.len() > MAX_WORKSPACES {
            return 0;
        }
        self.shares.push(Share::default());
        let index = self.shares.len() - 1;
        self.indices.insert(workspace.clone(), index);
        index
    }

    /// Forgets a part of the served work as time passes.
    pub(crate) fn refresh(&mut self, now: Moment) {
        let half_lives = now.saturating_sub(self.halved_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        if half_lives < 1.0 {
            return;
        }
        let factor = 0.5_f64.powf(half_lives);
        for share in &mut self.shares {
            share.served *= factor;
        }
        self.halved_at = now;
    }

    pub(crate) fn record_served(&mut self, index: ShareIndex, work: Duration) {
        self.shares[index].served += work.as_secs_f64();
    }

    pub(crate) fn record_waiting(&mut self, index: ShareIndex) {
        self.shares[index].waiting += 1;
    }

    pub(crate) fn record_left(&mut self, index: ShareIndex) {
        self.shares[index].waiting = self.shares[index].waiting.saturating_sub(1);
    }

    /// Mean served work of the workspaces that have requests waiting.
    pub(crate) fn mean(&self) -> f64 {
        let active = self.shares.iter().filter(|share| share.waiting > 0);
        let (count, sum) = active.fold((0, 0.0), |(count, sum), share| {
            (count + 1, sum + share.served)
        });
        sum / f64::from(count.max(1))
    }

    /// How far a workspace is above this mean: 0 up to the mean, 1 up to twice the mean and so on. Smaller
    /// differences don't count, or they would outweigh everything that is compared after the share.
    pub(crate) fn level(&self, index: ShareIndex, mean: f64) -> u8 {
        if mean <= 0.0 {
            return 0;
        }
        let ratio = self.shares[index].served / mean;
        (ratio.ceil() - 1.0).clamp(0.0, f64::from(MAX_LEVEL)) as u8
    }
}
