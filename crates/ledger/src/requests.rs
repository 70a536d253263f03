//! Requests that wait for a decision or run.

use std::collections::{BTreeMap, BTreeSet};

use filberthead_types::Moment;

use crate::{Generation, HomeId, Token};

/// The key of a running request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RequestKey {
    pub(crate) home: HomeId,
    pub(crate) generation: Generation,
    pub(crate) suffix: Box<str>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Waiting {
    deadline: Moment,
}

/// Every request that is still to be decided, or that runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Requests {
    waiting: BTreeMap<Token, Waiting>,
    deadlines: BTreeSet<(Moment, Token)>,
    running: BTreeMap<Token, RequestKey>,
}

impl Requests {
    pub(crate) fn wait(&mut self, token: Token, deadline: Moment) {
        self.waiting.insert(token, Waiting { deadline });
        self.deadlines.insert((deadline, token));
    }

    pub(crate) fn is_waiting(&self, token: Token) -> bool {
        self.waiting.contains_key(&token)
    }

    /// Ends the wait of a request; returns whether it was waiting.
    pub(crate) fn end_wait(&mut self, token: Token) -> bool {
        let Some(waiting) = self.waiting.remove(&token) else {
            return false;
        };
        self.deadlines.remove(&(waiting.deadline, token))
    }

    /// Removes and returns a waiting request whose deadline has passed.
    pub(crate) fn pop_expired(&mut self, now: Moment) -> Option<Token> {
        let (deadline, token) = *self.deadlines.first()?;
        if now < deadline {
            return None;
        }
        self.deadlines.pop_first();
        self.waiting.remove(&token);
        Some(token)
    }

    pub(crate) fn run(&mut self, token: Token, key: RequestKey) {
        self.running.insert(token, key);
    }

    pub(crate) fn end_run(&mut self, token: Token) -> Option<RequestKey> {
        self.running.remove(&token)
    }

    pub(crate) fn any_running(&self) -> bool {
        !self.running.is_empty()
    }
}
