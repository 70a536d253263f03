//! Times after which callers may retry what the gateway itself rejects.

use std::time::Duration;

/// Retry-After for a request that endpoints refused: a retry is as likely to find a free slot at
/// once as later.
pub(super) const RETRY_AFTER_REFUSED: Duration = Duration::from_millis(50);

/// Retry-After while the gateway has no routes, or no proof that they are the newest: by then a
/// report to control has been answered.
pub(super) const RETRY_AFTER_STARTING: Duration = Duration::from_millis(300);

/// Retry-After while the gateway stops: another one can take the request at once.
pub(super) const RETRY_AFTER_STOPPING: Duration = Duration::ZERO;
