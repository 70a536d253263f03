//! A daemon of the cluster with the proxies before it.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;

use filberthead_types::Version;

use super::Ini;
use super::place::Place;
use crate::client::Call;
use crate::process::Process;
use crate::proxy::{FaultProxy, Network};

/// A daemon, its settings and the proxies through which all others reach it.
#[derive(Debug)]
pub struct Node {
    process: Process,
    settings: Ini,
    settings_path: PathBuf,
    data: PathBuf,
    place: Place,
    network: Network,
    proxies: BTreeMap<&'static str, FaultProxy>,
}

impl Node {
    /// Describes a daemon with a proxy for each address that it says under `keys`.
    pub(crate) fn new(
        name: &str,
        program: &Path,
        dir: &Path,
        place: Place,
        network: &Network,
        keys: &[&'static str],
    ) -> Self {
        let settings_path = dir.join(format!("{name}.ini"));
        let log = dir.join(format!("{name}.log"));
        Self {
            process: Process::new(name, program, &[&settings_path], &log),
            settings: Ini::default(),
            settings_path,
            data: dir.join(name),
            place,
            network: network.clone(),
            proxies: keys.iter().map(|&key| (key, network.proxy(name))).collect(),
        }
    }

    /// Its name.
    pub fn name(&self) -> &str {
        self.process.name()
    }

    /// Where it runs.
    pub fn place(&self) -> &Place {
        &self.place
    }

    /// Its data folder.
    pub fn data(&self) -> &Path {
        &self.data
    }

    /// Its settings, which are written at the next start.
    pub fn settings(&mut self) -> &mut Ini {
        &mut self.settings
    }

    /// The process, to be looked at.
    pub fn running(&self) -> &Process {
        &self.process
    }

    /// The process itself.
    pub fn process(&mut self) -> &mut Process {
        &mut self.process
    }

    /// The process itself, to look at.
    pub fn process_ref(&self) -> &Process {
        &self.process
    }

    /// The proxy before the address that it says under a key.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    #[track_caller]
    pub fn proxy(&self, key: &str) -> &FaultProxy {
        let proxy = self.proxies.get(key);
        proxy.expect("a key that the daemon has a proxy for")
    }

    /// The address of its proxy, as others know it.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    #[track_caller]
    pub fn addr(&self, key: &str) -> SocketAddr {
        self.proxy(key).addr()
    }

    /// The address that it listens on itself.
    ///
    /// # Panics
    ///
    /// Panics if it said none.
    #[track_caller]
    pub fn direct_addr(&self, key: &str) -> SocketAddr {
        self.process.addr(key)
    }

    /// The address that it listens on itself, if it said one under this key.
    pub fn try_direct_addr(&self, key: &str) -> Option<SocketAddr> {
        self.process.try_addr(key)
    }

    /// Version of the table that an entry acts on, unless it gives no answer.
    pub fn version_in_force(&self) -> Option<Version> {
        let answer = Call::get("/status").send(self.try_direct_addr("status")?);
        let status: serde_json::Value = serde_json::from_slice(&answer.ok()?.body).ok()?;
        status["version"].as_u64().map(Version)
    }

    /// Text of its metrics; empty if it gives no answer.
    pub fn metrics(&self) -> String {
        let addr = self.try_direct_addr("status");
        let addr = addr.unwrap_or_else(|| self.direct_addr("operator"));
        let answer = Call::get("/metrics").send(addr);
        answer.map(|answer| answer.text()).unwrap_or_default()
    }

    /// Sum of the samples whose name and labels hold this text.
    pub fn metric(&self, name: &str) -> f64 {
        let text = self.metrics();
        let samples = text.lines().filter(|line| !line.starts_with('#'));
        samples
            .filter_map(|line| line.rsplit_once(' '))
            .filter(|(key, _)| key.contains(name))
            .filter_map(|(_, value)| value.parse::<f64>().ok())
            .sum()
    }

    /// Starts it without waiting for it.
    ///
    /// # Panics
    ///
    /// Panics if it runs already or can't be started.
    pub fn spawn(&mut self) {
        fs::write(&self.settings_path, self.settings.to_string())
            .expect("the settings can be written");
        let id = self.process.spawn();
        self.network.register(self.process.name(), id);
    }

    /// Waits until it serves, and points its proxies to it.
    ///
    /// # Panics
    ///
    /// Panics if it ends or says nothing for a minute.
    #[track_caller]
    pub fn wait_ready(&mut self) {
        self.process.wait_ready();
        for (key, proxy) in &self.proxies {
            proxy.retarget(self.process.addr(key));
        }
    }

    /// Starts it and waits until it serves.
    ///
    /// # Panics
    ///
    /// Panics as [`spawn`](Self::spawn) and [`wait_ready`](Self::wait_ready) do.
    #[track_caller]
    pub fn start(&mut self) {
        self.spawn();
        self.wait_ready();
    }

    /// Kills it, as a power cut would.
    pub fn kill(&mut self) {
        self.process.kill();
        self.clear_target();
    }

    fn clear_target(&self) {
        self.proxies.values().for_each(FaultProxy::clear_target);
    }

    /// Kills it and starts it again with the same data folder.
    ///
    /// # Panics
    ///
    /// Panics if it doesn't come up again.
    #[track_caller]
    pub fn restart(&mut self) {
        self.kill();
        self.start();
    }

    /// Asks it to stop in order and waits until it has.
    ///
    /// # Panics
    ///
    /// Panics if it doesn't.
    #[track_caller]
    pub fn stop(&mut self) -> ExitStatus {
        self.process.terminate();
        self.wait_exit()
    }

    /// Waits until it has ended.
    ///
    /// # Panics
    ///
    /// Panics if it still runs after a minute.
    #[track_caller]
    pub fn wait_exit(&mut self) -> ExitStatus {
        let status = self.process.wait_exit();
        self.clear_target();
        status
    }

    /// Throws its data folder away, as a new disk would. It must not run.
    ///
    /// # Panics
    ///
    /// Panics if it runs.
    pub fn wipe(&mut self) {
        assert!(!self.process.is_running(), "{} still runs", self.name());
        // There is none yet if it never ran.
        let _ = fs::remove_dir_all(&self.data);
    }
}
