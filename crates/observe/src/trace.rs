//! The trace of one request, from the logs of all processes.
//!
//! A request leaves lines in the log of each process that decided about it. [`RequestTrace`] puts
//! those of one id in the order of time, and before them what each of these processes last
//! said about what it believed: which routes, which endpoints, whether it heard control.
//! Clocks of VMs differ, so lines of different processes may stand in a wrong order by that
//! much; those of one process keep their order.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::{Map, Value};

/// Field that holds a request's id.
const REQUEST_FIELD: &str = "request";
/// Messages that tell what a process believes, for each a topic; a later one about the
/// same topic takes the place of an earlier one.
const STATE_MESSAGES: [(&str, &str); 8] = [
    ("routes in force", "routes"),
    ("list of endpoints", "endpoints"),
    ("list of endpoints changed", "endpoints"),
    ("evacuated failure domains", "evacuated"),
    ("control is heard", "control"),
    ("no control replica is heard", "control"),
    ("planned stop begins", "stop"),
    ("leadership or membership", "leader"),
];
/// Fields that stand in each line and are shown apart, or tell nothing here.
const HEADER_FIELDS: [&str; 6] = ["ts", "level", "process", "target", "msg", REQUEST_FIELD];

/// A line of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// When, as the process's clock had it.
    pub at: String,
    /// Which process.
    pub process: String,
    /// What happened.
    pub message: String,
    /// The inputs and outcome, in the order of their names.
    pub fields: Vec<(String, String)>,
}

impl Event {
    /// Reads a JSON line, wherever in the text it begins; `None` if there is none.
    pub fn parse(line: &str) -> Option<Self> {
        Self::from_object(&parse_object(line)?)
    }

    fn from_object(map: &Map<String, Value>) -> Option<Self> {
        let fields = map
            .iter()
            .filter(|(key, _)| !HEADER_FIELDS.contains(&key.as_str()));
        Some(Self {
            at: text(map, "ts")?,
            process: text(map, "process")?,
            message: text(map, "msg")?,
            fields: fields
                .map(|(key, value)| (key.clone(), value_text(value)))
                .collect(),
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

/// What logs tell of a request.
#[derive(Clone, Debug, Default)]
pub struct RequestTrace {
    /// What the processes that it met believed before.
    pub process_states: Vec<Event>,
    /// What happened to it, in order.
    pub events: Vec<Event>,
}

impl RequestTrace {
    /// Collects the trace of a request from lines of logs. Each log's lines come in their
    /// order, one log after the other.
    pub fn from_lines<'a>(id: &str, lines: impl IntoIterator<Item = &'a str>) -> Self {
        let mut states: BTreeMap<(String, &str), Event> = BTreeMap::new();
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
            } else if let Some(topic) = topic_of(&event.message) {
                states.insert((event.process.clone(), topic), event);
            }
        }
        // Lines of one process at the same moment keep their order.
        trace.events.sort_by(|a, b| a.at.cmp(&b.at));
        trace.process_states.sort_by(|a, b| a.at.cmp(&b.at));
        trace
    }

    /// Notes what a process believed when it first had the request.
    fn add_states_of(&mut self, states: &BTreeMap<(String, &str), Event>, process: &str) {
        if self.events.iter().any(|event| event.process == process) {
            return;
        }
        let own = states.iter().filter(|((owner, _), _)| owner == process);
        self.process_states
            .extend(own.map(|(_, event)| event.clone()));
    }
}

fn topic_of(message: &str) -> Option<&'static str> {
    let entry = STATE_MESSAGES
        .iter()
        .find(|(state_message, _)| *state_message == message);
    entry.map(|(_, topic)| *topic)
}

fn is_about(map: &Map<String, Value>, id: &str) -> bool {
    map.get(REQUEST_FIELD)
        .is_some_and(|value| value_text(value) == id)
}
