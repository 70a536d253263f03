//! Answers that arrive when nobody waits for them any more.
//!
//! What an answer says of its endpoint holds although its request was given up. So the connection isn't reset
//! at once: its write side is shut down, which tells the endpoint to stop, and the head of an answer that is
//! on its way is still read. An endpoint may also send an answer on an idle connection, for instance before it
//! closes it.

use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

use crate::client::is_final;
use crate::pool::Pool;
use crate::{Connection, RequestBody};

/// Time after which the connection of a request that was given up is reset, whether or not the head of an
/// answer has come. Endpoints that don't heed a shutdown of the write side work on until then.
const LATE_HEAD_TIME: Duration = Duration::from_millis(100);
/// Maximum number of connections of a client that wait for such heads. Further ones are reset at once.
const MAX_LATE: usize = 64;
/// Maximum number of headers that are read on an idle connection.
const MAX_HEADERS: usize = 100;

type SentHead = Result<Response<Incoming>, TrySendError<Request<RequestBody>>>;

type OnHead = dyn Fn(StatusCode, &HeaderMap);

/// Gets the status and the headers of answers that arrive when nobody waits for them any more.
#[derive(Clone)]
pub struct LateHeads(Rc<OnHead>);

impl LateHeads {
    /// Calls `f` with each. The answer is not checked to belong to the request.
    pub fn new(f: impl Fn(StatusCode, &HeaderMap) + 'static) -> Self {
        Self(Rc::new(f))
    }

    /// Reports the head of the answer that these bytes begin with, if it is whole.
    pub(crate) fn report_bytes(&self, bytes: &[u8]) {
        if let Some((status, headers)) = parse_head(bytes) {
            self.0(status, &headers);
        }
    }
}

impl fmt::Debug for LateHeads {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LateHeads").finish_non_exhaustive()
    }
}

/// The final head that these bytes begin with.
fn parse_head(bytes: &[u8]) -> Option<(StatusCode, HeaderMap)> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    if !head.parse(bytes).ok()?.is_complete() {
        return None;
    }
    let status = StatusCode::from_u16(head.code?).ok()?;
    let read = head.headers.iter().map(|header| {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(header.value).ok()?))
    });
    let headers = read.collect::<Option<Vec<_>>>()?.into_iter();
    is_final(status).then(|| (status, headers.collect()))
}

/// A request that waits for the head of its answer. It is given up when it is dropped.
pub(crate) struct Sending(Option<Waiting>);

struct Waiting {
    head: Pin<Box<dyn Future<Output = SentHead>>>,
    connection: Connection,
}

impl Sending {
    /// Sends a request, unless nothing of it can be written by `deadline`.
    pub(crate) fn start(
        mut connection: Connection,
        req: Request<RequestBody>,
        deadline: Instant,
        late_heads: Option<LateHeads>,
    ) -> Self {
        connection.outstanding.begin(deadline, late_heads);
        let head = Box::pin(connection.sender.try_send_request(req));
        Self(Some(Waiting { head, connection }))
    }
}

impl Future for Sending {
    type Output = (Connection, SentHead);

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let Some(mut waiting) = self.0.take() else {
            return Poll::Pending;
        };
        match waiting.head.as_mut().poll(cx) {
            Poll::Ready(head) => Poll::Ready((waiting.connection, head)),
            Poll::Pending => {
                self.0 = Some(waiting);
                Poll::Pending
            }
        }
    }
}

impl Drop for Sending {
    fn drop(&mut self) {
        let Some(Waiting { head, connection }) = self.0.take() else {
            return;
        };
        let Some(place) = LatePlace::take(&connection.pool) else {
            return;
        };
        let Some(late_heads) = connection.outstanding.give_up() else {
            return;
        };
        spawn_local(async move {
            if let Ok(Ok(response)) = timeout(LATE_HEAD_TIME, head).await
                && is_final(response.status())
            {
                late_heads.0(response.status(), response.headers());
            }
            drop((connection, place));
        });
    }
}

/// One of the [`MAX_LATE`] places.
struct LatePlace(Rc<Pool>);

impl LatePlace {
    fn take(pool: &Rc<Pool>) -> Option<Self> {
        let taken = pool.late.get();
        (taken < MAX_LATE).then(|| {
            pool.late.set(taken + 1);
            Self(Rc::clone(pool))
        })
    }
}

impl Drop for LatePlace {
    fn drop(&mut self) {
        self.0.late.set(self.0.late.get() - 1);
    }
}
