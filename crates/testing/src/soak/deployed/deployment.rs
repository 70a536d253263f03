//! Reads the description of a deployment from an INI file.

use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use ini_core::{Item, Parser};
use snafu::{ResultExt, Snafu};

use crate::cluster::Place;
use crate::soak::workspaces::Workspaces;

/// Why a description can't be used.
#[derive(Debug)]
#[derive(Snafu)]
pub enum DeploymentError {
    /// The file can't be read.
    #[snafu(display("{} can't be read", path.display()))]
    Unreadable {
        /// Its path.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A line isn't valid.
    #[snafu(display("line {line}: {reason}"))]
    Invalid {
        /// Its number, from 1.
        line: u32,
        /// What is wrong.
        reason: String,
    },
}

/// Limits on sums over all gateways, and others that the system is told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DeploymentLimits {
    /// Retries for each request.
    pub retry_ratio: f64,
    /// Retries in each window beyond that.
    pub retry_floor: u32,
    /// The window.
    pub retry_window: Duration,
    /// How long an endpoint is cold after its start.
    pub warmup: Duration,
    /// Requests per second that a cold endpoint can take.
    pub warmup_per_s: f64,
    /// Factor by which one second may exceed that.
    pub warmup_overage: f64,
    /// Requests in addition.
    pub warmup_slack: f64,
    /// Endpoints that a request may be sent to.
    pub max_attempts: usize,
    /// Control replicas whose loss is tolerated.
    pub tolerate: usize,
    /// Length of a gateway's planned stop.
    pub stop_grace: Duration,
    /// How long some callers use an address that they have looked up, whatever its gateway asks; zero if none do.
    pub kept_lookups: Duration,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainSpec {
    /// Its name and region.
    pub place: Place,
    /// Number of gateways in it.
    pub gateways: usize,
    /// Number of control replicas in it.
    pub controls: usize,
    /// Requests per second of its callers.
    pub requests: f64,
    /// Number of its callers.
    pub callers: usize,
}

/// A service, its route and its endpoints.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSpec {
    /// Its name; its route has the prefix `/NAME/`.
    pub name: String,
    /// Kind of its route: `safe`, `unsafe` or `download`.
    pub kind: String,
    /// Share of the requests that are for it.
    pub share: f64,
    /// How long a request runs.
    pub work: Duration,
    /// Latency objective of its route.
    pub objective: Duration,
    /// Timeout of its route.
    pub timeout: Duration,
    /// Deadline of its callers.
    pub deadline: Duration,
    /// Length of a response, in bytes; 0 for a short text.
    pub bytes: u64,
    /// Number of endpoints in each failure domain.
    pub endpoints: Vec<(String, usize)>,
}

/// A deployment and the requests to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
    /// Limits that it has to keep.
    pub limits: DeploymentLimits,
    /// The workspaces that its callers belong to.
    pub workspaces: Workspaces,
    /// Its failure domains.
    pub domains: Vec<DomainSpec>,
    /// Its services.
    pub services: Vec<ServiceSpec>,
}

impl Deployment {
    /// Reads a description.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or a line isn't valid.
    pub fn load(path: &Path) -> Result<Self, DeploymentError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::parse(&text)
    }

    /// Parses a description.
    ///
    /// # Errors
    ///
    /// Fails if a line isn't valid.
    pub fn parse(text: &str) -> Result<Self, DeploymentError> {
        let mut deployment = Self::default();
        let mut section = String::new();
        let mut parser = Parser::new(text).auto_trim(true);
        loop {
            let line = parser.line() + 1;
            let Some(item) = parser.next() else {
                return Ok(deployment);
            };
            match item {
                Item::SectionEnd | Item::Blank | Item::Comment(_) => {}
                Item::Section(header) => {
                    header.clone_into(&mut section);
                    deployment.begin(header);
                }
                Item::Property(key, Some(value)) => {
                    let set = deployment.set(&section, key, value);
                    set.map_err(|reason| DeploymentError::Invalid { line, reason })?;
                }
                Item::Property(key, None) | Item::Error(key) => {
                    let reason = format!("`{key}` is neither a section nor has it a value");
                    return Err(DeploymentError::Invalid { line, reason });
                }
            }
        }
    }

    /// Places of all control replicas.
    pub fn controls(&self) -> Vec<Place> {
        self.places(|domain| domain.controls)
    }

    /// Places of all gateways.
    pub fn gateways(&self) -> Vec<Place> {
        self.places(|domain| domain.gateways)
    }

    /// One place for each process: first one of each failure domain, then the second ones.
    fn places(&self, count: impl Fn(&DomainSpec) -> usize) -> Vec<Place> {
        let most = self.domains.iter().map(&count).max().unwrap_or(0);
        let round = |number: usize| {
            let having = self.domains.iter().filter(|domain| count(domain) > number);
            having
                .map(|domain| domain.place.clone())
                .collect::<Vec<_>>()
        };
        (0..most).flat_map(round).collect()
    }

    fn begin(&mut self, header: &str) {
        match header.split_once(' ') {
            Some(("failure_domain", name)) => self.domains.push(DomainSpec {
                place: Place::new("", name),
                gateways: 0,
                controls: 0,
                requests: 0.0,
                callers: 0,
            }),
            Some(("service", name)) => self.services.push(ServiceSpec {
                name: name.to_owned(),
                ..ServiceSpec::default()
            }),
            _ => {}
        }
    }

    fn set(&mut self, section: &str, key: &str, value: &str) -> Result<(), String> {
        let unknown = || format!("unknown key `{key}` in section `{section}`");
        match section.split_once(' ').map_or(section, |(kind, _)| kind) {
            "limits" => self.limits.set(key, value, unknown),
            "workspaces" => set_workspaces(&mut self.workspaces, key, value, unknown),
            "failure_domain" => {
                let domain = self.domains.last_mut().ok_or_else(unknown)?;
                domain.set(key, value, unknown)
            }
            "service" => {
                let service = self.services.last_mut().ok_or_else(unknown)?;
                service.set(key, value, unknown)
            }
            _ => Err(format!("unknown section `{section}`")),
        }
    }
}

impl DeploymentLimits {
    fn set(&mut self, key: &str, value: &str, unknown: impl Fn() -> String) -> Result<(), String> {
        match key {
            "retry_ratio" => self.retry_ratio = number(value)?,
            "retry_floor" => self.retry_floor = number(value)?,
            "retry_window" => self.retry_window = duration(value)?,
            "warmup" => self.warmup = duration(value)?,
            "warmup_per_s" => self.warmup_per_s = number(value)?,
            "warmup_overage" => self.warmup_overage = number(value)?,
            "warmup_slack" => self.warmup_slack = number(value)?,
            "max_attempts" => self.max_attempts = number(value)?,
            "tolerate" => self.tolerate = number(value)?,
            "stop_grace" => self.stop_grace = duration(value)?,
            "kept_lookups" => self.kept_lookups = duration(value)?,
            _ => return Err(unknown()),
        }
        Ok(())
    }

    /// Most requests that a cold endpoint may get within a second.
    pub fn cold_bound(&self) -> usize {
        (self.warmup_per_s * self.warmup_overage + self.warmup_slack) as usize
    }
}

fn set_workspaces(
    workspaces: &mut Workspaces,
    key: &str,
    value: &str,
    unknown: impl Fn() -> String,
) -> Result<(), String> {
    match key {
        "count" => workspaces.count = number(value)?,
        "limited_from" => workspaces.limited_from = number(value)?,
        "rate" => workspaces.rate = number(value)?,
        "burst" => workspaces.burst = number(value)?,
        _ => return Err(unknown()),
    }
    match workspaces.count {
        0 => Err("there is at least one workspace".to_owned()),
        _ => Ok(()),
    }
}

impl DomainSpec {
    fn set(&mut self, key: &str, value: &str, unknown: impl Fn() -> String) -> Result<(), String> {
        match key {
            "region" => value.clone_into(&mut self.place.region),
            "gateways" => self.gateways = number(value)?,
            "controls" => self.controls = number(value)?,
            "requests" => self.requests = number(value)?,
            "callers" => self.callers = number(value)?,
            _ => return Err(unknown()),
        }
        Ok(())
    }
}

impl ServiceSpec {
    fn set(&mut self, key: &str, value: &str, unknown: impl Fn() -> String) -> Result<(), String> {
        match key {
            "kind" => value.clone_into(&mut self.kind),
            "share" => self.share = number(value)?,
            "work" => self.work = duration(value)?,
            "objective" => self.objective = duration(value)?,
            "timeout" => self.timeout = duration(value)?,
            "deadline" => self.deadline = duration(value)?,
            "bytes" => self.bytes = number(value)?,
            "endpoints" => {
                let pairs = value.split(',').map(|pair| {
                    let (domain, count) = pair
                        .trim()
                        .split_once(' ')
                        .ok_or_else(|| format!("`{pair}` isn't a failure domain and a number"))?;
                    Ok((domain.to_owned(), number(count)?))
                });
                self.endpoints = pairs.collect::<Result<_, String>>()?;
            }
            _ => return Err(unknown()),
        }
        Ok(())
    }

    /// Method of its requests.
    pub fn method(&self) -> &'static str {
        if self.kind == "unsafe" { "POST" } else { "GET" }
    }
}

fn number<T: FromStr>(value: &str) -> Result<T, String> {
    value
        .parse()
        .map_err(|_| format!("`{value}` isn't a valid number"))
}

fn duration(value: &str) -> Result<Duration, String> {
    humantime::parse_duration(value).map_err(|e| format!("`{value}`: {e}"))
}
