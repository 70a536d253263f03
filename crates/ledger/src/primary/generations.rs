//! Generations: prefixes are issued, closed and, with their records, dropped.

use filberthead_types::Moment;

use super::{Cx, Durability, Pending};
use crate::home::Home;
use crate::{Generation, Op, Watermarks};

impl Home {
    pub(super) fn set_watermarks(&mut self, watermarks: Watermarks) -> Option<Durability> {
        self.raise_watermarks(watermarks);
        let watermarks = self.watermarks;
        let primary = self.primary_mut()?;
        let durability = primary.log_op(Op::Watermarks(watermarks));
        primary.watermarks_durability = durability;
        durability
    }

    /// Closes every generation issued so far: no further key of them starts.
    pub(crate) fn close_all(&mut self, cx: &Cx<'_>) {
        if self.watermarks.open_from == self.watermarks.unissued_from {
            return;
        }
        let watermarks = Watermarks {
            open_from: self.watermarks.unissued_from,
            ..self.watermarks
        };
        self.set_watermarks(watermarks);
        let unissued_from = self.watermarks.unissued_from;
        if let Some(primary) = self.primary_mut() {
            primary.issued = None;
            primary.superseded.push_back((unissued_from, cx.now));
        }
    }

    /// Issues a new prefix, which is handed out once the watermark for it is durable.
    pub(crate) fn issue_prefix(&mut self, cx: &mut Cx<'_>) {
        let generation = self.watermarks.unissued_from;
        let watermarks = Watermarks {
            unissued_from: generation.next(),
            ..self.watermarks
        };
        let durability = self.set_watermarks(watermarks);
        self.when_durable(cx, durability, Pending::Issue(generation));
    }

    /// Hands out the prefix of a generation whose watermark is durable.
    pub(super) fn issued(&mut self, now: Moment, generation: Generation) {
        let open = generation >= self.watermarks.open_from;
        if let Some(primary) = self.primary_mut() {
            primary.superseded.push_back((generation, now));
            primary.issued = open.then_some((generation, now));
        }
    }

    /// Whether a new prefix waits to become durable.
    pub(crate) fn is_issuing(&self) -> bool {
        let issuing = |pending: &(Durability, Pending)| matches!(pending.1, Pending::Issue(_));
        self.primary()
            .is_some_and(|primary| primary.pending.iter().any(issuing))
    }

    /// Closes and drops generations whose time is over.
    pub(crate) fn expire_generations(&mut self, cx: &Cx<'_>) {
        let lowest_active = self.lowest_active();
        let mut watermarks = self.watermarks;
        let Some(primary) = self.primary_mut() else {
            return;
        };
        let closes_after = cx.cfg.start_window;
        let drops_after = closes_after + cx.cfg.retention;
        for (below, at) in &primary.superseded {
            if *at + closes_after <= cx.now {
                watermarks.open_from = watermarks.open_from.max(*below);
            }
            if *at + drops_after <= cx.now {
                let retained_from = lowest_active.map_or(*below, |active| active.min(*below));
                watermarks.retained_from = watermarks.retained_from.max(retained_from);
            }
        }
        let retained_from = watermarks.retained_from;
        primary
            .superseded
            .retain(|(below, _)| *below > retained_from);
        if watermarks != self.watermarks {
            self.set_watermarks(watermarks);
        }
    }
}
