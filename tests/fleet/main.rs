//! Hosts as processes that are killed, paused and stopped, with stand-ins in the test's process.

mod claims;
mod outage;
mod pause;
mod stop;
mod support;
mod takeover;
mod tool;
