//! Result codes: one number per outcome of a request, look-up or change.
//!
//! Each code implies a [`Meaning`], so that callers needn't derive from an HTTP status whether
//! their request ran. `docs/RESULT-CODES.md` lists all codes; a test checks that the page
//! matches [`ResultCode::ALL`].

use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

/// What a result code says about the execution of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Meaning {
    /// No endpoint received a byte of the request; a resend is safe.
    NotRun,
    /// An endpoint may have run the request; it will not be run again.
    MayHaveRun,
    /// The request ran, and this is its answer.
    Ran,
}

impl Meaning {
    /// The text used in the [`header::MEANING`](crate::header::MEANING) header and in bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Meaning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A number that isn't a result code.
#[derive(Clone, Debug)]
#[derive(Snafu)]
#[snafu(display("{number} is no result code"))]
pub struct UnknownCodeError {
    number: u16,
}

macro_rules! codes {
    ($($(#[doc = $doc:literal])* $name:ident = $number:literal, $status:literal, $meaning:ident, $slug:literal;)*) => {
        /// A numbered result. The thousands digit names the area: 1 requests,
        /// 2 table changes, 3 administration API, 4 look-ups, 5 peers.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        #[repr(u16)]
        pub enum ResultCode {
            $($(#[doc = $doc])* $name = $number,)*
        }

        impl ResultCode {
            /// All codes in ascending order.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// The HTTP status sent with the code.
            pub fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }

            /// What the code says about execution.
            pub fn meaning(self) -> Meaning {
                match self {
                    $(Self::$name => Meaning::$meaning,)*
                }
            }

            /// Description of the code, from its doc comment.
            pub fn description(self) -> &'static str {
                match self {
                    $(Self::$name => concat!($($doc),*).trim_ascii(),)*
                }
            }

            /// Short stable name, used in logs and bodies.
            pub fn slug(self) -> &'static str {
                match self {
                    $(Self::$name => $slug,)*
                }
            }
        }
    };
}

codes! {
    /// The endpoint's own answer, whatever its HTTP status.
    Answered = 1000, 200, Ran, "answered";
    /// The stored answer of an earlier run under the same idempotency key.
    Replayed = 1001, 200, Ran, "replayed";
    /// The service is not in the table.
    UnknownService = 1100, 404, NotRun, "unknown-service";
    /// A non-idempotent method without an `Idempotency-Key`.
    KeyMissing = 1101, 400, NotRun, "key-missing";
    /// The same key with another method, path or body.
    KeyReused = 1102, 422, NotRun, "key-reused";
    /// Request line, headers or body break a bound or a rule.
    BadRequest = 1103, 400, NotRun, "bad-request";
    /// A body over the service's bound.
    BodyTooLarge = 1104, 413, NotRun, "body-too-large";
    /// The idempotency key doesn't begin with a prefix from a look-up, so no ledger is
    /// its home; such a key never runs.
    KeyWithoutHome = 1105, 400, NotRun, "key-without-home";
    /// A head over the bound of the routes in force.
    HeadTooLarge = 1106, 431, NotRun, "head-too-large";
    /// The route needs an API key, and the request has none, several or one that no
    /// workspace holds.
    CallerUnknown = 1107, 401, NotRun, "caller-unknown";
    /// Every slot that this entry may use is taken and the queue is full.
    Overloaded = 1200, 503, NotRun, "overloaded";
    /// The limit of the row would be exceeded.
    LimitReached = 1201, 503, NotRun, "limit-reached";
    /// No endpoint of the service is known to be ready.
    NoEndpoint = 1202, 503, NotRun, "no-endpoint";
    /// The deadline passed before the request was handed to an endpoint.
    DeadlineBeforeRun = 1203, 504, NotRun, "deadline-before-run";
    /// The home of the key can't be reached from here. An earlier send of the same key
    /// may have reached it, so nobody here can say that the request did not run.
    HomeUnreachable = 1204, 503, MayHaveRun, "home-unreachable";
    /// The ledger has no room for a new key; this key is closed for good.
    LedgerFull = 1205, 503, NotRun, "ledger-full";
    /// This process is starting and has not yet proved its table version.
    NotReady = 1206, 503, NotRun, "not-ready";
    /// The request's fingerprint is quarantined: endpoints died while running it.
    Quarantined = 1207, 422, NotRun, "quarantined";
    /// The retry budget is spent.
    RetryBudgetSpent = 1208, 503, NotRun, "retry-budget-spent";
    /// This process is stopping and takes no new work.
    Stopping = 1209, 503, NotRun, "stopping";
    /// The key's home no longer starts keys of this prefix; this key is closed for good.
    KeyClosed = 1210, 409, NotRun, "key-closed";
    /// The routes held here don't allow the request, and control hasn't proved lately that
    /// there are no newer ones.
    RoutesUnproven = 1211, 503, NotRun, "routes-unproven";
    /// The VM's link has no room for a further large answer.
    LinkBusy = 1212, 503, NotRun, "link-busy";
    /// The workspace's allotment is used up.
    AllotmentUsed = 1213, 429, NotRun, "allotment-used";
    /// Endpoints have ended while they ran the same request.
    CrashesEndpoints = 1214, 503, NotRun, "crashes-endpoints";
    /// The service is short of capacity, and the workspace asks for more than its share of it.
    ShareUsed = 1215, 503, NotRun, "share-used";
    /// Bodies that came slowly had to give way to other requests, and this was one of them.
    BodyGaveWay = 1216, 503, NotRun, "body-gave-way";
    /// The deadline passed while an endpoint had the request.
    DeadlineWhileRunning = 1300, 504, MayHaveRun, "deadline-while-running";
    /// The endpoint's connection ended before its whole answer came.
    EndpointLost = 1301, 502, MayHaveRun, "endpoint-lost";
    /// The key's start is on record, its outcome is not known.
    OutcomeUnknown = 1302, 409, MayHaveRun, "outcome-unknown";
    /// The key belongs to an epoch of its home whose records are lost.
    HomeLostRecords = 1303, 409, MayHaveRun, "home-lost-records";
    /// The key is running at another entry whose answer can't be had in time.
    StillRunning = 1304, 409, MayHaveRun, "still-running";
    /// The entry that holds the key's home broke off during the request.
    HomeLostWhileRunning = 1305, 502, MayHaveRun, "home-lost-while-running";
    /// The key is older than its home's records reach back.
    KeyExpired = 1306, 410, MayHaveRun, "key-expired";
    /// This entry refused before it could ask the key's home; an earlier send of the
    /// same key may have run.
    KeyNotChecked = 1307, 503, MayHaveRun, "key-not-checked";
    /// The request ran, but its answer was too large to be stored for replay.
    AnswerNotStored = 1400, 410, Ran, "answer-not-stored";
    /// The change is accepted: synced by a majority.
    ChangeAccepted = 2000, 200, Ran, "change-accepted";
    /// The proposal is on record and waits for acceptance.
    ChangeProposed = 2001, 200, Ran, "change-proposed";
    /// The act is on record: a review, a withdrawal, a hand-over or a registration.
    ActRecorded = 2002, 200, Ran, "act-recorded";
    /// An edited row has another revision than the change saw.
    ChangeConflict = 2100, 409, NotRun, "change-conflict";
    /// The change breaks a rule of the table.
    ChangeInvalid = 2101, 422, NotRun, "change-invalid";
    /// The change needs an explicit flag because of its effect.
    ChangeDangerous = 2102, 422, NotRun, "change-dangerous";
    /// No such proposal, or it is closed.
    ProposalUnknown = 2103, 404, NotRun, "proposal-unknown";
    /// The change id was used for a different change.
    ChangeIdReused = 2104, 409, NotRun, "change-id-reused";
    /// The proposal's author tried to review it.
    OwnReview = 2105, 403, NotRun, "own-review";
    /// The change has no approving review of a colleague, or a standing rejection.
    ReviewMissing = 2106, 409, NotRun, "review-missing";
    /// As many proposals, or edited rows in them, are open as the table keeps.
    TooManyProposals = 2107, 409, NotRun, "too-many-proposals";
    /// This replica holds no lease; the answer names the leader if it is known.
    NotLeader = 2200, 503, NotRun, "not-leader";
    /// A membership change is under way, or this one breaks a rule.
    MembershipRefused = 2201, 409, NotRun, "membership-refused";
    /// The learner's log is too far behind to vote; ask again when it has caught up.
    LearnerBehind = 2202, 409, NotRun, "learner-behind";
    /// The change was handed to the log, its outcome is not known; resend with the same id.
    ChangeUnknown = 2300, 504, MayHaveRun, "change-unknown";
    /// An answer of the administration API that changes nothing.
    ApiAnswered = 3000, 200, Ran, "api-answered";
    /// No bearer token.
    TokenMissing = 3100, 401, NotRun, "token-missing";
    /// The bearer token is not known.
    TokenUnknown = 3101, 401, NotRun, "token-unknown";
    /// The token's role does not allow the act.
    RoleTooLow = 3102, 403, NotRun, "role-too-low";
    /// Path or method not served.
    NoSuchRoute = 3103, 404, NotRun, "no-such-route";
    /// Body over the bound of the administration API.
    ApiBodyTooLarge = 3104, 413, NotRun, "api-body-too-large";
    /// Body that is no valid JSON of the expected shape.
    ApiBodyMalformed = 3105, 400, NotRun, "api-body-malformed";
    /// The token's team may not change this service.
    ServiceNotAllowed = 3106, 403, NotRun, "service-not-allowed";
    /// Without a tokens file only clients on the loopback are served.
    LoopbackOnly = 3107, 403, NotRun, "loopback-only";
    /// The request's head or body did not come in time.
    ApiTimeout = 3108, 408, NotRun, "api-timeout";
    /// The daemon is stopping, or can't answer this now; ask another control replica.
    ApiUnavailable = 3109, 503, NotRun, "api-unavailable";
    /// A look-up's answer.
    LookedUp = 4000, 200, Ran, "looked-up";
    /// No entry is known to serve the service.
    NoEntry = 4100, 503, NotRun, "no-entry";
}

impl ResultCode {
    /// The number used in the [`header::RESULT`](crate::header::RESULT) header.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Finds a code by its number.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.slug())
    }
}

impl From<ResultCode> for u16 {
    fn from(code: ResultCode) -> Self {
        code.number()
    }
}

impl TryFrom<u16> for ResultCode {
    type Error = UnknownCodeError;

    fn try_from(number: u16) -> Result<Self, UnknownCodeError> {
        Self::from_number(number).context(UnknownCodeSnafu { number })
    }
}
