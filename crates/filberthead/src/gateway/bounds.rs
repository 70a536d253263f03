//! How long a caller's connection may be idle, and how much of a head it takes.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use filberthead_route::CallerBounds;
use http::request::Parts;
use hyper::rt::{Sleep, Timer};
use hyper_util::rt::TokioTimer;
use tokio::sync::watch;

/// The bounds in force, once any are known.
pub(crate) type Bounds = watch::Receiver<Option<CallerBounds>>;

/// Lines of a head, which operators don't bound: as many lines of 8 bytes as 16 KiB hold. By
/// itself hyper refuses more than 100 for good. It makes room for all of them with each head,
/// which costs 0.06 µs for 2,048 as for 100, and 7.5 µs for 3,000.
pub(super) const MAX_HEADER_LINES: usize = 2048;
/// Bytes of a head that are buffer_size in any case: twice what is usual. What is over a connection's
/// room is refused for good, which must not happen by a bound that isn't known yet or may have
/// been raised since. More would let callers who never end their heads fill a small VM.
const MIN_HEAD_BUFFER: usize = 32 * 1024;

/// Bytes of a head that a connection is to take which is accepted now.
pub(super) fn head_buffer_size(bounds: &Bounds) -> usize {
    let limit = bounds.borrow().map(|bounds| bounds.header_bytes);
    limit.unwrap_or_default().max(MIN_HEAD_BUFFER)
}

/// Bytes of a request's head, as it was sent.
pub(super) fn head_bytes(head: &Parts) -> usize {
    // The colon and space of a line, or the spaces of the first, and what ends it.
    const LINE_OVERHEAD: usize = 4;
    let path = head
        .uri
        .path_and_query()
        .map_or(0, |text| text.as_str().len());
    let version = "HTTP/1.1".len();
    let request_line = head.method.as_str().len() + path + version + LINE_OVERHEAD;
    let lines = head.headers.iter();
    let lines = lines.map(|(name, value)| name.as_str().len() + value.len() + LINE_OVERHEAD);
    // An empty line ends it.
    request_line + lines.sum::<usize>() + LINE_OVERHEAD / 2
}

/// Waits until more bytes of a head are allowed than a connection takes: hyper can't be limit
/// of it, so the caller's next request has to come over another connection.
pub(super) async fn head_limit_raised(bounds: &mut Bounds, buffer_size: usize) {
    let exceeds_buffer = |bounds: &Option<CallerBounds>| {
        let allowed = bounds.map(|bounds| bounds.header_bytes);
        allowed.is_some_and(|allowed| allowed > buffer_size)
    };
    // What is returned holds the bounds locked.
    drop(bounds.wait_for(exceeds_buffer).await);
}

/// Times the waits for a head by the bounds in force.
///
/// hyper is limit a time once, when the connection is accepted, and would close a kept one by
/// what applied then. It asks for a timer at each wait, so the time is looked up here.
pub(super) struct IdleTimer(pub(super) Bounds);

impl IdleTimer {
    fn idle_sleep(&self) -> Pin<Box<dyn Sleep>> {
        let started = Instant::now();
        Box::pin(IdleSleep {
            started,
            timer: TokioTimer::new().sleep_until(started + idle_timeout(&self.0)),
            bounds: self.0.clone(),
        })
    }
}

impl Timer for IdleTimer {
    fn sleep(&self, _: Duration) -> Pin<Box<dyn Sleep>> {
        self.idle_sleep()
    }

    fn sleep_until(&self, _: Instant) -> Pin<Box<dyn Sleep>> {
        self.idle_sleep()
    }
}

/// A wait for a head. It looks at the bounds again before it ends, since a caller may use by
/// now what has been allowed since. A shorter time counts from the next wait.
struct IdleSleep {
    started: Instant,
    timer: Pin<Box<dyn Sleep>>,
    bounds: Bounds,
}

impl Sleep for IdleSleep {}

impl Future for IdleSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.timer.as_mut().poll(cx));
            let deadline = self.started + idle_timeout(&self.bounds);
            if deadline <= Instant::now() {
                return Poll::Ready(());
            }
            self.timer = TokioTimer::new().sleep_until(deadline);
        }
    }
}

fn idle_timeout(bounds: &Bounds) -> Duration {
    bounds.borrow().unwrap_or_default().idle_timeout
}
