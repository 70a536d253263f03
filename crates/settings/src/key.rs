//! Types of the declarations of sections and keys.

use crate::value::{Role, Value};

/// The programs whose files may have a section or key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Roles {
    Entry,
    Control,
    Gateway,
    EntryAndControl,
    /// The programs that callers connect to.
    EntryAndGateway,
    /// The programs that discover their group by seed addresses.
    ControlAndGateway,
    All,
}

impl Roles {
    pub(crate) fn contain(self, role: Role) -> bool {
        match self {
            Self::Entry => role == Role::Entry,
            Self::Control => role == Role::Control,
            Self::Gateway => role == Role::Gateway,
            Self::EntryAndControl => role != Role::Gateway,
            Self::EntryAndGateway => role != Role::Control,
            Self::ControlAndGateway => role != Role::Entry,
            Self::All => true,
        }
    }

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control => "control",
            Self::Gateway => "gateway",
            Self::EntryAndControl => "entry and control",
            Self::EntryAndGateway => "entry and gateway",
            Self::ControlAndGateway => "control and gateway",
            Self::All => "entry, control and gateway",
        }
    }
}

/// What an absent key means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Absent {
    /// An error in files of these programs; in other files the value is unset.
    Error(Roles),
    /// The value is unset. Only files of these programs may have the key.
    Unset(Roles),
    /// The value is this text, parsed.
    Default(&'static str),
}

/// Inclusive bounds of a value, written as in a file.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Range {
    pub(crate) min: &'static str,
    pub(crate) max: &'static str,
}

/// Declaration of one key with values of type `T`.
#[derive(Debug)]
pub(crate) struct Key<T> {
    pub(crate) section: &'static str,
    pub(crate) name: &'static str,
    pub(crate) absent: Absent,
    /// Empty for an unbounded value, else one range.
    pub(crate) range: &'static [Range],
    /// Lines of the doc comment.
    pub(crate) doc: &'static [&'static str],
    /// Parses the value's format, without the bounds.
    pub(crate) read: fn(&str) -> Option<T>,
}

impl<T: Value> Key<T> {
    /// Parses a value; `None` if its format is wrong or it is out of bounds.
    pub(crate) fn parse(&self, text: &str) -> Option<T> {
        let value = (self.read)(text)?;
        let inside = self.range.iter().all(|range| {
            let above = T::read(range.min).is_some_and(|min| value >= min);
            let below = T::read(range.max).is_some_and(|max| value <= max);
            above && below
        });
        inside.then_some(value)
    }
}

/// A [`Key`] of any value type.
pub(crate) trait AnyKey: Sync {
    fn name(&self) -> &'static str;
    fn absent(&self) -> Absent;
    fn range(&self) -> Option<Range>;
    fn doc(&self) -> String;
    fn choices(&self) -> &'static [&'static str];
    fn accepts(&self, text: &str) -> bool;
    fn form(&self) -> &'static str;

    /// Format and bounds, as text that follows "allowed:".
    fn allowed(&self) -> String {
        match self.range() {
            Some(Range { min, max }) => format!("{}, from {min} to {max}", self.form()),
            None => self.form().to_owned(),
        }
    }
}

impl<T: Value> AnyKey for Key<T> {
    fn name(&self) -> &'static str {
        self.name
    }

    fn absent(&self) -> Absent {
        self.absent
    }

    fn range(&self) -> Option<Range> {
        self.range.first().copied()
    }

    fn doc(&self) -> String {
        join(self.doc)
    }

    fn choices(&self) -> &'static [&'static str] {
        T::CHOICES
    }

    fn accepts(&self, text: &str) -> bool {
        self.parse(text).is_some()
    }

    fn form(&self) -> &'static str {
        T::FORM
    }
}

/// Declaration of a section.
pub(crate) struct SectionSpec {
    pub(crate) name: &'static str,
    /// Placeholder of the label, as `NAME` in `[replica NAME]`, for sections that may occur
    /// more than once.
    pub(crate) label: Option<&'static str>,
    pub(crate) roles: Roles,
    pub(crate) doc: &'static [&'static str],
    pub(crate) keys: &'static [&'static dyn AnyKey],
}

impl SectionSpec {
    /// The header as written in a file.
    pub(crate) fn header(&self) -> String {
        match self.label {
            Some(label) => format!("[{} {label}]", self.name),
            None => format!("[{}]", self.name),
        }
    }

    pub(crate) fn doc(&self) -> String {
        join(self.doc)
    }
}

fn join(doc: &[&str]) -> String {
    let lines: Vec<_> = doc.iter().map(|line| line.trim()).collect();
    lines.join(" ")
}
