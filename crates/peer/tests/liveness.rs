//! When connections that acknowledge nothing are made anew.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filberthead_peer::liveness::{Acknowledgements, ConnectionMonitor, Liveness};

/// As gateways report to control.
const PERIOD: Duration = Duration::from_millis(500);
/// What a process may take to be heard again once the way to it is back: less than the time
/// after which callers count on it to obey a change.
const MAX_RECONNECT_GAP: Duration = Duration::from_secs(3);

fn peer() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7540))
}

/// The way to a process is cut for over a minute. Each new connection hangs, and what the
/// system itself tries for it becomes rarer and rarer. After a cut of 18 s gateways went on
/// for another 5.4 s without hearing control, and refused what had been added meanwhile:
/// attempts were 3, 6 and then 12 s apart.
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
    let longest = gaps.max().expect("it is tried again");
    assert!(longest <= MAX_RECONNECT_GAP, "{longest:?} between attempts");
}

/// A slow VM acknowledges what it is sent after 1.8 s, longer than is waited at first. If its
/// connection were made anew each time, nothing sent on it would ever arrive.
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
    assert!(reconnects <= 2, "{reconnects} times in 100 s");
}
