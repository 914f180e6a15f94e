//! Command-line tool of wigeonramp.

fn main() {}
