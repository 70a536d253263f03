//! Positional arguments and options of a command line.

use std::collections::VecDeque;
use std::ffi::OsString;
use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;

use lexopt::{Arg, ValueExt};

use super::error::{CliError, Result};

/// Options without a value.
const FLAGS: &[&str] = &[
    "approve", "help", "html", "json", "reject", "remove", "version", "wait",
];

/// Options with a value.
const VALUE_OPTIONS: &[&str] = &[
    "allow",
    "as",
    "before",
    "change-id",
    "control",
    "failure-domain",
    "key-file",
    "last",
    "limit",
    "note",
    "objective",
    "old-key-file",
    "order",
    "orders",
    "out",
    "overlap",
    "rebase",
    "revision",
    "services",
    "shift-cap",
    "supersedes",
    "timeout",
    "token-file",
    "weight",
];

/// Least Jaro-Winkler similarity at which a known name is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.7;

/// The arguments that are not consumed yet. Each command removes those that it uses;
/// [`Args::finish`] fails if any remain, so that no option is silently ignored.
#[derive(Debug, Default)]
pub(super) struct Args {
    positionals: VecDeque<String>,
    options: Vec<(&'static str, String)>,
}

impl Args {
    pub(super) fn parse(words: impl IntoIterator<Item = OsString> + 'static) -> Result<Self> {
        let mut args = Self::default();
        let mut parser = lexopt::Parser::from_args(words);
        while let Some(arg) = parser.next().map_err(usage)? {
            match arg {
                Arg::Value(word) => args.positionals.push_back(word.string().map_err(usage)?),
                Arg::Short('h') => args.options.push(("help", String::new())),
                Arg::Short('V') => args.options.push(("version", String::new())),
                Arg::Short(c) => return Err(CliError::usage(format!("unknown option -{c}"))),
                Arg::Long(name) => {
                    let name = name.to_owned();
                    if let Some(flag) = FLAGS.iter().find(|flag| **flag == name) {
                        args.options.push((flag, String::new()));
                    } else if let Some(option) =
                        VALUE_OPTIONS.iter().find(|option| **option == name)
                    {
                        let value = parser.value().and_then(|value| value.string());
                        args.options.push((option, value.map_err(usage)?));
                    } else {
                        let known = [FLAGS, VALUE_OPTIONS].concat();
                        return Err(unknown_name("option", &format!("--{name}"), &known));
                    }
                }
            }
        }
        Ok(args)
    }

    /// Removes the next positional argument, which is required. `what` describes it in errors.
    pub(super) fn positional(&mut self, what: &str) -> Result<String> {
        let word = self.positionals.pop_front();
        word.ok_or_else(|| CliError::usage(format!("missing argument: {what}")))
    }

    /// Removes the next positional argument, if there is one.
    pub(super) fn optional_positional(&mut self) -> Option<String> {
        self.positionals.pop_front()
    }

    /// Removes and parses the next positional argument, which is required.
    pub(super) fn parse_positional<T: FromStr<Err: Display>>(&mut self, what: &str) -> Result<T> {
        let word = self.positional(what)?;
        word.parse()
            .map_err(|e| CliError::usage(format!("{what}: `{word}`: {e}")))
    }

    /// Removes a flag and returns whether it was given.
    pub(super) fn flag(&mut self, name: &str) -> bool {
        !self.option_values(name).is_empty()
    }

    /// Removes an option and returns all its values, in the order of the command line.
    pub(super) fn option_values(&mut self, name: &str) -> Vec<String> {
        let matching = self.options.extract_if(.., |(option, _)| *option == name);
        matching.map(|(_, value)| value).collect()
    }

    /// Removes an option that may be given once and returns its value.
    pub(super) fn option(&mut self, name: &str) -> Result<Option<String>> {
        let mut values = self.option_values(name);
        if values.len() > 1 {
            return Err(CliError::usage(format!("--{name} is given twice")));
        }
        Ok(values.pop())
    }

    /// Removes an option that may be given once and parses its value.
    pub(super) fn parse_option<T: FromStr<Err: Display>>(
        &mut self,
        name: &str,
    ) -> Result<Option<T>> {
        let Some(value) = self.option(name)? else {
            return Ok(None);
        };
        let parsed = value
            .parse()
            .map_err(|e| CliError::usage(format!("--{name}: `{value}`: {e}")))?;
        Ok(Some(parsed))
    }

    /// Fails if an argument remains that the command didn't use.
    pub(super) fn finish(self) -> Result<()> {
        if let Some((option, _)) = self.options.first() {
            let message = format!("--{option} doesn't go with this command");
            return Err(CliError::usage(message));
        }
        match self.positionals.front() {
            None => Ok(()),
            Some(word) => Err(CliError::usage(format!("unexpected argument `{word}`"))),
        }
    }
}

/// Removes an option with addresses, separated by commas or in several options, which may come
/// from an environment variable instead. `missing` is the error if there are none.
pub(super) fn addrs(
    args: &mut Args,
    option: &str,
    variable: &str,
    missing: &str,
) -> Result<Vec<SocketAddr>> {
    let mut given = args.option_values(option);
    if given.is_empty() {
        given.extend(std::env::var(variable).ok());
    }
    let words = given.iter().flat_map(|list| list.split(','));
    let words: Vec<_> = words.map(str::trim).filter(|w| !w.is_empty()).collect();
    if words.is_empty() {
        return Err(CliError::usage(missing));
    }
    let parse = |word: &str| {
        word.parse()
            .map_err(|e| CliError::usage(format!("--{option}: `{word}`: {e}; give IP:PORT")))
    };
    words.into_iter().map(parse).collect()
}

fn usage(e: lexopt::Error) -> CliError {
    CliError::usage(e.to_string())
}

/// The error for a name that is not among `known`, with the most similar of these. `what` is the
/// kind of name: command, option or danger.
pub(super) fn unknown_name(what: &str, word: &str, known: &[&str]) -> CliError {
    let bare = word.trim_start_matches('-');
    let dashes = &word[..word.len() - bare.len()];
    let similarity = |name: &&&str| strsim::jaro_winkler(name, bare);
    let closest = known
        .iter()
        .max_by(|a, b| similarity(a).total_cmp(&similarity(b)))
        .filter(|name| similarity(name) >= MIN_SIMILARITY);
    let hint = closest.map_or_else(String::new, |closest| {
        format!("; did you mean `{dashes}{closest}`?")
    });
    CliError::usage(format!("unknown {what} `{word}`{hint}"))
}
