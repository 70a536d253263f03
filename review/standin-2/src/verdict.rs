//! Whether the rules TWICE and REFUSED held for callers' attempts.

use std::process::ExitCode;

use crate::caller::Attempt;
use crate::record::Record;
use crate::upstream::Upstream;

/// Attempts that broke a rule, and their number in all.
#[derive(Clone, Copy, Debug)]
pub struct Verdict {
    /// Attempts in all.
    pub attempts: usize,
    /// Attempts that ran more than once.
    pub twice: usize,
    /// Attempts that were refused with a promise, and ran.
    pub refused: usize,
}

impl Verdict {
    /// Compares what callers got with what upstreams ran, and writes each breach into the record.
    pub fn of(attempts: &[Attempt], upstreams: &[Upstream], record: &Record) -> Self {
        let ran: Vec<_> = upstreams.iter().map(Upstream::ran).collect();
        let runs = |id: &str| -> u32 { ran.iter().filter_map(|ran| ran.get(id)).sum() };
        let mut verdict = Self {
            attempts: attempts.len(),
            twice: 0,
            refused: 0,
        };
        for attempt in attempts {
            let (id, count) = (&attempt.id, runs(&attempt.id));
            if count > 1 {
                verdict.twice += 1;
                record.write(format_args!("TWICE: {id} ran {count} times"));
            }
            if let Some(status) = attempt.status.filter(|_| attempt.is_refused() && count > 0) {
                verdict.refused += 1;
                record.write(format_args!("REFUSED: {id} was answered {status} and ran"));
            }
        }
        for upstream in upstreams {
            record.write(format_args!("{}: {:?}", upstream.id(), upstream.counts()));
        }
        record.write(format_args!("{verdict:?}"));
        println!("{verdict:?}");
        verdict
    }

    /// 1 if a rule was broken, 0 if all held.
    pub fn exit_code(self) -> ExitCode {
        match self.twice + self.refused {
            0 => ExitCode::SUCCESS,
            _ => ExitCode::from(1),
        }
    }
}
