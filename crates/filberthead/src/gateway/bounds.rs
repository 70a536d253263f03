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
pub(super) const MAX_LINES: usize = 2048;
/// Bytes of a head that are taken in any case: twice what is usual. What is over a connection's
/// room is refused for good, which must not happen by a bound that isn't known yet or may have
/// been raised since. More would let callers who never end their heads fill a small VM.
const LEAST_ROOM: usize = 32 * 1024;

/// Bytes of a head that a connection is to take which is accepted now.
pub(super) fn room(bounds: &Bounds) -> usize {
    let told = bounds.borrow().map(|bounds| bounds.header_bytes);
    told.unwrap_or_default().max(LEAST_ROOM)
}

/// Bytes of a request's head, as it was sent.
pub(super) fn head_bytes(head: &Parts) -> usize {
    // The colon and space of a line, or the spaces of the first, and what ends it.
    const LINE: usize = 4;
    let target = head
        .uri
        .path_and_query()
        .map_or(0, |text| text.as_str().len());
    let version = "HTTP/1.1".len();
    let first = head.method.as_str().len() + target + version + LINE;
    let lines = head.headers.iter();
    let lines = lines.map(|(name, value)| name.as_str().len() + value.len() + LINE);
    // An empty line ends it.
    first + lines.sum::<usize>() + LINE / 2
}

/// Waits until more bytes of a head are allowed than a connection takes: hyper can't be told
/// of it, so the caller's next request has to come over another connection.
pub(super) async fn outgrown(bounds: &mut Bounds, taken: usize) {
    let outgrows = |bounds: &Option<CallerBounds>| {
        let allowed = bounds.map(|bounds| bounds.header_bytes);
        allowed.is_some_and(|allowed| allowed > taken)
    };
    // What is returned holds the bounds locked.
    drop(bounds.wait_for(outgrows).await);
}

/// Times the waits for a head by the bounds in force.
///
/// hyper is told a time once, when the connection is accepted, and would close a kept one by
/// what applied then. It asks for a timer at each wait, so the time is looked up here.
pub(super) struct IdleTimer(pub(super) Bounds);

impl IdleTimer {
    fn wait(&self) -> Pin<Box<dyn Sleep>> {
        let begin = Instant::now();
        Box::pin(Idle {
            begin,
            timer: TokioTimer::new().sleep_until(begin + idle_timeout(&self.0)),
            bounds: self.0.clone(),
        })
    }
}

impl Timer for IdleTimer {
    fn sleep(&self, _: Duration) -> Pin<Box<dyn Sleep>> {
        self.wait()
    }

    fn sleep_until(&self, _: Instant) -> Pin<Box<dyn Sleep>> {
        self.wait()
    }
}

/// A wait for a head. It looks at the bounds again before it ends, since a caller may use by
/// now what has been allowed since. A shorter time counts from the next wait.
struct Idle {
    begin: Instant,
    timer: Pin<Box<dyn Sleep>>,
    bounds: Bounds,
}

impl Sleep for Idle {}

impl Future for Idle {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.timer.as_mut().poll(cx));
            let end = self.begin + idle_timeout(&self.bounds);
            if end <= Instant::now() {
                return Poll::Ready(());
            }
            self.timer = TokioTimer::new().sleep_until(end);
        }
    }
}

fn idle_timeout(bounds: &Bounds) -> Duration {
    bounds.borrow().unwrap_or_default().idle_timeout
}
