//! Bound on the memory of all buffered responses, from when they are read until their callers have taken them.
//!
//! A response of a known length is buffered only if there is room for all of it; the others are streamed, which
//! takes little memory however slowly endpoints send and callers read. Responses without a known length share the
//! rest. When that is exceeded, one that its caller doesn't take is dropped with its connection, or else the
//! longest that is still read is ended: it is the most likely to have no end, and short ones go on whatever other
//! endpoints send.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Bytes of all buffered responses together.
const MAX_BODY_MEMORY: usize = 48 * 1024 * 1024;
/// The part of them that responses of a known length may take, so that endpoints which send those slowly leave
/// room for the others.
const MAX_SIZED_MEMORY: usize = MAX_BODY_MEMORY / 2;
/// A caller that hasn't taken its response after this time reads slowly or not at all.
const TAKEN_WITHIN: Duration = Duration::from_secs(1);

/// Memory of the responses that are buffered.
#[derive(Debug, Default)]
pub(crate) struct BodyMemory {
    sum: Cell<usize>,
    /// The part of responses of a known length.
    sized: Cell<usize>,
    next_id: Cell<u64>,
    /// Responses without a known length.
    unsized_responses: RefCell<BTreeMap<u64, Buffered>>,
    relief: Cell<Relief>,
}

/// Numbers of responses that weren't buffered until their callers had them, as memory was short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Relief {
    /// Streamed in place of being buffered.
    pub(crate) streamed: u64,
    /// Ended while they were read.
    pub(crate) ended: u64,
    /// Dropped since their callers didn't take them.
    pub(crate) dropped: u64,
}

/// A response without a known length.
struct Buffered {
    bytes: usize,
    state: State,
}

impl std::fmt::Debug for Buffered {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Buffered")
            .field("bytes", &self.bytes)
            .finish_non_exhaustive()
    }
}

enum State {
    /// It is being read; notified when it has to be ended.
    Reading(Rc<Notify>),
    /// It is complete, and not yet given to its caller's connection.
    Complete,
    /// Its caller takes it, since this moment. The function closes the caller's connection.
    Taken(Instant, Box<dyn Fn()>),
}

/// The memory of one response. Dropped, it is free again.
#[derive(Debug)]
pub(crate) struct MemoryShare {
    memory: Rc<BodyMemory>,
    of: ShareOf,
}

#[derive(Debug)]
enum ShareOf {
    /// A response of this many bytes.
    Sized(usize),
    /// A response without a known length.
    Unsized { id: u64, revoked: Rc<Notify> },
}

impl BodyMemory {
    /// Adds a response of this length, or of an unknown one; `None` if there is no room for all of it.
    pub(crate) fn start(self: &Rc<Self>, length: Option<u64>) -> Option<MemoryShare> {
        let of = match length {
            Some(length) => self.reserve(length)?,
            None => self.start_unsized(),
        };
        let memory = Rc::clone(self);
        Some(MemoryShare { memory, of })
    }

    /// Returns what was done since the last call as memory was short.
    pub(crate) fn take_relief(&self) -> Relief {
        self.relief.take()
    }

    /// Bytes of all buffered responses.
    pub(crate) fn used(&self) -> usize {
        self.sum.get()
    }

    fn reserve(&self, length: u64) -> Option<ShareOf> {
        let bytes = usize::try_from(length).ok();
        let fits = |bytes: &usize| {
            self.sized.get().saturating_add(*bytes) <= MAX_SIZED_MEMORY
                && self.sum.get().saturating_add(*bytes) <= MAX_BODY_MEMORY
        };
        let Some(bytes) = bytes.filter(fits) else {
            self.count(|relief| relief.streamed += 1);
            return None;
        };
        self.sized.set(self.sized.get() + bytes);
        self.sum.set(self.sum.get() + bytes);
        Some(ShareOf::Sized(bytes))
    }

    fn start_unsized(&self) -> ShareOf {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let revoked = Rc::new(Notify::new());
        let response = Buffered {
            bytes: 0,
            state: State::Reading(Rc::clone(&revoked)),
        };
        self.unsized_responses.borrow_mut().insert(id, response);
        ShareOf::Unsized { id, revoked }
    }

    /// Ends or drops responses until the others fit.
    fn relieve(&self) {
        while self.sum.get() > MAX_BODY_MEMORY {
            let Some(response) = self.remove_untaken().or_else(|| self.remove_longest()) else {
                return;
            };
            // It doesn't count from here on, or one more would be removed for each piece that comes until its
            // task has run.
            self.sum.set(self.sum.get() - response.bytes);
            match response.state {
                State::Reading(revoked) => {
                    self.count(|relief| relief.ended += 1);
                    revoked.notify_one();
                }
                State::Taken(_, close) => {
                    self.count(|relief| relief.dropped += 1);
                    close();
                }
                State::Complete => {}
            }
        }
    }

    /// Removes the response that its caller has failed to take for longest.
    fn remove_untaken(&self) -> Option<Buffered> {
        let now = Instant::now();
        let mut responses = self.unsized_responses.borrow_mut();
        let untaken = responses.iter().filter_map(|(id, response)| {
            let State::Taken(since, _) = &response.state else {
                return None;
            };
            (now.saturating_duration_since(*since) >= TAKEN_WITHIN).then_some((*since, *id))
        });
        let (_, id) = untaken.min()?;
        responses.remove(&id)
    }

    /// Removes the longest response that is being read.
    fn remove_longest(&self) -> Option<Buffered> {
        let mut responses = self.unsized_responses.borrow_mut();
        let reading = responses
            .iter()
            .filter(|(_, response)| matches!(response.state, State::Reading(_)));
        let (id, _) = reading.max_by_key(|(_, response)| response.bytes)?;
        let id = *id;
        responses.remove(&id)
    }

    fn set_state(&self, id: u64, state: State) {
        if let Some(response) = self.unsized_responses.borrow_mut().get_mut(&id) {
            response.state = state;
        }
    }

    fn count(&self, count: impl FnOnce(&mut Relief)) {
        let mut relief = self.relief.get();
        count(&mut relief);
        self.relief.set(relief);
    }
}

impl MemoryShare {
    /// Sets how many bytes a response takes whose length isn't known.
    pub(crate) fn set(&self, bytes: usize) {
        let ShareOf::Unsized { id, .. } = &self.of else {
            return;
        };
        let memory = &self.memory;
        {
            let mut responses = memory.unsized_responses.borrow_mut();
            let Some(response) = responses.get_mut(id) else {
                return;
            };
            memory.sum.set(memory.sum.get() - response.bytes + bytes);
            response.bytes = bytes;
        }
        memory.relieve();
    }

    /// Waits until the response has to be ended.
    pub(crate) async fn revoked(&self) {
        match &self.of {
            ShareOf::Sized(_) => std::future::pending().await,
            ShareOf::Unsized { revoked, .. } => revoked.notified().await,
        }
    }

    /// The response has been read.
    fn complete(&self) {
        if let ShareOf::Unsized { id, .. } = &self.of {
            self.memory.set_state(*id, State::Complete);
        }
    }

    /// The caller's connection has the response; `close` closes it.
    fn taken(&self, close: impl Fn() + 'static) {
        if let ShareOf::Unsized { id, .. } = &self.of {
            let state = State::Taken(Instant::now(), Box::new(close));
            self.memory.set_state(*id, state);
        }
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        let memory = &self.memory;
        let bytes = match &self.of {
            ShareOf::Sized(bytes) => {
                memory.sized.set(memory.sized.get() - bytes);
                *bytes
            }
            ShareOf::Unsized { id, .. } => {
                let removed = memory.unsized_responses.borrow_mut().remove(id);
                removed.map_or(0, |response| response.bytes)
            }
        };
        memory.sum.set(memory.sum.get() - bytes);
    }
}

/// Bytes of a response's body, and the memory that they take until they are written.
#[derive(Debug, Default)]
pub(crate) struct BodyBytes {
    bytes: Bytes,
    share: Option<MemoryShare>,
}

impl BodyBytes {
    /// A whole body that was read.
    pub(crate) fn new(bytes: Bytes, share: MemoryShare) -> Self {
        share.complete();
        Self {
            bytes,
            share: Some(share),
        }
    }

    /// The caller's connection has the bytes; `close` closes it.
    pub(crate) fn taken(&self, close: impl Fn() + 'static) {
        if let Some(share) = &self.share {
            share.taken(close);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

impl From<Bytes> for BodyBytes {
    /// Bytes that count elsewhere, or not at all.
    fn from(bytes: Bytes) -> Self {
        Self { bytes, share: None }
    }
}

impl Buf for BodyBytes {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}
