//! Prefixes that are handed out, closed and dropped.

use filberthead_types::Moment;

use super::{Cx, Need, Wait};
use crate::home::Home;
use crate::{Generation, Marks, Op};

impl Home {
    pub(super) fn set_marks(&mut self, marks: Marks) -> Option<Need> {
        self.raise_marks(marks);
        let marks = self.marks;
        let primary = self.primary_mut()?;
        let need = primary.commit(Op::Marks(marks));
        primary.marks_need = need;
        need
    }

    /// Starts no further key of any prefix handed out so far.
    pub(crate) fn close_all(&mut self, cx: &Cx<'_>) {
        if self.marks.open_from == self.marks.end {
            return;
        }
        let marks = Marks {
            open_from: self.marks.end,
            ..self.marks
        };
        self.set_marks(marks);
        let end = self.marks.end;
        if let Some(primary) = self.primary_mut() {
            primary.minted = None;
            primary.superseded.push_back((end, cx.now));
        }
    }

    /// Hands out a new prefix, once the backup knows of it.
    pub(crate) fn mint(&mut self, cx: &mut Cx<'_>) {
        let generation = self.marks.end;
        let marks = Marks {
            end: generation.next(),
            ..self.marks
        };
        let need = self.set_marks(marks);
        self.after(cx, need, Wait::Mint(generation));
    }

    pub(super) fn minted(&mut self, now: Moment, generation: Generation) {
        let open = generation >= self.marks.open_from;
        if let Some(primary) = self.primary_mut() {
            primary.superseded.push_back((generation, now));
            primary.minted = open.then_some((generation, now));
        }
    }

    /// Whether a new prefix is on its way to being handed out.
    pub(crate) fn is_minting(&self) -> bool {
        let minting = |wait: &(Need, Wait)| matches!(wait.1, Wait::Mint(_));
        self.primary().is_some_and(|h| h.waits.iter().any(minting))
    }

    /// Closes and drops periods whose time has come.
    pub(crate) fn age(&mut self, cx: &Cx<'_>) {
        let lowest_live = self.lowest_live();
        let mut marks = self.marks;
        let Some(primary) = self.primary_mut() else {
            return;
        };
        let closes_after = cx.cfg.start_window;
        let drops_after = closes_after + cx.cfg.retention;
        for (below, at) in &primary.superseded {
            if *at + closes_after <= cx.now {
                marks.open_from = marks.open_from.max(*below);
            }
            if *at + drops_after <= cx.now {
                let floor = lowest_live.map_or(*below, |live| live.min(*below));
                marks.floor = marks.floor.max(floor);
            }
        }
        let floor = marks.floor;
        primary.superseded.retain(|(below, _)| *below > floor);
        if marks != self.marks {
            self.set_marks(marks);
        }
    }
}
