//! The gateway daemon: forwards callers' requests to endpoints along the configured routes.
//!
//! It runs these duties, one thread each:
//!
//! - `requests` accepts callers' connections, chooses endpoints, forwards requests and exchanges
//!   messages with the control replicas;
//! - `readiness` serves the platform's readiness probe and the metrics;
//! - `peer-send` and the transport's own threads send and receive messages.
//!
//! A gateway without contact to endpoints relays requests through other gateways.
//!
//! Caller and endpoint connections share one thread on purpose: a request would otherwise cross
//! threads twice, and on a VM with a fraction of a core each crossing costs a wake-up and gains
//! nothing.

mod answer_notes;
mod attempt;
mod body_memory;
mod bounds;
mod caller;
mod contact;
mod core;
mod deadline;
mod forwarding;
mod headers;
mod progress;
mod protocol;
mod readiness;
mod relay;
mod request;
mod response;
mod retry;
mod retry_after;
mod serve;
mod shares;
mod source;
mod stop;
mod streamed;
mod timing;
mod under_way;
mod waiting;

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use filberthead_allot::{Limiter, LimiterConfig};
use filberthead_fleet::{GatewayInfo, Member, Message};
use filberthead_limits::Port;
use filberthead_observe::GatewayMetrics;
use filberthead_peer::{Body, Deliver, Origin, Transport, TransportError, cluster_id};
use filberthead_place::{Config, LargeResponseAdmission, Link, Placer, RetryBudgetConfig};
use filberthead_ring::{Receiver, Sender, ring};
use filberthead_settings::{ContentionControl, GatewaySettings};
use filberthead_types::Incarnation;
use log::info;
use snafu::{ResultExt, Snafu};
use tokio::sync::watch;

use self::core::{Core, CoreParts, Identity};
pub use self::protocol::ProtocolNames;
use self::shares::FairShares;
use self::stop::{Phase, PlannedStop, StopBegun};
use crate::peers::vm_limits;
use crate::ready::announce;
use crate::stop::{Stop, stop_pair};
use crate::supervisor::{Signals, supervise};
use crate::{Clock, Duty, DutyError, SuperviseError, peers};

const BITS_PER_MBIT: f64 = 1e6;
/// Capacity of the queue of control messages to the requests duty. Messages that find it full are
/// dropped; control repeats them.
const INBOX_CAPACITY: usize = 256;

/// Why a gateway failed to start or ended other than by a planned stop.
#[derive(Debug)]
#[derive(Snafu)]
pub enum GatewayError {
    /// A listening socket can't be opened.
    #[snafu(display("can't listen on {addr}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The transport between processes can't start.
    #[snafu(display("can't start the transport between processes"))]
    Peer {
        /// The transport's error.
        source: TransportError,
    },
    /// A duty's thread can't be started.
    #[snafu(display("can't start a duty"))]
    Duty {
        /// Which duty, and why.
        source: DutyError,
    },
    /// The `ready` line can't be written to standard output.
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
    #[snafu(display("the gateway failed"))]
    Supervise {
        /// Which duty, and how.
        source: SuperviseError,
    },
}

/// A message from a control replica, with the address that replies go to.
pub(crate) struct ControlMessage {
    pub(crate) from: SocketAddr,
    pub(crate) message: Message,
}

/// Delivers control messages from the transport's thread to the requests duty.
struct RequestsInbox(Sender<ControlMessage>);

impl Deliver for RequestsInbox {
    fn deliver(&mut self, origin: Origin, body: Body) {
        if let Body::Fleet(message) = body {
            let from = origin.addr;
            // Dropped if the queue is full; control repeats it.
            let _ = self.0.push(ControlMessage { from, message });
        }
    }
}

/// Sockets and the message queue, opened before the first thread starts.
struct OpenSockets {
    transport: Transport,
    /// They count the connections of the sockets.
    metrics: Arc<GatewayMetrics>,
    inbox: Receiver<ControlMessage>,
    callers: TcpListener,
    relay: TcpListener,
    readiness: TcpListener,
    status: TcpListener,
}

/// Runs a gateway until the end of its planned stop. `seeds` reads the seed addresses of the
/// control group again after a reload of the settings (SIGHUP).
///
/// # Errors
///
/// Fails if the gateway can't start, or if one of its duties ends by itself.
pub fn run(
    cfg: &GatewaySettings,
    protocol: ProtocolNames,
    seeds: impl Fn() -> Vec<SocketAddr> + 'static,
) -> Result<(), GatewayError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let signals = Signals::install(&runtime).context(SuperviseSnafu)?;
    let sockets = open_sockets(cfg)?;
    let (source, stop) = stop_pair();
    let phase = watch::Sender::new(Phase::Starting);
    let connections = watch::Sender::new(0);
    let seed_updates = watch::Sender::new(cfg.seeds.clone());
    let stop_begun = StopBegun::default();
    let planned_stop = PlannedStop {
        grace: cfg.stop_grace,
        begun: stop_begun.clone(),
        phase: phase.clone(),
        connections: connections.subscribe(),
    };
    let ready = [
        ("caller", local_addr(&sockets.callers)?),
        ("peer", sockets.transport.addr()),
        ("relay", local_addr(&sockets.relay)?),
        ("readiness", local_addr(&sockets.readiness)?),
        ("status", local_addr(&sockets.status)?),
    ];
    info!(domain:% = cfg.failure_domain, seeds:? = cfg.seeds, caller:% = ready[0].1;
        "gateway starts");
    let duties = spawn_duties(
        cfg,
        protocol,
        sockets,
        (phase, stop_begun, connections, &seed_updates),
        &stop,
    )?;
    announce(&ready).context(ReadySnafu)?;
    let reload = move || {
        let seeds = seeds();
        info!(seeds:? = seeds; "settings reloaded");
        seed_updates.send_replace(seeds);
    };
    let supervised = supervise(duties, signals, source, reload, || planned_stop.run());
    runtime.block_on(supervised).context(SuperviseSnafu)
}

fn open_sockets(cfg: &GatewaySettings) -> Result<OpenSockets, GatewayError> {
    let (tx, rx) = ring(INBOX_CAPACITY);
    let cluster = cluster_id(&cfg.cluster);
    let metrics = Arc::new(GatewayMetrics::new());
    let limits = (
        vm_limits(&cfg.vm).peers(),
        metrics.clients().port(Port::Peers),
    );
    let inbox = RequestsInbox(tx);
    let transport = Transport::listen_within(cfg.peer_listen, cluster, limits, inbox);
    Ok(OpenSockets {
        transport: transport.context(PeerSnafu)?,
        metrics,
        inbox: rx,
        callers: listen(cfg.caller_listen)?,
        relay: listen(cfg.relay_listen)?,
        readiness: listen(cfg.readiness_listen)?,
        status: listen(cfg.status_listen)?,
    })
}

fn listen(addr: SocketAddr) -> Result<TcpListener, GatewayError> {
    let listener = TcpListener::bind(addr).context(ListenSnafu { addr })?;
    listener
        .set_nonblocking(true)
        .context(ListenSnafu { addr })?;
    Ok(listener)
}

fn local_addr(listener: &TcpListener) -> Result<SocketAddr, GatewayError> {
    let addr = SocketAddr::from(([0, 0, 0, 0], 0));
    listener.local_addr().context(ListenSnafu { addr })
}

/// What the duties and the supervising thread share: the phase, the times of a planned
/// stop, the number of open caller connections, and the current seeds.
type SharedState<'a> = (
    watch::Sender<Phase>,
    StopBegun,
    watch::Sender<usize>,
    &'a watch::Sender<Vec<SocketAddr>>,
);

fn spawn_duties(
    cfg: &GatewaySettings,
    protocol: ProtocolNames,
    sockets: OpenSockets,
    (phase, stop_begun, connections, seed_updates): SharedState<'_>,
    stop: &Stop,
) -> Result<Vec<Duty>, GatewayError> {
    let caller_addr = match cfg.caller_advertise {
        Some(addr) => addr,
        None => local_addr(&sockets.callers)?,
    };
    let peer_addr = cfg.peer_advertise.unwrap_or(sockets.transport.addr());
    let (out, out_rx) = peers::outgoing();
    let origin = Origin {
        name: cfg.node.clone(),
        incarnation: Incarnation(rand::random()),
        addr: peer_addr,
        replica: None,
    };
    let outbox = sockets.transport.outbox(cluster_id(&cfg.cluster), origin);
    let relay_addr = match cfg.relay_advertise {
        Some(addr) => addr,
        None => relay_addr(local_addr(&sockets.relay)?, peer_addr),
    };
    let info = GatewayInfo {
        name: cfg.node.clone(),
        region: cfg.region.clone(),
        domain: cfg.failure_domain.clone(),
        caller_addr,
        relay_addr,
    };
    let metrics = sockets.metrics;
    let probes = readiness::Probes {
        readiness: sockets.readiness,
        status: sockets.status,
        path: protocol.readiness_path,
        metrics: Arc::clone(&metrics),
        peers: sockets.transport.counters(),
        phase: phase.subscribe(),
        vm: vm_limits(&cfg.vm),
    };
    let parts = CoreParts {
        clock: Clock::start(),
        protocol: Arc::new(protocol),
        placer: Placer::new(placement_config(cfg)),
        limiter: Limiter::new(LimiterConfig {
            seed: rand::random(),
            unreserved: cfg.budgets.allotment_slack,
        }),
        shares: cfg.fair_shares.then(|| FairShares::new(rand::random())),
        member: Member::new(info, cfg.seeds.clone(), rand::random()),
        identity: Identity {
            cluster: cluster_id(&cfg.cluster),
            gateway: cfg.node.clone(),
            domain: cfg.failure_domain.clone(),
            region: cfg.region.clone(),
        },
        regions: cfg.regions.clone(),
        out,
        phase,
        stop_begun,
        connections,
        vm: vm_limits(&cfg.vm),
        contention_control: cfg.contention_control,
        link: cfg.link_rate.map(|rate| Link::new(rate * BITS_PER_MBIT)),
        large_admission: cfg
            .link_rate
            .map(|rate| LargeResponseAdmission::new(rate * BITS_PER_MBIT)),
        metrics,
        seeds: seed_updates.subscribe(),
    };
    let listeners = serve::Listeners {
        callers: sockets.callers,
        relay: sockets.relay,
    };
    let rx = sockets.inbox;
    let stopping = stop.clone();
    let requests = move || async move {
        let core = Core::new(parts);
        serve::run(core, listeners, rx, stopping).await;
    };
    let duties = vec![
        peers::spawn(sockets.transport, outbox, out_rx, stop.clone()).context(DutySnafu)?,
        Duty::spawn("requests", requests).context(DutySnafu)?,
        readiness::spawn(probes, stop.clone()).context(DutySnafu)?,
    ];
    Ok(duties)
}

/// The address for other gateways: that of peer messages, unless the listener has one of its own.
fn relay_addr(listening: SocketAddr, peer: SocketAddr) -> SocketAddr {
    match listening.ip().is_unspecified() {
        true => SocketAddr::new(peer.ip(), listening.port()),
        false => listening,
    }
}

fn placement_config(cfg: &GatewaySettings) -> Config {
    Config {
        gateway: cfg.node.clone(),
        region: cfg.region.clone(),
        domain: cfg.failure_domain.clone(),
        regions: cfg.regions.clone(),
        retry_budget: RetryBudgetConfig {
            ratio: cfg.budgets.retry_ratio,
            floor: cfg.budgets.retry_floor,
            window: cfg.budgets.retry_window,
        },
        max_shift: cfg.budgets.max_shift,
        contention_control: cfg.contention_control == ContentionControl::Always,
        disabled: BTreeSet::new(),
    }
}
