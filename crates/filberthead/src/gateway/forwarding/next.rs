//! What to do next with a request that is being forwarded.

use std::time::Duration;

use filberthead_endpoint::RequestBody;
use filberthead_place::Refusal;
use filberthead_types::ResultCode;
use http::Response;

use crate::gateway::progress::GivenUp;
use crate::gateway::response::ResponseBody;
use crate::gateway::under_way::RunningAttempt;

/// What to do next.
pub(super) enum Next {
    /// Send the request to an endpoint, with this body.
    Send(RequestBody),
    /// Wait for the attempts under way.
    Wait,
    /// Give the caller an endpoint's response, or the one that is due at the deadline, and end the attempts
    /// under way for this reason.
    Respond(Box<Response<ResponseBody>>, GivenUp),
    /// Give the caller this failure, of an endpoint or the gateway, unless attempts are under way.
    Fail(Box<Response<ResponseBody>>),
    /// Reject the request, unless attempts are under way.
    Reject {
        code: ResultCode,
        retry_after: Duration,
    },
}

impl Next {
    pub(super) fn respond(response: Response<ResponseBody>) -> Self {
        Self::Respond(Box::new(response), GivenUp::Superseded)
    }

    pub(super) fn expire(response: Response<ResponseBody>) -> Self {
        Self::Respond(Box::new(response), GivenUp::Deadline)
    }

    pub(super) fn fail(response: Response<ResponseBody>) -> Self {
        Self::Fail(Box::new(response))
    }

    pub(super) fn reject(code: ResultCode, retry_after: Duration) -> Self {
        Self::Reject { code, retry_after }
    }
}

/// What became of a request that was to be sent.
pub(super) enum Start<'a> {
    /// An attempt was started.
    Started(Box<RunningAttempt<'a>>),
    /// It can't be sent now.
    Rejected {
        code: ResultCode,
        retry_after: Duration,
    },
}

impl Start<'_> {
    pub(super) fn reject(code: ResultCode, retry_after: Duration) -> Self {
        Self::Rejected { code, retry_after }
    }

    /// Rejects a request for which there is no endpoint.
    pub(super) fn refuse(reason: Refusal, retry_after: Duration) -> Self {
        let code = match reason {
            Refusal::NoEndpoint | Refusal::OutOfReach => ResultCode::NoEndpoint,
            Refusal::Overloaded => ResultCode::Overloaded,
        };
        Self::reject(code, retry_after)
    }
}

/// Which endpoints an attempt may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reach {
    /// Those in contact, or through another gateway.
    InContact,
    /// If there is none, also those that have failed recently.
    Any,
}
