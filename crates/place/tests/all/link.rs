//! Short messages and large answers on one link.

use std::time::Duration;

use filberthead_place::{LargeResponseAdmission, Link};
use filberthead_types::Moment;

use crate::support::ms;

const BITS_PER_S: f64 = 6_700_000.0;
const DOWNLOAD: usize = 90_000;
const SHORT: usize = 5_000;

/// A link that sends in order, as VMs' links do, and what its sender reckons.
struct Wire {
    link: Link,
    free_at: Moment,
}

impl Wire {
    fn new() -> Self {
        Self {
            link: Link::new(BITS_PER_S),
            free_at: Moment::ZERO,
        }
    }

    /// Sends bytes; returns when the last of them is there.
    fn send(&mut self, now: Moment, bytes: usize) -> Moment {
        self.link.record_sent(now, bytes);
        let takes = Duration::from_secs_f64(bytes as f64 * 8.0 / BITS_PER_S);
        self.free_at = self.free_at.max(now) + takes;
        self.free_at
    }
}

/// Two lessons of 90 kB go out while a stock look-up is answered every 20 ms. Handed over
/// whole, the lessons hold the link for 215 ms, and look-ups wait that long behind them.
#[test]
fn short_answers_wait_for_a_piece_and_not_for_a_download() {
    let mut wire = Wire::new();
    let mut left = [DOWNLOAD, DOWNLOAD];
    let mut worst = Duration::ZERO;
    let mut done = Moment::ZERO;
    for now in (0..1000).map(ms) {
        if now.as_millis() % 20 == 0 {
            let there = wire.send(now, SHORT);
            worst = worst.max(there - now);
        }
        for rest in &mut left {
            if *rest > 0 && wire.link.next_chunk_at(now).is_none() {
                let piece = wire.link.max_chunk().min(*rest);
                done = done.max(wire.send(now, piece));
                *rest -= piece;
            }
        }
    }
    let own = Duration::from_secs_f64(SHORT as f64 * 8.0 / BITS_PER_S);
    assert!(worst < own + ms(20), "{worst:?}");
    assert_eq!(left, [0, 0]);
    // Short answers take a third of the link, so the downloads take half as long again.
    assert!(done < ms(360), "{done:?}");
}

/// On a fast link nothing is worth waiting for.
#[test]
fn a_fast_link_sends_at_once() {
    let mut link = Link::new(1_000_000_000.0);
    for now in (0..100).map(ms) {
        assert_eq!(link.next_chunk_at(now), None);
        link.record_sent(now, link.max_chunk());
    }
}

/// Plays callers at their peak on a link of 4 Mbit/s: so many short messages of 5 kB and
/// downloads of 90 kB a second. Returns which part of the link was used, and which part of
/// downloads was taken on.
fn peak(short_per_s: u64, large_per_s: u64) -> (f64, f64) {
    const BITS: f64 = 4_000_000.0;
    const SECONDS: u64 = 20;
    let mut share = LargeResponseAdmission::new(BITS);
    let (mut bytes, mut taken) = (0, 0);
    for at in 0..SECONDS * 1000 {
        if at % (1000 / short_per_s) == 0 {
            share.record_short(SHORT);
            bytes += SHORT;
        }
        if at % (1000 / large_per_s) == 0 && share.admit(ms(at), false).is_ok() {
            share.record_large(DOWNLOAD as u64);
            bytes += DOWNLOAD;
            taken += 1;
        }
    }
    let used = bytes as f64 * 8.0 / (BITS * SECONDS as f64);
    (used, f64::from(taken) / (SECONDS * large_per_s) as f64)
}

/// Guards against short messages that are late because downloads fill the link: at the peak
/// of a day all requests of a region waited for longer than their objectives.
#[test]
fn downloads_leave_room_on_the_link_at_its_peak() {
    let (used, taken) = peak(25, 4);
    assert!(used < 0.75, "{used} of the link, {taken} of downloads");
    assert!(taken > 0.25, "{used} of the link, {taken} of downloads");
}

/// Guards against downloads that are refused while the link has room.
#[test]
fn no_download_is_refused_on_a_usual_day() {
    let (_, taken) = peak(12, 2);
    assert!(taken >= 1.0, "{taken} of downloads");
}

/// Guards against downloads that get nothing where short messages fill the link, and against
/// callers that come back for nothing.
#[test]
fn a_download_that_comes_back_is_taken_on_first() {
    let mut share = LargeResponseAdmission::new(4_000_000.0);
    let refused = (0..100).find_map(|_| share.admit(ms(10), false).err());
    let room_in = refused.expect("a hundred at once don't fit");
    assert!(room_in >= Duration::from_millis(100), "{room_in:?}");
    assert!(share.admit(ms(20), true).is_ok());
    assert!(share.admit(ms(20), false).is_err());
    let (_, taken) = peak(100, 2);
    assert!(taken > 0.1, "{taken} of downloads");
}
