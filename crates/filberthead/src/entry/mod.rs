//! The entry daemon: answers look-ups and forwards requests to endpoints.
//!
//! Each of its duties is a thread: `callers` answers look-ups and accepts requests;
//! `endpoints` selects targets and talks to endpoints and other entries; `ledger` decides
//! whether a request with an idempotency key may run, and `journal` syncs its records to
//! disk; `state` tracks the table in force and the live entries; `status` serves state and
//! metrics; `samples` reports counts to control; the transport has threads of its own.
//! Look-ups are answered on `callers` alone. A request passes to `endpoints` once, and its
//! answer passes back once.

mod callers;
mod cluster;
mod dispatch;
mod endpoints;
mod forward;
mod ledger;
mod measures;
mod samples;
mod state;
mod status;
mod stop;
mod watermark;

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use filberthead_caller::{Bounds, Directory, Heartbeat, Phase, Server};
use filberthead_limits::Port;
use filberthead_observe::EntryMetrics;
use filberthead_peer::{Origin, Transport, TransportError, cluster_id};
use filberthead_ring::ring;
use filberthead_settings::EntrySettings;
use filberthead_spread::MemberInfo;
use filberthead_steer::{Config, Policy, Steering};
use filberthead_types::Incarnation;
use snafu::{ResultExt, Snafu};
use tokio::sync::watch;

use self::callers::CountLookups;
use self::cluster::Cluster;
use self::dispatch::{Mailboxes, dispatcher};
use self::endpoints::EndpointsDuty;
use self::forward::{CoreParts, Identity};
pub use self::ledger::JournalError;
use self::ledger::{Journals, LedgerDuty, Recovered, journal_rings};
use self::measures::Measures;
use self::samples::SamplesDuty;
use self::state::StateDuty;
use self::status::Status;
use self::stop::PlannedStop;
use crate::peers::vm_limits;
use crate::ready::announce;
use crate::stop::{Stop, stop_pair};
use crate::supervisor::{Signals, supervise};
use crate::{Clock, Duty, DutyError, SuperviseError, peers};

/// Capacity of the ring of requests for the endpoints duty. It fills only when that thread
/// is starved; further requests are refused as not run.
const CALL_CAPACITY: usize = 1024;
/// Minimum time for which the first request with a key is accepted after look-ups stopped
/// returning the key's prefix.
const START_WINDOW: Duration = Duration::from_secs(600);
/// Time without a step of the `state` duty after which the process counts as suspended.
/// The spread protocol restarts after the same gap.
const SUSPEND_THRESHOLD: Duration = filberthead_spread::DEFAULT_SUSPEND_THRESHOLD;

/// Why an entry failed to start, or ended other than by a clean planned stop.
#[derive(Debug)]
#[derive(Snafu)]
pub enum EntryError {
    /// Listening on an address failed.
    #[snafu(display("can't listen on {addr}"))]
    Listen {
        /// The address; `0.0.0.0:0` if the address of an open listener can't be read.
        addr: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The transport between processes failed to start.
    #[snafu(display("can't start the transport between processes"))]
    Peer {
        /// The transport's error.
        source: TransportError,
    },
    /// The data folder is unusable.
    #[snafu(display("can't use the data folder"))]
    Journals {
        /// The error of opening or reading the journals.
        source: JournalError,
    },
    /// A duty's thread failed to start.
    #[snafu(display("can't start a duty"))]
    Duty {
        /// The duty and the cause.
        source: DutyError,
    },
    /// Writing the readiness line to standard output failed.
    #[snafu(display("can't write to standard output"))]
    Ready {
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The supervisor's runtime failed to start.
    #[snafu(display("can't start the supervisor's runtime"))]
    Runtime {
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A duty failed.
    #[snafu(display("the entry failed"))]
    Supervise {
        /// The duty and the cause.
        source: SuperviseError,
    },
    /// The deadline of a planned stop passed while requests were still running.
    #[snafu(display("the planned stop cut {cut} requests"))]
    Cut {
        /// Number of requests that were cut, at least 1.
        cut: usize,
    },
}

/// Sockets, files and settings that are open before the first thread starts.
struct Opened {
    cfg: Arc<EntrySettings>,
    clock: Clock,
    /// This entry, as announced to the other processes.
    me: MemberInfo,
    callers: TcpListener,
    status: TcpListener,
    transport: Transport,
    metrics: Arc<EntryMetrics>,
    mailboxes: Mailboxes,
    /// The journals and the homes recovered from them; `None` without a data folder.
    journals: Option<(Journals, Vec<Recovered>)>,
}

/// Watch channels between the duties.
struct Channels {
    cluster: watch::Sender<Arc<Cluster>>,
    directory: watch::Sender<Arc<Directory>>,
    phase: watch::Sender<Phase>,
    leaving: watch::Sender<bool>,
    running: watch::Sender<usize>,
    callers_done: watch::Sender<bool>,
    handed_over: watch::Sender<bool>,
}

/// Runs an entry until the end of its planned stop.
///
/// # Errors
///
/// Fails if the entry can't start, if a duty fails, or if the deadline of a planned stop
/// cuts requests.
pub fn run(cfg: EntrySettings) -> Result<(), EntryError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let signals = Signals::install(&runtime).context(SuperviseSnafu)?;
    let opened = open(cfg)?;
    let channels = channels();
    let (source, stop) = stop_pair();
    let planned = PlannedStop {
        lookup_ttl: opened.cfg.lookup_ttl,
        deadline: opened.cfg.stop_deadline,
        leaving: channels.leaving.clone(),
        phase: channels.phase.clone(),
        callers_done: channels.callers_done.subscribe(),
        running: channels.running.subscribe(),
        handed_over: channels.handed_over.subscribe(),
    };
    let ready = [
        ("caller", local_addr(&opened.callers)?),
        ("peer", opened.transport.addr()),
        ("status", local_addr(&opened.status)?),
    ];
    let duties = start(opened, &channels, &stop).context(DutySnafu)?;
    announce(&ready).context(ReadySnafu)?;
    let mut cut = 0;
    let supervised = supervise(duties, signals, source, log_settings_unchanged, || async {
        cut = planned.run().await;
    });
    runtime.block_on(supervised).context(SuperviseSnafu)?;
    snafu::ensure!(cut == 0, CutSnafu { cut });
    Ok(())
}

/// Handles a reload signal: settings are read only at start.
fn log_settings_unchanged() {
    log::info!("settings are not reloaded; changes apply after a restart");
}

/// Binds all listeners and opens the data folder.
fn open(cfg: EntrySettings) -> Result<Opened, EntryError> {
    let (dispatcher, mailboxes) = dispatcher();
    let cluster = cluster_id(&cfg.cluster);
    let metrics = Arc::new(EntryMetrics::new());
    let limits = (
        vm_limits(&cfg.vm).peers(),
        metrics.clients().port(Port::Peers),
    );
    let transport = Transport::listen_within(cfg.peer_listen, cluster, limits, dispatcher);
    let transport = transport.context(PeerSnafu)?;
    let callers = listen(cfg.caller_listen)?;
    let status = listen(cfg.status_listen)?;
    let me = MemberInfo {
        name: cfg.node.clone(),
        incarnation: Incarnation(rand::random()),
        peer_addr: cfg.peer_advertise.unwrap_or(transport.addr()),
        caller_addr: cfg.caller_advertise.unwrap_or(local_addr(&callers)?),
        region: cfg.region.clone(),
        failure_domain: cfg.failure_domain.clone(),
        leaving: false,
    };
    let journals = cfg.data.as_deref().map(Journals::open);
    Ok(Opened {
        journals: journals.transpose().context(JournalsSnafu)?,
        cfg: Arc::new(cfg),
        clock: Clock::start(),
        me,
        callers,
        status,
        transport,
        metrics,
        mailboxes,
    })
}

fn listen(addr: SocketAddr) -> Result<TcpListener, EntryError> {
    let listener = TcpListener::bind(addr).context(ListenSnafu { addr })?;
    listener
        .set_nonblocking(true)
        .context(ListenSnafu { addr })?;
    Ok(listener)
}

/// The address that a listener is bound to.
fn local_addr(listener: &TcpListener) -> Result<SocketAddr, EntryError> {
    let addr = SocketAddr::from(([0, 0, 0, 0], 0));
    listener.local_addr().context(ListenSnafu { addr })
}

fn channels() -> Channels {
    Channels {
        cluster: watch::Sender::new(Arc::default()),
        directory: watch::Sender::new(Arc::default()),
        phase: watch::Sender::new(Phase::Serving),
        leaving: watch::Sender::new(false),
        running: watch::Sender::new(0),
        callers_done: watch::Sender::new(false),
        handed_over: watch::Sender::new(false),
    }
}

/// Connects the duties and starts their threads.
fn start(opened: Opened, channels: &Channels, stop: &Stop) -> Result<Vec<Duty>, DutyError> {
    let Opened {
        cfg,
        clock,
        me,
        callers,
        status,
        transport,
        metrics,
        mailboxes,
        journals,
    } = opened;
    let (tx, rx) = peers::outgoing();
    let origin = Origin {
        name: me.name.clone(),
        incarnation: me.incarnation,
        addr: me.peer_addr,
        replica: None,
    };
    let outbox = transport.outbox(cluster_id(&cfg.cluster), origin);
    let counters = transport.counters();
    let sending = peers::spawn(transport, outbox, rx, stop.clone())?;
    let (calls_tx, calls_rx) = ring(CALL_CAPACITY);
    let vm = vm_limits(&cfg.vm);
    let bounds = Bounds {
        callers: vm.callers(),
        request_timeout: cfg.request_timeout,
    };
    let heartbeat = Heartbeat::new(SUSPEND_THRESHOLD);
    let server = Server::new(
        bounds,
        me.incarnation,
        channels.directory.subscribe(),
        channels.phase.subscribe(),
        heartbeat.clone(),
        calls_tx.clone(),
    )
    .observer(Arc::new(CountLookups(Arc::clone(&metrics))))
    .counters(metrics.clients().port(Port::Callers));
    let state_duty = StateDuty {
        me: me.clone(),
        cfg: Arc::clone(&cfg),
        clock,
        rx: mailboxes.state,
        out: tx.clone(),
        cluster: channels.cluster.clone(),
        heartbeat,
        leaving: channels.leaving.subscribe(),
    };
    let status_duty = Status {
        node: me.name.clone(),
        cluster: channels.cluster.subscribe(),
        running: channels.running.subscribe(),
        leaving: channels.leaving.subscribe(),
        metrics: Arc::clone(&metrics),
        counters,
        calls: calls_tx,
        out: tx.clone(),
    };
    let samples_duty = SamplesDuty {
        me: me.clone(),
        metrics: Arc::clone(&metrics),
        replicas: cfg.replicas.iter().map(|r| r.peer_addr).collect(),
        cluster: channels.cluster.subscribe(),
        rx: mailboxes.samples,
        out: tx.clone(),
    };
    let (ledger, duty_side) = ledger::handle();
    let (journal, disk) = journal_rings();
    let (journals, recovered) = journals.unzip();
    let ledger_duty = LedgerDuty {
        me: me.clone(),
        cfg: ledger_config(&cfg),
        clock,
        cluster: channels.cluster.subscribe(),
        rx: mailboxes.ledger,
        out: tx.clone(),
        leaving: channels.leaving.subscribe(),
        handed_over: channels.handed_over.clone(),
        journal,
        recovered: recovered.unwrap_or_default(),
        side: duty_side,
    };
    let core = CoreParts {
        identity: Identity {
            node: me.name,
            incarnation: me.incarnation,
        },
        clock,
        request_timeout: cfg.request_timeout,
        cluster: channels.cluster.subscribe(),
        steering: steering(&cfg, clock, me.incarnation),
        ledger,
        out: tx,
        running: channels.running.clone(),
        bodies: (vm.callers(), metrics.clients().port(Port::KeyedBodies)),
        measures: Measures::new(metrics, cfg.region.clone()),
    };
    let endpoints_duty = EndpointsDuty {
        core,
        cfg,
        calls: calls_rx,
        rx: mailboxes.steering,
        directory: channels.directory.clone(),
        leaving: channels.leaving.subscribe(),
    };
    let mut duties = vec![
        sending,
        state::spawn(state_duty, stop.clone())?,
        ledger::spawn(ledger_duty, stop.clone())?,
        endpoints::spawn(endpoints_duty, stop.clone())?,
        status::spawn(status_duty, status, stop.clone())?,
        samples::spawn(samples_duty, stop.clone())?,
        callers::spawn(server, callers, channels.callers_done.clone(), stop.clone())?,
    ];
    if let Some(journals) = journals {
        duties.push(ledger::spawn_journal(journals, disk, stop.clone())?);
    }
    Ok(duties)
}

fn ledger_config(cfg: &EntrySettings) -> filberthead_ledger::Config {
    filberthead_ledger::Config::builder()
        .max_keys(cfg.ledger_keys)
        .retention(cfg.ledger_retention)
        .journal(cfg.data.is_some())
        // A caller may first use a prefix just before its look-up expires.
        .start_window(START_WINDOW.max(4 * cfg.lookup_ttl))
        .build()
}

/// Creates the policy that selects targets.
fn steering(cfg: &EntrySettings, clock: Clock, incarnation: Incarnation) -> Box<dyn Steering> {
    let node = cfg.node.clone();
    let config = Config::new(node, cfg.region.clone(), cfg.failure_domain.clone());
    let policy = config
        .incarnation(incarnation)
        // A failure domain that is cut off and has lost an entry keeps serving; the
        // consequences are documented on the setting.
        .serve_isolated(true)
        .seed(rand::random())
        .queue(cfg.queue);
    Box::new(Policy::new(clock.now(), policy))
}
