//! `filberthead help`.

use super::args::{self, Args};
use super::error::{Exit, Result};
use super::text;

/// All commands; the closest one is suggested for an unknown command.
pub(super) const COMMANDS: &[&str] = &[
    "check",
    "control",
    "explain",
    "help",
    "key",
    "report",
    "status",
    "table",
    "token",
    "workspaces",
];

const GENERAL: &str = "\
usage: filberthead COMMAND ... [OPTIONS]

  table ...          the table of weights and limits; see `filberthead help table`
  status             control replicas, entries and the version in force at each
  workspaces [NAME]  workspaces, the use of their allotments, and what is refused
  control ...        the group of control replicas; see `filberthead help control`
  report [FILE]      service-level burn, from control replicas or, on the VM of one, from
                     its settings file; --html for a page with plots, --out FILE
  check FILE         find every problem of a settings file
  explain ID [FILE...]
                     what logs of any processes tell of a request, from files or standard
                     input, in the order of time; --failure-domain NAME or --order ID instead
                     of the id for operators' orders, from the logs of control
  key ...            the keys of workspaces; see `filberthead help key`
  token new NAME ROLE [--services A,B]
                     generate a bearer token: role read, propose or accept

options of every command that talks to control replicas:
  --control IP:PORT  a control replica; several by commas or again
                     (else FILBERTHEAD_CONTROL)
  --token-file FILE  file of the bearer token (else FILBERTHEAD_TOKEN_FILE)
  --as NAME          who acts, where no token is asked for (else USER)
  --timeout SECONDS  longest time for all attempts together (default 20)
  --change-id ID     id of an act whose outcome was not known, to send it again
  --json             results as JSON

exit codes:
  0 done   1 refused or in conflict, nothing changed   2 command line or file unusable
  3 outcome not known   4 no control replica answers for the table, nothing changed
  5 accepted, but not in force at every entry within --timeout (with --wait)
";

const TABLE: &str = "\
usage: filberthead table ...

  show [SERVICE]                 the rows in force
  export [--out FILE]            the rows as CSV, to be edited in a spreadsheet
  diff FILE | NUMBER             a sheet, or a proposal, against the rows in force
  propose FILE --note TEXT       put the edits of a sheet up for review
  propose SERVICE REGION VALUES --note TEXT
                                 put one row up for review
  propose --rebase NUMBER --note TEXT
                                 put a proposal up again, on the rows in force
  review                         the open proposals
  review NUMBER                  one of them, against the rows in force
  review NUMBER --approve|--reject [--note TEXT]
  accept NUMBER [--note TEXT]    put an approved proposal into the table
  withdraw NUMBER [--note TEXT]  close a proposal without effect
  set SERVICE REGION VALUES --note TEXT [--revision N]
                                 change one row at once
  history [--last N] [--before SERIAL] [--change-id ID]
                                 who did what and how it ended
  handover                       what the last shift left: note, acts since, proposals
  handover --note TEXT           end a shift

VALUES are --weight N, --limit N, --shift-cap N, --objective latency|headroom, or
--remove. Values not named stay. A new row needs the first three.
--allow DANGER accepts a danger that was named as the reason of a refusal:
all-weights-zero, last-row, cap-below-running, limit-above-slots, own-review.
--wait, with set and accept, waits until every entry reports the change as in force.
--supersedes NUMBER lets a proposal take the place of an open one.
";

const CONTROL: &str = "\
usage: filberthead control ...

  init                 make the one replica named by --control the first of a group
  add IP:PORT          let the replica at this operators' address receive the log
  promote NAME|ID      let it vote, once it has caught up
  remove NAME|ID       remove a replica from the group
  replace NAME|ID IP:PORT
                       add, wait until caught up, promote, remove the old one;
                       may be run again if it breaks off
  forget-entry NAME    state that an entry's VM is gone for good: its endpoints and its
                       parts of limits go to others. Only if nothing of it runs any more
";

const KEY: &str = "\
usage: filberthead key ... WORKSPACE --key-file FILE

  add                  let callers use this key, besides those that they have
  replace --old-key-file FILE [--overlap SECONDS]
                       let callers use both keys for some time (default 300), then revoke
                       the old one; may be run again if it breaks off
  revoke               end this key for new requests and those that wait

A key is read from its file, or from standard input if FILE is `-`. Each command sends the newest
configuration with this change, under the next version.

  --orders IP:PORT     where a control replica takes routes; several by commas or again
                       (else FILBERTHEAD_ORDERS)
  --timeout SECONDS    longest time for all attempts of a change (default 20)
";

pub(super) fn run(args: &mut Args) -> Result<Exit> {
    let page = match args.optional_positional().as_deref() {
        None
        | Some("help" | "status" | "report" | "check" | "explain" | "token" | "workspaces") => {
            GENERAL
        }
        Some("table") => TABLE,
        Some("control") => CONTROL,
        Some("key") => KEY,
        Some(other) => return Err(args::unknown_name("command", other, COMMANDS)),
    };
    text::print(page);
    Ok(Exit::Done)
}
