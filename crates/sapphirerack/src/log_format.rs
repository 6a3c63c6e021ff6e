//! Format of the log: one event a line, as `key=value` fields.

use std::io::Write;

use env_logger::{Builder, Env};

/// A builder for a log of this level, which `RUST_LOG` overrides.
pub(crate) fn log_builder(level: &str) -> Builder {
    let mut builder = Builder::from_env(Env::default().default_filter_or(level));
    builder.format(|out, record| {
        let (time, level) = (out.timestamp_millis(), record.level());
        let text = escape_controls(&record.args().to_string());
        writeln!(out, "time={time} level={level} module={} {text}", record.target())
    });
    builder
}

/// The text on one line, whatever names and values from elsewhere it quotes.
fn escape_controls(text: &str) -> String {
    let mut line = String::with_capacity(text.len());
    for c in text.chars() {
        if c.is_control() {
            line.extend(c.escape_default());
        } else {
            line.push(c);
        }
    }
    line
}
