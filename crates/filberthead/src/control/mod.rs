//! The control replica: replicated table, membership, administration API.
//!
//! Duties: `consensus` owns the replica and the table, `disk` is the only one that waits
//! for the log's disk, `peer-send` and `peer-recv` carry messages, `operators` serves
//! HTTP, `samples` keeps what the burn report is made from.
//! Operators' acts go through the consensus duty, which alone can say what is accepted.

mod address_book;
mod admin;
mod claims;
mod core;
mod discovery;
mod disk;
mod fleet;
mod gauges;
mod handle;
mod input;
mod machine;
mod membership;
mod membership_policy;
mod note;
mod orders;
mod samples;
mod shares;
mod spreading;
mod status;

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use filberthead_consensus::Config;
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
use crate::ready::announce;
use crate::stop::{Stop, stop_pair};
use crate::supervisor::{Signals, supervise};
use crate::{Clock, Duty, DutyError, SuperviseError, peers};

pub use self::handle::{Adapter, ControlHandle, PublishedState};
pub use self::samples::burn_report;

/// Why a control replica can't start, or ended other than by a planned stop.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ControlError {
    /// The data folder can't be used.
    #[snafu(display("the data folder can't be used"))]
    Storage {
        /// How.
        source: StorageError,
    },
    /// Peers can't be listened for.
    #[snafu(display("peers can't be listened for"))]
    Transport {
        /// How.
        source: TransportError,
    },
    /// Operators can't be listened for.
    #[snafu(display("operators can't be listened for on {addr}"))]
    Operators {
        /// The address.
        addr: SocketAddr,
        /// The system's word.
        source: std::io::Error,
    },
    /// The tokens file can't be used.
    #[snafu(display("the tokens file can't be used"))]
    Tokens {
        /// How.
        source: filberthead_operator::TokenSourceError,
    },
    /// A duty can't be started.
    #[snafu(display("a duty can't be started"))]
    Start {
        /// Which.
        source: DutyError,
    },
    /// The `ready` line can't be written.
    #[snafu(display("can't write to standard output"))]
    Ready {
        /// The system's word.
        source: std::io::Error,
    },
    /// No runtime for the supervisor.
    #[snafu(display("can't start a runtime"))]
    Runtime {
        /// The system's word.
        source: std::io::Error,
    },
    /// The process ended by a fault.
    #[snafu(display("the process ended by a fault"))]
    Supervise {
        /// Which.
        source: SuperviseError,
    },
}

/// Runs a control replica until it is asked to end. Each adapter gets a thread of its own;
/// `seeds` reads the group's seeds anew when the settings have changed.
///
/// # Errors
///
/// Fails if it can't start, or if one of its duties ends by itself, which a failed disk
/// causes on purpose.
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
    let (duties, input) = start(cfg, adapters, &stop)?;
    let reload = move || {
        let seeds = seeds();
        info!(seeds:? = seeds; "settings reloaded");
        // With the duty behind, what it knows of others is newer than any seed.
        let _ = input.push(Input::Seeds(seeds));
    };
    let ended = supervise(duties, signals, source, reload, || std::future::ready(()));
    runtime.block_on(ended).context(SuperviseSnafu)
}

fn start(
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
    let note = disk.remembered().context(StorageSnafu)?;
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
    let transport = Transport::listen(cfg.peer_listen, cluster, deliver).context(TransportSnafu)?;
    let listens = transport.addr();
    let peer_addr = cfg.peer_advertise.unwrap_or(listens);
    let origin = Origin {
        name: cfg.node.clone(),
        incarnation: Incarnation(rand::random()),
        addr: peer_addr,
        replica: Some(id),
    };
    let outbox = transport.outbox(cluster, origin);

    let (listener, bound) = listen(cfg.operator_listen)?;
    let operator_addr = cfg.operator_advertise.unwrap_or(bound);
    info!(replica:% = id, peer:% = listens, operator:% = bound; "control replica starts");

    let gauges = Gauges {
        metrics: Arc::new(ControlMetrics::new()),
        peers: transport.counters(),
    };
    let metrics = Arc::clone(&gauges.metrics);
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
            answers: false,
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
    let control = ControlHandle::new(input_tx.clone(), published_rx);
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
    let mut ready = vec![("peer", listens), ("operator", bound)];
    for adapter in adapters {
        ready.extend(adapter.addr().map(|addr| (adapter.name(), addr)));
        let duty = handle::spawn(adapter, control.clone(), stop.clone());
        duties.push(duty.context(StartSnafu)?);
    }
    announce(&ready).context(ReadySnafu)?;
    Ok((duties, input_tx))
}

/// Whom to greet at start.
fn discovery_seeds(cfg: &ControlSettings) -> Vec<SocketAddr> {
    let named = cfg.replicas.iter().map(|replica| replica.peer_addr);
    let seeds = cfg.group.iter().flat_map(|group| group.seeds.clone());
    named.chain(seeds).collect()
}

/// All replicas of a new system are given the same seeds, so just one of them finds itself
/// first among them.
fn auto_membership(cfg: &ControlSettings, own: SocketAddr) -> Option<AutoMembership> {
    cfg.group.as_ref().map(|group| AutoMembership {
        tolerated_failures: group.tolerate,
        is_founder: group.first_start && group.seeds.first() == Some(&own),
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
