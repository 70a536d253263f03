//! The format of log lines, and that writing them never blocks the caller.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use filberthead_observe::{ControlMetrics, format_line, logger};
use filberthead_settings::{LogFormat, LogSettings};
use log::{Level, LevelFilter, Record};
use serde_json::{Value, json};

fn record_line(format: LogFormat, message: &str, pairs: &[(&str, log::kv::Value<'_>)]) -> String {
    let record = Record::builder()
        .level(Level::Warn)
        .target("filberthead::entry")
        .key_values(&pairs)
        .build();
    let now = SystemTime::UNIX_EPOCH + Duration::from_millis(1_500);
    format_line(
        format,
        "zagreb-a-1",
        now,
        &format_args!("{message}"),
        &record,
    )
}

#[test]
fn json_line_has_its_keys_and_those_of_the_call() {
    let pairs = [
        ("code", 1200_u16.into()),
        ("request", "r 1".into()),
        ("late", true.into()),
    ];
    let line = record_line(LogFormat::Json, "refused", &pairs);
    assert!(line.starts_with("{\"ts\":\"1970-01-01T00:00:01.500Z\",\"level\":\"warn\","));
    let value: Value = serde_json::from_str(&line).expect("a line is a JSON object");
    let expected = json!({
        "ts": "1970-01-01T00:00:01.500Z",
        "level": "warn",
        "process": "zagreb-a-1",
        "target": "filberthead::entry",
        "msg": "refused",
        "code": 1200,
        "request": "r 1",
        "late": true,
    });
    assert_eq!(value, expected);
}

#[test]
fn plain_line_quotes_what_could_be_misread() {
    let pairs = [
        ("code", 1200_u16.into()),
        ("path", "a b=c".into()),
        ("empty", "".into()),
    ];
    let line = record_line(LogFormat::Plain, "refused", &pairs);
    let expected = "1970-01-01T00:00:01.500Z WARN  zagreb-a-1 filberthead::entry: refused \
                    code=1200 path=\"a b=c\" empty=\"\"";
    assert_eq!(line, expected);
}

/// A caller sends a path that contains a line break and a forged log line. If control
/// characters were written unescaped, the log would show an event that never happened.
#[test]
fn callers_can_not_forge_a_line() {
    let forged = "x\n1970-01-01T00:00:00.000Z INFO  control-1 table: accepted";
    for format in [LogFormat::Plain, LogFormat::Json] {
        let line = record_line(format, forged, &[("path", forged.into())]);
        assert!(!line.contains('\n'), "{line}");
    }
}

#[test]
fn keys_of_the_call_do_not_replace_those_of_the_line() {
    let line = record_line(LogFormat::Json, "true text", &[("msg", "other".into())]);
    let value: Value = serde_json::from_str(&line).expect("a line is a JSON object");
    assert_eq!(value["msg"], "true text");
    assert_eq!(value["msg_"], "other");
}

#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Output {
    fn text(&self) -> String {
        let bytes = self.0.lock().expect("no panic under the lock").clone();
        String::from_utf8(bytes).expect("lines are UTF-8")
    }
}

impl Write for Output {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no panic under the lock").extend(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output whose first write blocks until it is released.
struct BlockingOutput {
    release: Receiver<()>,
    entered: Sender<()>,
    released: bool,
    output: Output,
}

impl Write for BlockingOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if !self.released {
            self.entered.send(()).expect("the test waits");
            self.release.recv().expect("the test releases");
            self.released = true;
        }
        self.output.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn settings(level: LevelFilter) -> LogSettings {
    LogSettings {
        level,
        format: LogFormat::Json,
        stream: filberthead_settings::LogStream::default(),
    }
}

fn log_info(logger: &dyn log::Log, message: &str) {
    let record = |args| logger.log(&Record::builder().level(Level::Info).args(args).build());
    record(format_args!("{message}"));
}

#[test]
fn lines_below_the_level_are_not_written() {
    let output = Output::default();
    let (logger, guard) =
        logger(&settings(LevelFilter::Warn), "p", output.clone()).expect("a thread starts");
    log_info(&*logger, "unseen");
    guard.flush();
    assert_eq!(output.text(), "");
}

/// Guards against requests that time out while the processor is idle: the reader of the
/// log stops reading, the pipe fills, and a duty that wrote its log itself would block.
#[test]
fn blocked_output_blocks_no_caller_and_lost_lines_are_counted() {
    let output = Output::default();
    let (tx, release) = channel();
    let (entered, rx) = channel();
    let blocking = BlockingOutput {
        release,
        entered,
        released: false,
        output: output.clone(),
    };
    let (logger, guard) =
        logger(&settings(LevelFilter::Info), "p", blocking).expect("a thread starts");
    log_info(&*logger, "first");
    rx.recv().expect("the output blocks now");
    let mut sent = 1;
    while guard.dropped().total() < 10 {
        log_info(&*logger, "more");
        sent += 1;
    }
    tx.send(()).expect("the output waits");
    guard.flush();
    log_info(&*logger, "last");
    guard.flush();

    let metrics = ControlMetrics::new().encode();
    assert!(
        metrics.contains("filberthead_log_dropped_lines_total 10\n"),
        "{metrics}"
    );
    let text = output.text();
    let lines: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("each line is whole"))
        .collect();
    // Each line was either written or dropped; one extra line marks the gap.
    assert_eq!(lines.len(), sent - 10 + 2);
    let [.., missing_line, last] = &lines[..] else {
        panic!("{text}");
    };
    assert_eq!(missing_line["missing"], 10);
    assert_eq!(last["msg"], "last");
}
