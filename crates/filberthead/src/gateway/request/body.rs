//! Reads the body of a request.

use std::rc::Rc;

use filberthead_endpoint::RequestBody;
use filberthead_limits::{Admitted, BodyError, HeldBody, read_body};
use filberthead_types::ResultCode;
use hyper::body::Body;
use tokio::time::timeout_at;

use crate::gateway::deadline::Deadline;

/// Bodies up to this size in bytes are read before the request is sent, so that it can be
/// retried. Larger ones are streamed, and sent once.
const MAX_REPLAYABLE_BODY: usize = 256 * 1024;

/// The body of a request as it arrives.
pub(in crate::gateway) struct ArrivingBody {
    body: RequestBody,
    /// The connection that it comes on; `None` if it is empty.
    admitted: Option<Rc<Admitted>>,
}

/// The body of a request that can be forwarded.
pub(super) struct ReceivedBody {
    pub(super) body: RequestBody,
    /// Its memory; `None` for a stream.
    pub(super) held: Option<HeldBody>,
}

impl ArrivingBody {
    /// A body that comes on this connection.
    pub(in crate::gateway) fn on(admitted: &Rc<Admitted>, body: RequestBody) -> Self {
        Self {
            body,
            admitted: Some(Rc::clone(admitted)),
        }
    }

    /// No body.
    pub(in crate::gateway) fn empty() -> Self {
        Self {
            body: RequestBody::Buffered(bytes::Bytes::new()),
            admitted: None,
        }
    }

    /// The least length that it has, in bytes.
    pub(super) fn least_len(&self) -> u64 {
        self.body.size_hint().lower()
    }

    /// Reads a short body into memory, if there is room for it; a long one stays a stream.
    pub(super) async fn receive(self, deadline: &Deadline) -> Result<ReceivedBody, ResultCode> {
        let upper = self.body.size_hint().upper();
        let len = upper.and_then(|len| usize::try_from(len).ok());
        let len = len.filter(|len| *len <= MAX_REPLAYABLE_BODY);
        let held = |len| self.admitted.as_ref()?.hold_body(len);
        let (RequestBody::Stream(_), Some(len), Some(mut held)) =
            (&self.body, len, len.and_then(held))
        else {
            let body = self.body;
            return Ok(ReceivedBody { body, held: None });
        };
        match timeout_at(deadline.respond_by, read_body(self.body, len, &mut held)).await {
            Ok(Ok(body)) => Ok(ReceivedBody {
                body: RequestBody::Buffered(body),
                held: Some(held),
            }),
            Ok(Err(BodyError::Revoked)) => Err(ResultCode::BodyGaveWay),
            Ok(Err(_)) => Err(ResultCode::BadRequest),
            Err(_) => Err(ResultCode::DeadlineBeforeRun),
        }
    }
}
