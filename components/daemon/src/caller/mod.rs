//! The HTTP API for callers: entry addresses and queries.

pub mod check;
pub mod handler;
