//! How many lines of each kind may be written in a second.
//!
//! Callers can bring about as many refusals as they like. Each is worth a line, but a flood
//! of one kind must neither fill the log nor push out the few lines of another kind.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use filberthead_types::Moment;

const WINDOW: Duration = Duration::from_secs(1);

/// Bounds lines by kind. Kinds come from an enumeration of the code: each is kept for good.
#[derive(Clone, Debug)]
pub struct LogRateLimiter<K> {
    lines_per_second: u32,
    kinds: HashMap<K, KindState>,
}

#[derive(Clone, Copy, Debug)]
struct KindState {
    /// When the second began that is counted now.
    window_start: Moment,
    remaining: u32,
    omitted: u64,
}

impl<K: Eq + Hash> LogRateLimiter<K> {
    /// Allows so many lines of each kind in a second.
    pub fn new(lines_per_second: u32) -> Self {
        Self {
            lines_per_second,
            kinds: HashMap::new(),
        }
    }

    /// Whether a line may be written now: `None` if not, else how many of its kind were
    /// left out since the last one that was written.
    pub fn allow(&mut self, now: Moment, kind: K) -> Option<u64> {
        let remaining = self.lines_per_second;
        let kind = self.kinds.entry(kind).or_insert(KindState {
            window_start: now,
            remaining,
            omitted: 0,
        });
        if now >= kind.window_start + WINDOW {
            (kind.window_start, kind.remaining) = (now, remaining);
        }
        if kind.remaining == 0 {
            kind.omitted += 1;
            return None;
        }
        kind.remaining -= 1;
        Some(std::mem::take(&mut kind.omitted))
    }
}
