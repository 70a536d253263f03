//! The operators duty: serves the administration API and passes its requests to the consensus
//! duty.

use std::net::TcpListener;
use std::sync::Arc;

use filberthead_consensus::Proposal;
use filberthead_observe::ControlMetrics;
use filberthead_operator::{
    Administration, AdministrationError, BoxFuture, MembershipChange, RowReading, Server, Status,
    TokenSource, WorkspacesBody,
};
use filberthead_ring::Sender;
use filberthead_settings::{ControlSettings, ReviewPolicy};
use filberthead_table::{Command, Outcome, Table};
use snafu::ResultExt;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::gauges::MetricsPage;
use super::input::{AdminRequest, InitialiseError, Input, SubmitError};
use super::samples::ReportPage;
use super::{ControlError, StartSnafu, TokensSnafu};
use crate::Duty;
use crate::stop::Stop;

/// Starts the duty.
pub(crate) fn spawn(
    cfg: &ControlSettings,
    listener: TcpListener,
    tx: Sender<Input>,
    metrics: Arc<ControlMetrics>,
    stop: Stop,
) -> Result<Duty, ControlError> {
    let tokens = cfg.tokens.as_ref().map(TokenSource::open);
    let tokens = tokens.transpose().context(TokensSnafu)?;
    let page = Arc::new(MetricsPage {
        metrics: Arc::clone(&metrics),
    });
    let server = Server::builder(Arc::new(AdminHandle { tx, metrics }))
        .tokens(tokens)
        .require_review(cfg.review == ReviewPolicy::Required)
        .page("/metrics", page)
        .page("/v1/report", Arc::new(ReportPage::new(cfg)))
        .build();
    Duty::spawn("operators", move || run(server, listener, stop)).context(StartSnafu)
}

async fn run(server: Server, listener: TcpListener, mut stop: Stop) {
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => {
            server
                .serve(listener, async move { stop.wait().await })
                .await;
        }
        Err(e) => log::error!(error:% = e; "can't listen for operators"),
    }
}

/// Passes operators' requests to the consensus duty.
struct AdminHandle {
    tx: Sender<Input>,
    metrics: Arc<ControlMetrics>,
}

impl AdminHandle {
    /// Sends a request and waits for its result. Returns `lost` if the consensus duty ends before
    /// it replies.
    async fn request<T, E: Into<AdministrationError>>(
        &self,
        build: impl FnOnce(oneshot::Sender<Result<T, E>>) -> AdminRequest,
        lost: AdministrationError,
    ) -> Result<T, AdministrationError> {
        let (tx, rx) = oneshot::channel();
        self.push(build(tx))?;
        match rx.await {
            Ok(result) => result.map_err(Into::into),
            Err(_) => Err(lost),
        }
    }

    fn push(&self, req: AdminRequest) -> Result<(), AdministrationError> {
        let pushed = self.tx.push(Input::Admin(req));
        pushed.map_err(|_| unavailable("the consensus duty takes no more work"))
    }
}

fn unavailable(reason: &str) -> AdministrationError {
    AdministrationError::Unavailable {
        reason: reason.to_owned(),
    }
}

impl From<SubmitError> for AdministrationError {
    fn from(e: SubmitError) -> Self {
        match e {
            SubmitError::NotLeader { leader } => Self::NotLeader { leader },
            SubmitError::MembershipRefused => Self::MembershipRefused {
                reason: "another change is under way, or it is not possible from here".to_owned(),
            },
            SubmitError::LearnerBehind => Self::LearnerBehind,
            SubmitError::OutcomeUnknown => Self::OutcomeUnknown,
            SubmitError::EntryMayBeAlive => {
                unavailable("the entry has renewed its lease lately, or the leader is new")
            }
            SubmitError::Busy => unavailable("the log takes no more for the moment"),
        }
    }
}

impl From<InitialiseError> for AdministrationError {
    fn from(e: InitialiseError) -> Self {
        let reason = match e {
            InitialiseError::AlreadyInitialised => {
                "the data folder already belongs to a group".to_owned()
            }
            InitialiseError::Storage(reason) => reason,
        };
        Self::MembershipRefused { reason }
    }
}

impl Administration for AdminHandle {
    fn submit(&self, command: Command) -> BoxFuture<'_, Result<Outcome, AdministrationError>> {
        let build = |reply| AdminRequest::Submit { command, reply };
        Box::pin(async {
            let started = Instant::now();
            let result = self
                .request(build, AdministrationError::OutcomeUnknown)
                .await;
            let code = result.as_ref().map_or_else(|e| e.code(), Outcome::code);
            self.metrics.record_change(code, started.elapsed());
            result
        })
    }

    fn read(&self) -> BoxFuture<'_, Result<Arc<Table>, AdministrationError>> {
        let build = |reply| AdminRequest::Read { reply };
        Box::pin(self.request(build, unavailable("the process is stopping")))
    }

    fn status(&self) -> BoxFuture<'_, Result<Status, AdministrationError>> {
        Box::pin(async {
            let (reply, rx) = oneshot::channel();
            self.push(AdminRequest::Status { reply })?;
            rx.await.map_err(|_| unavailable("the process is stopping"))
        })
    }

    fn workspaces(&self) -> BoxFuture<'_, Result<WorkspacesBody, AdministrationError>> {
        Box::pin(async {
            let (reply, rx) = oneshot::channel();
            self.push(AdminRequest::Workspaces { reply })?;
            rx.await.map_err(|_| unavailable("the process is stopping"))
        })
    }

    fn readings(&self) -> BoxFuture<'_, Vec<RowReading>> {
        Box::pin(async {
            // Without a status there are no readings; the caller then treats the change as
            // unchecked.
            self.status()
                .await
                .map_or_else(|_| Vec::new(), |status| status.rows)
        })
    }

    fn membership(&self, act: MembershipChange) -> BoxFuture<'_, Result<(), AdministrationError>> {
        let lost = AdministrationError::OutcomeUnknown;
        let proposal = match act {
            MembershipChange::Initialise => {
                return Box::pin(self.request(|reply| AdminRequest::Initialise { reply }, lost));
            }
            MembershipChange::AddLearner(id) => Proposal::AddLearner(id),
            MembershipChange::Promote(id) => Proposal::Promote(id),
            MembershipChange::Remove(id) => Proposal::Remove(id),
        };
        let build = |reply| AdminRequest::Members { proposal, reply };
        Box::pin(self.request(build, lost))
    }
}
