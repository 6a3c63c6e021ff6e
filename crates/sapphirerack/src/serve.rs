//! `serve`: runs an entry host.

use std::io::Write;

use crate::client::read_file;
use crate::command::{Args, Command};
use crate::error::{Error, Result};

pub(crate) const COMMAND: Command = Command {
    name: "serve",
    summary: "Run an entry host with the given settings",
    operands: &["SETTINGS"],
    options: |_| (),
    run,
};

fn run(args: &Args) -> Result<()> {
    let path = args.operand(0);
    let settings = sapphirerack_host::from_text(&read_file(path)?)
        .map_err(|e| Error::File(format!("{path}: {e}")))?;
    start_log(&settings.log);
    let host = sapphirerack_host::serve(&settings).map_err(|e| Error::Run(e.to_string()))?;
    match host.join() {
        Ok(true) => Ok(()),
        Ok(false) => Err(Error::Run("stop limit expired before all work was finished".into())),
        Err(e) => Err(Error::Run(e.to_string())),
    }
}

/// Starts the log: one event per line, as `key=value` fields. `RUST_LOG` overrides the level.
fn start_log(level: &str) {
    let env = env_logger::Env::default().default_filter_or(level);
    let mut builder = env_logger::Builder::from_env(env);
    builder.format(|out, record| {
        let time = out.timestamp_millis();
        let level = record.level();
        writeln!(out, "time={time} level={level} module={} {}", record.target(), record.args())
    });
    builder.init();
}
