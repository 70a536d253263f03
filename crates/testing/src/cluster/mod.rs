//! A system of control replicas and entries as real processes, each behind proxies.

mod builder;
mod endpoint;
mod ini;
mod node;
mod place;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

pub use builder::Builder;
pub use endpoint::Endpoint;
pub use ini::Ini;
pub use node::Node;
pub use place::Place;

use crate::platform::{PlatformList, Vm};
use crate::proxy::{FaultProxy, Network};
use crate::standin::Record;

/// Paths of the programs under test.
#[derive(Clone, Debug)]
pub struct Programs {
    /// `filberthead-control`.
    pub control: PathBuf,
    /// `filberthead-entry`.
    pub entry: PathBuf,
    /// `filberthead`.
    pub cli: PathBuf,
}

impl Programs {
    /// The programs in the folder of the current executable, where cargo puts them.
    ///
    /// # Panics
    ///
    /// Panics if the path of the current executable can't be determined.
    pub fn beside_this_one() -> Self {
        let path = std::env::current_exe().expect("the path of this program");
        Self::in_folder(path.parent().unwrap_or(Path::new(".")))
    }

    /// The programs in a folder.
    pub fn in_folder(dir: &Path) -> Self {
        Self {
            control: dir.join("filberthead-control"),
            entry: dir.join("filberthead-entry"),
            cli: dir.join("filberthead"),
        }
    }
}

/// A system under test. Its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Cluster {
    /// Control replicas.
    pub controls: Vec<Node>,
    /// Entries.
    pub entries: Vec<Node>,
    /// Stand-in endpoints.
    pub endpoints: Vec<Endpoint>,
    /// The links between processes and endpoints.
    pub network: Network,
    /// The platform's list; only a system built with [`Builder::platform`] reads it.
    pub platform: PlatformList,
    /// The proxy in front of the platform's list.
    pub platform_proxy: FaultProxy,
    builder: Builder,
    dir: tempfile::TempDir,
}

impl Cluster {
    /// A builder that starts with three control replicas, two failure domains and an entry in each.
    pub fn builder(programs: Programs) -> Builder {
        Builder::new(programs)
    }

    /// The programs under test.
    pub fn programs(&self) -> &Programs {
        &self.builder.programs
    }

    /// Adds a control replica that isn't in the others' settings. It isn't started.
    pub fn add_control(&mut self, name: &str, place: &Place) -> &mut Node {
        let mut node = self.builder.control(self, name, place);
        builder::write_replicas(&mut node, &builder::peers_of(&self.controls));
        self.controls.push(node);
        self.control(name)
    }

    /// The folder of settings, logs and data.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// The cluster name in each process's settings.
    pub fn name(&self) -> String {
        cluster_name(self.dir())
    }

    /// The control replica with this name.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    #[track_caller]
    pub fn control(&mut self, name: &str) -> &mut Node {
        find(&mut self.controls, name)
    }

    /// The entry with this name.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    #[track_caller]
    pub fn entry(&mut self, name: &str) -> &mut Node {
        find(&mut self.entries, name)
    }

    /// Names of all processes and endpoints in a failure domain, for
    /// [`Network::partition`].
    pub fn names_in(&self, failure_domain: &str) -> Vec<String> {
        let here = |place: &Place| place.failure_domain == failure_domain;
        let nodes = self.controls.iter().chain(&self.entries);
        let nodes = nodes.filter(|node| here(node.place())).map(Node::name);
        let endpoints = self.endpoints.iter().filter(|end| here(&end.place));
        let endpoints = endpoints.map(|end| end.name.as_str());
        nodes.chain(endpoints).map(str::to_owned).collect()
    }

    /// Addresses of the administration APIs, through the proxies.
    pub fn operator_addrs(&self) -> Vec<SocketAddr> {
        self.controls.iter().map(|n| n.addr("operator")).collect()
    }

    /// Addresses that callers use, through the proxies.
    pub fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|n| n.addr("caller")).collect()
    }

    /// The merged records of all endpoints.
    pub fn record(&self) -> Record {
        let mut record = Record::default();
        for endpoint in &self.endpoints {
            record.merge(endpoint.standin.record());
        }
        record
    }

    /// Entries of all endpoints for the platform's list.
    pub fn vms(&self) -> Vec<Vm> {
        self.endpoints.iter().map(|end| end.vm(3, 330)).collect()
    }
}

/// A unique cluster name, derived from the test's folder.
///
/// The port of a process that has ended may be reused at once by a process of another test,
/// while peers of the first still connect to it. If all tests used one cluster name, such peers
/// would be accepted as members.
fn cluster_name(dir: &Path) -> String {
    let folder = dir.file_name().unwrap_or_default().to_string_lossy();
    folder.to_ascii_lowercase()
}

#[track_caller]
fn find<'a>(nodes: &'a mut [Node], name: &str) -> &'a mut Node {
    let node = nodes.iter_mut().find(|node| node.name() == name);
    node.expect("a process of that name")
}
