//! What a log line says of endpoints, of requests that wait and of services that are short of capacity, in
//! plain words.

use crate::Event;

/// Result code of a request for which endpoints have no room.
const OVERLOADED: &str = "1200";
/// Result code of a request that exceeds its workspace's share of a service.
const SHARE_USED: &str = "1215";

impl Event {
    /// What the line says of endpoints, of objects at several of them, of a request that waits, or of a service
    /// that is short of capacity; `None` if it says nothing of them.
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
            "refused" if self.field("by") == Some("waiting-room") => self.rejection(),
            "service is divided among workspaces" => Some(format!(
                "workspaces ask for more of service {} than it serves; control divides it among them",
                self.field("service")?
            )),
            "refused" if self.field("code")?.starts_with(SHARE_USED) => Some(format!(
                "workspace {} asks for more than its share of service {}, which is short of capacity; \
                 the caller may come back in {} ms",
                self.field("workspace")?,
                self.field("service")?,
                self.field("retry_after_ms")?
            )),
            "refused" => self.refusal(),
            "request waited in line" => self.wait_in_line(),
            _ => self.wait(),
        }
    }

    /// What the line says of a request that waits for room at endpoints.
    fn wait(&self) -> Option<String> {
        match self.message.as_str() {
            "service is short of room" => Some(format!(
                "requests wait too long at the endpoints of {}: this gateway had {} requests in flight there, \
                 and lets further ones wait",
                self.site()?,
                self.field("in_flight")?
            )),
            "service has room again" => Some(format!(
                "requests for {} are forwarded at once",
                self.site()?
            )),
            "request waits" => Some(format!(
                "waits at the gateway, as the endpoints of {} are congested",
                self.site()?
            )),
            "request started after waiting" => {
                Some(format!("was started after {} ms", self.field("waited_ms")?))
            }
            "request gave way" => Some(format!(
                "waited {} ms, and others went before it until it couldn't be answered in time any more",
                self.field("waited_ms")?
            )),
            _ => None,
        }
    }

    fn site(&self) -> Option<String> {
        let (service, region) = (self.field("service")?, self.field("region")?);
        Some(format!("{service} in {region}"))
    }

    /// Why the waiting room has rejected a request.
    fn rejection(&self) -> Option<String> {
        let retry_after = self.field("retry_after_ms")?;
        let waited = match self.count("waited_ms") {
            Some(waited) => format!("it had waited {waited} ms"),
            None => "it couldn't have been started in time".to_owned(),
        };
        Some(format!(
            "the endpoints of the service are congested, and {waited}; no endpoint has received it; the caller \
             may return after {retry_after} ms"
        ))
    }

    fn endpoint(&self) -> String {
        format!("endpoint {}", self.field("endpoint").unwrap_or("?"))
    }

    /// How long a request has waited for others that its caller had sent before it on the connection.
    fn wait_in_line(&self) -> Option<String> {
        let started = self.count("before_start_ms").map(|ms| {
            format!("started {ms} ms after it had arrived, as a request before it had to end first")
        });
        let answered = self
            .count("answer_ms")
            .map(|ms| format!("its answer waited {ms} ms for those of requests before it"));
        let parts: Vec<String> = [started, answered].into_iter().flatten().collect();
        (!parts.is_empty()).then(|| format!("sent ahead on its connection: {}", parts.join("; ")))
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
