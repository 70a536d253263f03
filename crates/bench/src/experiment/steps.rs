//! What scenes do to a world.

use std::sync::Arc;
use std::time::Duration;

use filberthead_steer::Event;
use filberthead_types::Incarnation;

use super::build::view;
use super::deployment::DOMAINS_A_REGION;
use super::endpoint::Readings;
use super::scenario::Step;
use super::simulation::{Happening, Simulation};

/// How long other entries take to notice that one is gone.
const DETECTION: Duration = Duration::from_secs(2);
/// How long they take to learn of a planned stop.
const SPREAD: Duration = Duration::from_millis(300);
const SLOWNESS: f64 = 8.0;

impl Simulation {
    pub(crate) fn step(&mut self, index: usize) {
        let (_, step) = self.scene.steps[index];
        match step {
            Step::Surge(part) => self.surge = part,
            Step::Leave(domain) => self.leave(domain),
            Step::StopEndpoints(domain) => {
                self.crash_endpoints(|place| place == domain);
            }
            Step::ListLeaving(domain) => self.list_leaving(domain),
            Step::Lose(region) => self.lose(region),
            Step::Return(region) => self.restore(region),
            Step::Readings(readings) => self.set_readings(readings),
            Step::Reports(through) => self.reports = through,
            Step::Lie => self.lie(),
            Step::CutEntry(entry, cut) => {
                self.entries[entry].cut = cut;
                self.after(DETECTION, Happening::Members);
            }
            Step::CutControl(cut) => self.control_cut = cut,
            Step::DrainRegion => self.drain_region(),
        }
    }

    fn leave(&mut self, domain: usize) {
        for endpoint in self.endpoints.iter_mut().filter(|e| e.domain == domain) {
            endpoint.leaving = true;
        }
        for entry in 0..self.entries.len() {
            if self.entries[entry].domain == domain {
                self.entries[entry].info.leaving = true;
                self.observe(entry, Event::Stop);
            }
        }
        self.figures.drain_started(self.now);
        self.after(SPREAD, Happening::Members);
    }

    fn list_leaving(&mut self, domain: usize) {
        let names = self.endpoint_names(|index| self.endpoints[index].domain == domain);
        for entry in 0..self.entries.len() {
            self.observe(entry, Event::Leaving(names.clone()));
        }
    }

    fn crash_endpoints(&mut self, f: impl Fn(usize) -> bool) {
        for index in 0..self.endpoints.len() {
            if f(self.endpoints[index].domain) {
                self.endpoints[index].crash();
                self.changed(index);
            }
        }
    }

    fn lose(&mut self, region: usize) {
        self.crash_endpoints(|domain| domain / DOMAINS_A_REGION == region);
        for entry in &mut self.entries {
            if entry.domain / DOMAINS_A_REGION == region {
                entry.up = false;
            }
        }
        self.after(DETECTION, Happening::Members);
    }

    fn restore(&mut self, region: usize) {
        for endpoint in &mut self.endpoints {
            if endpoint.domain / DOMAINS_A_REGION == region {
                endpoint.restart();
            }
        }
        for entry in 0..self.entries.len() {
            if self.entries[entry].domain / DOMAINS_A_REGION == region {
                self.restart_entry(entry);
            }
        }
        self.after(SPREAD, Happening::Members);
    }

    fn restart_entry(&mut self, entry: usize) {
        let mut info = self.entries[entry].info.clone();
        info.incarnation = Incarnation(info.incarnation.0 + 1);
        let policy = self.build_policy(&info);
        let fake = &mut self.entries[entry];
        fake.info = info;
        fake.policy = policy;
        fake.up = true;
        self.introduce(entry);
    }

    fn set_readings(&mut self, readings: Readings) {
        for endpoint in &mut self.endpoints {
            endpoint.readings = readings;
        }
    }

    fn lie(&mut self) {
        let mut first_service = self.endpoints.iter_mut().filter(|e| e.service == 0);
        if let Some(shedding) = first_service.next() {
            shedding.shedding = true;
            shedding.readings = Readings::Idle;
        }
        if let Some(slow) = first_service.next() {
            slow.slowness = SLOWNESS;
            slow.readings = Readings::Idle;
        }
    }

    fn drain_region(&mut self) {
        let version = self.view.version.0 + 1;
        self.view = Arc::new(view(&self.deployment, version, |region| region == 0));
        self.control.set_table(Arc::clone(&self.view));
        for entry in 0..self.entries.len() {
            let table = Event::Table(Arc::clone(&self.view));
            self.observe(entry, table);
        }
    }
}
