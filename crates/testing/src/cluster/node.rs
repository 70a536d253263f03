//! A daemon under test with the proxies in front of it.

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

/// A daemon, its settings and the proxies through which other processes reach it.
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
    /// Describes a daemon. `keys` are those addresses of its `ready` line that get a proxy.
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

    /// Replaces the proxies in front of these addresses, which only the test connects to, by some that
    /// don't look up who connects: that takes long with many connections.
    pub(crate) fn with_unlinked(mut self, keys: &[&'static str]) -> Self {
        let unlinked = keys.iter().map(|&key| (key, FaultProxy::start()));
        self.proxies.extend(unlinked);
        self
    }

    /// Name of the process.
    pub fn name(&self) -> &str {
        self.process.name()
    }

    /// Its region and failure domain.
    pub fn place(&self) -> &Place {
        &self.place
    }

    /// Its data folder.
    pub fn data(&self) -> &Path {
        &self.data
    }

    /// Its settings. They are written to its file at the next start.
    pub fn settings(&mut self) -> &mut Ini {
        &mut self.settings
    }

    /// The process; the same as [`process_ref`](Self::process_ref).
    pub fn running(&self) -> &Process {
        &self.process
    }

    /// The process, mutably.
    pub fn process(&mut self) -> &mut Process {
        &mut self.process
    }

    /// The process.
    pub fn process_ref(&self) -> &Process {
        &self.process
    }

    /// The proxy in front of the address `key`.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    #[track_caller]
    pub fn proxy(&self, key: &str) -> &FaultProxy {
        let proxy = self.proxies.get(key);
        proxy.expect("a key that the daemon has a proxy for")
    }

    /// The address of the proxy in front of the address `key`, which other processes use.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    #[track_caller]
    pub fn addr(&self, key: &str) -> SocketAddr {
        self.proxy(key).addr()
    }

    /// The daemon's own listening address, without the proxy.
    ///
    /// # Panics
    ///
    /// Panics if its `ready` line gave none for `key`.
    #[track_caller]
    pub fn direct_addr(&self, key: &str) -> SocketAddr {
        self.process.addr(key)
    }

    /// The daemon's own listening address, if its `ready` line gave one for `key`.
    pub fn try_direct_addr(&self, key: &str) -> Option<SocketAddr> {
        self.process.try_addr(key)
    }

    /// Version of the table that an entry applies; `None` if it doesn't answer or has none.
    pub fn version_in_force(&self) -> Option<Version> {
        let answer = Call::get("/status").send(self.try_direct_addr("status")?);
        let status: serde_json::Value = serde_json::from_slice(&answer.ok()?.body).ok()?;
        status["version"].as_u64().map(Version)
    }

    /// Text of its metrics; empty if it doesn't answer.
    pub fn metrics(&self) -> String {
        let addr = self.try_direct_addr("status");
        let addr = addr.unwrap_or_else(|| self.direct_addr("operator"));
        let answer = Call::get("/metrics").send(addr);
        answer.map(|answer| answer.text()).unwrap_or_default()
    }

    /// Sum of the samples whose name and labels contain `name`.
    pub fn metric(&self, name: &str) -> f64 {
        let text = self.metrics();
        let samples = text.lines().filter(|line| !line.starts_with('#'));
        samples
            .filter_map(|line| line.rsplit_once(' '))
            .filter(|(key, _)| key.contains(name))
            .filter_map(|(_, value)| value.parse::<f64>().ok())
            .sum()
    }

    /// Writes its settings and starts it without waiting for it.
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

    /// Waits until it is ready, and directs its proxies to its addresses.
    ///
    /// # Panics
    ///
    /// Panics if it ends or isn't ready within a minute.
    #[track_caller]
    pub fn wait_ready(&mut self) {
        self.process.wait_ready();
        for (key, proxy) in &self.proxies {
            proxy.retarget(self.process.addr(key));
        }
    }

    /// Starts it and waits until it is ready.
    ///
    /// # Panics
    ///
    /// Panics as [`spawn`](Self::spawn) and [`wait_ready`](Self::wait_ready) do.
    #[track_caller]
    pub fn start(&mut self) {
        self.spawn();
        self.wait_ready();
    }

    /// Kills it with `SIGKILL`. Its proxies reset connections until it is started again.
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
    /// Panics if it isn't ready again within a minute.
    #[track_caller]
    pub fn restart(&mut self) {
        self.kill();
        self.start();
    }

    /// Requests an orderly stop and waits until it has ended.
    ///
    /// # Panics
    ///
    /// Panics if it still runs after a minute.
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

    /// Deletes its data folder, which simulates the loss of its disk.
    ///
    /// # Panics
    ///
    /// Panics if the process runs.
    pub fn wipe(&mut self) {
        assert!(!self.process.is_running(), "{} still runs", self.name());
        // The folder doesn't exist if the process never ran.
        let _ = fs::remove_dir_all(&self.data);
    }
}
