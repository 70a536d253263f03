//! Limits on a caller's connection: the idle timeout and the size of a request head.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use filberthead_route::CallerBounds;
use http::request::Parts;
use hyper::rt::{Sleep, Timer};
use hyper_util::rt::TokioTimer;
use tokio::sync::watch;

/// The bounds of the active routes; `None` until control has sent any.
pub(crate) type Bounds = watch::Receiver<Option<CallerBounds>>;

/// Most header lines in a request, which isn't configurable: as many lines of 8 bytes as fit into
/// 16 KiB. hyper's own limit of 100 would reject requests for good. hyper reserves space for all
/// of them with each head, which costs 0.06 µs for 2,048 as for 100, but 7.5 µs for 3,000.
pub(super) const MAX_HEADER_LINES: usize = 2048;
/// Least buffer for a request head in bytes: twice what is usual. A head that exceeds its
/// connection's buffer is rejected for good, which must not happen because of a bound that isn't
/// known yet or may have been raised since. A larger buffer would let callers who never end their
/// heads fill the memory of a small VM.
const MIN_HEAD_BUFFER: usize = 32 * 1024;

/// Head buffer in bytes for a connection that is accepted now.
pub(super) fn head_buffer_size(bounds: &Bounds) -> usize {
    let limit = bounds.borrow().map(|bounds| bounds.header_bytes);
    limit.unwrap_or_default().max(MIN_HEAD_BUFFER)
}

/// Size of a request's head as it was sent, in bytes.
pub(super) fn head_bytes(head: &Parts) -> usize {
    // Colon, space and line end of a header; two spaces and line end of the request line.
    const LINE_OVERHEAD: usize = 4;
    let path = head
        .uri
        .path_and_query()
        .map_or(0, |text| text.as_str().len());
    let version = "HTTP/1.1".len();
    let request_line = head.method.as_str().len() + path + version + LINE_OVERHEAD;
    let lines = head.headers.iter();
    let lines = lines.map(|(name, value)| name.as_str().len() + value.len() + LINE_OVERHEAD);
    // The empty line that ends the head.
    request_line + lines.sum::<usize>() + LINE_OVERHEAD / 2
}

/// Waits until the bounds allow a larger head than the connection's buffer holds. hyper can't
/// change that buffer, so the caller's next request needs a new connection.
pub(super) async fn head_limit_raised(bounds: &mut Bounds, buffer_size: usize) {
    let exceeds_buffer = |bounds: &Option<CallerBounds>| {
        let allowed = bounds.map(|bounds| bounds.header_bytes);
        allowed.is_some_and(|allowed| allowed > buffer_size)
    };
    // The returned guard holds a lock on the bounds.
    drop(bounds.wait_for(exceeds_buffer).await);
}

/// A timer that applies the idle timeout in force at the time of each wait.
///
/// hyper takes its timeout once, when the connection is accepted, and would close a kept-alive
/// connection by an outdated value. It asks for a timer at each wait, so the timeout is looked up
/// here instead.
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

/// One wait for a request head. It reads the bounds again before it expires, since the timeout
/// may have been raised meanwhile. A shorter timeout applies from the next wait.
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
