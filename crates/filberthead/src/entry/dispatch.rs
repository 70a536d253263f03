//! Messages of other processes on their way to the duties of an entry.

use filberthead_peer::{Body, Deliver, Origin};
use filberthead_ring::{Receiver, Sender, ring};

/// Messages that wait for a duty. When they are this many the duty is starved, and
/// further ones are dropped: every protocol repeats what it needs answered.
const MAILBOX_CAPACITY: usize = 1024;

/// A message and its sender.
#[derive(Debug)]
pub(crate) struct IncomingMessage {
    /// Who sent it.
    pub(crate) origin: Origin,
    /// What it says.
    pub(crate) body: Body,
}

/// Where messages of each protocol come out.
#[derive(Debug)]
pub(crate) struct Mailboxes {
    /// Table versions, members, control replicas.
    pub(crate) state: Receiver<IncomingMessage>,
    /// Shares, readings, and requests that crash endpoints.
    pub(crate) steering: Receiver<IncomingMessage>,
    /// At-most-once records.
    #[allow(dead_code, reason = "the ledger duty isn't assembled yet")]
    pub(crate) ledger: Receiver<IncomingMessage>,
    /// What other entries of the failure domain have counted.
    pub(crate) samples: Receiver<IncomingMessage>,
}

/// Sorts messages by protocol, on the transport's thread.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    state: Sender<IncomingMessage>,
    steering: Sender<IncomingMessage>,
    ledger: Sender<IncomingMessage>,
    samples: Sender<IncomingMessage>,
}

/// Makes a connected pair.
pub(crate) fn dispatcher() -> (Dispatcher, Mailboxes) {
    let (state, state_rx) = ring(MAILBOX_CAPACITY);
    let (steering, steering_rx) = ring(MAILBOX_CAPACITY);
    let (ledger, ledger_rx) = ring(MAILBOX_CAPACITY);
    let (samples, samples_rx) = ring(MAILBOX_CAPACITY);
    let dispatcher = Dispatcher {
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
    (dispatcher, mailboxes)
}

impl Deliver for Dispatcher {
    fn deliver(&mut self, origin: Origin, body: Body) {
        let tx = match &body {
            Body::Spread(_) | Body::Hello(_) => &self.state,
            Body::Steer(_) | Body::Quarantine(_) => &self.steering,
            Body::Ledger(_) => &self.ledger,
            Body::Samples(_) => &self.samples,
            Body::Consensus(_) | Body::Fleet(_) => return,
        };
        // A message that finds its ring full is dropped; see `MAILBOX_CAPACITY`.
        let _ = tx.push(IncomingMessage { origin, body });
    }
}
