//! Writes settings files in INI format.

use std::fmt;

/// A settings file; its sections are in the order in which they were first set.
#[derive(Clone, Debug, Default)]
pub struct Ini {
    sections: Vec<Section>,
}

#[derive(Clone, Debug)]
struct Section {
    name: String,
    keys: Vec<Key>,
}

#[derive(Clone, Debug)]
struct Key {
    name: String,
    value: String,
}

impl Ini {
    /// Sets a key, replacing an earlier value.
    pub fn set(&mut self, section: &str, key: &str, value: impl fmt::Display) -> &mut Self {
        let section = self.section(section);
        section.keys.retain(|existing| existing.name != key);
        section.keys.push(Key {
            name: key.to_owned(),
            value: value.to_string(),
        });
        self
    }

    /// Removes a section with all its keys.
    pub fn remove_section(&mut self, name: &str) {
        self.sections.retain(|section| section.name != name);
    }

    fn section(&mut self, name: &str) -> &mut Section {
        let index = self
            .sections
            .iter()
            .position(|section| section.name == name)
            .unwrap_or_else(|| {
                self.sections.push(Section {
                    name: name.to_owned(),
                    keys: Vec::new(),
                });
                self.sections.len() - 1
            });
        &mut self.sections[index]
    }
}

impl fmt::Display for Ini {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for section in &self.sections {
            writeln!(f, "[{}]", section.name)?;
            for key in &section.keys {
                writeln!(f, "{} = {}", key.name, key.value)?;
            }
        }
        Ok(())
    }
}
