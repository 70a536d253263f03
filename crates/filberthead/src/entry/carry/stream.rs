//! Long answers: piece by piece, and on from another endpoint if one is lost.
//!
//! One piece waits in the channel towards the caller's connection and one in each
//! connection's own buffer, so a download holds a fixed amount of memory however long
//! it is or however slowly it is read: a full channel stops the reading here, and that
//! stops the endpoint through TCP.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filberthead_caller::{AnswerBody, BodyPart};
use filberthead_endpoint::{RequestBody, Resume};
use filberthead_types::ResultCode;
use http::Response;
use http_body_util::BodyExt;
use log::{debug, info};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use super::attempt::{Attempt, Upstream, attempt};
use super::core::Core;
use super::job::{Job, Reply};
use super::keyed::Keep;

/// Pieces that wait for the caller's connection.
const PIECES: usize = 1;
/// A caller that takes nothing for so long is gone without having said so.
const READER_TIMEOUT: Duration = Duration::from_secs(300);
/// Pause before the rest of a download is asked for again.
const RESUME_PAUSE: Duration = Duration::from_millis(200);

/// How copying an answer ended.
#[derive(Debug)]
enum Copied {
    /// All of it went to the caller.
    Whole,
    /// Its endpoint was lost, or sent nothing for too long.
    Lost,
    /// The caller is gone.
    CallerGone,
}

/// Sends an answer to the caller while it comes in. Says whether all of it came; nothing
/// if its caller went away first.
///
/// `keep` collects the answer to a request under a key. Such an answer is read to its
/// end even when its caller is gone: the caller's resend is to get it.
pub(crate) async fn pump(
    core: &Rc<Core>,
    job: &mut Job,
    mut upstream: Upstream,
    reply: Reply,
    mut keep: Option<Keep>,
) -> Option<ResultCode> {
    let mut resume = Resume::from_response(&job.parts, &upstream.head);
    let (tx, rx) = mpsc::channel(PIECES);
    let response = Response::from_parts(upstream.head.clone(), AnswerBody::Stream(rx));
    let taken = reply.send(Ok(response)).is_ok();
    if !taken && keep.is_none() {
        return None;
    }
    loop {
        match copy(core, &mut upstream, &tx, resume.as_mut(), &mut keep).await {
            Copied::Whole => {
                upstream.complete();
                if let Some(keep) = keep {
                    keep.whole();
                }
                // A caller that is gone by now lacks nothing but the end.
                let _ = tx.send(BodyPart::End).await;
                return Some(ResultCode::Answered);
            }
            Copied::CallerGone => return None,
            Copied::Lost => upstream.broken(),
        }
        if let Some(keep) = keep.take() {
            keep.cut();
            return Some(ResultCode::EndpointLost);
        }
        match go_on(core, job, resume.as_ref(), &tx).await {
            Some(next) => upstream = next,
            // Dropping the channel without its end breaks the caller's connection.
            None => {
                info!(request:% = job.id; "an answer was cut and can't be gone on with");
                return Some(ResultCode::EndpointLost);
            }
        }
    }
}

async fn copy(
    core: &Core,
    upstream: &mut Upstream,
    tx: &mpsc::Sender<BodyPart>,
    mut resume: Option<&mut Resume>,
    keep: &mut Option<Keep>,
) -> Copied {
    loop {
        let frame = tokio::select! {
            frame = timeout(core.request_timeout, upstream.body.frame()) => frame,
            () = tx.closed(), if keep.is_none() => return Copied::CallerGone,
        };
        let frame = match frame {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) if resume.is_none_or(|resume| resume.is_complete()) => return Copied::Whole,
            Ok(None | Some(Err(_))) | Err(_) => return Copied::Lost,
        };
        let len = frame.data_ref().map_or(0, Bytes::len);
        if let (Some(keep), Some(data)) = (keep.as_mut(), frame.data_ref()) {
            keep.push(data);
        }
        match timeout(READER_TIMEOUT, tx.send(BodyPart::Frame(frame))).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) if keep.is_some() => {}
            Ok(Err(_)) | Err(_) => return Copied::CallerGone,
        }
        if let Some(resume) = resume.as_deref_mut() {
            resume.advance(len as u64);
        }
    }
}

/// Asks other endpoints for the rest until one has it or for as long as an answer may
/// be without progress.
async fn go_on(
    core: &Rc<Core>,
    job: &mut Job,
    resume: Option<&Resume>,
    tx: &mpsc::Sender<BodyPart>,
) -> Option<Upstream> {
    let resume = resume?;
    resume.set_range(&mut job.parts.headers);
    job.resuming = true;
    // All but the endpoint that was just lost may have the rest.
    let tried = job.tried.len().saturating_sub(1);
    job.tried.drain(..tried);
    let give_up = Instant::now() + core.request_timeout;
    let mut paid = false;
    while Instant::now() < give_up {
        paid = paid || core.may_retry();
        if !paid {
            return None;
        }
        job.deadline = give_up;
        let body = RequestBody::Buffered(Bytes::new());
        match attempt(core, job, body, tx.closed()).await {
            Attempt::Streaming(upstream) if resume.matches(&upstream.head) => {
                debug!(request:% = job.id; "a download goes on elsewhere");
                return Some(*upstream);
            }
            // Another version of the file, or none: the two parts wouldn't fit.
            Attempt::Streaming(_) | Attempt::Whole(..) | Attempt::Abandoned => return None,
            Attempt::Refused(_) => {
                // All were tried; the one that was lost first may be back.
                job.tried.clear();
                tokio::time::sleep(RESUME_PAUSE).await;
            }
            Attempt::NotRun(_)
            | Attempt::NotSent(_)
            | Attempt::Lost
            | Attempt::LostElsewhere
            | Attempt::Late => {
                paid = false;
            }
        }
    }
    None
}
