//! The log: one event a line, as `key=value` fields, on standard output.
//!
//! Lines go to one writing thread through a bounded channel. When standard output is not read,
//! lines are dropped and counted; nobody waits.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use crate::{Error, Result};

/// Lines that may wait for the writing thread.
const WAITING_LINES: usize = 1_024;

struct Lines {
    queue: flume::Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.queue.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writer that never blocks, in front of `out`.
///
/// # Errors
///
/// The writing thread can't be started.
pub fn start_log(mut out: impl Write + Send + 'static) -> Result<Box<dyn Write + Send>> {
    let (queue, lines) = flume::bounded::<Vec<u8>>(WAITING_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = dropped.clone();
    let run = move || {
        for line in lines {
            let lost = counted.swap(0, Ordering::Relaxed);
            if lost > 0 {
                // If standard output is gone, there is nowhere to say so.
                let _ = writeln!(out, "event=log_lines_dropped suppressed={lost}");
            }
            let _ = out.write_all(&line);
        }
    };
    let thread = thread::Builder::new().name("log".into()).spawn(run);
    thread.map_err(|e| Error::io("start thread", "log", e))?;
    Ok(Box::new(Lines { queue, dropped }))
}
