//! The administration API towards operators: HTTP and JSON, versioned under `/v1`.
//!
//! [`Server`] serves it over an [`Administration`], which the control daemon
//! implements, and [`Client`] is what the command line uses. The server decides who may
//! do what and finds the dangers that show only against live readings; whether an act
//! takes effect is decided by the replicated table alone, so that a resend, at whatever
//! replica it comes in, ends as its first attempt did.
//!
//! Nothing here is trusted to arrive once: an act carries an id drawn by its client,
//! and [`Client`] sends it again under the same id until it knows the outcome or runs
//! out of time, in which case it says that the outcome is not known.

mod administration;
mod answer;
mod client;
mod live;
mod request;
mod server;
mod tokens;

pub use administration::{
    Administration, AdministrationError, BoxFuture, EntryStatus, MembershipChange, ReplicaRole,
    ReplicaStatus, RowReading, Status,
};
pub use answer::{
    Answer, ConflictBody, DifferenceBody, HandOverBody, HandOverNote, HistoryBody, ProposalBody,
    ProposalsBody, RecordBody, RemovedBody, ReviewView, RowBody, TableBody,
};
pub use client::{Client, ClientBuilder, ClientError, Reply};
pub use request::{
    AcceptBody, AddReplicaBody, ChangeBody, EditBody, EditShapeError, NoteBody, ReplicaBody,
    ReviewBody,
};
pub use server::{MAX_BODY_BYTES, Page, Server, ServerBuilder};
pub use tokens::{NewToken, TokenSource, TokenSourceError, Tokens, TokensError};

/// Header of every answer: the number of its result code.
pub const RESULT_HEADER: &str = "filberthead-result";

/// Header in which a client without a token says who acts.
pub const OPERATOR_HEADER: &str = "filberthead-operator";
