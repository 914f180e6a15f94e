//! Host processes that are killed, paused and stopped, with stand-ins for platform and leaves in
//! the test's process.

mod claims;
mod outage;
mod pause;
mod stop;
mod support;
mod takeover;
mod tool;
