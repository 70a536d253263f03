//! Tests of the distribution protocol: nodes and sources connected by a message queue.

mod basics;
mod directory;
mod network;
mod random;
mod restart;
mod table;
