//! The data path of several hosts in one process, against leaf stand-ins.

mod callers;
mod cold_start;
mod faults;
mod peer_timeout;
mod repeated;
mod support;
