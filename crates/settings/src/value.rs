//! Value types and their parsing.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use filberthead_types::{FailureDomain, NodeName, Region, ServiceName};
use log::LevelFilter;

use crate::{ContentionControl, LogFormat, LogStream, ReviewPolicy};

/// Bound of durations, in milliseconds: up to it an `f64` represents integers exactly.
const MAX_DURATION_MS: f64 = (1_u64 << 53) as f64;

/// A type that values of keys are parsed into.
pub(crate) trait Value: Sized + PartialOrd {
    /// Description of the format, as text that follows "allowed:".
    const FORM: &'static str;

    /// The allowed words; empty if the value isn't one of a fixed set.
    const CHOICES: &'static [&'static str] = &[];

    /// Parses a value; `None` if the text has the wrong format.
    fn read(text: &str) -> Option<Self>;
}

/// The program that a file is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub(crate) enum Role {
    Entry,
    Control,
    Gateway,
}

impl Role {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control => "control",
            Self::Gateway => "gateway",
        }
    }
}

impl Value for Role {
    const FORM: &'static str = "`entry`, `control` or `gateway`";
    const CHOICES: &'static [&'static str] = &["entry", "control", "gateway"];

    fn read(text: &str) -> Option<Self> {
        match text {
            "entry" => Some(Self::Entry),
            "control" => Some(Self::Control),
            "gateway" => Some(Self::Gateway),
            _ => None,
        }
    }
}

impl Value for LogFormat {
    const FORM: &'static str = "`plain` or `json`";
    const CHOICES: &'static [&'static str] = &["plain", "json"];

    fn read(text: &str) -> Option<Self> {
        match text {
            "plain" => Some(Self::Plain),
            "json" => Some(Self::Json),
            _ => None,
        }
    }
}

impl Value for LogStream {
    const FORM: &'static str = "`stdout` or `stderr`";
    const CHOICES: &'static [&'static str] = &["stdout", "stderr"];

    fn read(text: &str) -> Option<Self> {
        match text {
            "stdout" => Some(Self::Stdout),
            "stderr" => Some(Self::Stderr),
            _ => None,
        }
    }
}

impl Value for ReviewPolicy {
    const FORM: &'static str = "`optional` or `required`";
    const CHOICES: &'static [&'static str] = &["optional", "required"];

    fn read(text: &str) -> Option<Self> {
        match text {
            "optional" => Some(Self::Optional),
            "required" => Some(Self::Required),
            _ => None,
        }
    }
}

impl Value for ContentionControl {
    const FORM: &'static str = "`auto`, `always` or `never`";
    const CHOICES: &'static [&'static str] = &["auto", "always", "never"];

    fn read(text: &str) -> Option<Self> {
        match text {
            "auto" => Some(Self::Auto),
            "always" => Some(Self::Always),
            "never" => Some(Self::Never),
            _ => None,
        }
    }
}

impl Value for LevelFilter {
    const FORM: &'static str = "`off`, `error`, `warn`, `info`, `debug` or `trace`";
    const CHOICES: &'static [&'static str] = &["off", "error", "warn", "info", "debug", "trace"];

    fn read(text: &str) -> Option<Self> {
        if !Self::CHOICES.contains(&text) {
            return None;
        }
        text.parse().ok()
    }
}

macro_rules! name_value {
    ($name:ty) => {
        impl Value for $name {
            const FORM: &'static str = "a name: 1 to 63 of a-z, 0-9, `-`, `.` and `_`";

            fn read(text: &str) -> Option<Self> {
                text.parse().ok()
            }
        }
    };
}

name_value!(NodeName);
name_value!(Region);
name_value!(FailureDomain);
name_value!(ServiceName);

/// Name of a cluster.
#[derive(Clone, Debug, PartialEq, PartialOrd)]
pub(crate) struct ClusterName(pub(crate) String);

impl Value for ClusterName {
    const FORM: &'static str = NodeName::FORM;

    fn read(text: &str) -> Option<Self> {
        let name = NodeName::read(text)?;
        Some(Self(name.as_str().to_owned()))
    }
}

/// An address to listen on; with port 0 the system chooses a port.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) struct ListenAddr(pub(crate) SocketAddr);

impl Value for ListenAddr {
    const FORM: &'static str =
        "IP:PORT by number, such as `10.0.1.5:7100`; host names are not looked up";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok().map(Self)
    }
}

/// An address that other processes connect to.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) struct TargetAddr(pub(crate) SocketAddr);

impl Value for TargetAddr {
    const FORM: &'static str = "IP:PORT by number, such as `10.0.1.5:7100`, that others can \
                                connect to (neither 0.0.0.0 nor port 0); host names are not \
                                looked up";

    fn read(text: &str) -> Option<Self> {
        let addr: SocketAddr = text.parse().ok()?;
        is_target(addr).then_some(Self(addr))
    }
}

/// A list of addresses that other processes connect to.
#[derive(Clone, Debug, PartialEq, PartialOrd)]
pub(crate) struct TargetList(pub(crate) Vec<SocketAddr>);

impl Value for TargetList {
    const FORM: &'static str = "IP:PORT by number, such as `10.0.1.5:7101, 10.0.2.5:7101`, \
                                separated by commas; host names are not looked up";

    fn read(text: &str) -> Option<Self> {
        let addrs = text.split(',').map(|part| TargetAddr::read(part.trim()));
        let addrs: Option<Vec<_>> = addrs.map(|addr| addr.map(|addr| addr.0)).collect();
        addrs.map(Self)
    }
}

/// A list of failure domains.
#[derive(Clone, Debug, PartialEq, PartialOrd)]
pub(crate) struct DomainList(pub(crate) Vec<FailureDomain>);

impl Value for DomainList {
    const FORM: &'static str = "names, such as `split-a, zagreb-b`, separated by commas";

    fn read(text: &str) -> Option<Self> {
        let names = text.split(',').map(|part| FailureDomain::read(part.trim()));
        names.collect::<Option<Vec<_>>>().map(Self)
    }
}

fn is_target(addr: SocketAddr) -> bool {
    addr.port() != 0 && !addr.ip().is_unspecified()
}

/// An `http` URL whose host is an IP address.
#[derive(Clone, Debug, PartialEq, PartialOrd)]
pub(crate) struct HttpUrl(pub(crate) String);

impl Value for HttpUrl {
    const FORM: &'static str = "`http://IP:PORT/path` with the IP by number; host names are not \
                                looked up";

    fn read(text: &str) -> Option<Self> {
        let rest = text.strip_prefix("http://")?;
        let authority = rest
            .split_once('/')
            .map_or(rest, |(authority, _)| authority);
        let printable = text.bytes().all(|b| b.is_ascii_graphic());
        let valid_host =
            authority.parse().is_ok_and(is_target) || authority.parse::<IpAddr>().is_ok();
        (printable && valid_host).then(|| Self(text.to_owned()))
    }
}

impl Value for PathBuf {
    const FORM: &'static str = "a path; a relative one starts at the working directory";

    fn read(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| text.into())
    }
}

impl Value for Duration {
    const FORM: &'static str =
        "a number with `ms`, `s`, `m`, `h` or `d`, such as `500ms` or `2.5s`";

    fn read(text: &str) -> Option<Self> {
        let end = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
        let (number, unit) = text.split_at(end);
        let number: f64 = number.parse().ok()?;
        let unit_s = match unit.trim_start() {
            "ms" => 0.001,
            "s" => 1.0,
            "m" => 60.0,
            "h" => 60.0 * 60.0,
            "d" => 24.0 * 60.0 * 60.0,
            _ => return None,
        };
        let rounded_ms = (number * unit_s * 1000.0).round();
        (rounded_ms < MAX_DURATION_MS).then(|| Self::from_millis(rounded_ms as u64))
    }
}

/// Largest number of bytes: 2^53.
const MAX_BYTES: f64 = 9_007_199_254_740_992.0;

/// A number of bytes.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) struct ByteSize(pub(crate) u64);

impl Value for ByteSize {
    const FORM: &'static str = "a number with `B`, `KiB`, `MiB` or `GiB`, such as `64KiB`";

    fn read(text: &str) -> Option<Self> {
        let end = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
        let (number, unit) = text.split_at(end);
        let shift = match unit.trim_start() {
            "B" => 0,
            "KiB" => 10,
            "MiB" => 20,
            "GiB" => 30,
            _ => return None,
        };
        let bytes = (number.parse::<f64>().ok()? * f64::from(1 << shift)).round();
        // Whole numbers are exact up to here.
        (bytes <= MAX_BYTES).then_some(Self(bytes as u64))
    }
}

impl Value for u32 {
    const FORM: &'static str = "a whole number";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl Value for usize {
    const FORM: &'static str = "a whole number";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

/// A percentage, stored as a fraction of 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) struct Percent(pub(crate) f64);

impl Value for Percent {
    const FORM: &'static str = "a number with `%`, such as `99.5%`";

    fn read(text: &str) -> Option<Self> {
        let number: f64 = text.strip_suffix('%')?.trim_end().parse().ok()?;
        number.is_finite().then_some(Self(number / 100.0))
    }
}

impl Value for f64 {
    const FORM: &'static str = "a number, such as `0.2`";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok().filter(|number: &Self| number.is_finite())
    }
}

impl Value for bool {
    const FORM: &'static str = "`true` or `false`";
    const CHOICES: &'static [&'static str] = &["true", "false"];

    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}
