//! The record of a run of a case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Record {
        let file = File::create(Path::new(folder).join("record.txt")).expect("record.txt");
        Record {
            file: Mutex::new(file),
            started: Instant::now(),
        }
    }

    /// Seconds since the start of the case.
    pub fn at(&self, time: Instant) -> f64 {
        time.saturating_duration_since(self.started).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("[{:8.3}] {text}\n", self.started.elapsed().as_secs_f64());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// A line about something that happened earlier.
    pub fn line_at(&self, time: Instant, text: &str) {
        let line = format!("[{:8.3}] {text}\n", self.at(time));
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
