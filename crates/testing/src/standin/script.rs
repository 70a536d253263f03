//! The script of a stand-in: its behaviour and faults.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Endless;
use crate::cut::AnswerCut;

/// How a stand-in handles a request while all its slots are taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum WhenFull {
    /// It answers 503 and doesn't execute the request.
    #[default]
    Shed,
    /// It waits for a slot.
    Wait,
}

/// Behaviour of a stand-in; every field may be changed while it runs.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Script {
    /// Whether `/health` reports ready. Default true.
    pub ready: bool,
    /// Whether `/health` reports leaving. Default false.
    pub leaving: bool,
    /// Load that `/health` reports, 0 to 1. `None`, the default, reports the real load.
    pub load: Option<f64>,
    /// Whether `/health` repeats its last answer regardless of changes. Default false.
    pub frozen: bool,
    /// Whether `/health` fails with 500. Default false.
    pub health_fails: bool,
    /// Delay of `/health` answers. Default zero.
    pub health_delay: Duration,
    /// Requests that can run concurrently. Default 3.
    pub slots: u32,
    /// How requests above `slots` are handled. Default [`WhenFull::Shed`].
    pub when_full: WhenFull,
    /// How long a request runs. Default zero.
    pub service_time: Duration,
    /// Version of all downloads; it determines their bytes and validator. Default 1.
    pub download_version: u64,
    /// Rate of each answer, in bytes per second. `None`, the default, is unlimited.
    pub pace: Option<u64>,
    /// Time from a crash to the restart. `None`, the default, waits for
    /// [`Standin::restart`](super::Standin::restart). A crashed stand-in process stays down.
    pub restart_after: Option<Duration>,
    /// Whether requests are recorded. Default true.
    pub record: bool,
    /// Faults; the first rule that matches a request is applied.
    pub rules: Vec<Rule>,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            ready: true,
            leaving: false,
            load: None,
            frozen: false,
            health_fails: false,
            health_delay: Duration::ZERO,
            slots: 3,
            when_full: WhenFull::default(),
            service_time: Duration::ZERO,
            download_version: 1,
            pace: None,
            restart_after: None,
            record: true,
            rules: Vec::new(),
        }
    }
}

/// A fault for some requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Rule {
    /// Requests that it applies to.
    pub when: When,
    /// The fault that they get.
    pub fault: Fault,
    /// How often the rule still applies; `None` is unlimited.
    pub times: Option<u32>,
}

impl Rule {
    /// A rule for the next matching request only.
    pub fn once(when: When, fault: Fault) -> Self {
        let times = Some(1);
        Self { when, fault, times }
    }

    /// A rule for every matching request.
    pub fn always(when: When, fault: Fault) -> Self {
        let times = None;
        Self { when, fault, times }
    }
}

/// Requests that a rule applies to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum When {
    /// All requests.
    Any,
    /// Requests with this method.
    Method(String),
    /// Requests whose path starts with this text.
    Path(String),
    /// Requests with this idempotency key.
    Key(String),
    /// Requests whose body contains this text.
    Body(String),
}

/// A fault of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Fault {
    /// The endpoint crashes before it executes the request.
    CrashBefore,
    /// The endpoint executes the request and crashes before it answers.
    CrashAfter,
    /// The request isn't executed; the answer is 503.
    Shed,
    /// The same, with this `Retry-After`.
    ShedForRest(String),
    /// The request isn't executed; the connection is reset.
    ResetBefore,
    /// The request is executed; the connection is reset instead of an answer.
    ResetAfter,
    /// The request is executed; the connection ends after this many bytes of the answer's body.
    Truncate(u64),
    /// The request is executed at once; its answer is delayed by this time.
    Late(Duration),
    /// The request is executed; the answer is that of another request, with that request's id.
    Crossed,
    /// The request is executed; no answer is sent while the connection lasts.
    Silent,
    /// The request is executed and fails with this status.
    Status(u16),
    /// The request is executed; its answer ends early.
    Cut(AnswerCut),
    /// The request is executed; its answer is sent in chunks, without a length.
    Chunked,
    /// The request is executed; its answer is sent in chunks, with another transfer coding within them.
    TransferCoded,
    /// The request is executed; bytes without end are sent in place of an answer, in as many pieces as
    /// [`Script::pace`] asks for.
    Endless(Endless),
}
