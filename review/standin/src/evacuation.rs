//! The rule of evacuations.

use std::time::{Duration, Instant};

use filberthead_testing::site::Site;

use crate::{Record, Sent, Verdict, ZONE};

/// Time from the acknowledgement of an evacuation after which nothing may reach the zone: `evacuation_ms`.
pub const EVACUATION: Duration = Duration::from_millis(5000);
/// Time after the last event at the core from which calm machines are in touch: `contact_ms`.
pub const CONTACT: Duration = Duration::from_millis(4000);

/// Records what was sent and run, and judges whether a request has reached the evacuated zone at a moment
/// from `from` on. The evacuation hasn't been taken back since.
pub fn judge(record: &Record, site: &Site, sent: &[Sent], from: Instant) -> Verdict {
    for Sent { id, at, outcome } in sent {
        record.line_at(*at, &format!("caller sends {id}, gets {outcome}"));
    }
    let (mut late, mut elsewhere) = (0, 0);
    for endpoint in &site.endpoints {
        let (id, domain) = (endpoint.id(), endpoint.domain().to_owned());
        for run in endpoint.runs() {
            record.line_at(run.at, &format!("{id} in {domain} runs {}", run.id));
            let is_late = run.at >= from;
            late += u32::from(is_late && domain == ZONE);
            elsewhere += u32::from(is_late && domain != ZONE);
        }
    }
    match (late, elsewhere) {
        (0, 0) => Verdict::NotRun("no request ran in the time that is judged".to_owned()),
        (0, _) => Verdict::Held,
        _ => Verdict::Broken(format!(
            "EVAC: {late} requests reached {ZONE} while it was evacuated, {elsewhere} ran elsewhere"
        )),
    }
}
