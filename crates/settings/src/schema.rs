//! Checks a document against the declarations, one section and one key at a time.

use std::collections::BTreeMap;

use filberthead_types::NodeName;
use strsim::damerau_levenshtein;

use crate::Problem;
use crate::document::{Document, Property, Section};
use crate::key::{Absent, AnyKey, Key, SectionSpec};
use crate::keys::{ROLE, SECTIONS};
use crate::value::{Role, Value};

impl<'a> Document<'a> {
    /// The first section of that name. Only sections with a label may occur repeatedly.
    pub(crate) fn section(&self, name: &str) -> Option<&Section<'a>> {
        self.sections.iter().find(|section| section.name == name)
    }

    /// All sections of that name that have a label.
    pub(crate) fn labelled_sections(
        &self,
        name: &'static str,
    ) -> impl Iterator<Item = &Section<'a>> {
        let matches = move |section: &&Section<'a>| section.name == name && section.label.is_some();
        self.sections.iter().filter(matches)
    }

    /// The value of a key in a section without a label. An absent key has its default;
    /// `None` if it has none, or if the value is invalid.
    pub(crate) fn get<T: Value>(&self, key: &Key<T>) -> Option<T> {
        match self.section(key.section) {
            Some(section) => section.get(key),
            None => default(key),
        }
    }

    /// Line of a key; that of its section if the key is absent, 0 if both are.
    pub(crate) fn line<T>(&self, key: &Key<T>) -> u32 {
        let Some(section) = self.section(key.section) else {
            return 0;
        };
        section
            .property(key.name)
            .map_or(section.line, |property| property.line)
    }

    /// The program that the file is for; `None` if it is missing or invalid.
    pub(crate) fn role(&self) -> Option<Role> {
        self.get(&ROLE)
    }
}

impl Section<'_> {
    /// The value of a key. An absent key has its default; `None` if it has none, or if the
    /// value is invalid.
    pub(crate) fn get<T: Value>(&self, key: &Key<T>) -> Option<T> {
        match self.property(key.name) {
            Some(property) => key.parse(property.value),
            None => default(key),
        }
    }
}

fn default<T: Value>(key: &Key<T>) -> Option<T> {
    match key.absent {
        Absent::Default(text) => key.parse(text),
        Absent::Error(_) | Absent::Unset(_) => None,
    }
}

/// Adds a problem for each section and key that violates its declaration.
pub(crate) fn check(document: &Document<'_>, role: Option<Role>, problems: &mut Vec<Problem>) {
    let mut seen = BTreeMap::new();
    for section in &document.sections {
        let first = seen.insert((section.name, section.label), section.line);
        problems.extend(first.map(|first| duplicate_section(section, first)));
        check_section(section, role, problems);
        // The keys missing in a duplicate section are usually in the first one.
        if first.is_none() {
            check_missing_keys(section, role, problems);
        }
    }
    let Some(role) = role else {
        // Which sections are required depends on the role, so report only the missing role.
        check_missing_role(document, problems);
        return;
    };
    for spec in SECTIONS {
        check_missing_section(document, spec, role, problems);
    }
}

fn duplicate_section(section: &Section<'_>, first: u32) -> Problem {
    Problem {
        line: section.line,
        section: section.header.to_owned(),
        found: "the section a second time".to_owned(),
        allowed: format!("once; the first is in line {first}"),
        ..Problem::default()
    }
}

fn check_section(section: &Section<'_>, role: Option<Role>, problems: &mut Vec<Problem>) {
    let Some(spec) = find_spec(section) else {
        problems.push(unknown_section(section));
        return;
    };
    if let Some(role) = role
        && !spec.roles.contain(role)
    {
        problems.push(Problem {
            line: section.line,
            section: section.header.to_owned(),
            found: format!("the section in a file of role `{}`", role.as_str()),
            allowed: format!("the section in files of role {}", spec.roles.as_str()),
            ..Problem::default()
        });
        return;
    }
    if section
        .label
        .is_some_and(|label| NodeName::read(label).is_none())
    {
        problems.push(Problem {
            line: section.line,
            section: section.header.to_owned(),
            found: format!("`{}`", section.label.unwrap_or_default()),
            allowed: NodeName::FORM.to_owned(),
            ..Problem::default()
        });
    }
    check_keys(section, spec, role, problems);
}

fn find_spec(section: &Section<'_>) -> Option<&'static SectionSpec> {
    SECTIONS
        .iter()
        .find(|spec| spec.name == section.name && spec.label.is_some() == section.label.is_some())
}

fn check_keys(
    section: &Section<'_>,
    spec: &SectionSpec,
    role: Option<Role>,
    problems: &mut Vec<Problem>,
) {
    let mut seen = BTreeMap::new();
    for property in &section.properties {
        if let Some(first) = seen.insert(property.key, property.line) {
            let found = "the key a second time".to_owned();
            let allowed = format!("once; the first is in line {first}");
            problems.push(problem_at(section, property, found, allowed));
            continue;
        }
        match spec.keys.iter().find(|key| key.name() == property.key) {
            Some(key) => {
                problems.extend(check_value(section, property, *key));
                problems.extend(check_key_role(section, property, *key, role));
            }
            None => problems.push(unknown_key(section, property, spec)),
        }
    }
}

fn check_value(
    section: &Section<'_>,
    property: &Property<'_>,
    key: &dyn AnyKey,
) -> Option<Problem> {
    if key.accepts(property.value) {
        return None;
    }
    let found = format!("`{}`", property.value);
    let mut problem = problem_at(section, property, found, key.allowed());
    problem.close = closest(property.value, key.choices().iter().copied());
    Some(problem)
}

fn check_key_role(
    section: &Section<'_>,
    property: &Property<'_>,
    key: &dyn AnyKey,
    role: Option<Role>,
) -> Option<Problem> {
    let (Absent::Unset(roles), Some(role)) = (key.absent(), role) else {
        return None;
    };
    if roles.contain(role) {
        return None;
    }
    let found = format!("the key in a file of role `{}`", role.as_str());
    let allowed = format!("the key in files of role {}", roles.as_str());
    Some(problem_at(section, property, found, allowed))
}

fn unknown_key(section: &Section<'_>, property: &Property<'_>, spec: &SectionSpec) -> Problem {
    let names: Vec<_> = spec.keys.iter().map(|key| key.name()).collect();
    let found = "an unknown key".to_owned();
    let mut allowed = names.join(", ");
    if let Some(owner) = section_of_key(property.key) {
        allowed = format!("{allowed}; `{}` belongs to {owner}", property.key);
    }
    let mut problem = problem_at(section, property, found, allowed);
    problem.close = closest(property.key, names.iter().copied());
    problem
}

/// Header of the section that declares a key.
fn section_of_key(key: &str) -> Option<String> {
    let has = |spec: &&SectionSpec| spec.keys.iter().any(|known| known.name() == key);
    SECTIONS.iter().find(has).map(SectionSpec::header)
}

fn unknown_section(section: &Section<'_>) -> Problem {
    let headers: Vec<_> = SECTIONS.iter().map(SectionSpec::header).collect();
    let names = SECTIONS.iter().map(|spec| spec.name);
    Problem {
        line: section.line,
        section: section.header.to_owned(),
        found: "an unknown section".to_owned(),
        allowed: headers.join(", "),
        // If only the label is wrong, the list of headers already shows the right form.
        close: closest(section.name, names).filter(|close| *close != section.name),
        ..Problem::default()
    }
}

fn check_missing_keys(section: &Section<'_>, role: Option<Role>, problems: &mut Vec<Problem>) {
    let (Some(spec), Some(role)) = (find_spec(section), role) else {
        return;
    };
    if !spec.roles.contain(role) {
        return;
    }
    for key in spec.keys {
        if is_required(*key, role) && section.property(key.name()).is_none() {
            problems.push(missing_key(section.line, section.header, *key));
        }
    }
}

fn check_missing_section(
    document: &Document<'_>,
    spec: &SectionSpec,
    role: Role,
    problems: &mut Vec<Problem>,
) {
    if spec.label.is_some() || !spec.roles.contain(role) || document.section(spec.name).is_some() {
        return;
    }
    for key in spec.keys {
        if is_required(*key, role) {
            problems.push(missing_key(0, spec.name, *key));
        }
    }
}

fn check_missing_role(document: &Document<'_>, problems: &mut Vec<Problem>) {
    let section = document.section(ROLE.section);
    let present = section.is_some_and(|section| section.property(ROLE.name).is_some());
    if !present {
        let line = section.map_or(0, |section| section.line);
        problems.push(missing_key(line, ROLE.section, &ROLE));
    }
}

fn is_required(key: &dyn AnyKey, role: Role) -> bool {
    match key.absent() {
        Absent::Error(roles) => roles.contain(role),
        Absent::Unset(_) | Absent::Default(_) => false,
    }
}

fn missing_key(line: u32, section: &str, key: &dyn AnyKey) -> Problem {
    Problem {
        line,
        section: section.to_owned(),
        key: key.name().to_owned(),
        found: "nothing".to_owned(),
        allowed: key.allowed(),
        ..Problem::default()
    }
}

fn problem_at(
    section: &Section<'_>,
    property: &Property<'_>,
    found: String,
    allowed: String,
) -> Problem {
    Problem {
        line: property.line,
        section: section.header.to_owned(),
        key: property.key.to_owned(),
        found,
        allowed,
        ..Problem::default()
    }
}

/// The known word closest to `text`, if they differ by a few typing errors at most.
fn closest(text: &str, known: impl Iterator<Item = &'static str>) -> Option<String> {
    let max_distance = (text.len() / 3).clamp(1, 3);
    let distance = |word: &str| damerau_levenshtein(&text.to_ascii_lowercase(), word);
    known
        .map(|word| (distance(word), word))
        .filter(|(distance, _)| *distance <= max_distance)
        .min()
        .map(|(_, word)| word.to_owned())
}
