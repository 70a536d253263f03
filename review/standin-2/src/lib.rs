//! Stand-ins for the cases of the second review: upstreams and callers that do what the users' pages
//! allow them, and a record of what was sent, answered and run.

pub mod caller;
pub mod deployment;
pub mod record;
pub mod upstream;
pub mod verdict;
