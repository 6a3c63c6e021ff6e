//! The log: one event a line, as `key=value` fields, on standard output.
//!
//! Lines go to a writer thread through a bounded channel. When standard output blocks, lines are
//! dropped and counted, and the other threads do not wait.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use crate::{Error, Result};

/// Most lines queued for the writer thread.
const QUEUE_CAPACITY: usize = 1_024;

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

/// Non-blocking writer, in front of `out`.
///
/// # Errors
///
/// The writer thread can't be started.
pub fn start_log(mut out: impl Write + Send + 'static) -> Result<Box<dyn Write + Send>> {
    let (queue, lines) = flume::bounded::<Vec<u8>>(QUEUE_CAPACITY);
    let dropped = Arc::new(AtomicU64::new(0));
    let drop_count = dropped.clone();
    let run = move || {
        for line in lines {
            let dropped = drop_count.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                // If standard output is closed, there is nowhere to report it.
                let _ = writeln!(out, "event=log_lines_dropped suppressed={dropped}");
            }
            let _ = out.write_all(&line);
        }
    };
    let thread = thread::Builder::new().name("log".into()).spawn(run);
    thread.map_err(|e| Error::io("start thread", "log", e))?;
    Ok(Box::new(Lines { queue, dropped }))
}
