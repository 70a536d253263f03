//! An endpoint that runs as a process of its own, so that it can be suspended, starved and killed
//! while its kernel buffers hold what it hasn't read.

use std::fmt;
use std::io::BufRead;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::{Behaviour, Journal, JournalClock, Line, Records, Rest, SiteEndpoint};
use crate::process::Process;
use crate::proxy::FaultProxy;

/// Version of the software in entries of the list.
const SOFTWARE_VERSION: &str = "v1";

/// What an endpoint is.
#[derive(Clone, Debug)]
pub struct EndpointSpec {
    /// Its name; identities of its starts begin with it.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that wait for a slot before others are rejected.
    pub queue: u32,
    /// How long a request runs.
    pub run_time: Duration,
    /// How long it is cold after a start.
    pub warmup: Duration,
}

/// A change that a running endpoint is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointCommand {
    /// Handle this share of the requests so, and serve the others.
    Behave(Behaviour, f64),
    /// Run each request for this long.
    RunFor(Duration),
    /// Name this many requests per second as the rate that it takes, or none.
    NameLimit(Option<f64>),
    /// Reject requests and ask for rest, or stop doing so.
    AskForRest(Option<RestCommand>),
    /// Say in all answers that it is leaving, or stop saying so.
    SayLeaving(bool),
}

/// How an endpoint is told to ask for rest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RestCommand {
    /// The time that it asks for.
    pub time: Duration,
    /// Share of the requests that it rejects.
    pub share: f64,
    /// Whether it says that they did not run.
    pub not_executed: bool,
}

/// An endpoint as a process, with a proxy in front that keeps its address.
#[derive(Debug)]
pub struct ProcessEndpoint {
    spec: EndpointSpec,
    program: PathBuf,
    dir: PathBuf,
    link: FaultProxy,
    process: Option<Process>,
    /// Number of its starts.
    starts: u32,
    /// Start time in Unix milliseconds.
    started_ms: u64,
    draining: bool,
    /// Whether its process was told to say that it is leaving.
    leaving: bool,
}

/// Names of the behaviours that can be commanded.
const BEHAVIOURS: [(&str, Behaviour); 14] = [
    ("serve", Behaviour::Serves),
    ("shed", Behaviour::Sheds),
    ("lose", Behaviour::LosesAnswer),
    ("fail", Behaviour::Fails),
    ("cross", Behaviour::WrongRequestId),
    ("hang", Behaviour::Hangs),
    ("truncate", Behaviour::Truncates),
    ("endless-head", Behaviour::EndlessHead),
    ("endless-interim", Behaviour::EndlessInterim),
    ("endless-garbage", Behaviour::EndlessGarbage),
    ("endless-body", Behaviour::EndlessBody),
    ("endless-small-chunks", Behaviour::EndlessSmallChunks),
    ("endless-chunk-size", Behaviour::EndlessChunkSize),
    ("endless-unframed", Behaviour::EndlessUnframed),
];

impl fmt::Display for EndpointCommand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Behave(behaviour, share) => {
                let named = BEHAVIOURS.iter().find(|(_, known)| known == behaviour);
                write!(
                    f,
                    "behave {} {share}",
                    named.map_or("serve", |(name, _)| name)
                )
            }
            Self::RunFor(time) => write!(f, "run {}", time.as_millis()),
            Self::NameLimit(Some(per_s)) => write!(f, "limit {per_s}"),
            Self::NameLimit(None) => write!(f, "limit none"),
            Self::AskForRest(Some(rest)) => {
                let (ms, share, says) = (rest.time.as_millis(), rest.share, rest.not_executed);
                write!(f, "rest {ms} {share} {says}")
            }
            Self::AskForRest(None) => write!(f, "rest none"),
            Self::SayLeaving(leaving) => write!(f, "leaving {leaving}"),
        }
    }
}

impl FromStr for EndpointCommand {
    type Err = String;

    fn from_str(line: &str) -> Result<Self, String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let command = match words[..] {
            ["behave", name, share] => {
                let behaviour = BEHAVIOURS.iter().find(|(known, _)| *known == name);
                behaviour
                    .zip(share.parse().ok())
                    .map(|((_, b), share)| Self::Behave(*b, share))
            }
            ["run", ms] => ms
                .parse()
                .ok()
                .map(|ms| Self::RunFor(Duration::from_millis(ms))),
            ["limit", "none"] => Some(Self::NameLimit(None)),
            ["limit", per_s] => per_s.parse().ok().map(|per_s| Self::NameLimit(Some(per_s))),
            ["rest", "none"] => Some(Self::AskForRest(None)),
            ["rest", ms, share, says] => {
                parse_rest(ms, share, says).map(|rest| Self::AskForRest(Some(rest)))
            }
            ["leaving", leaving] => leaving.parse().ok().map(Self::SayLeaving),
            _ => None,
        };
        command.ok_or_else(|| format!("not a command: {line}"))
    }
}

fn parse_rest(ms: &str, share: &str, not_executed: &str) -> Option<RestCommand> {
    Some(RestCommand {
        time: Duration::from_millis(ms.parse().ok()?),
        share: share.parse().ok()?,
        not_executed: not_executed.parse().ok()?,
    })
}

impl From<RestCommand> for Rest {
    fn from(command: RestCommand) -> Self {
        let rest = Self::of(command.time).share(command.share);
        match command.not_executed {
            true => rest,
            false => rest.without_not_executed(),
        }
    }
}

impl ProcessEndpoint {
    /// An endpoint of this program behind this proxy that isn't started yet. Its journals and logs are
    /// in `dir`.
    pub fn new(spec: EndpointSpec, program: &Path, dir: &Path, link: FaultProxy) -> Self {
        Self {
            spec,
            program: program.to_owned(),
            dir: dir.to_owned(),
            link,
            process: None,
            starts: 0,
            started_ms: 0,
            draining: false,
            leaving: false,
        }
    }

    /// What it is.
    pub fn spec(&self) -> &EndpointSpec {
        &self.spec
    }

    /// The proxy in front of it.
    pub fn link(&self) -> &FaultProxy {
        &self.link
    }

    /// Its process, while it runs.
    pub fn process(&self) -> Option<&Process> {
        self.process.as_ref()
    }

    /// Its own address, while it runs.
    pub fn addr(&self) -> Option<SocketAddr> {
        self.process.as_ref()?.try_addr("endpoint")
    }

    /// Identity of its last start.
    fn id(&self) -> String {
        self.id_of_start(self.starts)
    }

    /// Identity of the start with this number, from 1.
    pub fn id_of_start(&self, number: u32) -> String {
        format!("{}-{number}", self.spec.name)
    }

    fn journal(&self, start: u32) -> PathBuf {
        self.dir.join(format!("{}-{start}.journal", self.spec.name))
    }

    /// Starts it without waiting for it, as a new instance, if it doesn't run.
    pub fn spawn(&mut self) {
        if self.process.is_some() {
            return;
        }
        self.starts += 1;
        self.draining = false;
        self.leaving = false;
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now = now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX));
        self.started_ms = now.max(self.started_ms + 1);
        let (id, journal) = (self.id(), self.journal(self.starts));
        let numbers = [
            self.spec.slots.to_string(),
            self.spec.queue.to_string(),
            self.spec.run_time.as_millis().to_string(),
        ];
        let mut args = vec![Path::new(&id), &journal];
        args.extend(numbers.iter().map(Path::new));
        let log = self.dir.join(format!("{}.log", self.spec.name));
        let mut process = Process::new(&id, &self.program, &args, &log).with_commands();
        process.spawn();
        self.process = Some(process);
    }

    /// Waits until it is ready, and directs its proxy to it.
    ///
    /// # Panics
    ///
    /// Panics if it isn't within a minute.
    pub fn wait_ready(&mut self) {
        if let Some(process) = &mut self.process
            && process.try_addr("endpoint").is_none()
        {
            process.wait_ready();
            self.link.retarget(process.addr("endpoint"));
        }
    }

    /// Kills it. Connections to its address are reset until it is started again.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill();
            self.link.clear_target();
        }
    }

    /// Whether it has ended by itself since it was started. Its address then refuses connections.
    pub fn has_ended(&mut self) -> bool {
        let ended = self
            .process
            .as_mut()
            .is_some_and(|p| p.try_exit().is_some());
        if ended {
            self.process = None;
            self.link.clear_target();
        }
        ended
    }

    /// Tells it a change; nothing while it doesn't run.
    pub fn command(&mut self, command: EndpointCommand) {
        if let Some(process) = &mut self.process {
            process.command(&command.to_string());
            if let EndpointCommand::SayLeaving(leaving) = command {
                self.leaving = leaving;
            }
        }
    }

    /// Whether it says that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Marks it as draining on the list until its next start.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Its entry for the list; `None` while it doesn't run.
    pub fn line(&self) -> Option<Line> {
        self.process.as_ref()?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now = now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX));
        let warmup = u64::try_from(self.spec.warmup.as_millis()).unwrap_or(u64::MAX);
        Some(Line {
            id: self.id(),
            born: self.started_ms,
            service: self.spec.service.clone(),
            address: self.link.addr(),
            zone: self.spec.domain.clone(),
            version: SOFTWARE_VERSION.to_owned(),
            slots: self.spec.slots,
            state: if self.draining { "draining" } else { "ready" }.to_owned(),
            warmup_left_ms: (self.started_ms + warmup).saturating_sub(now),
        })
    }

    /// What each of its starts has recorded.
    pub fn records(&self, clock: &JournalClock) -> Vec<Records> {
        let starts = 1..=self.starts;
        starts
            .map(|start| Journal::read(&self.journal(start), clock))
            .collect()
    }
}

/// Runs an endpoint as the process that [`ProcessEndpoint`] starts: `ID JOURNAL SLOTS QUEUE MILLIS`.
/// It takes [`EndpointCommand`]s on standard input and ends with it.
///
/// # Errors
///
/// Fails if the arguments or a command aren't valid, or the journal can't be created.
pub fn run_endpoint(args: &[String]) -> Result<(), Box<dyn std::error::Error>> {
    let [id, journal, slots, queue, run_ms] = args else {
        return Err("usage: filberthead-site-endpoint ID JOURNAL SLOTS QUEUE MILLIS".into());
    };
    let endpoint = SiteEndpoint::start(id, "", "");
    endpoint.limit(slots.parse()?, queue.parse()?);
    endpoint.set_run_time(Duration::from_millis(run_ms.parse()?));
    endpoint.journal_to(Journal::create(Path::new(journal))?);
    endpoint.exit_on_crash();
    println!("ready endpoint={}", endpoint.addr());
    for line in std::io::stdin().lock().lines() {
        match line?.parse()? {
            EndpointCommand::Behave(behaviour, share) => {
                endpoint.set_behaviour_of_share(behaviour, share);
            }
            EndpointCommand::RunFor(time) => endpoint.set_run_time(time),
            EndpointCommand::NameLimit(per_s) => endpoint.name_limit(per_s),
            EndpointCommand::AskForRest(rest) => endpoint.set_rest(rest.map(Rest::from)),
            EndpointCommand::SayLeaving(leaving) => endpoint.say_leaving(leaving),
        }
    }
    Ok(())
}
