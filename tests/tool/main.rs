//! The tool `wigeonramp`, run as a process against hosts with canned responses.

mod operator;
mod query;
mod support;
mod usage;
