//! Tests of placement; each module simulates one load pattern.

mod balance;
mod bounds;
mod contact;
mod leaving;
mod limits;
mod link;
mod objects;
mod popular;
mod priorities;
mod quarantine;
mod refusals;
mod regions;
mod request_retries;
mod rest;
mod restarts;
mod retries;
mod routes;
mod slowdown;
mod support;
mod surge;
mod usual_times;
mod waiting;
mod waiting_room;
