//! Syntax of a file: its sections and properties with their line numbers.

use ini_core::{Item, Parser, trim};

use crate::Problem;

/// A line `key = value`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Property<'a> {
    pub(crate) key: &'a str,
    pub(crate) value: &'a str,
    pub(crate) line: u32,
}

/// A section with the properties below its header.
#[derive(Clone, Debug)]
pub(crate) struct Section<'a> {
    /// Text between the brackets.
    pub(crate) header: &'a str,
    /// First word of the header.
    pub(crate) name: &'a str,
    /// The rest of the header, as `NAME` in `[replica NAME]`.
    pub(crate) label: Option<&'a str>,
    pub(crate) line: u32,
    pub(crate) properties: Vec<Property<'a>>,
}

impl<'a> Section<'a> {
    fn new(header: &'a str, line: u32) -> Self {
        let (name, label) = match header.split_once(char::is_whitespace) {
            Some((name, rest)) => (name, Some(rest.trim())),
            None => (header, None),
        };
        Self {
            header,
            name,
            label,
            line,
            properties: Vec::new(),
        }
    }

    /// The first property with that key.
    pub(crate) fn property(&self, key: &str) -> Option<Property<'a>> {
        self.properties.iter().find(|p| p.key == key).copied()
    }
}

/// A parsed file.
#[derive(Clone, Debug, Default)]
pub(crate) struct Document<'a> {
    pub(crate) sections: Vec<Section<'a>>,
}

impl<'a> Document<'a> {
    /// Parses a text, and adds a problem for each line that is not a header, a property or a
    /// comment.
    pub(crate) fn parse(text: &'a str, problems: &mut Vec<Problem>) -> Self {
        let mut document = Self::default();
        let mut parser = Parser::new(text).auto_trim(true);
        loop {
            // `line()` is the number of lines consumed so far, so before `next()` it is the
            // zero-based line of the next item.
            let line = parser.line() + 1;
            let Some(item) = parser.next() else {
                return document;
            };
            if let Err(found) = document.add_item(item, line) {
                problems.push(malformed(found, line));
            }
        }
    }

    /// Adds an item; fails with its text if it is malformed.
    fn add_item(&mut self, item: Item<'a>, line: u32) -> Result<(), &'a str> {
        match item {
            Item::SectionEnd | Item::Blank | Item::Comment(_) => Ok(()),
            Item::Section(header) => self.add_section(header, line),
            Item::Error(text) => self.add_untrimmed_section(text, line),
            Item::Property(key, value) => self.add_property(key, value, line),
        }
    }

    fn add_section(&mut self, header: &'a str, line: u32) -> Result<(), &'a str> {
        self.sections.push(Section::new(header, line));
        Ok(())
    }

    /// Adds a header with spaces around its brackets, which the parser doesn't recognize.
    fn add_untrimmed_section(&mut self, text: &'a str, line: u32) -> Result<(), &'a str> {
        let inner = trim(text)
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'))
            .ok_or(text)?;
        self.add_section(trim(inner), line)
    }

    fn add_property(
        &mut self,
        key: &'a str,
        value: Option<&'a str>,
        line: u32,
    ) -> Result<(), &'a str> {
        // The parser returns an indented comment or header as a property.
        if key.starts_with(';') {
            return Ok(());
        }
        let Some(value) = value else {
            return self.add_untrimmed_section(key, line);
        };
        if key.is_empty() || key.starts_with(['[', '#']) {
            return Err(key);
        }
        let section = self.sections.last_mut().ok_or(key)?;
        section.properties.push(Property { key, value, line });
        Ok(())
    }
}

fn malformed(found: &str, line: u32) -> Problem {
    Problem {
        line,
        found: format!("`{found}`"),
        allowed: "`[section]`, then `key = value` lines below it, and `;` before a comment"
            .to_owned(),
        ..Problem::default()
    }
}
