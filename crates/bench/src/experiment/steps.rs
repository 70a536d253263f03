//! Applies a scenario's steps to the simulation.

use std::sync::Arc;
use std::time::Duration;

use filberthead_steer::Event;
use filberthead_types::Incarnation;

use super::build::view;
use super::deployment::DOMAINS_PER_REGION;
use super::endpoint::ReadingMode;
use super::scenario::Step;
use super::simulation::{SimEvent, Simulation};

/// Time until other entries detect that an entry is gone or back.
const FAILURE_DETECTION: Duration = Duration::from_secs(2);
/// Time until other entries learn of a planned stop or a restart.
const STOP_PROPAGATION: Duration = Duration::from_millis(300);
/// Factor on the service time of the endpoint that [`Step::MisreportLoad`] slows down.
const SLOWNESS: f64 = 8.0;

impl Simulation {
    pub(crate) fn step(&mut self, index: usize) {
        let (_, step) = self.scenario.steps[index];
        match step {
            Step::Surge(part) => self.surge = part,
            Step::DrainDomain(domain) => self.drain_domain(domain),
            Step::StopEndpoints(domain) => {
                self.crash_endpoints(|other| other == domain);
            }
            Step::ListLeaving(domain) => self.list_leaving(domain),
            Step::LoseRegion(region) => self.lose_region(region),
            Step::RestoreRegion(region) => self.restore_region(region),
            Step::SetReadings(readings) => self.set_readings(readings),
            Step::DeliverReports(delivered) => self.reports_delivered = delivered,
            Step::MisreportLoad => self.misreport_load(),
            Step::IsolateEntry(entry, isolated) => {
                self.entries[entry].isolated = isolated;
                self.after(FAILURE_DETECTION, SimEvent::MembersChanged);
            }
            Step::IsolateControl(isolated) => self.control_isolated = isolated,
            Step::DrainRegion => self.drain_region(),
        }
    }

    fn drain_domain(&mut self, domain: usize) {
        for endpoint in self.endpoints.iter_mut().filter(|e| e.domain == domain) {
            endpoint.leaving = true;
        }
        for entry in 0..self.entries.len() {
            if self.entries[entry].domain == domain {
                self.entries[entry].info.leaving = true;
                self.observe(entry, Event::Stop);
            }
        }
        self.figures.record_drain_start(self.now);
        self.after(STOP_PROPAGATION, SimEvent::MembersChanged);
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
                self.record_request_count(index);
            }
        }
    }

    fn lose_region(&mut self, region: usize) {
        self.crash_endpoints(|domain| domain / DOMAINS_PER_REGION == region);
        for entry in &mut self.entries {
            if entry.domain / DOMAINS_PER_REGION == region {
                entry.up = false;
            }
        }
        self.after(FAILURE_DETECTION, SimEvent::MembersChanged);
    }

    fn restore_region(&mut self, region: usize) {
        for endpoint in &mut self.endpoints {
            if endpoint.domain / DOMAINS_PER_REGION == region {
                endpoint.restart();
            }
        }
        for entry in 0..self.entries.len() {
            if self.entries[entry].domain / DOMAINS_PER_REGION == region {
                self.restart_entry(entry);
            }
        }
        self.after(STOP_PROPAGATION, SimEvent::MembersChanged);
    }

    fn restart_entry(&mut self, entry: usize) {
        let mut info = self.entries[entry].info.clone();
        info.incarnation = Incarnation(info.incarnation.0 + 1);
        let policy = self.build_policy(&info);
        let restarted = &mut self.entries[entry];
        restarted.info = info;
        restarted.policy = policy;
        restarted.up = true;
        self.send_initial_state(entry);
    }

    fn set_readings(&mut self, readings: ReadingMode) {
        for endpoint in &mut self.endpoints {
            endpoint.readings = readings;
        }
    }

    fn misreport_load(&mut self) {
        let mut first_service = self.endpoints.iter_mut().filter(|e| e.service == 0);
        if let Some(shedding) = first_service.next() {
            shedding.shedding = true;
            shedding.readings = ReadingMode::AlwaysIdle;
        }
        if let Some(slow) = first_service.next() {
            slow.slowness = SLOWNESS;
            slow.readings = ReadingMode::AlwaysIdle;
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
