//! What a log line says of endpoints, in plain words: those that want no requests, and why one was chosen.

use crate::Event;

/// Result code of a request for which endpoints have no room.
const OVERLOADED: &str = "1200";

impl Event {
    /// What the line says of endpoints that are at rest, leaving or on slow VMs, and of objects at several
    /// endpoints; `None` if it says nothing of them.
    pub fn in_words(&self) -> Option<String> {
        match self.message.as_str() {
            "endpoint asks for rest" => Some(format!(
                "{} has rejected a request and wants nothing from this gateway for {} ms",
                self.endpoint(),
                self.field("for_ms")?
            )),
            "rest of an endpoint is over" => Some(format!(
                "{} gets one request of this gateway at a time, until it has answered one",
                self.endpoint()
            )),
            "endpoint is leaving" => Some(format!(
                "{} has said that it is leaving, and gets no request of this gateway until it has \
                 started anew",
                self.endpoint()
            )),
            "attempt ended" if self.field("outcome") == Some("Withdrawn") => Some(format!(
                "not sent: {} had asked for rest, or said that it is leaving, since it was chosen",
                self.endpoint()
            )),
            "attempt ended" => self.choice(),
            "refused" => self.refusal(),
            _ => None,
        }
    }

    fn endpoint(&self) -> String {
        format!("endpoint {}", self.field("endpoint").unwrap_or("?"))
    }

    /// What was known when the endpoint was chosen.
    fn choice(&self) -> Option<String> {
        let slowed = self.count("slowdown_percent").map(|percent| {
            let endpoint = self.endpoint();
            format!(
                "{endpoint} had reported that work takes {percent} % of the usual time on its VM"
            )
        });
        let replicated = (self.field("replicated") == Some("true"))
            .then(|| "the object is at several endpoints".to_owned());
        let parts = [self.passed_over(), slowed, replicated];
        let parts: Vec<String> = parts.into_iter().flatten().collect();
        (!parts.is_empty()).then(|| parts.join("; "))
    }

    fn refusal(&self) -> Option<String> {
        let passed_over = self.passed_over()?;
        let is_overloaded = self.field("code")?.starts_with(OVERLOADED);
        let of_all = match is_overloaded && self.field("all_at_rest") == Some("true") {
            true => "no endpoint was left that may run it; ",
            false => "",
        };
        Some(format!("{of_all}{passed_over}"))
    }

    /// The endpoints that weren't considered when the line was written, or the endpoint chosen.
    fn passed_over(&self) -> Option<String> {
        let resting = self.count("resting").map(|count| {
            let first = self.field("first_back_ms").unwrap_or("?");
            format!("{count} at rest (the first is back in {first} ms)")
        });
        let returning = self
            .count("returning")
            .map(|count| format!("{count} back from a rest, with its first request under way"));
        let leaving = self
            .count("leaving")
            .map(|count| format!("{count} leaving"));
        let parts: Vec<String> = [resting, returning, leaving]
            .into_iter()
            .flatten()
            .collect();
        (!parts.is_empty()).then(|| format!("endpoints passed over: {}", parts.join(", ")))
    }

    /// A number above 0.
    fn count(&self, key: &str) -> Option<u64> {
        let count = self.field(key)?.parse().ok()?;
        (count > 0).then_some(count)
    }
}
