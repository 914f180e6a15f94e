//! HTTP for callers: which addresses to use, and queries.

pub mod check;
pub mod handler;
