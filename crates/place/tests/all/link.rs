//! Short messages and large responses on one link.

use std::time::Duration;

use filberthead_place::{LargeResponseAdmission, Link};
use filberthead_types::Moment;

use crate::support::ms;

const BITS_PER_S: f64 = 6_700_000.0;
const DOWNLOAD_BYTES: usize = 90_000;
const SHORT_BYTES: usize = 5_000;

/// A link that sends in order, as the links of VMs do, and its sender's estimate of it.
struct SimulatedLink {
    link: Link,
    free_at: Moment,
}

impl SimulatedLink {
    fn new() -> Self {
        Self {
            link: Link::new(BITS_PER_S),
            free_at: Moment::ZERO,
        }
    }

    /// Sends bytes; returns when the last of them arrives.
    fn send(&mut self, now: Moment, bytes: usize) -> Moment {
        self.link.record_sent(now, bytes);
        let transmission = Duration::from_secs_f64(bytes as f64 * 8.0 / BITS_PER_S);
        self.free_at = self.free_at.max(now) + transmission;
        self.free_at
    }
}

/// Two downloads of 90 kB are sent while a short response is sent every 20 ms. Written in one
/// piece, the downloads occupy the link for 215 ms, and short responses wait that long behind
/// them.
#[test]
fn short_responses_wait_for_a_chunk_and_not_for_a_download() {
    let mut simulated = SimulatedLink::new();
    let mut remaining = [DOWNLOAD_BYTES, DOWNLOAD_BYTES];
    let mut worst = Duration::ZERO;
    let mut done = Moment::ZERO;
    for now in (0..1000).map(ms) {
        if now.as_millis() % 20 == 0 {
            let arrived = simulated.send(now, SHORT_BYTES);
            worst = worst.max(arrived - now);
        }
        for bytes in &mut remaining {
            if *bytes > 0 && simulated.link.next_chunk_at(now).is_none() {
                let chunk = simulated.link.max_chunk().min(*bytes);
                done = done.max(simulated.send(now, chunk));
                *bytes -= chunk;
            }
        }
    }
    let own = Duration::from_secs_f64(SHORT_BYTES as f64 * 8.0 / BITS_PER_S);
    assert!(worst < own + ms(20), "{worst:?}");
    assert_eq!(remaining, [0, 0]);
    // Short responses take a third of the link, so the downloads take half as long again.
    assert!(done < ms(360), "{done:?}");
}

/// On a fast link, no chunk has to wait.
#[test]
fn a_fast_link_sends_at_once() {
    let mut link = Link::new(1_000_000_000.0);
    for now in (0..100).map(ms) {
        assert_eq!(link.next_chunk_at(now), None);
        link.record_sent(now, link.max_chunk());
    }
}

/// Simulates peak load on a link of 4 Mbit/s: the given numbers per second of short messages
/// of 5 kB and downloads of 90 kB. Returns the share of the link that was used, and the share
/// of downloads that were admitted.
fn simulate_peak(short_per_s: u64, large_per_s: u64) -> (f64, f64) {
    const PEAK_BITS_PER_S: f64 = 4_000_000.0;
    const SECONDS: u64 = 20;
    let mut admission = LargeResponseAdmission::new(PEAK_BITS_PER_S);
    let (mut bytes, mut admitted) = (0, 0);
    for at in 0..SECONDS * 1000 {
        if at % (1000 / short_per_s) == 0 {
            admission.record_short(SHORT_BYTES);
            bytes += SHORT_BYTES;
        }
        if at % (1000 / large_per_s) == 0 && admission.admit(ms(at), false).is_ok() {
            admission.record_large(DOWNLOAD_BYTES as u64);
            bytes += DOWNLOAD_BYTES;
            admitted += 1;
        }
    }
    let used = bytes as f64 * 8.0 / (PEAK_BITS_PER_S * SECONDS as f64);
    (used, f64::from(admitted) / (SECONDS * large_per_s) as f64)
}

/// Guards against short messages that are late because downloads fill the link: at the peak of
/// a day, all requests of a region waited for longer than their objectives.
#[test]
fn downloads_leave_capacity_for_short_messages_at_peak_load() {
    let (used, admitted) = simulate_peak(25, 4);
    assert!(used < 0.75, "{used} of the link, {admitted} of downloads");
    assert!(
        admitted > 0.25,
        "{used} of the link, {admitted} of downloads"
    );
}

/// Guards against downloads that are rejected while the link has capacity.
#[test]
fn no_download_is_rejected_at_usual_load() {
    let (_, admitted) = simulate_peak(12, 2);
    assert!(admitted >= 1.0, "{admitted} of downloads");
}

/// Guards against downloads that get nothing where short messages fill the link, and against
/// retries that are rejected again.
#[test]
fn a_retried_download_is_admitted_first() {
    let mut admission = LargeResponseAdmission::new(4_000_000.0);
    let refused = (0..100).find_map(|_| admission.admit(ms(10), false).err());
    let retry_after = refused.expect("a hundred at once don't fit");
    assert!(retry_after >= Duration::from_millis(100), "{retry_after:?}");
    assert!(admission.admit(ms(20), true).is_ok());
    assert!(admission.admit(ms(20), false).is_err());
    let (_, admitted) = simulate_peak(100, 2);
    assert!(admitted > 0.1, "{admitted} of downloads");
}
