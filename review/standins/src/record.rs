//! The record of what was sent, answered and run.

use std::fmt::Display;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes lines with the time since the start, in milliseconds.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Self { start: Instant::now(), file })
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line and returns its time.
    pub fn line(&self, text: impl Display) -> Duration {
        let mut file = self.file.lock().unwrap();
        let now = self.now();
        writeln!(file, "{:>9.1} {text}", now.as_secs_f64() * 1e3).unwrap();
        now
    }

    /// Writes a line here and to standard output.
    pub fn say(&self, text: impl Display) -> Duration {
        println!("{text}");
        self.line(text)
    }

    pub fn flush(&self) {
        self.file.lock().unwrap().flush().unwrap();
    }
}
