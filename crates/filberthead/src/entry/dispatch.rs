//! Messages of other processes on their way to the duties of an entry.

use filberthead_peer::{Body, Deliver, Origin};
use filberthead_ring::{Receiver, Sender, ring};

/// Messages that wait for a duty. When they are this many the duty is starved, and
/// further ones are dropped: every protocol repeats what it needs answered.
const WAITING: usize = 1024;

/// A message and its sender.
#[derive(Debug)]
pub(crate) struct Incoming {
    /// Who sent it.
    pub(crate) origin: Origin,
    /// What it says.
    pub(crate) body: Body,
}

/// Where messages of each protocol come out.
#[derive(Debug)]
pub(crate) struct Mailboxes {
    /// Table versions, members, control replicas.
    pub(crate) state: Receiver<Incoming>,
    /// Shares, readings, and requests that crash endpoints.
    pub(crate) steering: Receiver<Incoming>,
    /// At-most-once records.
    #[allow(dead_code, reason = "the ledger duty isn't assembled yet")]
    pub(crate) ledger: Receiver<Incoming>,
    /// What other entries of the failure domain have counted.
    pub(crate) samples: Receiver<Incoming>,
}

/// Sorts messages by protocol, on the transport's thread.
#[derive(Debug)]
pub(crate) struct Sorter {
    state: Sender<Incoming>,
    steering: Sender<Incoming>,
    ledger: Sender<Incoming>,
    samples: Sender<Incoming>,
}

/// Makes a connected pair.
pub(crate) fn sorter() -> (Sorter, Mailboxes) {
    let (state, state_rx) = ring(WAITING);
    let (steering, steering_rx) = ring(WAITING);
    let (ledger, ledger_rx) = ring(WAITING);
    let (samples, samples_rx) = ring(WAITING);
    let sorter = Sorter {
        state,
        steering,
        ledger,
        samples,
    };
    let mailboxes = Mailboxes {
        state: state_rx,
        steering: steering_rx,
        ledger: ledger_rx,
        samples: samples_rx,
    };
    (sorter, mailboxes)
}

impl Deliver for Sorter {
    fn deliver(&mut self, origin: Origin, body: Body) {
        let tx = match &body {
            Body::Spread(_) | Body::Hello(_) => &self.state,
            Body::Steer(_) | Body::Quarantine(_) => &self.steering,
            Body::Ledger(_) => &self.ledger,
            Body::Samples(_) => &self.samples,
            Body::Consensus(_) | Body::Fleet(_) => return,
        };
        // A message that finds its ring full is dropped; see `WAITING`.
        let _ = tx.push(Incoming { origin, body });
    }
}
