//! Dispatch of messages from other processes to the duties of an entry.

use filberthead_peer::{Body, Deliver, Origin};
use filberthead_ring::{Receiver, Sender, ring};

/// Capacity of a duty's mailbox. It fills only when the duty is starved; further messages
/// are dropped, because every protocol resends what needs an answer.
const MAILBOX_CAPACITY: usize = 1024;

/// A message and its sender.
#[derive(Debug)]
pub(crate) struct IncomingMessage {
    /// The sending process.
    pub(crate) origin: Origin,
    /// The message itself.
    pub(crate) body: Body,
}

/// The receiving ends, one for each duty that receives messages.
#[derive(Debug)]
pub(crate) struct Mailboxes {
    /// Spread protocol (table versions, members) and discovery of control replicas.
    pub(crate) state: Receiver<IncomingMessage>,
    /// Steering (shares, readings) and quarantined requests.
    pub(crate) steering: Receiver<IncomingMessage>,
    /// Ledger protocol: at-most-once records.
    #[allow(dead_code, reason = "the ledger duty isn't assembled yet")]
    pub(crate) ledger: Receiver<IncomingMessage>,
    /// Counts reported by other entries of the failure domain.
    pub(crate) samples: Receiver<IncomingMessage>,
}

/// Puts each message into its protocol's mailbox, on the transport's thread.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    state: Sender<IncomingMessage>,
    steering: Sender<IncomingMessage>,
    ledger: Sender<IncomingMessage>,
    samples: Sender<IncomingMessage>,
}

/// Creates a dispatcher and the mailboxes that it fills.
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
        // A full mailbox drops the message; see `MAILBOX_CAPACITY`.
        let _ = tx.push(IncomingMessage { origin, body });
    }
}
