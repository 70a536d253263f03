//! Prints the settings page, `docs/settings.md`.

fn main() {
    print!("{}", filberthead_settings::reference());
}
