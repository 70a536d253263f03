//! Rate limit of log lines by kind.
//!
//! Callers can cause any number of refusals. Each is worth a line, but a flood of one kind
//! must neither fill the log nor displace the few lines of another kind.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use filberthead_types::Moment;

const WINDOW: Duration = Duration::from_secs(1);

/// Limits the lines of each kind per second. Kinds must come from an enumeration in the
/// code, because an entry is never removed.
#[derive(Clone, Debug)]
pub struct LogRateLimiter<K> {
    lines_per_second: u32,
    kinds: HashMap<K, KindState>,
}

#[derive(Clone, Copy, Debug)]
struct KindState {
    /// Start of the second that is being counted.
    window_start: Moment,
    remaining: u32,
    omitted: u64,
}

impl<K: Eq + Hash> LogRateLimiter<K> {
    /// Allows `lines_per_second` lines of each kind.
    pub fn new(lines_per_second: u32) -> Self {
        Self {
            lines_per_second,
            kinds: HashMap::new(),
        }
    }

    /// Whether a line may be written now: `None` if not, else the number of lines of its
    /// kind that were omitted since the last one that was allowed.
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
