//! Tests of library behaviour that the daemon relies on; see `docs/decisions`.

mod http;
mod leaf;
mod peer;
