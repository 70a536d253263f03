//! The body of a large response, streamed to the caller while the endpoint sends it.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use filberthead_endpoint::Connection;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use snafu::{ResultExt, Snafu};
use tokio::time::{Instant, Sleep, sleep_until};

use super::core::Core;
use super::timing::RequestTimer;

/// Why a response body ends early. The caller's connection is closed then, so that a truncated
/// response is never taken for a complete one.
#[derive(Debug)]
#[derive(Snafu)]
pub(crate) enum BodyError {
    /// The endpoint closed or reset the connection.
    #[snafu(display("the endpoint closed the connection during the response"))]
    EndpointClosed {
        /// hyper's error.
        source: hyper::Error,
    },
    /// The deadline passed.
    #[snafu(display("the deadline passed during the response"))]
    DeadlineExceeded,
}

/// A response body on its way from the endpoint to the caller.
pub(crate) struct StreamedBody {
    core: Rc<Core>,
    body: Incoming,
    /// Returned to the pool at the end of the body.
    connection: Option<Connection>,
    /// Fires when the caller stops waiting; what is missing by then is of no use.
    deadline: Pin<Box<Sleep>>,
    /// Data received but not yet sent. No more is read until it is empty, which stops the
    /// endpoint by TCP flow control.
    buffered: Bytes,
    /// Fires when the uplink may be free for the next chunk; `None` if nothing is waited for.
    link_wait: Option<Pin<Box<Sleep>>>,
    /// Measures the request until the end of the body; dropped if that doesn't come.
    timer: Option<RequestTimer>,
    /// Why the body ends early, once that is known and until it is reported.
    failure: Option<BodyError>,
}

impl StreamedBody {
    pub(crate) fn new(
        core: &Rc<Core>,
        body: Incoming,
        connection: Connection,
        deadline: Instant,
    ) -> Self {
        core.record_large(body.size_hint().lower());
        Self {
            core: Rc::clone(core),
            body,
            connection: Some(connection),
            deadline: Box::pin(sleep_until(deadline)),
            buffered: Bytes::new(),
            link_wait: None,
            timer: None,
            failure: None,
        }
    }

    /// Measures the request until the end of the body.
    pub(crate) fn set_timer(&mut self, timer: RequestTimer) {
        self.timer = Some(timer);
    }

    pub(crate) fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(failure) = self.failure.take() {
            return Poll::Ready(Some(Err(failure)));
        }
        match ready!(self.poll_next(cx)) {
            // hyper gives a connection up at a body's error without writing what it has buffered, the
            // response's head for instance, which it does while it waits.
            Some(Err(failure)) => {
                self.failure = Some(failure);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            frame => Poll::Ready(frame),
        }
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            self.timer = None;
            return Poll::Ready(Some(DeadlineExceededSnafu.fail()));
        }
        if self.buffered.is_empty() {
            match ready!(self.poll_body(cx)) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => self.buffered = data,
                    Err(trailers) => return Poll::Ready(Some(Ok(trailers))),
                },
                other => return Poll::Ready(other),
            }
        }
        ready!(self.poll_link(cx));
        let chunk = self.buffered.len().min(self.core.max_chunk());
        self.core.record_sent_chunk(chunk);
        Poll::Ready(Some(Ok(Frame::data(self.buffered.split_to(chunk)))))
    }

    fn poll_body(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let complete = frame.is_none() || self.body.is_end_stream();
        if complete && let Some(connection) = self.connection.take() {
            connection.release();
            if let Some(timer) = self.timer.take() {
                timer.finish();
            }
        }
        Poll::Ready(frame.map(|frame| frame.context(EndpointClosedSnafu)))
    }

    /// Waits until the uplink is free for a chunk.
    fn poll_link(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if let Some(link_wait) = &mut self.link_wait {
                ready!(link_wait.as_mut().poll(cx));
                self.link_wait = None;
            }
            match self.core.link_busy_for() {
                Some(wait) => self.link_wait = Some(Box::pin(tokio::time::sleep(wait))),
                None => return Poll::Ready(()),
            }
        }
    }

    pub(crate) fn is_end_stream(&self) -> bool {
        self.failure.is_none() && self.buffered.is_empty() && self.body.is_end_stream()
    }

    pub(crate) fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.len() as u64;
        let rest = self.body.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + buffered);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + buffered);
        }
        hint
    }
}
