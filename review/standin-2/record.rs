//! The record of a run: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Seconds from the start of the run to `at`.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn write(&self, line: &str) {
        let seconds = self.seconds(Instant::now());
        // A failed write must not end the run.
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:9.3} {line}");
    }

    /// Writes a line that also goes to the terminal.
    pub fn say(&self, line: &str) {
        println!("{:9.3} {line}", self.seconds(Instant::now()));
        self.write(line);
    }
}
