//! The trace of one request, collected from the logs of all processes.
//!
//! Each process that made a decision about a request logs lines with the request's id.
//! [`RequestTrace`] sorts these lines by time. It also holds the state that each of these
//! processes had logged before: its routes, its endpoints, whether it reached control.
//! Clocks of VMs differ, so lines of different processes may be out of order by that
//! difference; lines of one process keep their order.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::{Map, Value};

/// Log key of a request's id.
const REQUEST_FIELD: &str = "request";
/// Messages that log a part of a process's state, each with its topic. A later message
/// replaces an earlier one of the same topic.
const STATE_MESSAGES: [(&str, &str); 9] = [
    ("routes in force", "routes"),
    ("list of endpoints", "endpoints"),
    ("list of endpoints changed", "endpoints"),
    ("evacuated failure domains", "evacuated"),
    ("control replica reachable", "control"),
    ("no control replica reachable", "control"),
    ("number of gateways sharing the retry floor", "floor"),
    ("planned stop begins", "stop"),
    ("leadership or membership", "leader"),
];
/// Messages that log what an endpoint has said, each with its topic. A later message replaces an
/// earlier one of the same topic and endpoint.
const ENDPOINT_MESSAGES: [(&str, &str); 3] = [
    ("endpoint asks for rest", "rest"),
    ("rest of an endpoint is over", "rest"),
    ("endpoint is leaving", "leaving"),
];
/// Messages that log whether a service has room, each with its topic. A later message replaces an earlier one
/// of the same service and region.
const SERVICE_MESSAGES: [(&str, &str); 4] = [
    ("service is short of room", "room"),
    ("service has room again", "room"),
    ("service is divided among workspaces", "shares"),
    ("service is no longer divided among workspaces", "shares"),
];
/// Message that a start of an endpoint has ended, so that what it has said is void.
const NEW_START: &str = "an endpoint has started anew";
/// What endpoints have said last, of each process.
const MAX_ENDPOINT_STATES: usize = 16;
/// Keys that are in every line. They aren't listed again in [`Event::fields`].
const HEADER_FIELDS: [&str; 6] = ["ts", "level", "process", "target", "msg", REQUEST_FIELD];

/// One parsed log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Timestamp by the process's clock, in RFC 3339.
    pub at: String,
    /// Name of the process.
    pub process: String,
    /// The message text.
    pub message: String,
    /// The other keys with their values, sorted by key.
    pub fields: Vec<(String, String)>,
}

impl Event {
    /// Parses a JSON log line. Text before the first `{` is skipped, since other programs
    /// may prefix lines. `None` if it is no JSON object with the usual keys.
    pub fn parse(line: &str) -> Option<Self> {
        Self::from_object(&parse_object(line)?)
    }

    /// The value of a key; `None` if the line lacks it.
    pub(crate) fn field(&self, key: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(name, _)| name == key);
        field.map(|(_, value)| value.as_str())
    }

    fn from_object(map: &Map<String, Value>) -> Option<Self> {
        let fields = map
            .iter()
            .filter(|(key, _)| !HEADER_FIELDS.contains(&key.as_str()));
        let mut fields: Vec<_> = fields
            .map(|(key, value)| (key.clone(), value_text(value)))
            .collect();
        fields.sort();
        Some(Self {
            at: text(map, "ts")?,
            process: text(map, "process")?,
            message: text(map, "msg")?,
            fields,
        })
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.at, self.process, self.message)?;
        self.fields
            .iter()
            .try_for_each(|(key, value)| write!(f, " {key}={value}"))
    }
}

fn parse_object(line: &str) -> Option<Map<String, Value>> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

fn text(map: &Map<String, Value>, key: &str) -> Option<String> {
    Some(map.get(key)?.as_str()?.to_owned())
}

fn value_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

/// What a line of a process's state is about. A later line replaces an earlier one of the same.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Topic {
    Process(&'static str),
    Service(&'static str, String, String),
    Endpoint(&'static str, String),
}

impl Topic {
    fn of(event: &Event) -> Option<Self> {
        if let Some(topic) = find(&STATE_MESSAGES, &event.message) {
            return Some(Self::Process(topic));
        }
        if let Some(topic) = find(&SERVICE_MESSAGES, &event.message) {
            let field = |key| event.field(key).map(str::to_owned);
            let region = field("region").unwrap_or_default();
            return Some(Self::Service(topic, field("service")?, region));
        }
        let topic = find(&ENDPOINT_MESSAGES, &event.message)?;
        Some(Self::Endpoint(topic, event.field("endpoint")?.to_owned()))
    }
}

fn find(messages: &[(&str, &'static str)], message: &str) -> Option<&'static str> {
    let entry = messages.iter().find(|(known, _)| *known == message);
    entry.map(|(_, topic)| *topic)
}

/// The last lines of each process's state.
#[derive(Default)]
struct ProcessStates(BTreeMap<String, BTreeMap<Topic, Event>>);

impl ProcessStates {
    fn record(&mut self, event: Event) {
        if event.message == NEW_START {
            self.forget_start(&event);
        } else if let Some(topic) = Topic::of(&event) {
            let states = self.0.entry(event.process.clone()).or_default();
            states.insert(topic, event);
        }
    }

    /// Drops what the start of an endpoint has said that has ended.
    fn forget_start(&mut self, ended: &Event) {
        let Some(addr) = ended.field("addr") else {
            return;
        };
        if let Some(states) = self.0.get_mut(&ended.process) {
            states.retain(|_, event| event.field("addr") != Some(addr));
        }
    }

    /// The state of a process, with what endpoints have said last.
    fn of(&self, process: &str) -> Vec<Event> {
        let states = self.0.get(process).into_iter().flatten();
        let (mut of_endpoints, mut state): (Vec<_>, Vec<_>) =
            states.partition(|(topic, _)| matches!(topic, Topic::Endpoint(..)));
        of_endpoints.sort_by(|(_, a), (_, b)| b.at.cmp(&a.at));
        state.extend(of_endpoints.into_iter().take(MAX_ENDPOINT_STATES));
        state.into_iter().map(|(_, event)| event.clone()).collect()
    }
}

/// What the logs contain about one request.
#[derive(Clone, Debug, Default)]
pub struct RequestTrace {
    /// State that the processes involved had logged before their first line about it.
    pub process_states: Vec<Event>,
    /// The lines about the request, sorted by time.
    pub events: Vec<Event>,
}

impl RequestTrace {
    /// Collects the trace of the request `id`. The lines of each log must be in their
    /// original order, one log after the other.
    pub fn from_lines<'a>(id: &str, lines: impl IntoIterator<Item = &'a str>) -> Self {
        let mut states = ProcessStates::default();
        let mut trace = Self::default();
        for line in lines {
            let Some(map) = parse_object(line) else {
                continue;
            };
            let Some(event) = Event::from_object(&map) else {
                continue;
            };
            if is_about(&map, id) {
                trace.add_states_of(&states, &event.process);
                trace.events.push(event);
            } else {
                states.record(event);
            }
        }
        // The sort is stable: lines of one process with equal timestamps keep their order.
        trace.events.sort_by(|a, b| a.at.cmp(&b.at));
        trace.process_states.sort_by(|a, b| a.at.cmp(&b.at));
        trace
    }

    /// Adds the state that a process had logged before its first line about the request.
    fn add_states_of(&mut self, states: &ProcessStates, process: &str) {
        if self.events.iter().all(|event| event.process != process) {
            self.process_states.extend(states.of(process));
        }
    }
}

fn is_about(map: &Map<String, Value>, id: &str) -> bool {
    map.get(REQUEST_FIELD)
        .is_some_and(|value| value_text(value) == id)
}
