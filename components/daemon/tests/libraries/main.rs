//! What the daemon relies on its libraries for; see `docs/decisions`.

mod http;
mod leaf;
mod peer;
