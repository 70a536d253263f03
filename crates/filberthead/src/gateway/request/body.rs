//! Reads the body of a request.

use filberthead_endpoint::RequestBody;
use filberthead_types::ResultCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::timeout_at;

use crate::gateway::deadline::Deadline;

/// Bodies up to this size in bytes are read before the request is sent, so that it can be
/// retried. Larger ones are streamed, and sent once.
const MAX_REPLAYABLE_BODY: u64 = 256 * 1024;

/// Reads a short body into memory; a long one stays a stream.
pub(in crate::gateway) async fn read_body(
    body: RequestBody,
    deadline: &Deadline,
) -> Result<RequestBody, ResultCode> {
    let hint = body.size_hint();
    let RequestBody::Stream(stream) = body else {
        return Ok(body);
    };
    if hint.upper().is_none_or(|upper| upper > MAX_REPLAYABLE_BODY) {
        return Ok(RequestBody::Stream(stream));
    }
    match timeout_at(deadline.respond_by, stream.collect()).await {
        Ok(Ok(body)) => Ok(RequestBody::Buffered(body.to_bytes())),
        Ok(Err(_)) => Err(ResultCode::BadRequest),
        Err(_) => Err(ResultCode::DeadlineBeforeRun),
    }
}
