//! The report as data, from which the text and the HTML page are generated.

use std::collections::{BTreeMap, BTreeSet};

use filberthead_settings::ObjectiveSettings;
use filberthead_types::{Region, ServiceName};
use serde::{Deserialize, Serialize};

use super::measure::{Measure, MeasureKind, WindowEvents, is_within_window, measure};
use super::series::{Point, Series, step_seconds};
use super::{BUDGET_WINDOW, WINDOWS};
use crate::samples::{Counts, Damage, History, PERIOD_SECONDS, Record, ServiceSample};

/// How complete a report's samples are.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Source {
    /// For each of [`WINDOWS`], the number of minutes that have a sample of any service.
    pub minutes: Vec<u64>,
    /// Largest number of entries that reported on one minute of the longest window.
    pub entries: u32,
    /// A message for each damaged file.
    pub damage: Vec<String>,
}

/// A service in one region, or in all of them.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Scope {
    /// The service.
    pub service: ServiceName,
    /// The region; `None` for all regions together.
    pub region: Option<Region>,
    /// Its measures, in the order of [`MeasureKind::ALL`].
    pub measures: Vec<Measure>,
    /// The points of the plots, by time.
    pub points: Vec<Point>,
}

/// The burn report.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Name of the cluster.
    pub cluster: String,
    /// Time of the report, in seconds since the Unix epoch.
    pub now: u64,
    /// Length of a step of the plots, in seconds.
    pub step_seconds: u64,
    /// How complete its samples are.
    pub source: Source,
    /// Sorted by service; of each service, all regions together come first.
    pub scopes: Vec<Scope>,
    /// Services that have samples but no objective.
    pub without_objective: Vec<ServiceName>,
}

/// Builds a report record by record.
///
/// Its memory grows with the number of services, regions and plot steps, and by two numbers
/// per minute for headroom, but not with the number of samples: a replica builds reports
/// beside its other work.
#[derive(Debug)]
pub struct ReportBuilder {
    cluster: String,
    now: u64,
    step: u64,
    objectives: BTreeMap<ServiceName, ObjectiveSettings>,
    scopes: BTreeMap<ScopeKey, ScopeBuilder>,
    without_objective: BTreeSet<ServiceName>,
    sampled_minutes: BTreeSet<u64>,
    entries: u32,
}

/// Service and region; no region stands for all regions together.
type ScopeKey = (ServiceName, Option<Region>);

#[derive(Debug, Default)]
struct ScopeBuilder {
    events: BTreeMap<MeasureKind, WindowEvents>,
    series: Series,
    /// Slots and slots in use, by start of the minute.
    slots: BTreeMap<u64, (u64, u64)>,
}

impl ReportBuilder {
    /// Starts a report as of `now`, in seconds since the Unix epoch.
    pub fn new(cluster: &str, objectives: &[ObjectiveSettings], now: u64) -> Self {
        let by_service = |o: &ObjectiveSettings| (o.service.clone(), o.clone());
        let objectives: BTreeMap<_, _> = objectives.iter().map(by_service).collect();
        let all = |service: &ServiceName| ((service.clone(), None), ScopeBuilder::default());
        Self {
            cluster: cluster.to_owned(),
            now,
            step: step_seconds(now, now),
            // A service without samples is in the report, without values.
            scopes: objectives.keys().map(all).collect(),
            objectives,
            without_objective: BTreeSet::new(),
            sampled_minutes: BTreeSet::new(),
            entries: 0,
        }
    }

    /// Oldest start of a period that the report may include.
    pub fn since(&self) -> u64 {
        self.now.saturating_sub(BUDGET_WINDOW + PERIOD_SECONDS)
    }

    /// Adds a record. Several records of one minute are added up.
    pub fn add(&mut self, record: &Record) {
        if !is_within_window(record.start, BUDGET_WINDOW, self.now) {
            return;
        }
        self.sampled_minutes.insert(record.start);
        self.entries = self.entries.max(record.entries);
        self.widen_steps(record.start);
        let ServiceSample {
            service,
            region,
            counts,
        } = &record.sample;
        let Some(objective) = self.objectives.get(service) else {
            self.without_objective.insert(service.clone());
            return;
        };
        for region in [None, Some(region.clone())] {
            let scope = self.scopes.entry((service.clone(), region)).or_default();
            scope.add(objective, record.start, self.now, counts);
            scope.series.add(record.start, self.step, counts);
        }
    }

    fn widen_steps(&mut self, start: u64) {
        let step = step_seconds(start, self.now);
        if step > self.step {
            self.step = step;
            for scope in self.scopes.values_mut() {
                scope.series.merge_steps(step);
            }
        }
    }

    /// Returns the finished report; `damage` lists the samples that couldn't be read.
    pub fn finish(self, damage: &[Damage]) -> Report {
        let source = self.source(damage);
        let (now, step) = (self.now, self.step);
        let scopes = self
            .scopes
            .into_iter()
            .filter_map(|((service, region), scope)| {
                let objective = self.objectives.get(&service)?;
                let (measures, points) = scope.finish(objective, step, now);
                Some(Scope {
                    service,
                    region,
                    measures,
                    points,
                })
            })
            .collect();
        Report {
            cluster: self.cluster,
            now,
            step_seconds: step,
            source,
            scopes,
            without_objective: self.without_objective.into_iter().collect(),
        }
    }

    fn source(&self, damage: &[Damage]) -> Source {
        let count_minutes = |seconds: &u64| {
            let in_window = |start: &&u64| is_within_window(**start, *seconds, self.now);
            self.sampled_minutes.iter().filter(in_window).count() as u64
        };
        Source {
            minutes: WINDOWS.iter().map(count_minutes).collect(),
            entries: self.entries,
            damage: damage.iter().map(damage_text).collect(),
        }
    }
}

impl ScopeBuilder {
    fn add(&mut self, objective: &ObjectiveSettings, start: u64, now: u64, counts: &Counts) {
        for kind in MeasureKind::ALL {
            if kind != MeasureKind::Headroom {
                let events = kind.events(objective, counts);
                self.events.entry(kind).or_default().add(events, start, now);
            }
        }
        let (slots, busy) = self.slots.entry(start).or_default();
        *slots = slots.saturating_add(counts.slots);
        *busy = busy.saturating_add(counts.busy);
    }

    fn finish(
        mut self,
        objective: &ObjectiveSettings,
        step: u64,
        now: u64,
    ) -> (Vec<Measure>, Vec<Point>) {
        let headroom = MeasureKind::Headroom;
        for (start, (slots, busy)) in &self.slots {
            let counts = Counts {
                slots: *slots,
                busy: *busy,
                ..Counts::default()
            };
            let events = headroom.events(objective, &counts);
            self.events
                .entry(headroom)
                .or_default()
                .add(events, *start, now);
            if let Some(free) = counts.headroom() {
                self.series.add_headroom(*start, step, free);
            }
        }
        let measure = |kind: &MeasureKind| {
            let events = self.events.get(kind).copied().unwrap_or_default();
            measure(*kind, objective, &events)
        };
        let measures = MeasureKind::ALL.iter().map(measure).collect();
        (measures, self.series.points())
    }
}

/// Builds a report of a history; `now` is in seconds since the Unix epoch.
pub fn build(
    cluster: &str,
    objectives: &[ObjectiveSettings],
    history: &History,
    now: u64,
) -> Report {
    let mut builder = ReportBuilder::new(cluster, objectives, now);
    for record in &history.records {
        builder.add(record);
    }
    builder.finish(&history.damage)
}

fn damage_text(damage: &Damage) -> String {
    format!(
        "{}: {} bytes from byte {} on are damaged",
        damage.path.display(),
        damage.lost,
        damage.offset
    )
}

/// Number of minutes in a window.
pub(super) fn minutes_of(seconds: u64) -> u64 {
    seconds / PERIOD_SECONDS
}
