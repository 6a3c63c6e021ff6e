//! The file `record.txt`: what was sent, answered and run, with the seconds since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    out: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let out = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Self { start: Instant::now(), out })
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes a line; returns its time.
    pub fn line(&self, text: &str) -> f64 {
        let now = self.now();
        let _ = writeln!(self.out.lock().unwrap(), "{now:8.3} {text}");
        now
    }

    /// Writes a line, and shows it.
    pub fn say(&self, text: &str) -> f64 {
        println!("{text}");
        self.line(text)
    }

    pub fn flush(&self) {
        let _ = self.out.lock().unwrap().flush();
    }
}
