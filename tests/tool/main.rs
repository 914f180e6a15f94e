//! Runs of the tool `wigeonramp` as a process, against hosts with canned answers.

mod operator;
mod query;
mod support;
mod usage;
