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
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { start: Instant::now(), file })
    }

    /// Seconds since the start.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn write(&self, text: &str) {
        let seconds = self.seconds(Instant::now());
        let mut file = self.file.lock().unwrap();
        // A full disk must not end the run.
        let _ = writeln!(file, "{seconds:9.3} {text}");
    }

    /// Writes a line that also goes to the terminal.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.seconds(Instant::now()));
        self.write(text);
    }
}
