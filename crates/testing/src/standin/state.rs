//! State shared by all connections of a stand-in.

use std::collections::hash_map::RandomState;
use std::fs::File;
use std::hash::{BuildHasher, Hasher};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, watch};

use super::payload::Payload;
use super::record::{ObservedRequest, Recorder};
use super::script::{Fault, Rule, Script, When};

/// Whether the stand-in serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Life {
    Up,
    Down,
    Ended,
}

/// Content of an answer. The last one is kept, to be sent for a later request under
/// [`Fault::Crossed`].
#[derive(Clone, Debug)]
pub(super) struct AnswerContent {
    pub(super) payload: Payload,
    pub(super) bytes: u64,
    pub(super) request_id: String,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) name: String,
    pub(super) recorder: Arc<Recorder>,
    /// Notified each time a slot may have become free.
    pub(super) freed: Notify,
    pub(super) last_answer: Mutex<Option<AnswerContent>>,
    pub(super) last_health: Mutex<Option<String>>,
    script: Mutex<Script>,
    incarnation: Mutex<u64>,
    life: watch::Sender<Life>,
    ends_process: bool,
}

impl State {
    pub(super) fn new(name: &str, journal: Option<File>) -> Self {
        Self {
            name: name.to_owned(),
            recorder: Arc::new(Recorder::with_journal(journal)),
            freed: Notify::new(),
            last_answer: Mutex::default(),
            last_health: Mutex::default(),
            script: Mutex::default(),
            incarnation: Mutex::new(random_incarnation()),
            life: watch::Sender::new(Life::Up),
            ends_process: false,
        }
    }

    pub(super) fn ends_process_on_crash(mut self) -> Self {
        self.ends_process = true;
        self
    }

    pub(super) fn script(&self, change: impl FnOnce(&mut Script)) {
        change(&mut lock(&self.script));
        self.freed.notify_waiters();
    }

    pub(super) fn read<T>(&self, view: impl FnOnce(&Script) -> T) -> T {
        view(&lock(&self.script))
    }

    /// The fault for a request; `None` if no rule matches. Counts as one use of the rule.
    pub(super) fn fault(&self, request: &ObservedRequest, body: &[u8]) -> Option<Fault> {
        let mut script = lock(&self.script);
        let rules = &mut script.rules;
        let index = rules
            .iter()
            .position(|rule| rule.times != Some(0) && rule_matches(rule, request, body))?;
        let rule = &mut rules[index];
        rule.times = rule.times.map(|times| times - 1);
        Some(rule.fault.clone())
    }

    pub(super) fn incarnation(&self) -> u64 {
        *lock(&self.incarnation)
    }

    pub(super) fn life(&self) -> watch::Receiver<Life> {
        self.life.subscribe()
    }

    pub(super) fn is_down(&self) -> bool {
        *self.life.borrow() == Life::Down
    }

    pub(super) fn crash(&self) {
        if self.ends_process {
            std::process::abort();
        }
        self.set_life(Life::Down);
    }

    pub(super) fn restart(&self) {
        *lock(&self.incarnation) = random_incarnation();
        self.set_life(Life::Up);
    }

    pub(super) fn end(&self) {
        self.set_life(Life::Ended);
    }

    fn set_life(&self, life: Life) {
        self.life.send_if_modified(|now| {
            let changes = *now != life && *now != Life::Ended;
            if changes {
                *now = life;
            }
            changes
        });
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn rule_matches(rule: &Rule, request: &ObservedRequest, body: &[u8]) -> bool {
    match &rule.when {
        When::Any => true,
        When::Method(method) => request.method == *method,
        When::Path(prefix) => request.path.starts_with(prefix),
        When::Key(key) => request.key == *key,
        When::Body(text) => String::from_utf8_lossy(body).contains(text),
    }
}

/// A random number other than zero; the standard library seeds its hash keys randomly.
fn random_incarnation() -> u64 {
    RandomState::new().build_hasher().finish() | 1
}
