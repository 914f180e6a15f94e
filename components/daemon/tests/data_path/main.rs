//! Tests of the data path: several hosts in one process with simulated leaves.

mod callers;
mod cold_start;
mod faults;
mod peer_timeout;
mod resubmission;
mod support;
