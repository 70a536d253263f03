//! The step function: passes events on to the homes concerned.

use std::collections::BTreeMap;

use bytes::Bytes;
use filberthead_types::{Incarnation, Meaning, Moment, NodeName, ResultCode};

use crate::home::{Home, Role, Usage};
use crate::outcome::Outcomes;
use crate::primary::{Cx, Primary, refuse};
use crate::requests::Requests;
use crate::route::Parked;
use crate::{
    Action, Config, Decision, Digest, Event, HomeEpoch, HomeId, Key, KeyPrefix, Member, Op, Stage,
    Token,
};

/// At-most-once ledger of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    pub(crate) cfg: Config,
    pub(crate) me: Member,
    pub(crate) homes: BTreeMap<HomeId, Home>,
    /// The home whose prefix is handed out, `None` before the first one is created.
    pub(crate) own: Option<HomeId>,
    pub(crate) next_serial: u32,
    /// The other live entries, `None` until the first [`Event::Members`].
    pub(crate) members: Option<Vec<Member>>,
    /// The last heartbeat of each entry of the failure domain.
    pub(crate) peers: BTreeMap<NodeName, Peer>,
    /// Entries that requests couldn't be forwarded to, and until when they are avoided.
    pub(crate) unreachable: BTreeMap<NodeName, Moment>,
    pub(crate) requests: Requests,
    /// Requests that wait for a primary, by home.
    pub(crate) parked: BTreeMap<HomeId, Vec<Parked>>,
    pub(crate) outcomes: Outcomes,
    pub(crate) stopping: bool,
    pub(crate) created_at: Moment,
    pub(crate) last_tick: Moment,
    /// When the last [`Message::HeldHomes`](crate::Message::HeldHomes) was sent.
    pub(crate) last_announced: Option<Moment>,
    /// Actions of the current step.
    pub(crate) out: Vec<Action>,
}

/// Newest [`Message::HeldHomes`](crate::Message::HeldHomes) of another entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Peer {
    pub(crate) incarnation: Incarnation,
    pub(crate) homes: BTreeMap<HomeId, HomeEpoch>,
    pub(crate) prefix: Option<KeyPrefix>,
}

/// Whether there is space for the record of another key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Capacity {
    /// There is.
    Free,
    /// Not until some of the running keys end.
    Busy,
    /// Not until records expire.
    Full,
}

impl Ledger {
    /// A ledger without any records. `me` must have an incarnation that no other process
    /// ever had, since the identity of the homes created here depends on it.
    pub fn new(now: Moment, cfg: Config, me: Member) -> Self {
        Self {
            cfg,
            me,
            homes: BTreeMap::new(),
            own: None,
            next_serial: 0,
            members: None,
            peers: BTreeMap::new(),
            unreachable: BTreeMap::new(),
            requests: Requests::default(),
            parked: BTreeMap::new(),
            outcomes: Outcomes::default(),
            stopping: false,
            created_at: now,
            last_tick: now,
            last_announced: None,
            out: Vec::new(),
        }
    }

    /// Recovers a home from a journal in the data folder of this process: all operations
    /// that were synced, in order. No other process may use that folder.
    pub fn recover(&mut self, now: Moment, home: HomeId, ops: Vec<Op>) {
        self.homes.insert(home, Home::recover(now, ops));
    }

    /// Processes an event at `now` and returns what to do, in that order.
    pub fn step(&mut self, now: Moment, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Members(members) => self.set_members(now, members),
            Event::Begin {
                token,
                key,
                digest,
                deadline,
                hops,
                failed,
            } => {
                self.mark_unreachable(now, failed);
                self.requests.wait(token, deadline);
                self.begin(now, token, &key, digest, hops);
            }
            Event::Cancel { token } => {
                self.requests.end_wait(token);
            }
            Event::Finished { token, answer } => self.finished(now, token, answer),
            Event::Unknown { token } => self.ended(now, token, Stage::Unknown),
            Event::NotRun { token, code } => self.not_run(now, token, code),
            Event::Received { from, message } => self.received(now, &from, message),
            Event::Synced { home, number } => {
                self.with_home(now, &home, |home, cx| home.synced(cx, number));
            }
            Event::Stop => {
                self.stopping = true;
                self.tick(now);
            }
        }
        self.flush(now);
        std::mem::take(&mut self.out)
    }

    /// The prefix that look-ups hand out now: that of this entry, or of another entry of
    /// the failure domain while this one issues no new keys.
    pub fn prefix(&self) -> Option<KeyPrefix> {
        let own = self.own_prefix();
        own.or_else(|| self.peers.values().find_map(|peer| peer.prefix.clone()))
    }

    pub(crate) fn own_prefix(&self) -> Option<KeyPrefix> {
        let id = self.own.as_ref()?;
        let home = self.homes.get(id)?;
        let primary = home.primary()?;
        if self.stopping || primary.is_handing_over() || primary.is_claiming() {
            return None;
        }
        let (generation, _) = primary.issued?;
        (generation >= home.watermarks.open_from).then(|| KeyPrefix {
            home: id.clone(),
            generation,
        })
    }

    /// Whether a planned stop of this entry may go on: nothing runs here, and each home that
    /// another entry can be primary of has been handed over.
    pub fn is_handed_over(&self) -> bool {
        let alone =
            |primary: &Primary| matches!(primary.backup, crate::primary::BackupState::Absent);
        let homes_done = self.homes.values().all(|home| match &home.role {
            Role::Primary(primary) => alone(primary) && self.candidate().is_none(),
            Role::Backup(_) => false,
            Role::Former { .. } => true,
        });
        homes_done && !self.requests.any_running() && self.outcomes.is_empty()
    }

    /// Number of keys on record here, as primary or copy.
    pub fn keys(&self) -> usize {
        self.homes.values().map(|home| home.usage.keys).sum()
    }

    pub(crate) fn with_home<R>(
        &mut self,
        now: Moment,
        id: &HomeId,
        f: impl FnOnce(&mut Home, &mut Cx<'_>) -> R,
    ) -> Option<R> {
        let home = self.homes.get_mut(id)?;
        let mut cx = Cx {
            now,
            cfg: &self.cfg,
            me: &self.me,
            id,
            requests: &mut self.requests,
            out: &mut self.out,
        };
        Some(f(home, &mut cx))
    }

    pub(crate) fn answer(&mut self, token: Token, decision: Decision) {
        if self.requests.end_wait(token) {
            self.out.push(Action::Decide { token, decision });
        }
    }

    pub(crate) fn begin(&mut self, now: Moment, token: Token, key: &Key, digest: Digest, hops: u8) {
        let id = &key.prefix.home;
        let Some(primary) = self.homes.get(id).and_then(Home::primary) else {
            return self.begin_elsewhere(token, key, digest, hops);
        };
        let on_record = self.is_on_record(key);
        if let Some(to) = primary.successor().filter(|_| !on_record) {
            let entry = to.name.clone();
            return self.answer(token, Decision::Forward { entry });
        }
        let fits = match self.capacity() {
            // The shortage ends when the running keys end; closing the generation for it
            // would make every caller look up a new prefix.
            Capacity::Busy if !on_record => {
                let decision = refuse(&self.cfg, ResultCode::KeyNotChecked);
                return self.answer(token, decision);
            }
            capacity => on_record || capacity == Capacity::Free,
        };
        self.with_home(now, id, |home, cx| home.begin(cx, token, key, digest, fits));
    }

    fn is_on_record(&self, key: &Key) -> bool {
        let home = self.homes.get(&key.prefix.home);
        home.is_some_and(|home| home.record(key.prefix.generation, &key.suffix).is_some())
    }

    /// Space for the record of another key. A running key counts with the largest answer
    /// that may be stored, so that there is always space for the answer of a started key.
    pub(crate) fn capacity(&self) -> Capacity {
        let mut used = Usage::default();
        for home in self.homes.values().filter(|home| home.primary().is_some()) {
            used.keys += home.usage.keys;
            used.stored += home.usage.stored;
            used.active += home.usage.active;
        }
        let fits = |more: usize| used.stored + more * self.cfg.max_answer <= self.cfg.max_bytes;
        if used.keys >= self.cfg.max_keys || !fits(1) {
            Capacity::Full
        } else if !fits(used.active + 1) {
            Capacity::Busy
        } else {
            Capacity::Free
        }
    }

    fn finished(&mut self, now: Moment, token: Token, answer: Option<Bytes>) {
        let max = self.cfg.max_answer;
        let stage = match answer {
            Some(answer) if answer.len() <= max => Stage::Finished(answer),
            _ => Stage::NotStored,
        };
        self.ended(now, token, stage);
    }

    fn not_run(&mut self, now: Moment, token: Token, code: ResultCode) {
        let stage = match code.meaning() {
            Meaning::NotRun => Stage::Closed(code),
            Meaning::MayHaveRun | Meaning::Ran => Stage::Unknown,
        };
        self.ended(now, token, stage);
    }

    fn ended(&mut self, now: Moment, token: Token, stage: Stage) {
        let Some(key) = self.requests.end_run(token) else {
            return;
        };
        let still_primary = self.with_home(now, &key.home, |home, cx| {
            home.end(cx, key.generation, &key.suffix, stage.clone());
            home.primary()
                .is_some_and(|primary| !primary.is_handing_over())
        });
        if still_primary != Some(true) {
            self.queue_outcome(key, stage);
        }
    }

    fn flush(&mut self, now: Moment) {
        let ids: Vec<HomeId> = self.primary_homes().cloned().collect();
        for id in ids {
            self.with_home(now, &id, |home, cx| {
                home.flush(cx);
                home.write(cx);
            });
        }
    }

    pub(crate) fn primary_homes(&self) -> impl Iterator<Item = &HomeId> {
        let held = self
            .homes
            .iter()
            .filter(|(_, home)| home.primary().is_some());
        held.map(|(id, _)| id)
    }
}
