//! The processes under test and the process faults injected into them.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::plan::{LeaderPause, Step, Target};
use super::shared::SharedState;
use super::violations::Violation;
use crate::cluster::Node;
use crate::proxy::{Direction, FaultProxy, Flow};
use crate::site::{Site, proven_version};

/// Time in which a process that was asked to stop must end: its grace period and a generous
/// margin for a busy machine.
const STOP_BOUND: Duration = Duration::from_secs(30);
/// What a power loss during a write leaves after the last complete record: a length, followed
/// by fewer bytes than that.
const TORN_RECORD: [u8; 11] = [200, 0, 0, 0, 7, 1, 2, 3, 4, 5, 6];

/// State of a process after the last step on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Up,
    Down,
    Frozen,
    Stopping(Instant),
}

/// All processes and their states.
pub(super) struct Nodes {
    pub(super) site: Site,
    shared: Arc<SharedState>,
    states: BTreeMap<Target, State>,
    /// The replicas that were suspended as they led.
    frozen_leaders: BTreeMap<LeaderPause, Target>,
    /// The planned stops of gateways: each one's index, and when it was told.
    pub(super) stops: Vec<(usize, Instant)>,
    /// When gateways were started again, with each one's index.
    gateway_starts: Vec<(usize, Instant)>,
    /// When control replicas were killed.
    pub(super) control_kills: Vec<Instant>,
}

impl Nodes {
    pub(super) fn new(site: Site, shared: Arc<SharedState>) -> Self {
        let controls = (0..site.controls.len()).map(Target::Control);
        let gateways = (0..site.gateways.len()).map(Target::Gateway);
        let states = controls.chain(gateways).map(|t| (t, State::Up)).collect();
        Self {
            site,
            shared,
            states,
            frozen_leaders: BTreeMap::new(),
            stops: Vec::new(),
            gateway_starts: Vec::new(),
            control_kills: Vec::new(),
        }
    }

    pub(super) fn targets(&self) -> Vec<Target> {
        self.states.keys().copied().collect()
    }

    pub(super) fn node(&mut self, target: Target) -> &mut Node {
        match target {
            Target::Control(number) => &mut self.site.controls[number],
            Target::Gateway(number) => &mut self.site.gateways[number],
        }
    }

    pub(super) fn name(&mut self, target: Target) -> String {
        self.node(target).name().to_owned()
    }

    /// Keys of a process's addresses that have a proxy and get connection faults.
    pub(super) fn keys(target: Target) -> &'static [&'static str] {
        match target {
            Target::Control(_) => &["peer", "orders", "lookups"],
            Target::Gateway(_) => &["peer", "caller"],
        }
    }

    /// Applies a step that concerns only the processes and the links between them. Returns false
    /// for any other.
    pub(super) fn apply(&mut self, step: &Step) -> bool {
        match step {
            Step::Kill(target) => self.kill(*target),
            Step::Start(target) => self.start(*target),
            Step::Stop(target) => self.stop(*target),
            Step::HangUp(target) => self.hang_up(*target),
            Step::Freeze(target) => self.freeze(*target),
            Step::Resume(target) => self.resume(*target),
            Step::FreezeLeader(pause) => self.freeze_leader(*pause),
            Step::ResumeLeader(pause) => {
                if let Some(target) = self.frozen_leaders.remove(pause) {
                    self.resume(target);
                }
            }
            Step::Tear(control) => self.tear(*control),
            Step::Wipe(control) => {
                self.wipe(*control);
            }
            Step::PowerCut(lost) => self.power_cut(*lost),
            Step::Partition(targets) => self.partition(targets),
            Step::OneWay(from, to) => {
                let (from, to) = (self.name(*from), self.name(*to));
                self.site.network.cut_one_way(&from, &to);
            }
            Step::Slow(ms) => self.slow(Duration::from_millis(*ms)),
            Step::Heal => self.site.network.heal(),
            Step::Reset(target) => self.for_each_proxy(*target, FaultProxy::cut),
            Step::Silence(target) => self.for_each_proxy(*target, FaultProxy::silence),
            Step::HoldAnswers(control) => {
                let orders = self.site.controls[*control].proxy("orders");
                orders.set(Direction::ToClient, Flow::Hold);
            }
            Step::PassAnswers(control) => self.site.controls[*control].proxy("orders").heal(),
            _ => return false,
        }
        true
    }

    fn partition(&mut self, targets: &[Target]) {
        let all = self.targets();
        let mut names = |inside: bool| -> Vec<String> {
            let side = all.iter().filter(|t| targets.contains(t) == inside);
            side.map(|t| self.name(*t)).collect()
        };
        let (inside, outside) = (names(true), names(false));
        let inside: Vec<&str> = inside.iter().map(String::as_str).collect();
        let outside: Vec<&str> = outside.iter().map(String::as_str).collect();
        self.site.network.partition(&[&inside, &outside]);
    }

    fn slow(&mut self, by: Duration) {
        let all = self.targets();
        let names: Vec<String> = all.iter().map(|t| self.name(*t)).collect();
        let alone: Vec<[&str; 1]> = names.iter().map(|name| [name.as_str()]).collect();
        let groups: Vec<&[&str]> = alone.iter().map(<[&str; 1]>::as_slice).collect();
        self.site.network.set_between(&groups, Flow::Delay(by));
    }

    fn for_each_proxy(&mut self, target: Target, action: impl Fn(&FaultProxy)) {
        let node = self.node(target);
        for key in Self::keys(target) {
            action(node.proxy(key));
        }
    }

    fn state(&self, target: Target) -> State {
        self.states.get(&target).copied().unwrap_or(State::Down)
    }

    fn set(&mut self, target: Target, state: State) {
        if let Target::Gateway(number) = target {
            self.shared.incarnations[number].fetch_add(1, Ordering::SeqCst);
        }
        self.states.insert(target, state);
    }

    pub(super) fn kill(&mut self, target: Target) {
        if self.state(target) != State::Down {
            if matches!(target, Target::Control(_)) {
                self.control_kills.push(Instant::now());
            }
            self.set(target, State::Down);
            self.node(target).kill();
        }
    }

    pub(super) fn start(&mut self, target: Target) {
        if self.state(target) == State::Down {
            if let Target::Gateway(number) = target {
                self.gateway_starts.push((number, Instant::now()));
            }
            self.node(target).start();
            self.set(target, State::Up);
        }
    }

    /// When a gateway was first started after this moment.
    pub(super) fn next_start(&self, gateway: usize, after: Instant) -> Option<Instant> {
        let mut starts = self.gateway_starts.iter();
        let next = starts.find(|(number, at)| *number == gateway && *at >= after);
        next.map(|(_, at)| *at)
    }

    /// Sends the process `SIGTERM`, also if it is stopping already.
    pub(super) fn stop(&mut self, target: Target) {
        match self.state(target) {
            State::Up => {
                self.node(target).process().terminate();
                if let Target::Gateway(number) = target {
                    self.stops.push((number, Instant::now()));
                }
                // The process still serves, so its incarnation stays the same.
                self.states.insert(target, State::Stopping(Instant::now()));
            }
            State::Stopping(_) => self.node(target).process().terminate(),
            State::Down | State::Frozen => {}
        }
    }

    pub(super) fn hang_up(&mut self, target: Target) {
        if self.state(target) != State::Down {
            self.node(target).process().hang_up();
        }
    }

    pub(super) fn freeze(&mut self, target: Target) {
        if self.state(target) == State::Up {
            self.node(target).process().suspend();
            self.states.insert(target, State::Frozen);
        }
    }

    fn freeze_leader(&mut self, pause: LeaderPause) {
        let mut controls = self.controls().into_iter();
        let leader =
            controls.find(|target| self.state(*target) == State::Up && self.leads(*target));
        if let Some(leader) = leader {
            self.freeze(leader);
            self.frozen_leaders.insert(pause, leader);
        }
    }

    fn leads(&mut self, target: Target) -> bool {
        self.node(target).metric("filberthead_lease_held") == 1.0
    }

    pub(super) fn resume(&mut self, target: Target) {
        if self.state(target) == State::Frozen {
            self.node(target).process().resume();
            self.states.insert(target, State::Up);
        }
    }

    /// Resumes all processes that are suspended, and starts all that are down.
    pub(super) fn resume_all(&mut self) {
        for target in self.targets() {
            self.resume(target);
            self.start(target);
        }
    }

    /// Restarts processes that have stopped. Returns violations for those that don't stop in
    /// time and those that ended by themselves, and restarts these too.
    pub(super) fn restart_ended(&mut self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for target in self.targets() {
            let state = self.state(target);
            let ended = state != State::Down && self.node(target).process().try_exit().is_some();
            match state {
                State::Stopping(_) if ended => {
                    self.kill(target);
                    self.start(target);
                }
                State::Stopping(since) if since.elapsed() > STOP_BOUND => {
                    violations.push(Violation::NotRecovered(format!("{target:?} doesn't stop")));
                    self.kill(target);
                    self.start(target);
                }
                State::Up | State::Frozen if ended => {
                    violations.push(Violation::NotRecovered(format!(
                        "{target:?} ended by itself"
                    )));
                    self.kill(target);
                    self.start(target);
                }
                _ => {}
            }
        }
        violations
    }

    /// Whether all processes run and all links between them forward bytes.
    pub(super) fn is_calm(&self) -> bool {
        let mut states = self.states.values();
        states.all(|state| *state == State::Up) && !self.site.network.has_rules()
    }

    /// Indices of the gateways that are stopping, down or suspended.
    pub(super) fn down_gateways(&self) -> BTreeSet<usize> {
        let down = self.states.iter().filter(|(_, state)| **state != State::Up);
        let gateways = down.filter_map(|(target, _)| match target {
            Target::Gateway(number) => Some(*number),
            Target::Control(_) => None,
        });
        gateways.collect()
    }

    /// Whether any process was asked to stop and hasn't been restarted yet.
    pub(super) fn is_any_stopping(&self) -> bool {
        let mut states = self.states.values();
        states.any(|state| matches!(state, State::Stopping(_)))
    }

    fn controls(&self) -> Vec<Target> {
        (0..self.site.controls.len()).map(Target::Control).collect()
    }

    /// Simulates a power loss during a write: kills a replica, appends a torn record to its
    /// newest log file and restarts it.
    pub(super) fn tear(&mut self, control: usize) {
        let target = Target::Control(control);
        if self.state(target) == State::Down {
            return;
        }
        self.kill(target);
        let data = self.node(target).data().to_owned();
        let files = fs::read_dir(data).into_iter().flatten().flatten();
        let logs = files.map(|file| file.path()).filter(|path| {
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            name.starts_with("log-")
        });
        if let Some(newest) = logs.max() {
            let file = File::options().append(true).open(newest);
            let torn = file.and_then(|mut file| file.write_all(&TORN_RECORD));
            torn.expect("the log can be written");
        }
        self.start(target);
    }

    /// Wipes a replica's disk and restarts it, if the group is healthy: losing a disk is only
    /// tolerated while each voter is up and has all accepted changes. Returns whether it was done.
    pub(super) fn wipe(&mut self, control: usize) -> bool {
        let healthy = self.is_group_healthy();
        if healthy {
            let target = Target::Control(control);
            self.kill(target);
            self.node(target).wipe();
            self.start(target);
        }
        healthy
    }

    /// Kills all replicas at once and restarts them; `lost` also loses its disk if the group was
    /// healthy.
    pub(super) fn power_cut(&mut self, lost: Option<usize>) {
        let lost = lost.filter(|_| self.is_group_healthy());
        let controls = self.controls();
        for target in &controls {
            self.kill(*target);
        }
        if let Some(control) = lost {
            self.node(Target::Control(control)).wipe();
        }
        for target in &controls {
            self.node(*target).spawn();
        }
        for target in controls {
            self.node(target).wait_ready();
            self.set(target, State::Up);
        }
    }

    fn is_group_healthy(&mut self) -> bool {
        let controls = self.controls();
        let up = controls.iter().all(|t| self.state(*t) == State::Up);
        let accepted = self.shared.accepted();
        let voters = controls.len() as f64;
        up && self.site.controls.iter().all(|node| {
            proven_version(node).is_some_and(|version| version >= accepted)
                && node.metric("voters") >= voters
        })
    }
}
