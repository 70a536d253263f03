//! Prints the documentation page of result codes.

fn main() {
    print!("{}", filberthead_types::result_codes_page());
}
