//! Tests of the parts that need no processes.

mod machine;
