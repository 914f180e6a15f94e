//! Stand-ins of the second review: the platform's store, leaves, clients, and one function a case.
//!
//! `standin-2 CASE DAEMON FOLDER RECORD` exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod client;
mod host;
mod http;
mod leaf;
mod record;
mod store;

use std::{process::ExitCode, thread, time::Duration};

/// Longest run of a case.
const MAX_TIME: Duration = Duration::from_secs(115);

/// Result of a case.
pub enum Outcome {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, daemon, folder, record] = &args[..] else {
        eprintln!("usage: standin-2 CASE DAEMON FOLDER RECORD");
        return ExitCode::from(2);
    };
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = record::Record::create(record)
        .map_err(|err| err.to_string())
        .and_then(|record| cases::run(case, daemon, folder, &record, trouble));
    match result {
        Ok(Outcome::Held) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Outcome::Broken) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(err) => {
            eprintln!("the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}
