//! Keeps requests that crash endpoints from crashing one endpoint after the other.
//!
//! A request that crashes whatever runs it is sent again by its caller, or by an entry
//! that takes the crash for a lost connection. Each entry notes, by fingerprint, what ran
//! on an endpoint that was lost, and tells the others. Who else ran there is innocent,
//! and nothing tells which one it was; so evidence has to come twice, and goes at once
//! when any run of the fingerprint is answered:
//!
//! - after one loss a fingerprint runs one at a time, at the entry that saw the loss;
//! - after two losses it is refused, for a time that doubles with each further loss;
//! - an answer to any run of it, anywhere, clears it;
//! - when most endpoints are lost at once, it is their failure domain, and nobody is
//!   accused.
//!
//! A loss counts for a few seconds from the broken connection on, and longer only once
//! the endpoint is known to have died: a cut network accuses nobody for long. All of it is
//! kept in tables with bounds; a fingerprint that falls out of them may run again.

mod api;
mod history;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use filberthead_types::{Moment, NodeName};

pub use self::api::{
    Action, Check, Config, ConfigBuilder, Event, Fingerprint, LossId, Message, RunEnd, RunId,
};
use self::history::{Loss, LossHistory};

/// Losses of endpoints within this time count as one event.
const DOMAIN_LOSS_WINDOW: Duration = Duration::from_secs(2);
/// Fewer lost endpoints than this are never taken for a lost failure domain.
const MIN_DOMAIN_LOSSES: usize = 3;

/// What runs at this entry, and which fingerprints are under suspicion anywhere.
#[derive(Clone, Debug)]
pub struct Quarantine {
    cfg: Config,
    me: NodeName,
    runs: BTreeMap<RunId, Run>,
    /// Broken runs whose endpoint may have died.
    broken: Vec<BrokenRun>,
    /// Endpoints that break runs without dying of them.
    down: BTreeMap<NodeName, Down>,
    /// When endpoints died lately.
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

/// An endpoint with a broken run and no answer since.
#[derive(Clone, Copy, Debug)]
struct Down {
    /// When it broke, or when its process was found gone.
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
    /// Nothing runs and nobody is under suspicion.
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

    /// Whether a request may be handed to an endpoint now. Follow [`Check::Run`] at once
    /// with [`Event::Started`].
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
            // A broken connection may be no more than that.
            return Check::Run;
        };
        if *designated != self.me {
            let entry = designated.clone();
            return Check::RunAt { entry };
        }
        // Failure: two sends of one request, each the second chance of the other, crash
        // two more endpoints at the same time.
        let mut runs = self.runs.values();
        if runs.any(|run| run.fingerprint == fingerprint) {
            let retry_after = self.cfg.confirm_within;
            return Check::Refuse { retry_after };
        }
        Check::Run
    }

    /// Takes in what happened at `now` and tells what to do.
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
            Event::Received(Message::Crashed { id, fingerprints }) => {
                self.record_loss(now, &id, &fingerprints, true);
                None
            }
            Event::Received(Message::Broke { ids, fingerprint }) => {
                for id in &ids {
                    self.record_loss(now, id, &[fingerprint], false);
                }
                None
            }
            Event::Received(Message::Cleared { fingerprints }) => {
                for fingerprint in &fingerprints {
                    self.histories.remove(fingerprint);
                }
                None
            }
            Event::Tick => {
                self.expire(now);
                None
            }
        }
    }

    /// Fingerprints under suspicion, for operators.
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

    fn clear(&mut self, answered: impl IntoIterator<Item = Fingerprint>) -> Option<Action> {
        // Everybody hears it from the one entry that may run it; were all that see an
        // answer to tell all others, one crash would cost a message for each pair.
        let designated_here = |history: LossHistory| history.designated_entry() == Some(&self.me);
        let cleared_here = |f: &Fingerprint| self.histories.remove(f).is_some_and(designated_here);
        let fingerprints: Vec<_> = answered.into_iter().filter(cleared_here).collect();
        if fingerprints.is_empty() {
            return None;
        }
        Some(Action::Broadcast(Message::Cleared { fingerprints }))
    }

    fn lost(&mut self, now: Moment, run: Run) -> Option<Action> {
        let death = self.deaths.get_mut(&run.endpoint);
        if let Some(death) = death.filter(|death| run.since < death.at) {
            // Broke because of that death, which was known before.
            death.affected.insert(run.fingerprint);
            let id = death.id.clone();
            let fingerprints = vec![run.fingerprint];
            self.record_loss(now, &id, &fingerprints, true);
            return Some(Action::Broadcast(Message::Crashed { id, fingerprints }));
        }
        // Failure: a search kills an endpoint, and all that is sent there before its
        // death is known breaks as well. It met a dead endpoint and didn't kill it.
        let first = Down {
            since: now,
            process_gone: false,
        };
        let down = *self.down.entry(run.endpoint.clone()).or_insert(first);
        if down.since < run.since {
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

    /// Failure: a search has crashed two endpoints here, and its caller, answered at once,
    /// sends it to the next entry, which hears of the deaths only once health checks have
    /// found them, and loses two more.
    fn broadcast_losses(&self, now: Moment, fingerprint: Fingerprint) -> Option<Action> {
        let history = self.histories.get(&fingerprint)?;
        let ids = history.active_loss_ids(now);
        (ids.len() >= 2).then_some(Action::Broadcast(Message::Broke { ids, fingerprint }))
    }

    /// All that an endpoint takes down at once is one loss.
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
        }
    }

    fn died(&mut self, now: Moment, endpoint: NodeName, endpoints: usize) -> Option<Action> {
        self.expire(now);
        let id = self.loss_id(now, &endpoint);
        // What still runs there breaks in a moment and is accused then.
        let broken = self.broken.iter().filter(|b| b.endpoint == endpoint);
        let affected: BTreeSet<_> = broken.map(|broken| broken.fingerprint).collect();
        // An endpoint that is started again may die again at once.
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

    /// Failure: a failure domain loses its power, and whatever ran there is refused
    /// everywhere. So many endpoints at once aren't lost by a request that ran on one of
    /// them; what ran on two of them stays under suspicion until it is answered.
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
