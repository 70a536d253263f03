//! Tests of the pipeline with a server that parses and answers one request at a time.

mod framing;
mod fuzz;
mod limits;
mod order;
mod server;
