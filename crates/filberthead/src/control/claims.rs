//! Claims of entries on homes of idempotency keys.

use std::net::SocketAddr;

use filberthead_consensus::{Event, Proposal};
use filberthead_ledger::{Claim, Message};
use filberthead_peer::{Body, Origin};
use log::{info, warn};

use super::core::{Core, Pending};
use super::machine::Entry;

/// Claims in the log whose verdict isn't committed yet. Further ones are dropped; each
/// is repeated until its verdict has come.
const MAX_PENDING: usize = 1024;

impl Core {
    /// Answers a claim with its verdict, or puts it into the log.
    ///
    /// A verdict that was applied here is committed and never changes, so a replica may
    /// tell it without a lease.
    pub(super) async fn take_claim(&mut self, origin: &Origin, claim: Claim) {
        if self.tell_verdict(origin.addr, &claim) || !self.has_room_for(&claim) {
            return;
        }
        let Ok(buf) = postcard::to_stdvec(&Entry::Claim(claim.clone())) else {
            warn!("a claim can't be encoded");
            return;
        };
        let to = origin.addr;
        let token = self.pend(Pending::Claim { to, claim });
        let proposal = Proposal::Command(buf);
        self.step(Event::Propose { token, proposal }).await;
    }

    /// Sends the verdict on a claim if there is one.
    pub(super) fn tell_verdict(&mut self, to: SocketAddr, claim: &Claim) -> bool {
        let Some(verdict) = self.machine.verdicts.get(claim) else {
            return false;
        };
        info!(home:% = verdict.home, config = verdict.epoch.0, winner = verdict.winner.0;
            "verdict on a home");
        self.send(to, Body::Ledger(Message::ClaimResult(verdict)));
        true
    }

    fn has_room_for(&self, claim: &Claim) -> bool {
        let mut claims = 0;
        for pending in self.pending.values() {
            match pending {
                Pending::Claim { claim: known, .. } if known == claim => return false,
                Pending::Claim { .. } => claims += 1,
                _ => {}
            }
        }
        claims < MAX_PENDING
    }
}
