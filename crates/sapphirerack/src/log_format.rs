//! Format of the log: one event a line, as `key=value` fields.

use std::io::Write;

use env_logger::{Builder, Env};

/// Longest text of a line, in bytes; lines wait for their reader in memory.
const MAX_TEXT: usize = 16 << 10;

/// A builder for a log of this level, which `RUST_LOG` overrides.
pub(crate) fn log_builder(level: &str) -> Builder {
    let mut builder = Builder::from_env(Env::default().default_filter_or(level));
    builder.format(|out, record| {
        let (time, level) = (out.timestamp_millis(), record.level());
        let text = fit_line(&record.args().to_string());
        writeln!(out, "time={time} level={level} module={} {text}", record.target())
    });
    builder
}

/// The text on one line of bounded length, whatever names and values from elsewhere it quotes.
fn fit_line(text: &str) -> String {
    let mut line = String::with_capacity(text.len().min(MAX_TEXT));
    for c in text.chars() {
        if line.len() >= MAX_TEXT {
            line.push_str("...");
            break;
        }
        if c.is_control() {
            line.extend(c.escape_default());
        } else {
            line.push(c);
        }
    }
    line
}
