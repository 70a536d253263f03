//! Accepts connections of callers and other gateways, and runs the event loop of the requests duty.

mod ahead;
mod connection;
mod read_ahead;

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use filberthead_ring::Receiver;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{MissedTickBehavior, interval};

use self::connection::serve_connection;
use super::ControlMessage;
use super::contact;
use super::core::Core;
use super::source::RequestSource;
use super::stop::Phase;
use crate::stop::Stop;

/// How often the duty checks whether a report is due.
const TICK: Duration = Duration::from_millis(100);

/// Where requests are accepted.
pub(crate) struct Listeners {
    /// From callers.
    pub(crate) callers: TcpListener,
    /// From gateways that relay them.
    pub(crate) relay: TcpListener,
}

/// Runs until the process stops.
pub(crate) async fn run(
    core: Rc<Core>,
    listeners: Listeners,
    mut rx: Receiver<ControlMessage>,
    mut stop: Stop,
) {
    let callers = tokio::net::TcpListener::from_std(listeners.callers);
    let relay = tokio::net::TcpListener::from_std(listeners.relay);
    let (callers, relay) = match (callers, relay) {
        (Ok(callers), Ok(relay)) => (callers, relay),
        (Err(e), _) | (_, Err(e)) => {
            log::error!(error:% = e; "can't listen for requests");
            return;
        }
    };
    let accepting = [
        (callers, RequestSource::Caller),
        (relay, RequestSource::Gateway),
    ]
    .map(|(listener, from)| spawn_local(accept(Rc::clone(&core), listener, from)));
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut phase = core.phase();
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                core.tick();
                contact::check(&core);
            }
            message = rx.recv() => match message {
                Some(message) => core.handle_message(message),
                None => break,
            },
            // A phase change is reported at once, so that callers are sent to other gateways.
            _ = phase.changed() => {
                if *phase.borrow_and_update() >= Phase::Ending {
                    accepting.iter().for_each(JoinHandle::abort);
                }
                core.tick();
            }
            () = stop.wait() => break,
        }
    }
    accepting.iter().for_each(JoinHandle::abort);
}

async fn accept(core: Rc<Core>, listener: tokio::net::TcpListener, from: RequestSource) {
    let clients = match from {
        RequestSource::Caller => Rc::clone(&core.callers),
        RequestSource::Gateway => Rc::clone(&core.relaying),
    };
    loop {
        let (stream, addr, admitted) = filberthead_limits::accept(&listener, &clients).await;
        let serving = serve_connection(Rc::clone(&core), stream, admitted, (addr, from));
        spawn_local(serving);
    }
}
