//! The story of one request, from the logs of all processes.
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
const REQUEST: &str = "request";
/// Messages that tell what a process believes, for each a subject; a later one about the
/// same subject takes the place of an earlier one.
const BELIEFS: [(&str, &str); 8] = [
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
const HEAD: [&str; 6] = ["ts", "level", "process", "target", "msg", REQUEST];

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
        Self::of(&object(line)?)
    }

    fn of(map: &Map<String, Value>) -> Option<Self> {
        let fields = map.iter().filter(|(key, _)| !HEAD.contains(&key.as_str()));
        Some(Self {
            at: text(map, "ts")?,
            process: text(map, "process")?,
            message: text(map, "msg")?,
            fields: fields
                .map(|(key, value)| (key.clone(), plain(value)))
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

fn object(line: &str) -> Option<Map<String, Value>> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

fn text(map: &Map<String, Value>, key: &str) -> Option<String> {
    Some(map.get(key)?.as_str()?.to_owned())
}

fn plain(value: &Value) -> String {
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
    /// Collects the story of a request from lines of logs. Each log's lines come in their
    /// order, one log after the other.
    pub fn from_lines<'a>(id: &str, lines: impl IntoIterator<Item = &'a str>) -> Self {
        let mut beliefs: BTreeMap<(String, &str), Event> = BTreeMap::new();
        let mut story = Self::default();
        for line in lines {
            let Some(map) = object(line) else {
                continue;
            };
            let Some(event) = Event::of(&map) else {
                continue;
            };
            if is_about(&map, id) {
                story.meet(&beliefs, &event.process);
                story.events.push(event);
            } else if let Some(subject) = subject(&event.message) {
                beliefs.insert((event.process.clone(), subject), event);
            }
        }
        // Lines of one process at the same moment keep their order.
        story.events.sort_by(|a, b| a.at.cmp(&b.at));
        story.process_states.sort_by(|a, b| a.at.cmp(&b.at));
        story
    }

    /// Notes what a process believed when it first had the request.
    fn meet(&mut self, beliefs: &BTreeMap<(String, &str), Event>, process: &str) {
        if self.events.iter().any(|event| event.process == process) {
            return;
        }
        let own = beliefs.iter().filter(|((of, _), _)| of == process);
        self.process_states
            .extend(own.map(|(_, event)| event.clone()));
    }
}

fn subject(message: &str) -> Option<&'static str> {
    let found = BELIEFS.iter().find(|(said, _)| *said == message);
    found.map(|(_, subject)| *subject)
}

fn is_about(map: &Map<String, Value>, id: &str) -> bool {
    map.get(REQUEST).is_some_and(|value| plain(value) == id)
}
