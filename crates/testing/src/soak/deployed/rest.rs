//! Checks that endpoints get the rest that they ask for.
//!
//! An answer that asks a gateway for rest holds from [`TOLD_WITHIN`] after it until the time that it names has
//! passed: at most [`ALLOWED`] requests of that gateway reach the endpoint in between. Answers to gateways that
//! were stopping, down or suspended lately don't count.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use super::faults::{Faults, is_apart};
use super::sent::{Senders, sent_to};
use crate::site::{AskedRest, Records};
use crate::soak::history::CallerRequest;
use crate::soak::violations::Violation;

/// Requests of a gateway that may reach an endpoint while it rests.
const ALLOWED: usize = 2;
/// Time from an answer that asks for rest until requests count.
const TOLD_WITHIN: Duration = Duration::from_millis(500);
/// Time before an answer in which a disturbance of the gateway excuses what follows.
const CONTACT: Duration = Duration::from_secs(4);
/// Time after an endpoint or its link was late in which it may get what was sent before.
const LATE_FOR: Duration = Duration::from_secs(1);

/// What one start of an endpoint got while it rested.
#[derive(Clone, Debug, PartialEq)]
pub struct RestSummary {
    /// The endpoint.
    pub endpoint: String,
    /// Its answers that asked for rest.
    pub asked: usize,
    /// Those of them that count.
    pub counted: usize,
    /// Those of them after which too many requests came.
    pub broken: usize,
    /// The answer after which most came; `None` if none counts.
    pub worst: Option<WorstRest>,
}

/// What an endpoint got while it rested.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorstRest {
    /// Index of the gateway that it had asked for rest.
    pub gateway: usize,
    /// The time that it had asked for.
    pub time: Duration,
    /// Requests of the gateway that reached it.
    pub got: usize,
}

impl fmt::Display for RestSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} asked for rest {} times, {} of them count, {} weren't kept",
            self.endpoint, self.asked, self.counted, self.broken
        )?;
        match &self.worst {
            Some(WorstRest { gateway, time, got }) => {
                let seconds = time.as_secs_f64();
                write!(
                    f,
                    "; at most {got} requests of gateway {gateway} in {seconds:.2} s, {ALLOWED} allowed"
                )
            }
            None => Ok(()),
        }
    }
}

/// What the start `endpoint` of an endpoint got while it rested; `None` if it asked for none. `late` are
/// the times in which it was suspended, or its link held or slow.
pub fn rest_summary(
    endpoint: &str,
    start: &Records,
    requests: &BTreeMap<&str, &CallerRequest>,
    late: &[(Instant, Instant)],
    senders: &Senders,
    faults: Faults<'_>,
) -> Option<RestSummary> {
    if start.rests.is_empty() {
        return None;
    }
    let sent = sent_to(start, requests, senders, faults);
    let mut arrivals: BTreeMap<usize, Vec<Instant>> = BTreeMap::new();
    let mut senders_of: BTreeMap<&str, Vec<(Instant, usize)>> = BTreeMap::new();
    for sent in &sent {
        arrivals.entry(sent.gateway).or_default().push(sent.at);
        let of_request = senders_of.entry(&sent.request.id).or_default();
        of_request.push((sent.at, sent.gateway));
    }
    let got = |AskedRest { id, at, seconds }: &AskedRest| {
        let mut of_request = senders_of.get(id.as_str())?.iter();
        let (_, gateway) = *of_request.rfind(|(arrived, _)| arrived <= at)?;
        let time = Duration::try_from_secs_f64(*seconds).ok()?;
        let (from, to) = (*at + TOLD_WITHIN, at.checked_add(time)?);
        let before = |time: Duration| at.checked_sub(time).unwrap_or(*at);
        let counts = from < to
            && faults.is_calm(gateway, before(CONTACT), to)
            && is_apart(late, before(LATE_FOR), to);
        let of_gateway = arrivals.get(&gateway).map_or(&[][..], Vec::as_slice);
        let within = of_gateway.iter().filter(|at| **at >= from && **at < to);
        let got = within.count();
        counts.then_some(WorstRest { gateway, time, got })
    };
    let counted: Vec<WorstRest> = start.rests.iter().filter_map(got).collect();
    Some(RestSummary {
        endpoint: endpoint.to_owned(),
        asked: start.rests.len(),
        counted: counted.len(),
        broken: counted.iter().filter(|rest| rest.got > ALLOWED).count(),
        worst: counted.into_iter().max_by_key(|rest| rest.got),
    })
}

/// The endpoints that got too much while they rested.
pub fn find_unrested(summaries: &[RestSummary]) -> Vec<Violation> {
    let violation = |summary: &RestSummary| {
        let worst = summary.worst.filter(|worst| worst.got > ALLOWED)?;
        Some(Violation::SentToRestingEndpoint {
            endpoint: summary.endpoint.clone(),
            gateway: worst.gateway,
            time: worst.time,
            got: worst.got,
            allowed: ALLOWED,
        })
    };
    summaries.iter().filter_map(violation).collect()
}
