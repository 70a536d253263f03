//! Holds off requests that crash the endpoints that run them.
//!
//! Such a request is sent again by its caller, under another id and at any gateway, and by gateways that
//! take the crash for a lost connection. So what counts is its fingerprint, and what counts against it
//! are endpoints whose connections broke while they ran it. A broken connection alone shows little:
//! links break, answers are lost, and everything else that ran on a crashed endpoint breaks with it. What
//! tells these apart is what comes later, as *an answer to any run of a request clears it*, and an
//! endpoint that answers anything sent after the loss hasn't crashed. What is left after
//! [`LOSSES_TO_PAUSE`] losses pauses and then runs one at a time; after [`LOSSES_TO_REFUSE`] it is
//! refused, and once all these endpoints have left the list, for [`REFUSED_FOR`].
//!
//! Gateways report their losses to control and are told those of all others. What another gateway no
//! longer reports, because it has seen an answer, ceases to count [`HEARD_FOR`] later. A refusal that
//! rests on endpoints that have gone is adopted by whoever hears of it, so that it outlasts the gateways
//! that saw them go.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use filberthead_fleet::{EndpointLoss, EndpointStart, Suspicion, most_certain};
use filberthead_types::{Fingerprint, Moment};

/// Losses after which a request pauses.
const LOSSES_TO_PAUSE: usize = 2;
/// Losses after which it is refused. Hardly any other request meets that many without an answer in
/// between.
const LOSSES_TO_REFUSE: usize = 3;
/// Pause after the last of [`LOSSES_TO_PAUSE`] losses: by its end all gateways have been told, and an
/// endpoint that lives on has answered something else.
const PAUSE: Duration = Duration::from_secs(1);
/// Time after which a caller may ask again for a request that is refused for losses.
const RECHECK_AFTER: Duration = Duration::from_secs(5);
/// How long a request is refused under which endpoints have gone. Callers' own repeats end long before.
const REFUSED_FOR: Duration = Duration::from_secs(600);
/// How long a loss counts if its endpoint stays on the list and nothing is heard of it.
const LOSS_COUNTS_FOR: Duration = Duration::from_secs(60);
/// How long another gateway's loss counts after it was last heard of: three report periods.
const HEARD_FOR: Duration = Duration::from_millis(1_600);
/// How long an answer to a request speaks for it. Popular requests run beside every crash; each gateway
/// has answers to them from shortly before.
const ANSWER_SPEAKS_FOR: Duration = Duration::from_secs(2);
/// Time within which the list shows that an endpoint has started anew.
const LIST_SHOWS_WITHIN: Duration = Duration::from_secs(3);
/// Requests that anything is held against, at most.
const MAX_SUSPECTS: usize = 1024;
/// Losses of one request that are kept.
const MAX_LOSSES: usize = 8;
/// Number of slots for the last answers. A request shares its slot with others.
const ANSWER_SLOTS: usize = 2048;

/// What this gateway knows of an endpoint that was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointFate {
    /// It isn't on the list, or has started anew.
    Gone,
    /// It is on the list.
    Listed {
        /// When the last request was sent that it has answered.
        answered: Moment,
        /// Whether there is contact with its failure domain. Without, its silence says nothing.
        in_contact: bool,
    },
}

/// A run of a request that ended with a broken connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrokenRun {
    pub(crate) request: Fingerprint,
    pub(crate) endpoint: EndpointStart,
    /// When the request was sent.
    pub(crate) sent_at: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Loss {
    endpoint: EndpointStart,
    at: Moment,
    /// When another gateway last reported it; `None` for a loss of this gateway.
    heard_at: Option<Moment>,
    /// When it was first found that the endpoint has answered since.
    refuted_at: Option<Moment>,
}

impl Loss {
    /// Whether it counts, or may count again: the endpoint's next start may answer under its identity
    /// before the list shows it.
    fn is_kept(&mut self, now: Moment, fate: EndpointFate) -> bool {
        if self.counts(now, fate) {
            self.refuted_at = None;
            return true;
        }
        let is_refuted =
            matches!(fate, EndpointFate::Listed { answered, .. } if answered > self.at);
        let refuted_at = *self.refuted_at.get_or_insert(now);
        self.heard_at.is_none() && is_refuted && now < refuted_at + LIST_SHOWS_WITHIN
    }

    fn counts(&self, now: Moment, fate: EndpointFate) -> bool {
        let is_held = self.heard_at.is_none_or(|at| now < at + HEARD_FOR);
        let is_silent = match fate {
            EndpointFate::Gone => now < self.at + REFUSED_FOR,
            EndpointFate::Listed {
                answered,
                in_contact,
            } => in_contact && answered <= self.at && now < self.at + LOSS_COUNTS_FOR,
        };
        is_held && is_silent
    }
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    losses: Vec<Loss>,
    /// Until when it is refused because endpoints have gone under it.
    refused_until: Moment,
    /// Until when a run that was allowed after the pause keeps others from running.
    trial_until: Moment,
}

impl Suspect {
    fn add(&mut self, loss: Loss) {
        let mut losses = self.losses.iter_mut();
        if let Some(known) = losses.find(|known| known.endpoint == loss.endpoint) {
            // A loss that this gateway saw itself counts without being reported by others.
            known.heard_at = known.heard_at.and(loss.heard_at);
        } else if self.losses.len() < MAX_LOSSES {
            self.losses.push(loss);
        }
    }

    fn counting<'a>(
        &'a self,
        now: Moment,
        fate: &'a impl Fn(EndpointStart) -> EndpointFate,
    ) -> impl Iterator<Item = &'a Loss> {
        let losses = self.losses.iter();
        losses.filter(move |loss| loss.counts(now, fate(loss.endpoint)))
    }
}

/// What is held against requests, at this gateway and at others.
#[derive(Clone, Debug)]
pub(crate) struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// When the first connection to an endpoint broke that hasn't answered since. What is sent to it
    /// later breaks as well, and says nothing.
    down: HashMap<EndpointStart, Moment>,
    /// The last answers, by fingerprint.
    answers: Vec<Option<(Fingerprint, Moment)>>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            suspects: BTreeMap::new(),
            down: HashMap::new(),
            answers: vec![None; ANSWER_SLOTS],
        }
    }
}

impl Quarantine {
    /// Whether a request may be sent to an endpoint now; if not, the time after which it may be sent
    /// again at the earliest.
    pub(crate) fn check(
        &mut self,
        now: Moment,
        request: Fingerprint,
        fate: impl Fn(EndpointStart) -> EndpointFate,
    ) -> Result<(), Duration> {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return Ok(());
        };
        if now < suspect.refused_until {
            return Err(suspect.refused_until - now);
        }
        let (count, last) = suspect
            .counting(now, &fate)
            .fold((0, Moment::ZERO), |(n, last), loss| {
                (n + 1, last.max(loss.at))
            });
        if count >= LOSSES_TO_REFUSE {
            return Err(RECHECK_AFTER);
        }
        if count < LOSSES_TO_PAUSE {
            return Ok(());
        }
        let resumes_at = suspect.trial_until.max(last + PAUSE);
        if now < resumes_at {
            return Err(resumes_at - now);
        }
        suspect.trial_until = now + PAUSE;
        Ok(())
    }

    /// Records that an endpoint has answered a request. Returns whether something was held against it.
    pub(crate) fn record_answer(&mut self, now: Moment, request: Fingerprint) -> bool {
        self.answers[slot(request)] = Some((request, now));
        !self.suspects.is_empty() && self.suspects.remove(&request).is_some()
    }

    /// Records that an endpoint has answered something.
    pub(crate) fn record_alive(&mut self, endpoint: EndpointStart) {
        if !self.down.is_empty() {
            self.down.remove(&endpoint);
        }
    }

    /// Records a broken connection. Returns the number of losses of this request by now, or `None` if
    /// this one says nothing about it.
    pub(crate) fn record_broken(&mut self, now: Moment, run: BrokenRun) -> Option<usize> {
        let down_since = *self.down.entry(run.endpoint).or_insert(now);
        if run.sent_at > down_since || self.was_answered(run.request, now) {
            return None;
        }
        let suspect = self.suspect(run.request);
        suspect.add(Loss {
            endpoint: run.endpoint,
            at: now,
            heard_at: None,
            refuted_at: None,
        });
        Some(suspect.losses.len())
    }

    /// Applies what gateways hold against requests, as told by control.
    pub(crate) fn merge(&mut self, now: Moment, told: Vec<Suspicion>) {
        for suspicion in told {
            let request = suspicion.request;
            let losses: Vec<Loss> = suspicion
                .losses
                .iter()
                .map(|loss| Loss {
                    endpoint: loss.start,
                    at: now.saturating_sub(loss.age),
                    heard_at: Some(now),
                    refuted_at: None,
                })
                .filter(|loss| !self.was_answered(request, loss.at))
                .collect();
            if losses.is_empty() && suspicion.refused_for.is_zero() {
                continue;
            }
            let suspect = self.suspect(request);
            losses.into_iter().for_each(|loss| suspect.add(loss));
            if suspect.refused_until <= now {
                suspect.refused_until = now + suspicion.refused_for.min(REFUSED_FOR);
            }
        }
    }

    /// What this gateway holds against requests.
    pub(crate) fn suspicions(
        &self,
        now: Moment,
        fate: impl Fn(EndpointStart) -> EndpointFate,
    ) -> Vec<Suspicion> {
        let suspects = self.suspects.iter().map(|(request, suspect)| {
            let own = suspect
                .counting(now, &fate)
                .filter(|loss| loss.heard_at.is_none());
            Suspicion {
                request: *request,
                losses: own
                    .map(|loss| EndpointLoss {
                        start: loss.endpoint,
                        age: now.saturating_sub(loss.at),
                    })
                    .collect(),
                refused_for: suspect.refused_until.saturating_sub(now),
            }
        });
        let held = suspects.filter(|s| !s.losses.is_empty() || !s.refused_for.is_zero());
        most_certain(held.collect())
    }

    /// Drops what no longer counts. Returns the requests that are refused from now on because the
    /// endpoints that ran them have gone.
    pub(crate) fn expire(
        &mut self,
        now: Moment,
        fate: impl Fn(EndpointStart) -> EndpointFate,
    ) -> Vec<Fingerprint> {
        self.down.retain(|_, since| now < *since + LOSS_COUNTS_FOR);
        let mut refused = Vec::new();
        for (request, suspect) in &mut self.suspects {
            suspect
                .losses
                .retain_mut(|loss| loss.is_kept(now, fate(loss.endpoint)));
            let gone = suspect
                .losses
                .iter()
                .filter(|loss| fate(loss.endpoint) == EndpointFate::Gone)
                .count();
            if gone >= LOSSES_TO_REFUSE && suspect.refused_until <= now {
                suspect.refused_until = now + REFUSED_FOR;
                refused.push(*request);
            }
        }
        self.suspects
            .retain(|_, suspect| !suspect.losses.is_empty() || now < suspect.refused_until);
        refused
    }

    /// Number of requests that something is held against.
    pub(crate) fn suspected(&self) -> usize {
        self.suspects.len()
    }

    /// Whether an answer to the request speaks for it although an endpoint was lost at `lost_at`.
    fn was_answered(&self, request: Fingerprint, lost_at: Moment) -> bool {
        let answer = self.answers[slot(request)].filter(|(known, _)| *known == request);
        answer.is_some_and(|(_, at)| at + ANSWER_SPEAKS_FOR > lost_at)
    }

    fn suspect(&mut self, request: Fingerprint) -> &mut Suspect {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&request) {
            let least = |suspect: &Suspect| (suspect.refused_until, suspect.losses.len());
            let least = self.suspects.iter().min_by_key(|(_, s)| least(s));
            if let Some(least) = least.map(|(request, _)| *request) {
                self.suspects.remove(&least);
            }
        }
        self.suspects.entry(request).or_default()
    }
}

fn slot(request: Fingerprint) -> usize {
    (request.0 as usize) % ANSWER_SLOTS
}
