//! Claims of entries to take over a home of idempotency keys.

use std::net::SocketAddr;

use filberthead_consensus::{Event, Proposal};
use filberthead_ledger::{Claim, Message};
use filberthead_peer::{Body, Origin};
use log::{info, warn};

use super::core::{Core, Pending};
use super::machine::Entry;

/// Most claims whose result isn't committed yet. Further ones are dropped; an entry repeats its
/// claim until it receives the result.
const MAX_PENDING: usize = 1024;

impl Core {
    /// Replies to a claim with its result, or proposes the claim if there is none yet.
    ///
    /// A result that was applied here is committed and never changes, so a replica may send it
    /// without holding the lease.
    pub(super) async fn handle_claim(&mut self, origin: &Origin, claim: Claim) {
        if self.send_claim_result(origin.addr, &claim) || !self.has_room_for(&claim) {
            return;
        }
        let Ok(buf) = postcard::to_stdvec(&Entry::Claim(claim.clone())) else {
            warn!("can't encode a claim");
            return;
        };
        let to = origin.addr;
        let token = self.add_pending(Pending::Claim { to, claim });
        let proposal = Proposal::Command(buf);
        self.step(Event::Propose { token, proposal }).await;
    }

    /// Sends the result of a claim, if there is one. Returns whether there is.
    pub(super) fn send_claim_result(&mut self, to: SocketAddr, claim: &Claim) -> bool {
        let Some(claim_result) = self.machine.claim_results.get(claim) else {
            return false;
        };
        info!(home:% = claim_result.home, config = claim_result.epoch.0,
            winner = claim_result.winner.0;
            "result sent for a claim on a home");
        self.send(to, Body::Ledger(Message::ClaimResult(claim_result)));
        true
    }

    /// Whether a claim may be proposed: it isn't pending already, and not too many others are.
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
