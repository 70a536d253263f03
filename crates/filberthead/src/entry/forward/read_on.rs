//! Reading of the rest of an answer under a key whose caller has left.
//!
//! The caller's resend gets the answer from the ledger, so it is read to its end. An answer that has none
//! would hold its endpoint's slot and its key for ever, so there are bounds.

use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

use super::attempt::Upstream;
use super::keyed::AnswerRecorder;

/// Bytes that are read after the caller has left, at most, of an answer without a length. Far more than is
/// stored of one.
const MAX_BYTES: usize = 1024 * 1024;
/// Time for which an answer is read after its caller has left, in times that it may make no progress.
const MAX_SILENCES: u32 = 30;

/// How reading on ended.
#[derive(Debug)]
pub(super) enum ReadOnEnd {
    /// The answer was read to its end.
    Complete,
    /// It is too long to be stored, and may have no end.
    TooLong,
    /// The endpoint was lost, sent nothing for too long, or didn't come to an end in time.
    Lost,
}

/// When an answer is given up.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    /// Time that it may make no progress.
    pub(super) max_silence: Duration,
    /// The caller's deadline, until which its endpoint may be silent in any case.
    pub(super) deadline: Instant,
}

/// Reads the rest of an answer into `recorder`.
pub(super) async fn read_on(
    upstream: &mut Upstream,
    recorder: &mut AnswerRecorder,
    bounds: Bounds,
) -> ReadOnEnd {
    let until = Instant::now() + bounds.max_silence * MAX_SILENCES;
    let reading = read(upstream, recorder, bounds);
    timeout_at(until, reading).await.unwrap_or(ReadOnEnd::Lost)
}

async fn read(upstream: &mut Upstream, recorder: &mut AnswerRecorder, bounds: Bounds) -> ReadOnEnd {
    // One of a known length has an end.
    let is_counted = upstream.body.size_hint().exact().is_none();
    let mut bytes = 0;
    while !is_counted || bytes <= MAX_BYTES {
        let silent_until = bounds.deadline.max(Instant::now() + bounds.max_silence);
        let frame = match timeout_at(silent_until, upstream.next_frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return ReadOnEnd::Complete,
            Ok(Some(Err(_))) | Err(_) => return ReadOnEnd::Lost,
        };
        if let Some(data) = frame.data_ref() {
            recorder.push(data);
        }
        bytes += frame.data_ref().map_or(0, Bytes::len);
    }
    ReadOnEnd::TooLong
}
