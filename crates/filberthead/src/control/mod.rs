//! The control replica: replicated table, membership and administration API.
//!
//! It runs these duties, one thread each:
//!
//! - `consensus` owns the replica and the table;
//! - `disk` is the only one that waits for the log's disk;
//! - `peer-send` and `peer-recv` send and receive messages of peers;
//! - `operators` serves the administration API over HTTP;
//! - `samples` stores the data of the burn report;
//! - each adapter has a duty of its own.
//!
//! Operators' requests go through the consensus duty, which alone decides what is accepted.

mod address_book;
mod admin;
mod claims;
mod core;
mod discovery;
mod disk;
mod evacuation_orders;
mod fleet;
mod gauges;
mod handle;
mod input;
#[doc(hidden)]
pub mod machine;
mod membership;
mod membership_policy;
mod note;
mod order_attempts;
mod order_count;
mod orders;
mod samples;
mod shares;
mod spreading;
mod status;

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use filberthead_consensus::Config;
use filberthead_limits::Port;
use filberthead_observe::ControlMetrics;
use filberthead_peer::{HelloInfo, Origin, Transport, TransportError, cluster_id};
use filberthead_ring::{Receiver, Sender};
use filberthead_settings::ControlSettings;
use filberthead_storage::{Disk, StorageError};
use filberthead_types::Incarnation;
use log::info;
use snafu::{ResultExt, Snafu};
use tokio::sync::watch;

use self::address_book::AddressBook;
use self::core::{Core, Identity, Parts};
use self::fleet::{AutoMembership, Fleet};
use self::gauges::Gauges;
use self::input::{Input, MessageDispatch};
use crate::peers::vm_limits;
use crate::ready::announce;
use crate::stop::{Stop, stop_pair};
use crate::supervisor::{Signals, supervise};
use crate::{Clock, Duty, DutyError, SuperviseError, peers};

pub use self::handle::{Adapter, ControlHandle, PublishedState};
pub use self::order_attempts::OrderSender;
pub use self::samples::burn_report;

/// Why a control replica failed to start, or ended other than by a planned stop.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ControlError {
    /// The data folder can't be used.
    #[snafu(display("the data folder can't be used"))]
    Storage {
        /// The storage error.
        source: StorageError,
    },
    /// The transport can't listen for peers.
    #[snafu(display("can't listen for peers"))]
    Transport {
        /// The transport's error.
        source: TransportError,
    },
    /// The administration API can't listen.
    #[snafu(display("can't listen for operators on {addr}"))]
    Operators {
        /// The address.
        addr: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The tokens file can't be used.
    #[snafu(display("the tokens file can't be used"))]
    Tokens {
        /// The error of the file.
        source: filberthead_operator::TokenSourceError,
    },
    /// A duty can't be started.
    #[snafu(display("can't start a duty"))]
    Start {
        /// Which duty, and why.
        source: DutyError,
    },
    /// The `ready` line can't be written.
    #[snafu(display("can't write to standard output"))]
    Ready {
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The supervisor's runtime can't be started.
    #[snafu(display("can't start the supervisor's runtime"))]
    Runtime {
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A duty ended by itself or panicked.
    #[snafu(display("the control replica failed"))]
    Supervise {
        /// Which duty, and how.
        source: SuperviseError,
    },
}

/// Runs a control replica until the process is asked to stop. Each adapter gets a thread of its
/// own. `seeds` reads the seed addresses of the group again after a reload of the settings
/// (SIGHUP).
///
/// # Errors
///
/// Fails if the replica can't start, or if one of its duties ends by itself.
pub fn run(
    cfg: &ControlSettings,
    adapters: Vec<Box<dyn Adapter>>,
    seeds: impl Fn() -> Vec<SocketAddr> + 'static,
) -> Result<(), ControlError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let signals = Signals::install(&runtime).context(SuperviseSnafu)?;
    let (source, stop) = stop_pair();
    let (duties, input) = spawn_duties(cfg, adapters, &stop)?;
    let reload = move || {
        let seeds = seeds();
        info!(seeds:? = seeds; "settings reloaded");
        // Dropped if the queue is full: what the duty has learned of other replicas is newer than
        // any seed.
        let _ = input.push(Input::Seeds(seeds));
    };
    let supervised = supervise(duties, signals, source, reload, || std::future::ready(()));
    runtime.block_on(supervised).context(SuperviseSnafu)
}

fn spawn_duties(
    cfg: &ControlSettings,
    adapters: Vec<Box<dyn Adapter>>,
    stop: &Stop,
) -> Result<(Vec<Duty>, Sender<Input>), ControlError> {
    let clock = Clock::start();
    let disk = Disk::open(&cfg.data, &cfg.cluster).context(StorageSnafu)?;
    let data_folder = disk::DataFolder {
        folder: cfg.data.clone(),
        cluster: cfg.cluster.clone(),
    };
    let durable = disk.load().context(StorageSnafu)?;
    let note = disk.read_note().context(StorageSnafu)?;
    let id = disk.replica();
    let cluster = cluster_id(&cfg.cluster);

    let (input_tx, input_rx) = input::input_queue();
    let (disk_tx, disk_rx) = input::disk_queue();
    let (out_tx, out_rx) = peers::outgoing();
    let (samples_tx, samples_rx) = samples::report_queue();

    let deliver = MessageDispatch {
        consensus: input_tx.clone(),
        samples: samples_tx,
    };
    let metrics = Arc::new(ControlMetrics::new());
    let limits = (
        vm_limits(&cfg.vm).peers(),
        metrics.clients().port(Port::Peers),
    );
    let transport = Transport::listen_within(cfg.peer_listen, cluster, limits, deliver);
    let transport = transport.context(TransportSnafu)?;
    let transport_addr = transport.addr();
    let peer_addr = cfg.peer_advertise.unwrap_or(transport_addr);
    let origin = Origin {
        name: cfg.node.clone(),
        incarnation: Incarnation(rand::random()),
        addr: peer_addr,
        replica: Some(id),
    };
    let outbox = transport.outbox(cluster, origin);

    let (listener, bound) = listen(cfg.operator_listen)?;
    let operator_addr = cfg.operator_advertise.unwrap_or(bound);
    info!(replica:% = id, peer:% = transport_addr, operator:% = bound; "control replica starts");

    let gauges = Gauges {
        metrics: Arc::clone(&metrics),
        peers: transport.counters(),
    };
    let (published_tx, published_rx) = watch::channel(PublishedState::default());
    let mut fleet = Fleet::new(auto_membership(cfg, peer_addr), published_tx);
    fleet.restore_note(clock.now(), note.as_deref());
    let core = Core::new(Parts {
        id,
        clock,
        cfg: consensus_config(cfg),
        durable,
        address_book: AddressBook::new(peer_addr, discovery_seeds(cfg)),
        hello: HelloInfo {
            leads: false,
            operator_addr,
            leader: None,
            is_reply: false,
        },
        identity: Identity {
            cluster: cfg.cluster.clone(),
            node: cfg.node.clone(),
            peer_addr,
        },
        out: out_tx,
        disk: disk_tx,
        gauges,
        fleet,
    });
    let control = ControlHandle::new(
        input_tx.clone(),
        published_rx,
        clock,
        cfg.node.clone(),
        Arc::clone(&metrics),
        vm_limits(&cfg.vm),
    );
    let mut duties = vec![
        peers::spawn(transport, outbox, out_rx, stop.clone()).context(StartSnafu)?,
        disk::spawn(
            (disk, data_folder),
            disk_rx,
            input_tx.clone(),
            Arc::clone(&metrics),
            stop.clone(),
        )
        .context(StartSnafu)?,
        spawn_core(core, input_rx, stop.clone()).context(StartSnafu)?,
        samples::spawn(cfg, samples_rx, stop.clone()).context(StartSnafu)?,
        admin::spawn(cfg, listener, input_tx.clone(), metrics, stop.clone())?,
    ];
    let mut ready = vec![("peer", transport_addr), ("operator", bound)];
    for adapter in adapters {
        ready.extend(adapter.addr().map(|addr| (adapter.name(), addr)));
        let duty = handle::spawn(adapter, control.clone(), stop.clone());
        duties.push(duty.context(StartSnafu)?);
    }
    announce(&ready).context(ReadySnafu)?;
    Ok((duties, input_tx))
}

/// Addresses to send hellos to at start.
fn discovery_seeds(cfg: &ControlSettings) -> Vec<SocketAddr> {
    let configured = cfg.replicas.iter().map(|replica| replica.peer_addr);
    let seeds = cfg.group.iter().flat_map(|group| group.seeds.clone());
    configured.chain(seeds).collect()
}

/// Reads how the group maintains its membership. All replicas of a new system have the same
/// seeds, so exactly one of them finds itself first in the list and founds the group.
fn auto_membership(cfg: &ControlSettings, own_addr: SocketAddr) -> Option<AutoMembership> {
    cfg.group.as_ref().map(|group| AutoMembership {
        tolerated_failures: group.tolerate,
        is_founder: group.first_start && group.seeds.first() == Some(&own_addr),
    })
}

fn listen(addr: SocketAddr) -> Result<(TcpListener, SocketAddr), ControlError> {
    let listener = TcpListener::bind(addr).context(OperatorsSnafu { addr })?;
    listener
        .set_nonblocking(true)
        .context(OperatorsSnafu { addr })?;
    let bound = listener.local_addr().context(OperatorsSnafu { addr })?;
    Ok((listener, bound))
}

fn consensus_config(cfg: &ControlSettings) -> Config {
    Config::builder()
        .heartbeat(cfg.heartbeat)
        .election_timeout(cfg.election_timeout)
        .lease(cfg.lease)
        .seed(rand::random())
        .build()
}

fn spawn_core(core: Core, rx: Receiver<Input>, stop: Stop) -> Result<Duty, DutyError> {
    Duty::spawn("consensus", move || core.run(rx, stop))
}
