//! Requests that run before the server reaches them, and the end of each answer.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use filberthead_pipeline::{Memory, MemoryShare};
use http::Response;
use http::request::Parts;
use http_body::{Body, Frame, SizeHint};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::read_ahead::Connection;
use crate::gateway::body_memory::BodyBytes;
use crate::gateway::response::ResponseBody;
use crate::gateway::streamed::BodyError;

/// A request that was started ahead. Dropped, it is cancelled.
pub(super) struct RunningAhead {
    head: Rc<Parts>,
    started: Instant,
    task: JoinHandle<WaitingResponse>,
}

/// A response that waits for those before it, and the memory that it takes.
pub(super) struct WaitingResponse {
    response: Response<ResponseBody>,
    ready: Instant,
    _memory: MemoryShare,
}

impl WaitingResponse {
    pub(super) fn new(memory: &Rc<Memory>, response: Response<ResponseBody>) -> Self {
        let bytes = match response.body() {
            ResponseBody::Buffered(body) => body.len(),
            ResponseBody::Streamed(_) => 0,
        };
        Self {
            response,
            ready: Instant::now(),
            _memory: MemoryShare::new(memory, bytes),
        }
    }
}

impl RunningAhead {
    pub(super) fn new(head: Rc<Parts>, task: JoinHandle<WaitingResponse>) -> Self {
        let started = Instant::now();
        Self {
            head,
            started,
            task,
        }
    }

    /// Whether the server has parsed the same request.
    pub(super) fn is_for(&self, head: &Parts) -> bool {
        let own = &self.head;
        own.method == head.method && own.uri == head.uri && own.headers == head.headers
    }

    /// When it was started.
    pub(super) fn started(&self) -> Instant {
        self.started
    }

    /// Waits for its response, and since when it is there; `None` if there is none.
    pub(super) async fn response(mut self) -> Option<(Response<ResponseBody>, Instant)> {
        let waiting = (&mut self.task).await.ok()?;
        Some((waiting.response, waiting.ready))
    }
}

impl Drop for RunningAhead {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The body of an answer, whose end is noted on the connection.
pub(super) struct AnswerBody {
    pub(super) body: ResponseBody,
    pub(super) connection: Rc<RefCell<Connection>>,
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.connection.borrow_mut().finish();
    }
}

impl Body for AnswerBody {
    type Data = BodyBytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<BodyBytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
