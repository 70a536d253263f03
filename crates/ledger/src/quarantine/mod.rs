//! Quarantine of requests that crash the endpoints that run them.
//!
//! A request that crashes its endpoint is sent again by its caller, or by an entry that
//! takes the crash for a lost connection, and crashes the next endpoint. Each entry
//! records, by fingerprint, what ran on an endpoint that was lost, and notifies the other
//! entries. Of the requests that ran there at most one is the cause, and nothing shows
//! which one; so a request is refused only after two losses, and its history is cleared as
//! soon as any run of it is answered:
//!
//! - after one loss the fingerprint runs one at a time, at the entry that recorded the
//!   loss;
//! - after two losses it is refused, for a time that doubles with each further loss;
//! - an answer to any run of it, at any entry, clears it;
//! - when most endpoints are lost at once, the cause is their failure domain, and nothing
//!   is recorded against the requests.
//!
//! A loss counts for a few seconds from the broken connection on, and longer only once the
//! process of the endpoint is known to have died: a network partition causes no long
//! refusals. All tables are bounded; a fingerprint that is evicted from them may run again.

mod api;
mod history;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use filberthead_types::Fingerprint;
use filberthead_types::{Moment, NodeName};

pub use self::api::{Action, Check, Config, ConfigBuilder, Event, LossId, Message, RunEnd, RunId};
use self::history::{Loss, LossHistory};

/// Deaths within this time count as one event that may be the loss of a failure domain.
const DOMAIN_LOSS_WINDOW: Duration = Duration::from_secs(2);
/// With fewer deaths than this the failure domain is never taken for lost.
const MIN_DOMAIN_LOSSES: usize = 3;

/// Tracks what runs at this entry, and the fingerprints with losses at any entry.
#[derive(Clone, Debug)]
pub struct Quarantine {
    cfg: Config,
    me: NodeName,
    runs: BTreeMap<RunId, Run>,
    /// Runs with a broken connection whose endpoint may have died.
    broken: Vec<BrokenRun>,
    /// Endpoints with a broken run and no answer since.
    down: BTreeMap<NodeName, Down>,
    /// The latest deaths of endpoints.
    deaths: BTreeMap<NodeName, Death>,
    histories: BTreeMap<Fingerprint, LossHistory>,
    next_loss: u64,
}

#[derive(Clone, Debug)]
struct Run {
    fingerprint: Fingerprint,
    endpoint: NodeName,
    since: Moment,
}

#[derive(Clone, Debug)]
struct BrokenRun {
    fingerprint: Fingerprint,
    endpoint: NodeName,
    id: LossId,
    at: Moment,
}

/// State of an endpoint since a run broke there.
#[derive(Clone, Copy, Debug)]
struct Down {
    /// When the first run broke, or when its process was found gone.
    since: Moment,
    /// Whether its process is known to be gone.
    process_gone: bool,
}

#[derive(Clone, Debug)]
struct Death {
    at: Moment,
    id: LossId,
    affected: BTreeSet<Fingerprint>,
}

impl Quarantine {
    /// A quarantine without runs and losses.
    pub fn new(cfg: Config, me: NodeName) -> Self {
        Self {
            cfg,
            me,
            runs: BTreeMap::new(),
            broken: Vec::new(),
            down: BTreeMap::new(),
            deaths: BTreeMap::new(),
            histories: BTreeMap::new(),
            next_loss: 0,
        }
    }

    /// Whether a request may be sent to an endpoint now. After [`Check::Run`] report
    /// [`Event::Started`] at once.
    pub fn check(&self, now: Moment, fingerprint: Fingerprint) -> Check {
        let Some(history) = self.histories.get(&fingerprint) else {
            return Check::Run;
        };
        let losses = history.active_losses(now);
        if losses >= 2 {
            let retry_after = history.quarantined_for(now);
            return Check::Refuse { retry_after };
        }
        if losses == 0 {
            return Check::Run;
        }
        let Some(designated) = history.designated_entry() else {
            // No endpoint is known to have died; the connection alone may have failed.
            return Check::Run;
        };
        if *designated != self.me {
            let entry = designated.clone();
            return Check::RunAt { entry };
        }
        // Guards against two concurrent sends of a request that is allowed one more run,
        // which would crash two more endpoints.
        let mut runs = self.runs.values();
        if runs.any(|run| run.fingerprint == fingerprint) {
            let retry_after = self.cfg.confirm_within;
            return Check::Refuse { retry_after };
        }
        Check::Run
    }

    /// Processes an event at `now` and returns what to do.
    pub fn step(&mut self, now: Moment, event: Event) -> Option<Action> {
        match event {
            Event::Started {
                run,
                fingerprint,
                endpoint,
            } => {
                let started = Run {
                    fingerprint,
                    endpoint,
                    since: now,
                };
                self.runs.insert(run, started);
                None
            }
            Event::Ended { run, end } => self.ended(now, run, end),
            Event::Up { endpoint } => {
                self.down.remove(&endpoint);
                None
            }
            Event::Died {
                endpoint,
                replaced,
                endpoints,
            } => {
                let action = self.died(now, endpoint.clone(), endpoints);
                if replaced {
                    self.down.remove(&endpoint);
                } else {
                    let process_gone = true;
                    self.down.insert(
                        endpoint,
                        Down {
                            since: now,
                            process_gone,
                        },
                    );
                }
                action
            }
            Event::Received(message) => {
                self.received(now, message);
                None
            }
            Event::Tick => {
                self.expire(now);
                None
            }
        }
    }

    fn received(&mut self, now: Moment, message: Message) {
        match message {
            Message::Crashed { id, fingerprints } => {
                self.mark_down(now, &id.endpoint);
                self.record_loss(now, &id, &fingerprints, true);
            }
            Message::Broke { ids, fingerprint } => {
                for id in &ids {
                    self.mark_down(now, &id.endpoint);
                    self.record_loss(now, id, &[fingerprint], false);
                }
            }
            Message::Cleared { fingerprints } => {
                for fingerprint in &fingerprints {
                    self.histories.remove(fingerprint);
                }
            }
        }
    }

    /// Number of fingerprints with losses.
    pub fn suspected(&self) -> usize {
        self.histories.len()
    }

    fn ended(&mut self, now: Moment, id: RunId, end: RunEnd) -> Option<Action> {
        let run = self.runs.remove(&id)?;
        match end {
            RunEnd::Answered => {
                self.down.remove(&run.endpoint);
                self.clear([run.fingerprint])
            }
            RunEnd::Lost => self.lost(now, run),
            RunEnd::Other => None,
        }
    }

    fn clear(&mut self, cleared: impl IntoIterator<Item = Fingerprint>) -> Option<Action> {
        // Only the entry that may run the request broadcasts this; if every entry that gets
        // an answer did, one crash would cost a message for each pair of entries.
        let designated_here = |history: LossHistory| history.designated_entry() == Some(&self.me);
        let cleared_here = |f: &Fingerprint| self.histories.remove(f).is_some_and(designated_here);
        let fingerprints: Vec<_> = cleared.into_iter().filter(cleared_here).collect();
        if fingerprints.is_empty() {
            return None;
        }
        Some(Action::Broadcast(Message::Cleared { fingerprints }))
    }

    fn lost(&mut self, now: Moment, run: Run) -> Option<Action> {
        let death = self.deaths.get_mut(&run.endpoint);
        if let Some(death) = death.filter(|death| run.since < death.at) {
            // Broke because of that death, which was detected before.
            death.affected.insert(run.fingerprint);
            let id = death.id.clone();
            let fingerprints = vec![run.fingerprint];
            self.record_loss(now, &id, &fingerprints, true);
            return Some(Action::Broadcast(Message::Crashed { id, fingerprints }));
        }
        // Guards against counting runs on an endpoint that is already down: after a request
        // crashed it, everything sent there before its death is detected breaks as well.
        if self.mark_down(now, &run.endpoint).since < run.since {
            return None;
        }
        let id = self.loss_id(now, &run.endpoint);
        self.record_loss(now, &id, &[run.fingerprint], false);
        if self.broken.len() < self.cfg.max_suspected {
            self.broken.push(BrokenRun {
                fingerprint: run.fingerprint,
                endpoint: run.endpoint,
                id,
                at: now,
            });
        }
        self.broadcast_losses(now, run.fingerprint)
    }

    /// Records that a run broke at an endpoint, here or at another entry, unless it is known
    /// to be down already. If nothing else is heard of it, that is forgotten.
    fn mark_down(&mut self, now: Moment, endpoint: &NodeName) -> Down {
        let first = Down {
            since: now,
            process_gone: false,
        };
        *self.down.entry(endpoint.clone()).or_insert(first)
    }

    /// Notifies the other entries of two losses before the deaths are confirmed. Otherwise
    /// a request that has crashed two endpoints here is sent to the next entry at once,
    /// which learns of the deaths only from health checks, and crashes two more.
    fn broadcast_losses(&self, now: Moment, fingerprint: Fingerprint) -> Option<Action> {
        let history = self.histories.get(&fingerprint)?;
        let ids = history.active_loss_ids(now);
        (ids.len() >= 2).then_some(Action::Broadcast(Message::Broke { ids, fingerprint }))
    }

    /// The id of a loss; all runs that break with an endpoint within `confirm_within` are
    /// one loss.
    fn loss_id(&mut self, now: Moment, endpoint: &NodeName) -> LossId {
        let earlier = self.broken.iter().find(|broken| {
            broken.endpoint == *endpoint && now < broken.at + self.cfg.confirm_within
        });
        if let Some(broken) = earlier {
            return broken.id.clone();
        }
        self.next_loss += 1;
        LossId {
            reporter: self.me.clone(),
            number: self.next_loss,
            endpoint: endpoint.clone(),
        }
    }

    fn died(&mut self, now: Moment, endpoint: NodeName, endpoints: usize) -> Option<Action> {
        self.expire(now);
        let id = self.loss_id(now, &endpoint);
        // Runs that are still open there break in a moment; their loss is recorded then.
        let broken = self.broken.iter().filter(|b| b.endpoint == endpoint);
        let affected: BTreeSet<_> = broken.map(|broken| broken.fingerprint).collect();
        // A restarted endpoint may die again at once.
        self.broken.retain(|broken| broken.endpoint != endpoint);
        let death = Death {
            at: now,
            id: id.clone(),
            affected: affected.clone(),
        };
        self.deaths.insert(endpoint, death);
        if affected.is_empty() {
            return None;
        }
        let fingerprints: Vec<_> = affected.into_iter().collect();
        self.record_loss(now, &id, &fingerprints, true);
        if self.deaths.len() >= MIN_DOMAIN_LOSSES && 2 * self.deaths.len() > endpoints {
            return self.clear_domain_losses();
        }
        Some(Action::Broadcast(Message::Crashed { id, fingerprints }))
    }

    /// Clears the fingerprints with one of the latest deaths only. Otherwise, when a
    /// failure domain loses its power, everything that ran there is refused everywhere. So
    /// many endpoints at once aren't lost to a request that ran on one of them; what ran on
    /// two of them keeps its history until it is answered.
    fn clear_domain_losses(&mut self) -> Option<Action> {
        let mut deaths: BTreeMap<Fingerprint, usize> = BTreeMap::new();
        for fingerprint in self.deaths.values().flat_map(|death| &death.affected) {
            *deaths.entry(*fingerprint).or_default() += 1;
        }
        let once = deaths.into_iter().filter(|(_, deaths)| *deaths == 1);
        let once: BTreeSet<_> = once.map(|(fingerprint, _)| fingerprint).collect();
        self.broken
            .retain(|broken| !once.contains(&broken.fingerprint));
        self.clear(once)
    }

    fn record_loss(&mut self, now: Moment, id: &LossId, fingerprints: &[Fingerprint], died: bool) {
        let all: BTreeSet<_> = fingerprints.iter().copied().collect();
        for fingerprint in fingerprints {
            self.evict_if_full(*fingerprint);
            let history = self.histories.entry(*fingerprint).or_default();
            history.add(Loss {
                id: id.clone(),
                until: now + self.cfg.confirm_within,
                concurrent: all.clone(),
            });
            if died {
                history.confirm_death(now, &self.cfg, id, *fingerprint, &all);
            }
        }
    }

    fn evict_if_full(&mut self, fingerprint: Fingerprint) {
        if self.histories.len() < self.cfg.max_suspected
            || self.histories.contains_key(&fingerprint)
        {
            return;
        }
        let soonest = self
            .histories
            .iter()
            .min_by_key(|(_, history)| history.expires_at());
        if let Some(soonest) = soonest.map(|(fingerprint, _)| *fingerprint) {
            self.histories.remove(&soonest);
        }
    }

    fn expire(&mut self, now: Moment) {
        let within = self.cfg.confirm_within;
        self.broken.retain(|broken| now < broken.at + within);
        self.down
            .retain(|_, down| down.process_gone || now < down.since + within);
        self.deaths
            .retain(|_, death| now < death.at + DOMAIN_LOSS_WINDOW);
        self.histories
            .retain(|_, history| now < history.expires_at());
    }
}
