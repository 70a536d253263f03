//! What a declaration of a key consists of.

use crate::value::{Role, Value};

/// Programs that a section or key is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Roles {
    Entry,
    Control,
    Gateway,
    /// Entry and control.
    EntryAndControl,
    /// Entry and gateway: the programs that callers speak to.
    EntryAndGateway,
    /// Control and gateway: the programs of a group that finds itself by seeds.
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
    /// An error in files of these programs; nothing is set in those of others.
    Error(Roles),
    /// Nothing is set. Files of other programs than these can't have the key.
    Unset(Roles),
    /// The same as this text.
    Default(&'static str),
}

/// Bounds of a value, both included, as they would stand in a file.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Range {
    pub(crate) min: &'static str,
    pub(crate) max: &'static str,
}

/// Declaration of one key, whose values are read into `T`.
#[derive(Debug)]
pub(crate) struct Key<T> {
    pub(crate) section: &'static str,
    pub(crate) name: &'static str,
    pub(crate) absent: Absent,
    /// At most one.
    pub(crate) range: &'static [Range],
    /// Lines of the doc comment.
    pub(crate) doc: &'static [&'static str],
    /// Ties the key to the type of its values.
    pub(crate) read: fn(&str) -> Option<T>,
}

impl<T: Value> Key<T> {
    /// Reads a value that has the form and lies in the bounds.
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

/// A declaration, whatever the type of its values.
pub(crate) trait AnyKey: Sync {
    fn name(&self) -> &'static str;
    fn absent(&self) -> Absent;
    fn range(&self) -> Option<Range>;
    fn doc(&self) -> String;
    fn choices(&self) -> &'static [&'static str];
    fn accepts(&self, text: &str) -> bool;
    fn form(&self) -> &'static str;

    /// Form and bounds, in words that follow "allowed:".
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
    /// What stands after the name, for sections that may be there more than once.
    pub(crate) label: Option<&'static str>,
    pub(crate) roles: Roles,
    pub(crate) doc: &'static [&'static str],
    pub(crate) keys: &'static [&'static dyn AnyKey],
}

impl SectionSpec {
    /// The header as it is written.
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
