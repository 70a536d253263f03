//! The settings page matches the declarations.

#[test]
fn page_equals_the_declarations() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/settings.md");
    let page = std::fs::read_to_string(path).expect("the page is in the book");
    let expected = filberthead_settings::reference();
    assert!(
        page == expected,
        "renew docs/settings.md: its first lines tell how"
    );
}
