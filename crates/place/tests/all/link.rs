//! Short messages and large answers on one link.

use std::time::Duration;

use filberthead_place::Link;
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
        self.link.sent(now, bytes);
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
            if *rest > 0 && wire.link.next_piece(now).is_none() {
                let piece = wire.link.piece().min(*rest);
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
        assert_eq!(link.next_piece(now), None);
        link.sent(now, link.piece());
    }
}
