//! `filberthead table set`, and the values of one row on a command line.

use filberthead_operator::{ChangeBody, EditBody, TableBody};
use filberthead_table::{Objective, RowKey, RowValues};
use filberthead_types::Revision;

use super::{allowed_dangers, required_note};
use crate::cli::args::Args;
use crate::cli::error::{CliError, Exit, Result};
use crate::cli::session::{AfterAccept, Session};

/// The edit of one row that a command line describes. Options that weren't given are `None`.
pub(super) struct RowEdit {
    key: RowKey,
    weight: Option<u32>,
    limit: Option<u32>,
    shift_cap: Option<u32>,
    objective: Option<Objective>,
    remove: bool,
    revision: Option<Revision>,
}

impl RowEdit {
    /// Reads the values from the options; the row's service and region are consumed already.
    pub(super) fn from_args(args: &mut Args, service: &str, region: &str) -> Result<Self> {
        let usage = |e: filberthead_types::NameError| CliError::usage(e.to_string());
        let key = RowKey {
            service: service.parse().map_err(usage)?,
            region: region.parse().map_err(usage)?,
        };
        let edit = Self {
            key,
            weight: args.parse_option("weight")?,
            limit: args.parse_option("limit")?,
            shift_cap: args.parse_option("shift-cap")?,
            objective: args.parse_option("objective")?,
            remove: args.flag("remove"),
            revision: args.parse_option("revision")?.map(Revision),
        };
        if edit.remove == edit.has_values() {
            let message = "say what is to change: --weight, --limit, --shift-cap, --objective, \
                           or else --remove";
            return Err(CliError::usage(message));
        }
        Ok(edit)
    }

    fn has_values(&self) -> bool {
        let number = self.weight.or(self.limit).or(self.shift_cap);
        number.is_some() || self.objective.is_some()
    }

    /// The edit to send, based on the table: values that weren't given keep the row's.
    pub(super) fn resolve(&self, table: &TableBody) -> Result<EditBody> {
        let revision = self.revision.unwrap_or_else(|| table.revision(&self.key));
        let set = match (self.remove, table.row(&self.key)) {
            (true, _) => None,
            (false, Some(row)) => Some(self.apply_to(row.values())),
            (false, None) => Some(self.new_row()?),
        };
        Ok(EditBody {
            service: self.key.service.clone(),
            region: self.key.region.clone(),
            revision,
            set,
            remove: self.remove,
        })
    }

    fn apply_to(&self, values: RowValues) -> RowValues {
        RowValues {
            weight: self.weight.unwrap_or(values.weight),
            limit: self.limit.unwrap_or(values.limit),
            shift_cap: self.shift_cap.unwrap_or(values.shift_cap),
            objective: self.objective.unwrap_or(values.objective),
        }
    }

    fn new_row(&self) -> Result<RowValues> {
        let needed = |value: Option<u32>, name: &str| {
            value.ok_or_else(|| {
                let message = format!("there is no row {}; to make it, give --{name}", self.key);
                CliError::usage(message)
            })
        };
        Ok(RowValues {
            weight: needed(self.weight, "weight")?,
            limit: needed(self.limit, "limit")?,
            shift_cap: needed(self.shift_cap, "shift-cap")?,
            objective: self.objective.unwrap_or_default(),
        })
    }
}

pub(super) async fn run(session: &Session, mut args: Args) -> Result<Exit> {
    let service = args.positional("the service")?;
    let region = args.positional("the region")?;
    let edit = RowEdit::from_args(&mut args, &service, &region)?;
    let allow = allowed_dangers(&mut args)?;
    let note = required_note(&mut args)?;
    let after_accept = AfterAccept::from_args(&mut args);
    args.finish()?;
    let make_body = async |id| {
        let table: TableBody = session.get_from_leader("/v1/table").await?;
        Ok(ChangeBody {
            id,
            note,
            edits: vec![edit.resolve(&table)?],
            allow,
            supersedes: None,
        })
    };
    session.submit("/v1/changes", after_accept, make_body).await
}
