//! Runs a stand-in for an endpoint of the platform as a process; `filberthead-soak` starts it.

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    filberthead_testing::site::run_endpoint(&args)
}
