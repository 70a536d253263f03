//! A large answer that goes on to its caller while it comes from its endpoint.

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

/// Why an answer ends before it is whole. The caller's connection is closed then, so that
/// a cut answer never looks whole.
#[derive(Debug)]
#[derive(Snafu)]
pub(crate) enum BodyError {
    /// The endpoint broke off.
    #[snafu(display("the endpoint broke off"))]
    EndpointClosed {
        /// hyper's word.
        source: hyper::Error,
    },
    /// The deadline passed.
    #[snafu(display("the answer was not whole in time"))]
    DeadlineExceeded,
}

/// The rest of an answer.
pub(crate) struct StreamedBody {
    core: Rc<Core>,
    body: Incoming,
    /// Goes back to the pool once the body has come to its end.
    connection: Option<Connection>,
    /// When the caller has left; whatever is missing then is of no use.
    deadline: Pin<Box<Sleep>>,
    /// What has come and isn't sent yet. No more is read until it is, which stops the
    /// endpoint through TCP.
    buffered: Bytes,
    /// Until when the link has other things to send.
    link_wait: Option<Pin<Box<Sleep>>>,
}

impl StreamedBody {
    pub(crate) fn new(
        core: &Rc<Core>,
        body: Incoming,
        connection: Connection,
        deadline: Instant,
    ) -> Self {
        core.observe_large(body.size_hint().lower());
        Self {
            core: Rc::clone(core),
            body,
            connection: Some(connection),
            deadline: Box::pin(sleep_until(deadline)),
            buffered: Bytes::new(),
            link_wait: None,
        }
    }

    pub(crate) fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
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
        }
        Poll::Ready(frame.map(|frame| frame.context(EndpointClosedSnafu)))
    }

    /// Waits until the link is free for a piece.
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
        self.buffered.is_empty() && self.body.is_end_stream()
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
