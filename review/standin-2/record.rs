//! The record of a case: one line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Returns the milliseconds since the start of the case.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line to the record.
    pub fn log(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.write_all(line.as_bytes());
    }

    /// Writes a line to the record and to the output.
    pub fn note(&self, text: &str) {
        println!("{:>7} ms  {text}", self.now());
        self.log(text);
    }
}
