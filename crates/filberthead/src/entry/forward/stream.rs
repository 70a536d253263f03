//! Streaming of long answers, resumed from another endpoint if one is lost.
//!
//! One piece waits in the channel to the caller's connection and one in each connection's
//! own buffer, so the memory of a download doesn't depend on its length or on how slowly it
//! is read: a full channel stops reading here, and TCP flow control stops the endpoint.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filberthead_caller::{AnswerBody, BodyPart};
use filberthead_endpoint::{RequestBody, Resume};
use filberthead_types::ResultCode;
use http::Response;
use hyper::body::Frame;
use log::{debug, info};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

use super::attempt::{Attempt, Upstream, attempt};
use super::context::{Reply, RequestContext};
use super::core::Core;
use super::keyed::AnswerRecorder;
use super::read_on::{Bounds, ReadOnEnd, read_on};

/// Capacity, in pieces, of the channel to the caller's connection.
const CHANNEL_CAPACITY: usize = 1;
/// A caller that reads nothing for this long counts as disconnected.
const READER_TIMEOUT: Duration = Duration::from_secs(300);
/// Pause before the rest of a download is requested again.
const RESUME_PAUSE: Duration = Duration::from_millis(200);

/// How copying an answer ended.
#[derive(Debug)]
enum CopyEnd {
    /// The answer was read to its end.
    Complete,
    /// The endpoint was lost.
    Lost,
    /// The endpoint sent nothing until the caller's deadline, and no other one has the rest.
    Silent,
    /// The caller is gone.
    CallerGone,
}

/// What comes next of an answer.
#[derive(Debug)]
enum Next {
    Frame(Frame<Bytes>),
    End,
    Lost,
    Silent,
    /// Another endpoint has the rest.
    Replaced(Box<Upstream>),
}

impl From<Option<Result<Frame<Bytes>, hyper::Error>>> for Next {
    fn from(frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Self {
        match frame {
            Some(Ok(frame)) => Self::Frame(frame),
            None => Self::End,
            Some(Err(_)) => Self::Lost,
        }
    }
}

/// An answer on its way to the caller.
struct Stream<'a> {
    core: &'a Rc<Core>,
    ctx: &'a mut RequestContext,
    upstream: Upstream,
    tx: mpsc::Sender<BodyPart>,
    resume: Option<Resume>,
    recorder: Option<AnswerRecorder>,
    /// The caller's deadline; that of the context is changed to resume.
    deadline: Instant,
}

/// Streams an answer to the caller. Returns `Answered` if it was complete, `EndpointLost` if
/// it was cut, and `None` if the caller disconnected before its end and it isn't read on.
///
/// `recorder` collects the answer to a request with a key. Such an answer is read on even if the
/// caller is gone, because the caller's resend gets it from the ledger.
pub(crate) async fn stream_answer(
    core: &Rc<Core>,
    ctx: &mut RequestContext,
    upstream: Upstream,
    reply: Reply,
    recorder: Option<AnswerRecorder>,
) -> Option<ResultCode> {
    let (tx, rx) = mpsc::channel(CHANNEL_CAPACITY);
    let response = Response::from_parts(upstream.head.clone(), AnswerBody::Stream(rx));
    // Dropped if the caller is gone, which the channel shows.
    let _ = reply.send(Ok(response));
    let stream = Stream {
        core,
        // What is recorded for resends has to come from one endpoint.
        resume: match recorder {
            Some(_) => None,
            None => Resume::from_response(&ctx.parts, &upstream.head),
        },
        deadline: ctx.deadline,
        ctx,
        upstream,
        tx,
        recorder,
    };
    stream.run().await
}

impl Stream<'_> {
    async fn run(mut self) -> Option<ResultCode> {
        loop {
            match self.copy().await {
                CopyEnd::Complete => return self.complete().await,
                CopyEnd::CallerGone => return self.record_rest().await,
                CopyEnd::Silent => return self.cut(),
                CopyEnd::Lost => {
                    self.upstream.lost();
                    match self.resume_elsewhere().await {
                        Some(next) => self.replace(*next),
                        None => return self.cut(),
                    }
                }
            }
        }
    }

    /// Copies the body to the caller's channel and to the recorder, until it ends, the endpoint
    /// is lost or the caller is gone.
    async fn copy(&mut self) -> CopyEnd {
        loop {
            let tx = self.tx.clone();
            let next = tokio::select! {
                next = self.next() => next,
                () = tx.closed() => return CopyEnd::CallerGone,
            };
            let is_complete = |resume: &Resume| resume.is_complete();
            let frame = match next {
                Next::Frame(frame) => frame,
                Next::End if self.resume.as_ref().is_none_or(is_complete) => {
                    return CopyEnd::Complete;
                }
                Next::End | Next::Lost => return CopyEnd::Lost,
                Next::Silent => return CopyEnd::Silent,
                Next::Replaced(next) => {
                    self.replace(*next);
                    continue;
                }
            };
            let len = frame.data_ref().map_or(0, Bytes::len);
            if let (Some(recorder), Some(data)) = (self.recorder.as_mut(), frame.data_ref()) {
                recorder.push(data);
            }
            match timeout(READER_TIMEOUT, tx.send(BodyPart::Frame(frame))).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return CopyEnd::CallerGone,
            }
            if let Some(resume) = &mut self.resume {
                resume.advance(len as u64);
            }
        }
    }

    async fn next(&mut self) -> Next {
        let max_silence = self.core.request_timeout;
        match timeout(max_silence, self.upstream.next_frame()).await {
            Ok(frame) => frame.into(),
            Err(_) => self.outlast_silence().await,
        }
    }

    /// Waits for an endpoint that has sent nothing for too long. It may still be at work, so it is given
    /// up only for another one that has the rest, or at the caller's deadline.
    async fn outlast_silence(&mut self) -> Next {
        let tried = self.ctx.tried.clone();
        let replacement = async {
            loop {
                let resume = self.resume.as_ref();
                if let Some(next) = resume_elsewhere(self.core, self.ctx, resume, &self.tx).await {
                    return Next::Replaced(next);
                }
                let now = Instant::now();
                if now >= self.deadline {
                    return Next::Silent;
                }
                sleep_until(self.deadline.min(now + self.core.request_timeout)).await;
            }
        };
        let next = tokio::select! {
            biased;
            frame = self.upstream.next_frame() => frame.into(),
            next = replacement => next,
        };
        if !matches!(next, Next::Replaced(_)) {
            self.ctx.tried = tried;
        }
        next
    }

    async fn resume_elsewhere(&mut self) -> Option<Box<Upstream>> {
        resume_elsewhere(self.core, self.ctx, self.resume.as_ref(), &self.tx).await
    }

    /// Goes on with an answer that has the rest.
    fn replace(&mut self, next: Upstream) {
        std::mem::replace(&mut self.upstream, next).broken();
    }

    async fn complete(self) -> Option<ResultCode> {
        self.upstream.complete();
        if let Some(recorder) = self.recorder {
            recorder.complete();
        }
        // If the caller is gone by now, it has all but the end.
        let _ = self.tx.send(BodyPart::End).await;
        Some(ResultCode::Answered)
    }

    /// Ends an answer that can't be completed. Dropping the channel without `BodyPart::End` breaks the
    /// caller's connection.
    fn cut(self) -> Option<ResultCode> {
        self.upstream.broken();
        match self.recorder {
            Some(recorder) => recorder.abort(),
            None => info!(request:% = self.ctx.id; "an answer was cut and can't be resumed"),
        }
        Some(ResultCode::EndpointLost)
    }

    /// Reads the rest of an answer under a key for the ledger alone, and records how it ended.
    async fn record_rest(mut self) -> Option<ResultCode> {
        drop(self.tx);
        let mut recorder = self.recorder?;
        let bounds = Bounds {
            max_silence: self.core.request_timeout,
            deadline: self.deadline,
        };
        match read_on(&mut self.upstream, &mut recorder, bounds).await {
            ReadOnEnd::Complete => {
                self.upstream.complete();
                recorder.complete();
                Some(ResultCode::Answered)
            }
            ReadOnEnd::TooLong => {
                self.upstream.broken();
                recorder.too_long();
                None
            }
            ReadOnEnd::Lost => {
                self.upstream.broken();
                recorder.abort();
                Some(ResultCode::EndpointLost)
            }
        }
    }
}

/// Requests the rest of an answer from other endpoints until one returns it, for at most
/// the time that an answer may make no progress. `None` if the answer can't be resumed.
async fn resume_elsewhere(
    core: &Rc<Core>,
    ctx: &mut RequestContext,
    resume: Option<&Resume>,
    tx: &mpsc::Sender<BodyPart>,
) -> Option<Box<Upstream>> {
    let resume = resume?;
    resume.set_range(&mut ctx.parts.headers);
    ctx.resuming = true;
    // Any endpoint but the one that was just lost may have the rest.
    let earlier = ctx.tried.len().saturating_sub(1);
    ctx.tried.drain(..earlier);
    let give_up_at = Instant::now() + core.request_timeout;
    let mut retry_granted = false;
    while Instant::now() < give_up_at {
        retry_granted = retry_granted || core.try_spend_retry();
        if !retry_granted {
            return None;
        }
        ctx.deadline = give_up_at;
        let body = RequestBody::Buffered(Bytes::new());
        match attempt(core, ctx, body, tx.closed()).await {
            Attempt::Streaming(upstream) if resume.matches(&upstream.head) => {
                debug!(request:% = ctx.id; "a download is resumed from another endpoint");
                return Some(upstream);
            }
            // Another version of the file, or none: it can't be joined to the first part.
            Attempt::Streaming(_) | Attempt::Buffered(..) | Attempt::Abandoned => return None,
            Attempt::Refused(_) => {
                // All were tried; the one that was lost first may be available again.
                ctx.tried.clear();
                tokio::time::sleep(RESUME_PAUSE).await;
            }
            Attempt::NotRun(_)
            | Attempt::NotSent(_)
            | Attempt::Lost
            | Attempt::LostElsewhere
            | Attempt::TimedOut => {
                retry_granted = false;
            }
        }
    }
    None
}
