//! When connections without acknowledgements are reopened.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filberthead_peer::liveness::{Acknowledgements, ConnectionMonitor, Liveness};

/// How often a message is sent; the period of gateways' reports to control.
const PERIOD: Duration = Duration::from_millis(500);
/// Maximum time between reconnects, and so until messages arrive again once the path is back:
/// less than the time after which callers rely on a process to have applied a change.
const MAX_RECONNECT_GAP: Duration = Duration::from_secs(3);

fn peer() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7540))
}

/// The path to a peer is down for over a minute. Each new connection hangs, and the operating
/// system's own retries become less and less frequent. With attempts 3, 6 and then 12 s apart,
/// gateways received nothing from control for another 5.4 s after an outage of 18 s, and
/// rejected requests for what had been added in the meantime.
#[test]
fn reconnects_stay_frequent_however_long_a_peer_was_unreachable() {
    let start = Instant::now();
    let acknowledgements = Acknowledgements::default();
    acknowledgements.received(start, peer(), 1);
    let mut monitor = ConnectionMonitor::default();
    let mut reconnects = vec![Duration::ZERO];
    for step in 1..150 {
        let at = PERIOD * step;
        if monitor.before_send(start + at, peer(), &acknowledgements) == Liveness::Stalled {
            reconnects.push(at);
        }
    }
    let gaps = reconnects.windows(2).map(|pair| pair[1] - pair[0]);
    let longest = gaps.max().expect("the connection is reopened");
    assert!(
        longest <= MAX_RECONNECT_GAP,
        "{longest:?} between reconnects"
    );
}

/// A slow VM acknowledges messages after 1.8 s, longer than the first timeout. If its
/// connection were reopened each time, nothing sent on it would ever arrive.
#[test]
fn a_slow_peer_keeps_its_connection() {
    let slow = Duration::from_millis(1800);
    let start = Instant::now();
    let acknowledgements = Acknowledgements::default();
    let mut monitor = ConnectionMonitor::default();
    let mut connected_at = Duration::ZERO;
    let mut reconnects = 0;
    for step in 1..200 {
        let at = PERIOD * step;
        if let Some(sent) = at.checked_sub(slow).filter(|sent| *sent >= connected_at) {
            acknowledgements.received(start + at, peer(), sent.as_millis() as u64);
        }
        if monitor.before_send(start + at, peer(), &acknowledgements) == Liveness::Stalled {
            connected_at = at;
            reconnects += 1;
        }
    }
    assert!(reconnects <= 2, "reopened {reconnects} times in 100 s");
}
