//! Errors and exit codes of the command line.

use std::process::ExitCode;

use filberthead_adapter::client::OrdersError;
use filberthead_operator::{Answer, ClientError, ConflictBody};
use filberthead_table::CsvError;
use filberthead_types::{ChangeId, ResultCode};
use serde_json::json;

use super::text;

/// Exit code of the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// Refused or in conflict; nothing changed.
    Refused = 1,
    /// The command line or a file that it names can't be used; nothing was sent.
    Usage = 2,
    /// An act was sent, and whether it took effect is not known.
    Unknown = 3,
    /// No control replica answers for the table; nothing changed.
    Unreachable = 4,
    /// The change is accepted, but some entries didn't report it as in force within `--timeout`.
    NotInForce = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

pub(super) type Result<T> = std::result::Result<T, CliError>;

/// Why a command failed.
#[derive(Debug)]
pub(super) enum CliError {
    /// The command line can't be used.
    Usage(String),
    /// A CSV file has invalid lines.
    Csv { file: String, error: CsvError },
    /// The API refused the request.
    Refused(Box<Answer>),
    /// The client got no usable answer. `id` is the change id of an act, `None` for a read.
    Client {
        id: Option<ChangeId>,
        error: ClientError,
    },
    /// A call about routes failed.
    Orders(OrdersError),
    /// A local operation failed, such as writing a file.
    Fault(String),
}

impl CliError {
    pub(super) fn usage(message: impl Into<String>) -> Self {
        Self::Usage(message.into())
    }

    pub(super) fn fault(message: impl Into<String>) -> Self {
        Self::Fault(message.into())
    }

    pub(super) fn from_read(error: ClientError) -> Self {
        Self::Client { id: None, error }
    }

    fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::Csv { .. } | Self::Fault(_) => Exit::Usage,
            Self::Refused(_) => Exit::Refused,
            Self::Orders(error) => match error {
                OrdersError::Change { .. } | OrdersError::Refused { .. } => Exit::Refused,
                OrdersError::Unreachable => Exit::Unreachable,
                OrdersError::OutcomeUnknown => Exit::Unknown,
            },
            Self::Client { error, .. } => match error {
                ClientError::OutcomeUnknown { .. } => Exit::Unknown,
                ClientError::Unreachable { .. } => Exit::Unreachable,
                // With an unreadable answer it is unknown whether an act took effect.
                ClientError::Malformed { .. } => Exit::Unknown,
                ClientError::NoAddress | ClientError::Body { .. } | ClientError::Header => {
                    Exit::Usage
                }
            },
        }
    }

    fn message(&self) -> String {
        match self {
            Self::Usage(message) | Self::Fault(message) => message.clone(),
            Self::Csv { file, error } => {
                let faults = error.faults.iter();
                let lines: Vec<_> = faults
                    .map(|(line, fault)| format!("{file}:{line}: {fault}"))
                    .collect();
                lines.join("\n")
            }
            Self::Refused(answer) => describe_refusal(answer),
            Self::Orders(error) => error.to_string(),
            Self::Client { id, error } => match (id, error) {
                (Some(id), ClientError::OutcomeUnknown { last }) => format!(
                    "the outcome is not known ({last})\n\
                     to find out, run the same command again with --change-id {id}:\n\
                     it takes effect once at most"
                ),
                _ => error.to_string(),
            },
        }
    }
}

impl std::fmt::Display for CliError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.message())
    }
}

/// Describes a refusal, with both sides of each conflict and what to do next.
fn describe_refusal(answer: &Answer) -> String {
    let mut lines = vec![format!("{} ({})", answer.message, answer.code)];
    lines.extend(answer.conflicts.iter().map(describe_conflict));
    for finding in &answer.findings {
        let allow = format!("  to do it all the same: --allow {}", finding.danger);
        lines.push(allow);
    }
    let hint = match answer.code {
        ResultCode::ChangeConflict => {
            "to go on: look at both sides, then `table set` with the new revision, a fresh \
             `table export`, or `table propose --rebase NUMBER` for a proposal"
        }
        ResultCode::ReviewMissing if answer.rejected_by.is_empty() => {
            "to go on: a colleague runs `table review NUMBER --approve`; without one: \
             `table accept NUMBER --allow own-review`, which stands in the history"
        }
        ResultCode::ReviewMissing => {
            "to go on: the reviewer approves it after all, or propose an amended change with \
             `--supersedes NUMBER`"
        }
        ResultCode::ChangeIdReused => {
            "to see what the id stands for: `table history --change-id ID`"
        }
        _ => "",
    };
    if !hint.is_empty() {
        lines.push(hint.to_owned());
    }
    lines.join("\n")
}

/// Describes both sides of a conflict.
pub(super) fn describe_conflict(conflict: &ConflictBody) -> String {
    let ConflictBody {
        service,
        region,
        seen,
        revision,
        ..
    } = conflict;
    let who = conflict.changed_by.as_deref().unwrap_or("somebody");
    let when = conflict
        .changed_at_ms
        .map_or_else(String::new, |at| format!(" at {}", text::time(at)));
    let wanted = text::values_or(conflict.wanted.as_ref(), "no row");
    let current = text::values_or(conflict.current.as_ref(), "no row");
    format!(
        "  {service}/{region}\n    \
         yours:  {wanted}, made on revision {seen}\n    \
         theirs: {current}, revision {revision}, set by {who}{when}"
    )
}

/// Prints an error and returns its exit code.
pub(super) fn report_error(error: &CliError, json: bool) -> Exit {
    let exit = error.exit();
    if !json {
        eprintln!("filberthead: {}", error.message());
        return exit;
    }
    let document = match error {
        CliError::Refused(answer) => json!({ "exit": exit as u8, "answer": answer }),
        CliError::Client { id, .. } => {
            json!({ "exit": exit as u8, "message": error.message(), "id": id })
        }
        CliError::Csv { error, .. } => {
            let fault = |(line, fault): &(u64, String)| json!({ "line": line, "fault": fault });
            let faults: Vec<_> = error.faults.iter().map(fault).collect();
            json!({ "exit": exit as u8, "message": error.to_string(), "faults": faults })
        }
        CliError::Usage(_) | CliError::Fault(_) | CliError::Orders(_) => {
            json!({ "exit": exit as u8, "message": error.message() })
        }
    };
    text::print(&format!("{document:#}\n"));
    exit
}
