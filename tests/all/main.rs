//! System tests: whole systems of real processes, one module per subject.
//!
//! The comment of a failure test says which failure it guards against and how that comes
//! about.

mod allotments;
mod at_work;
mod bounds;
mod buffered_answers;
mod contact;
mod control;
mod crashing;
mod crowds;
mod cut_answers;
mod endless;
mod endless_at_entries;
mod entries;
mod evacuations;
mod evacuations_after_power_cuts;
mod explained;
mod gateways;
mod groups;
mod homes;
mod journals;
mod keys;
mod large_routes;
mod leaving;
mod long_requests_at_stops;
mod measures;
mod operators;
mod orders;
mod outdated;
mod pipelining;
mod rejections;
mod report;
mod requests;
mod rest;
mod retries;
mod second_answers;
mod shares;
mod soak;
mod spreading;
mod statuses;
mod stops;
mod support;
mod waiting;
mod workspaces;
