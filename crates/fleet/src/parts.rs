//! Transfer of messages that are too long to be sent at once.
//!
//! A table of thousands of routes occupies a gateway's link for a second, and everything else
//! for the gateway queues behind it: updates about leaving endpoints, requests, responses. So
//! a replica sends only the first part, and the gateway pulls the others, a few at a time.
//! That bounds the queue on its link, and on a link that is busy with requests the transfer
//! slows down instead of the requests.
//!
//! Parts carry a digest of the complete message, so that parts of different messages never
//! mix, whichever replicas sent them.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_types::Moment;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Message, Part, Revision, Revisions};

/// Size of a part.
const PART_BYTES: usize = 8 * 1024;
/// Maximum number of parts that a gateway has pulled and not yet received.
const WINDOW: usize = 2;
/// Longest message that a gateway accepts, in parts.
const MAX_PARTS: u32 = 1024;
/// Time without a part after which the missing ones are pulled again.
const PART_TIMEOUT: Duration = Duration::from_millis(600);
/// How often parts are pulled again before the transfer is abandoned.
const MAX_RETRIES: u32 = 2;
/// How long a replica keeps an encoded message after the last pull.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Age up to which an encoded message is reused for further gateways. It contains remaining
/// times, which become outdated.
const REUSE_WINDOW: Duration = Duration::from_secs(1);

/// A long message that gateways are pulling.
#[derive(Clone, Debug)]
struct Outgoing {
    from: Revision,
    to: Revision,
    digest: u64,
    bytes: Arc<[u8]>,
    encoded_at: Moment,
    last_used: Moment,
}

impl Outgoing {
    fn part(&self, index: u32) -> Option<Message> {
        let count = self.bytes.len().div_ceil(PART_BYTES);
        let bytes = self.bytes.chunks(PART_BYTES).nth(index as usize)?;
        Some(Message::Part(Part {
            digest: self.digest,
            revision: self.to,
            index,
            count: u32::try_from(count).ok()?,
            bytes: bytes.to_vec(),
        }))
    }
}

/// The long messages that a replica is sending.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutgoingTransfers(Vec<Outgoing>);

impl OutgoingTransfers {
    /// What to send to a gateway that holds `from` and needs `message`: the message itself, or
    /// its first part if it is too long.
    pub(crate) fn begin(&mut self, now: Moment, from: Revision, message: Message) -> Message {
        self.0
            .retain(|outgoing| now < outgoing.last_used + IDLE_TIMEOUT);
        let Some(to) = message.revision() else {
            return message;
        };
        let is_same = |outgoing: &&mut Outgoing| {
            outgoing.from == from && outgoing.to == to && now < outgoing.encoded_at + REUSE_WINDOW
        };
        if let Some(outgoing) = self.0.iter_mut().find(is_same) {
            outgoing.last_used = now;
            return outgoing.part(0).unwrap_or(message);
        }
        // A message that can't be encoded is returned as it is: the transport reports the error.
        let bytes = postcard::to_stdvec(&message).unwrap_or_default();
        if bytes.len() <= PART_BYTES {
            return message;
        }
        let outgoing = Outgoing {
            from,
            to,
            digest: xxh3_64(&bytes),
            bytes: bytes.into(),
            encoded_at: now,
            last_used: now,
        };
        let first = outgoing.part(0);
        self.0.push(outgoing);
        first.unwrap_or(message)
    }

    /// The part, if the message is still kept.
    pub(crate) fn part(&mut self, now: Moment, digest: u64, index: u32) -> Option<Message> {
        let outgoing = self
            .0
            .iter_mut()
            .find(|outgoing| outgoing.digest == digest)?;
        outgoing.last_used = now;
        outgoing.part(index)
    }
}

/// A long message of which some parts have been received.
#[derive(Clone, Debug)]
struct Incoming {
    from: SocketAddr,
    revision: Revision,
    digest: u64,
    parts: Vec<Option<Vec<u8>>>,
    /// Number of parts pulled so far, counted from the first.
    pulled: usize,
    /// When a part was last received or pulled again.
    last_activity: Moment,
    retries: u32,
}

/// Result of receiving a part.
#[derive(Debug, PartialEq)]
pub(crate) enum PartOutcome {
    /// Accepted; pull these parts next.
    Pull(Vec<Message>),
    /// It was the last missing part; this is the message.
    Complete(Box<Message>),
    /// It is a duplicate, belongs to no transfer, or the message is damaged.
    Rejected,
}

impl Incoming {
    fn begin(now: Moment, from: SocketAddr, part: &Part) -> Self {
        Self {
            from,
            revision: part.revision,
            digest: part.digest,
            parts: vec![None; part.count as usize],
            pulled: 1,
            last_activity: now,
            retries: 0,
        }
    }

    fn accept(&mut self, now: Moment, part: Part) -> PartOutcome {
        let Some(slot) = self.parts.get_mut(part.index as usize) else {
            return PartOutcome::Rejected;
        };
        if slot.replace(part.bytes).is_some() {
            return PartOutcome::Rejected;
        }
        self.last_activity = now;
        self.retries = 0;
        if self.parts.iter().all(Option::is_some) {
            return self.assemble();
        }
        PartOutcome::Pull(self.pull_more())
    }

    /// Pulls further parts, as far as the window allows.
    fn pull_more(&mut self) -> Vec<Message> {
        let missing = self.missing().len();
        let additional = WINDOW.saturating_sub(missing);
        let first = self.pulled;
        self.pulled = (first + additional).min(self.parts.len());
        (first..self.pulled)
            .map(|index| self.pull_part(index))
            .collect()
    }

    /// Parts that were pulled and haven't been received.
    fn missing(&self) -> Vec<usize> {
        let pulled = self.parts.iter().take(self.pulled).enumerate();
        let missing = pulled.filter(|(_, part)| part.is_none());
        missing.map(|(index, _)| index).collect()
    }

    fn pull_part(&self, index: usize) -> Message {
        Message::PullPart {
            digest: self.digest,
            index: index as u32,
        }
    }

    fn assemble(&self) -> PartOutcome {
        let parts: Vec<&[u8]> = self.parts.iter().flatten().map(Vec::as_slice).collect();
        let bytes = parts.concat();
        if xxh3_64(&bytes) != self.digest {
            return PartOutcome::Rejected;
        }
        match postcard::from_bytes(&bytes) {
            Ok(message) => PartOutcome::Complete(Box::new(message)),
            Err(_) => PartOutcome::Rejected,
        }
    }
}

/// The long messages that a gateway is receiving: at most one of routes and one of endpoints.
#[derive(Clone, Debug, Default)]
pub(crate) struct IncomingTransfers(VecDeque<Incoming>);

impl IncomingTransfers {
    /// Raises `revisions` to `wanted` where a transfer is already running, so that nothing is
    /// pulled twice. Newer state is pulled once that transfer is complete.
    pub(crate) fn with_pending(&self, revisions: &Revisions, wanted: &Revisions) -> Revisions {
        let mut expected = *revisions;
        for incoming in &self.0 {
            match incoming.revision {
                Revision::Routes(_) => expected.routes = expected.routes.max(wanted.routes),
                Revision::Endpoints(_) => {
                    expected.endpoints = expected.endpoints.max(wanted.endpoints);
                }
            }
        }
        expected
    }

    /// Drops transfers of state that is no longer newer than `revisions`.
    pub(crate) fn cancel_superseded(&mut self, revisions: &Revisions) {
        self.0
            .retain(|incoming| revisions.is_older_than(incoming.revision));
    }

    /// Accepts a part of a message that is newer than the state held.
    pub(crate) fn accept(&mut self, now: Moment, from: SocketAddr, part: Part) -> PartOutcome {
        let has_digest = |incoming: &Incoming| incoming.digest == part.digest;
        let index = match self.0.iter().position(has_digest) {
            Some(index) => index,
            None if self.may_begin(&part) => {
                self.0.push_back(Incoming::begin(now, from, &part));
                self.0.len() - 1
            }
            None => return PartOutcome::Rejected,
        };
        let outcome = self.0[index].accept(now, part);
        let is_complete = self.0[index].parts.iter().all(Option::is_some);
        if is_complete {
            self.0.remove(index);
        }
        outcome
    }

    fn may_begin(&self, part: &Part) -> bool {
        let same_kind = |incoming: &Incoming| {
            std::mem::discriminant(&incoming.revision) == std::mem::discriminant(&part.revision)
        };
        part.index == 0 && part.count <= MAX_PARTS && !self.0.iter().any(same_kind)
    }

    /// Pulls overdue parts again. After too many retries a transfer is abandoned, and the
    /// message is pulled anew from the next replica that announces it.
    pub(crate) fn tick(&mut self, now: Moment) -> Vec<(SocketAddr, Message)> {
        let overdue = |incoming: &Incoming| now >= incoming.last_activity + PART_TIMEOUT;
        self.0
            .retain(|incoming| !overdue(incoming) || incoming.retries < MAX_RETRIES);
        let mut out = Vec::new();
        for incoming in self.0.iter_mut().filter(|incoming| overdue(incoming)) {
            incoming.retries += 1;
            incoming.last_activity = now;
            let pulls = incoming
                .missing()
                .into_iter()
                .map(|i| incoming.pull_part(i));
            out.extend(pulls.map(|pull| (incoming.from, pull)));
        }
        out
    }
}
