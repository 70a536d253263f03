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
const PART_OVERDUE: Duration = Duration::from_millis(600);
/// How often parts are asked for again before the transfer is given up.
const MAX_REPEATS: u32 = 2;
/// How long a replica keeps news that nobody asks for any more.
const KEPT_FOR: Duration = Duration::from_secs(5);
/// Age up to which the same bytes are sent to further gateways. They hold times that pass.
const FRESH_FOR: Duration = Duration::from_secs(1);

/// News that is being sent.
#[derive(Clone, Debug)]
struct Outgoing {
    from: Revision,
    to: Revision,
    digest: u64,
    bytes: Arc<[u8]>,
    made: Moment,
    used: Moment,
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
pub(crate) struct Sending(Vec<Outgoing>);

impl Sending {
    /// What to send to a gateway that holds `from` and lacks this news: the news itself, or
    /// its first part.
    pub(crate) fn begin(&mut self, now: Moment, from: Revision, news: Message) -> Message {
        self.0.retain(|sent| now < sent.used + KEPT_FOR);
        let Some(to) = news.revision() else {
            return news;
        };
        let same = |sent: &&mut Outgoing| {
            sent.from == from && sent.to == to && now < sent.made + FRESH_FOR
        };
        if let Some(sent) = self.0.iter_mut().find(same) {
            sent.used = now;
            return sent.part(0).unwrap_or(news);
        }
        // What can't be encoded is left to the transport, which says so.
        let bytes = postcard::to_stdvec(&news).unwrap_or_default();
        if bytes.len() <= PART_BYTES {
            return news;
        }
        let sent = Outgoing {
            from,
            to,
            digest: xxh3_64(&bytes),
            bytes: bytes.into(),
            made: now,
            used: now,
        };
        let first = sent.part(0);
        self.0.push(sent);
        first.unwrap_or(news)
    }

    /// A part, if the news is still held.
    pub(crate) fn part(&mut self, now: Moment, digest: u64, index: u32) -> Option<Message> {
        let sent = self.0.iter_mut().find(|sent| sent.digest == digest)?;
        sent.used = now;
        sent.part(index)
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
    asked: usize,
    /// When a part last came or was last asked for again.
    at: Moment,
    repeats: u32,
}

/// What came of a part.
#[derive(Debug, PartialEq)]
pub(crate) enum Taken {
    /// Ask for these parts.
    Ask(Vec<Message>),
    /// It was the last one; this is the news.
    Whole(Box<Message>),
    /// It is of no use.
    Useless,
}

impl Incoming {
    fn begin(now: Moment, from: SocketAddr, part: &Part) -> Self {
        Self {
            from,
            revision: part.revision,
            digest: part.digest,
            parts: vec![None; part.count as usize],
            asked: 1,
            at: now,
            repeats: 0,
        }
    }

    fn take(&mut self, now: Moment, part: Part) -> Taken {
        let Some(place) = self.parts.get_mut(part.index as usize) else {
            return Taken::Useless;
        };
        if place.replace(part.bytes).is_some() {
            return Taken::Useless;
        }
        self.at = now;
        self.repeats = 0;
        if self.parts.iter().all(Option::is_some) {
            return self.whole();
        }
        Taken::Ask(self.ask_further())
    }

    /// Asks for further parts, as far as the window allows.
    fn ask_further(&mut self) -> Vec<Message> {
        let missing = self.missing().len();
        let further = WINDOW.saturating_sub(missing);
        let first = self.asked;
        self.asked = (first + further).min(self.parts.len());
        (first..self.asked)
            .map(|index| self.question(index))
            .collect()
    }

    /// Parts that were asked for and aren't here.
    fn missing(&self) -> Vec<usize> {
        let asked = self.parts.iter().take(self.asked).enumerate();
        let missing = asked.filter(|(_, part)| part.is_none());
        missing.map(|(index, _)| index).collect()
    }

    fn question(&self, index: usize) -> Message {
        Message::PullPart {
            digest: self.digest,
            index: index as u32,
        }
    }

    fn whole(&self) -> Taken {
        let parts: Vec<&[u8]> = self.parts.iter().flatten().map(Vec::as_slice).collect();
        let bytes = parts.concat();
        if xxh3_64(&bytes) != self.digest {
            return Taken::Useless;
        }
        match postcard::from_bytes(&bytes) {
            Ok(news) => Taken::Whole(Box::new(news)),
            Err(_) => Taken::Useless,
        }
    }
}

/// The long news that a gateway receives: of routes and of endpoints, one each at most.
#[derive(Clone, Debug, Default)]
pub(crate) struct Receiving(VecDeque<Incoming>);

impl Receiving {
    /// Raises `have` to `theirs` where news is on its way already, so that it isn't asked for
    /// meanwhile. What came after it is asked for when it is here.
    pub(crate) fn covers(&self, revisions: &Revisions, theirs: &Revisions) -> Revisions {
        let mut covered = *revisions;
        for incoming in &self.0 {
            match incoming.revision {
                Revision::Routes(_) => covered.routes = covered.routes.max(theirs.routes),
                Revision::Endpoints(_) => {
                    covered.endpoints = covered.endpoints.max(theirs.endpoints);
                }
            }
        }
        covered
    }

    /// Gives up transfers of what is held by now.
    pub(crate) fn forget_held(&mut self, revisions: &Revisions) {
        self.0
            .retain(|incoming| revisions.is_before(incoming.revision));
    }

    /// Takes in a part of news that isn't held yet.
    pub(crate) fn take(&mut self, now: Moment, from: SocketAddr, part: Part) -> Taken {
        let known = |incoming: &Incoming| incoming.digest == part.digest;
        let place = match self.0.iter().position(known) {
            Some(place) => place,
            None if self.may_begin(&part) => {
                self.0.push_back(Incoming::begin(now, from, &part));
                self.0.len() - 1
            }
            None => return Taken::Useless,
        };
        let taken = self.0[place].take(now, part);
        let done = self.0[place].parts.iter().all(Option::is_some);
        if done {
            self.0.remove(place);
        }
        taken
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
        let overdue = |incoming: &Incoming| now >= incoming.at + PART_OVERDUE;
        self.0
            .retain(|incoming| !overdue(incoming) || incoming.repeats < MAX_REPEATS);
        let mut out = Vec::new();
        for incoming in self.0.iter_mut().filter(|incoming| overdue(incoming)) {
            incoming.repeats += 1;
            incoming.at = now;
            let questions = incoming.missing().into_iter().map(|i| incoming.question(i));
            out.extend(questions.map(|question| (incoming.from, question)));
        }
        out
    }
}
