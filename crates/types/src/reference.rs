//! The documentation page of result codes, generated from their declarations.

use std::fmt::Write;

use crate::ResultCode;

const HEAD: &str = "\
# Result codes

This page is generated from the declarations in `crates/types/src/code.rs`; a test holds the
two together. To renew it:

```sh
cargo run -p filberthead-types --example result_codes > docs/RESULT-CODES.md
```

Every answer names its code in the header `Filberthead-Result`, and bodies of failures carry
it under `code`. The meaning says by itself whether the request ran, whatever the HTTP status:

- `not-run`: nothing ran, and nothing will by this attempt; it may be sent again.
- `may-have-run`: it may have run. Under the same idempotency key or change id it may be sent
  again; it is not run a second time.
- `ran`: it ran, and this is its answer.

The thousands digit names the area: 1 requests, 2 the table, 3 the administration API,
4 look-ups.

| code | name | HTTP | meaning | when |
|---|---|---|---|---|
";

/// The text of `docs/RESULT-CODES.md`.
pub fn result_codes_page() -> String {
    let mut page = HEAD.to_owned();
    for code in ResultCode::ALL {
        let (number, slug, status) = (code.number(), code.slug(), code.status());
        let (meaning, when) = (code.meaning(), code.description());
        // Writing to a `String` can't fail.
        let _ = writeln!(
            page,
            "| {number} | `{slug}` | {status} | `{meaning}` | {when} |"
        );
    }
    page
}
