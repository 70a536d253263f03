//! Whether a gateway is in contact with the endpoints of each failure domain.
//!
//! A gateway that has lost its own links sees the same as if endpoints had failed: no responses, or
//! broken connections. Judged one by one, each of dozens of endpoints costs requests of callers
//! until it is avoided, and a request for which none is left would be rejected although other
//! gateways reach them all. So silence is judged by failure domain: once attempts there are overdue
//! or have broken with no response since, a few endpoints of it are probed, and without an answer
//! contact is lost. Whether links or endpoints are down makes no difference to what follows: requests
//! go elsewhere, through another gateway if need be, and probes go on until one is answered.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_types::{FailureDomain, Incarnation, Moment};

use crate::EndpointId;

/// Multiple of its expected time after which an attempt without a response is overdue.
const OVERDUE_FACTOR: u32 = 2;
/// Least time after which it is: a lost packet delays a response by less.
const OVERDUE_MIN: Duration = Duration::from_millis(450);
/// Time after which it is at the latest. Where all requests take longer, endpoints get probes that
/// they answer.
const OVERDUE_MAX: Duration = Duration::from_millis(900);
/// Endpoints whose connections break, with no response from their failure domain in between, before
/// contact is doubted.
const BROKEN_TO_DOUBT: usize = 2;
/// Endpoints that are probed at once.
const PROBES: usize = 2;
/// Time after which a probe without an answer has failed: longer than an overloaded endpoint takes to
/// answer or reject it. One that can't connect fails sooner.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause between two probes of a failure domain without contact.
pub(crate) const PROBE_PERIOD: Duration = Duration::from_millis(400);
/// Time in which overdue attempts don't raise doubt again after a probe has ended it: endpoints that
/// answer probes but no requests are slow, not out of reach.
const TRUSTED_FOR: Duration = Duration::from_secs(1);
/// Silence of a failure domain that is doubted too when contact with another one is lost.
const SILENCE: Duration = Duration::from_millis(300);

/// Contact with the endpoints of one failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactState {
    /// They respond, or nothing is known to the contrary.
    Held,
    /// They have been silent for longer than expected, and are being probed.
    Doubted,
    /// Probes were in vain too.
    Lost,
}

/// A change of contact, with what it was concluded from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContactChange {
    /// The failure domain of the endpoints.
    pub domain: FailureDomain,
    /// What it was.
    pub before: ContactState,
    /// What it is now.
    pub state: ContactState,
    /// Time since an endpoint there last responded; `None` if none has.
    pub silent: Option<Duration>,
    /// Endpoints whose connections have broken since.
    pub broken: usize,
    /// Whether an attempt there is overdue.
    pub overdue: bool,
}

/// A request to an endpoint, or a connection without one, that shows whether there is contact with its
/// failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContactProbe {
    /// The failure domain.
    pub domain: FailureDomain,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its start; `None` if the platform reports no starts.
    pub incarnation: Option<Incarnation>,
    /// Where the endpoint listens.
    pub addr: SocketAddr,
    /// Path of its health check; `None` if the endpoint asks for rest, so that no request may be sent.
    pub path: Option<String>,
}

#[derive(Clone, Debug)]
struct DomainContact {
    state: ContactState,
    heard_at: Option<Moment>,
    /// When the first response to an attempt sent since then was due.
    due_at: Option<Moment>,
    /// Endpoints whose connections have broken since then.
    broken: BTreeSet<EndpointId>,
    /// Probes without an outcome.
    probing: usize,
    /// When it is probed next, if contact is lost.
    next_probe: Moment,
    /// Until when overdue attempts raise no doubt.
    trusted_until: Moment,
}

impl Default for DomainContact {
    fn default() -> Self {
        Self {
            state: ContactState::Held,
            heard_at: None,
            due_at: None,
            broken: BTreeSet::new(),
            probing: 0,
            next_probe: Moment::ZERO,
            trusted_until: Moment::ZERO,
        }
    }
}

impl DomainContact {
    fn is_overdue(&self, now: Moment) -> bool {
        self.due_at.is_some_and(|at| now >= at) && now >= self.trusted_until
    }

    fn is_silent(&self, now: Moment) -> bool {
        self.heard_at.is_none_or(|at| now >= at + SILENCE)
    }

    fn change(&self, now: Moment, domain: &FailureDomain, before: ContactState) -> ContactChange {
        ContactChange {
            domain: domain.clone(),
            before,
            state: self.state,
            silent: self.heard_at.map(|at| now.saturating_sub(at)),
            broken: self.broken.len(),
            overdue: self.is_overdue(now),
        }
    }
}

/// Contact with the endpoints of all failure domains.
#[derive(Clone, Debug, Default)]
pub(crate) struct Contact {
    domains: BTreeMap<FailureDomain, DomainContact>,
    /// Whether contact with some of them isn't held.
    is_disturbed: bool,
    /// Changes that weren't returned yet.
    changes: Vec<ContactChange>,
}

impl Contact {
    pub(crate) fn state(&self, domain: &FailureDomain) -> ContactState {
        self.domains
            .get(domain)
            .map_or(ContactState::Held, |contact| contact.state)
    }

    /// Whether requests may be sent to endpoints there. In doubt they may: under overload all endpoints of
    /// a failure domain may be late, and moving their requests elsewhere would overload others.
    pub(crate) fn is_usable(&self, domain: &FailureDomain) -> bool {
        !self.is_disturbed || self.state(domain) != ContactState::Lost
    }

    /// Records that a request was sent to an endpoint, with the time that its response is expected
    /// to take.
    pub(crate) fn record_sent(&mut self, now: Moment, domain: &FailureDomain, expected: Duration) {
        let due_in = (expected * OVERDUE_FACTOR).clamp(OVERDUE_MIN, OVERDUE_MAX);
        let contact = self.domain(domain);
        let due_at = contact.due_at.unwrap_or(Moment::MAX).min(now + due_in);
        contact.due_at = Some(due_at);
    }

    /// Records a response of an endpoint.
    pub(crate) fn record_response(&mut self, now: Moment, domain: &FailureDomain) {
        self.set(now, domain, ContactState::Held);
        let contact = self.domain(domain);
        contact.heard_at = Some(now);
        contact.due_at = None;
        contact.broken.clear();
    }

    /// Records that an endpoint couldn't be reached, or that its connection broke.
    pub(crate) fn record_broken(
        &mut self,
        now: Moment,
        domain: &FailureDomain,
        endpoint: &EndpointId,
        endpoints: usize,
    ) {
        let contact = self.domain(domain);
        contact.broken.insert(endpoint.clone());
        if contact.broken.len() >= BROKEN_TO_DOUBT.min(endpoints) {
            self.doubt(now, domain);
        }
    }

    /// Records how a probe ended. An answered one counts as a response.
    pub(crate) fn record_probe(&mut self, now: Moment, domain: &FailureDomain, answered: bool) {
        let contact = self.domain(domain);
        contact.probing = contact.probing.saturating_sub(1);
        if answered {
            if contact.state == ContactState::Doubted {
                contact.trusted_until = now + TRUSTED_FOR;
            }
            self.record_response(now, domain);
        } else if contact.probing == 0 && contact.state != ContactState::Held {
            contact.next_probe = now + PROBE_PERIOD;
            self.set(now, domain, ContactState::Lost);
        }
    }

    /// Raises doubts, and returns the failure domains to probe with the number of probes each. The
    /// caller reports each probe's outcome, or that there is nothing to probe.
    pub(crate) fn due_probes(&mut self, now: Moment) -> Vec<(FailureDomain, usize)> {
        let overdue = self.domains.iter().filter(|(_, c)| c.is_overdue(now));
        let overdue: Vec<FailureDomain> = overdue.map(|(domain, _)| domain.clone()).collect();
        overdue.iter().for_each(|domain| self.doubt(now, domain));
        let mut due = Vec::new();
        for (domain, contact) in &mut self.domains {
            let probes = match contact.state {
                ContactState::Doubted if contact.probing == 0 => PROBES,
                ContactState::Lost if contact.probing == 0 && now >= contact.next_probe => 1,
                _ => continue,
            };
            contact.probing = probes;
            due.push((domain.clone(), probes));
        }
        due
    }

    /// Ends doubts about a failure domain in which there is nothing to probe.
    pub(crate) fn forget(&mut self, now: Moment, domain: &FailureDomain) {
        self.set(now, domain, ContactState::Held);
        self.domains
            .insert(domain.clone(), DomainContact::default());
    }

    /// Sets the failure domains that have endpoints.
    pub(crate) fn set_domains(&mut self, listed: &BTreeSet<&FailureDomain>) {
        self.domains.retain(|domain, _| listed.contains(domain));
        for domain in listed {
            self.domain(domain);
        }
        self.update_disturbed();
    }

    /// Whether contact with every failure domain is lost, of which there is one at least.
    pub(crate) fn is_all_lost(&self) -> bool {
        let mut states = self.domains.values().map(|contact| contact.state);
        !self.domains.is_empty() && states.all(|state| state == ContactState::Lost)
    }

    /// Changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<ContactChange> {
        std::mem::take(&mut self.changes)
    }

    fn doubt(&mut self, now: Moment, domain: &FailureDomain) {
        if self.state(domain) == ContactState::Held {
            self.set(now, domain, ContactState::Doubted);
        }
    }

    fn set(&mut self, now: Moment, domain: &FailureDomain, state: ContactState) {
        let contact = self.domain(domain);
        if contact.state == state {
            return;
        }
        let before = std::mem::replace(&mut contact.state, state);
        let change = contact.change(now, domain, before);
        self.changes.push(change);
        self.update_disturbed();
        match state {
            // The gateway's own links may be down, so the others are looked at too.
            ContactState::Lost => self.doubt_silent(now),
            ContactState::Held if before == ContactState::Lost => self.hasten_probes(now),
            ContactState::Held | ContactState::Doubted => {}
        }
    }

    fn update_disturbed(&mut self) {
        let mut states = self.domains.values().map(|contact| contact.state);
        self.is_disturbed = states.any(|state| state != ContactState::Held);
    }

    fn doubt_silent(&mut self, now: Moment) {
        let silent = self.domains.iter().filter(|(_, c)| c.is_silent(now));
        let silent: Vec<FailureDomain> = silent.map(|(domain, _)| domain.clone()).collect();
        silent.iter().for_each(|domain| self.doubt(now, domain));
    }

    fn hasten_probes(&mut self, now: Moment) {
        for contact in self.domains.values_mut() {
            contact.next_probe = contact.next_probe.min(now);
        }
    }

    fn domain(&mut self, domain: &FailureDomain) -> &mut DomainContact {
        self.domains.entry(domain.clone()).or_default()
    }
}
