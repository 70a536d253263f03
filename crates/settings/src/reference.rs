//! Generates the settings page in `docs/` from the declarations.

use std::fmt::Write as _;

use crate::key::{Absent, AnyKey, Range, Roles, SectionSpec};
use crate::keys::SECTIONS;

const INTRODUCTION: &str = "\
# Settings

This page is generated from the declarations in `crates/settings/src/keys.rs`; a test
holds the two together. To renew it:

```sh
cargo run -p filberthead-settings --example reference > docs/settings.md
```

Each process reads one INI file. A line is `[section]`, `key = value`, or a comment that
starts with `;`. Nothing may follow a value in its line. A key or section may be there
once, except that sections with a name of their own, such as `[replica NAME]`, may be there
once for each name. Addresses are IP numbers; host names are not looked up.

`filberthead check FILE` finds all problems of a file at once.
";

/// The settings page, in Markdown.
pub fn reference() -> String {
    let mut page = INTRODUCTION.to_owned();
    for spec in SECTIONS {
        section(&mut page, spec);
    }
    page
}

// Writing to a `String` can't fail, so the results of `writeln!` carry nothing.
fn section(page: &mut String, spec: &SectionSpec) {
    let _ = writeln!(page, "\n## {}\n", spec.header());
    let _ = writeln!(
        page,
        "{} In files of: {}.\n",
        spec.doc(),
        spec.roles.as_str()
    );
    let _ = writeln!(page, "| key | form | default | bounds | meaning |");
    let _ = writeln!(page, "|---|---|---|---|---|");
    for key in spec.keys {
        let _ = writeln!(page, "{}", row(*key));
    }
}

fn row(key: &dyn AnyKey) -> String {
    format!(
        "| `{}` | {} | {} | {} | {} |",
        key.name(),
        key.form(),
        default(key),
        bounds(key),
        key.doc(),
    )
}

fn default(key: &dyn AnyKey) -> String {
    match key.absent() {
        Absent::Error(Roles::All) => "required".to_owned(),
        Absent::Error(roles) => format!("required for {}", roles.as_str()),
        Absent::Unset(Roles::All) => "none".to_owned(),
        Absent::Unset(roles) => format!("none; {} only", roles.as_str()),
        Absent::Default(text) => format!("`{text}`"),
    }
}

fn bounds(key: &dyn AnyKey) -> String {
    match key.range() {
        Some(Range { min, max }) => format!("`{min}` to `{max}`"),
        None => String::new(),
    }
}
