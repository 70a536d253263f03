//! News that is too long to be sent at once.
//!
//! The load it answers: a table of thousands of routes takes a gateway's link for a second,
//! and everything else that the gateway receives waits behind it: news of endpoints that
//! leave, requests, answers. So a replica sends the first part only, and the gateway asks
//! for the others, a few at a time. What waits on its link is bounded by those few, and a
//! link that is busy with requests slows the transfer down and not the requests.
//!
//! Parts are named by a digest of the whole, so that parts of different news never mix,
//! whoever sent them.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_types::Moment;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Message, Part, Revision, Revisions};

/// Bytes of a part.
const PART_BYTES: usize = 8 * 1024;
/// Parts that a gateway has asked for and not yet received, at most.
const WINDOW: usize = 2;
/// Parts of the longest news that is taken in.
const MAX_PARTS: u32 = 1024;
/// Time without a part after which the missing ones are asked for again.
const PART_TIMEOUT: Duration = Duration::from_millis(600);
/// How often parts are asked for again before the transfer is given up.
const MAX_RETRIES: u32 = 2;
/// How long a replica keeps news that nobody asks for any more.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Age up to which the same bytes are sent to further gateways. They hold times that pass.
const REUSE_WINDOW: Duration = Duration::from_secs(1);

/// News that is being sent.
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

/// The long news that a replica sends.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutgoingTransfers(Vec<Outgoing>);

impl OutgoingTransfers {
    /// What to send to a gateway that holds `from` and lacks this news: the news itself, or
    /// its first part.
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
        // What can't be encoded is left to the transport, which says so.
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

    /// A part, if the news is still held.
    pub(crate) fn part(&mut self, now: Moment, digest: u64, index: u32) -> Option<Message> {
        let outgoing = self
            .0
            .iter_mut()
            .find(|outgoing| outgoing.digest == digest)?;
        outgoing.last_used = now;
        outgoing.part(index)
    }
}

/// News of which some parts are here.
#[derive(Clone, Debug)]
struct Incoming {
    from: SocketAddr,
    revision: Revision,
    digest: u64,
    parts: Vec<Option<Vec<u8>>>,
    /// Parts that were asked for, from the first.
    pulled: usize,
    /// When a part last came or was last asked for again.
    last_activity: Moment,
    retries: u32,
}

/// What came of a part.
#[derive(Debug, PartialEq)]
pub(crate) enum PartOutcome {
    /// Ask for these parts.
    Pull(Vec<Message>),
    /// It was the last one; this is the news.
    Complete(Box<Message>),
    /// It is of no use.
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

    /// Asks for further parts, as far as the window allows.
    fn pull_more(&mut self) -> Vec<Message> {
        let missing = self.missing().len();
        let additional = WINDOW.saturating_sub(missing);
        let first = self.pulled;
        self.pulled = (first + additional).min(self.parts.len());
        (first..self.pulled)
            .map(|index| self.pull_part(index))
            .collect()
    }

    /// Parts that were asked for and aren't here.
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

/// The long news that a gateway receives: of routes and of endpoints, one each at most.
#[derive(Clone, Debug, Default)]
pub(crate) struct IncomingTransfers(VecDeque<Incoming>);

impl IncomingTransfers {
    /// Raises `have` to `theirs` where news is on its way already, so that it isn't asked for
    /// meanwhile. What came after it is asked for when it is here.
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

    /// Gives up transfers of what is held by now.
    pub(crate) fn cancel_superseded(&mut self, revisions: &Revisions) {
        self.0
            .retain(|incoming| revisions.is_older_than(incoming.revision));
    }

    /// Takes in a part of news that isn't held yet.
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

    /// Asks again for parts that are overdue. Who doesn't send them is given up, and the
    /// news is asked for anew, of whoever speaks of it next.
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
