//! Code shared by this package's programs: the operators' command line and the daemons' start.

pub mod cli;
pub mod daemon;
