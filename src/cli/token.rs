//! `filberthead token new NAME ROLE`: generates a bearer token.

use filberthead_operator::NewToken;
use filberthead_table::Role;
use filberthead_types::ServiceName;
use serde_json::json;

use super::args::{self, Args};
use super::error::{CliError, Exit, Result};
use super::text;

pub(super) fn run(mut args: Args, json: bool) -> Result<Exit> {
    let word = args.positional("`new`")?;
    if word != "new" {
        return Err(args::unknown_name("command", &word, &["new"]));
    }
    let name = args.positional("the operator's name")?;
    let role: Role = args.parse_positional("the role: read, propose or accept")?;
    let services = services(&mut args)?;
    args.finish()?;
    let token = NewToken::generate(&name, role, &services).map_err(|e| {
        let faults: Vec<_> = e.faults.into_iter().map(|(_, fault)| fault).collect();
        CliError::usage(faults.join("; "))
    })?;
    if json {
        let document = json!({ "secret": token.secret, "line": token.line });
        text::print(&format!("{document:#}\n"));
    } else {
        text::print(&format!(
            "secret, shown this once, for the operator's token file:\n{}\n\
             line for the tokens file of each control replica:\n{}\n",
            token.secret, token.line
        ));
    }
    Ok(Exit::Done)
}

fn services(args: &mut Args) -> Result<Vec<ServiceName>> {
    let lists = args.option_values("services");
    let names = lists.iter().flat_map(|list| list.split(','));
    names
        .map(|name| {
            name.parse()
                .map_err(|e| CliError::usage(format!("--services: {e}")))
        })
        .collect()
}
