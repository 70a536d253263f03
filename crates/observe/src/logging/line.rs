//! Formatting of a log line.

use std::borrow::Cow;
use std::fmt::{self, Write as _};
use std::time::SystemTime;

use filberthead_settings::LogFormat;
use log::Record;
use log::kv::{Error, Key, Value, VisitSource, VisitValue};
use serde::Serializer as _;
use serde_json::{Serializer, Value as Json};

const TS: &str = "ts";
const LEVEL: &str = "level";
const PROCESS: &str = "process";
const TARGET: &str = "target";
const MSG: &str = "msg";
const RESERVED_KEYS: [&str; 5] = [TS, LEVEL, PROCESS, TARGET, MSG];

/// Formats a record, without a line end.
///
/// Messages and values may contain text from callers, so control characters are escaped:
/// otherwise a caller could forge a second line. A key of the call that collides with one
/// of the line's own keys gets an underscore appended.
pub fn format_line(
    format: LogFormat,
    process: &str,
    now: SystemTime,
    message: &fmt::Arguments<'_>,
    record: &Record<'_>,
) -> String {
    let ts = humantime::format_rfc3339_millis(now).to_string();
    match format {
        LogFormat::Json => json(&ts, process, message, record),
        LogFormat::Plain => plain(&ts, process, message, record),
    }
}

fn json(ts: &str, process: &str, message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let level = record.level().as_str().to_ascii_lowercase();
    let header = [
        (TS, ts.into()),
        (LEVEL, level.into()),
        (PROCESS, process.into()),
        (TARGET, record.target().into()),
        (MSG, message.to_string().into()),
    ];
    let header = header.map(|(key, value)| (key.to_owned(), value));
    let pairs = header.into_iter().chain(pairs(record));
    // Pairs instead of a map, which would sort its keys and put `ts` last. Strings,
    // numbers and booleans can always be serialized.
    let mut line = Serializer::new(Vec::new());
    let written = line.collect_map(pairs);
    debug_assert!(written.is_ok());
    String::from_utf8(line.into_inner()).unwrap_or_default()
}

fn plain(ts: &str, process: &str, message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let (level, target) = (record.level(), record.target());
    let message = message.to_string();
    let mut line = format!(
        "{ts} {level:<5} {process} {target}: {}",
        escape_control(&message)
    );
    for (key, value) in pairs(record) {
        let text = match value {
            Json::String(text) => quote_if_needed(&text).into_owned(),
            other => other.to_string(),
        };
        // Writing to a `String` can't fail.
        let _ = write!(line, " {key}={text}");
    }
    line
}

fn escape_control(text: &str) -> Cow<'_, str> {
    if !text.contains(char::is_control) {
        return text.into();
    }
    let escape = |c: char| match c.is_control() {
        true => c.escape_default().to_string(),
        false => c.to_string(),
    };
    text.chars().map(escape).collect::<String>().into()
}

/// Quotes a value that could be confused with the next key.
fn quote_if_needed(text: &str) -> Cow<'_, str> {
    let plain = |c: char| !c.is_control() && !c.is_whitespace() && c != '"' && c != '=';
    if !text.is_empty() && text.chars().all(plain) {
        return text.into();
    }
    format!("{text:?}").into()
}

fn pairs(record: &Record<'_>) -> Vec<(String, Json)> {
    let mut pairs = KeyValues(Vec::new());
    // The visitor never fails; if the source does, only its remaining keys are lost.
    let _ = record.key_values().visit(&mut pairs);
    pairs.0
}

struct KeyValues(Vec<(String, Json)>);

impl<'kvs> VisitSource<'kvs> for KeyValues {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let mut key = key.as_str().to_owned();
        if RESERVED_KEYS.contains(&key.as_str()) {
            key.push('_');
        }
        let mut json = JsonValue(Json::Null);
        value.visit(&mut json)?;
        self.0.push((key, json.0));
        Ok(())
    }
}

/// Keeps numbers and booleans as they are; everything else becomes a string.
struct JsonValue(Json);

impl<'v> VisitValue<'v> for JsonValue {
    fn visit_any(&mut self, value: Value<'_>) -> Result<(), Error> {
        self.0 = value.to_string().into();
        Ok(())
    }

    fn visit_null(&mut self) -> Result<(), Error> {
        self.0 = Json::Null;
        Ok(())
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_f64(&mut self, value: f64) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_str(&mut self, value: &str) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }
}
