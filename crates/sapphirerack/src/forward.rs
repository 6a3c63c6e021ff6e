//! `forward`: runs a host that forwards opaque requests on the users' platform.

use std::io::Write;
use std::path::Path;
use std::sync::Arc;

use sapphirerack_policy::SystemClock;

use crate::client::read_file;
use crate::command::{Args, Command};
use crate::error::{Error, Result};

/// Environment variable that holds the path of the settings file.
const SETTINGS_ENV: &str = "SAPPHIRERACK_SETTINGS";

pub(crate) const COMMAND: Command = Command {
    name: "forward",
    summary: "Run a host that forwards requests; SAPPHIRERACK_SETTINGS names its settings",
    operands: &[],
    options: |_| (),
    run,
};

fn run(_: &Args) -> Result<()> {
    let path = std::env::var(SETTINGS_ENV)
        .map_err(|_| Error::Usage(format!("{SETTINGS_ENV} is not set")))?;
    let settings = sapphirerack_forward::from_text(&read_file(&path)?)
        .map_err(|e| Error::File(format!("{path}: {e}")))?;
    let run_error = |e: sapphirerack_forward::Error| Error::Run(e.to_string());
    start_log(&settings.log).map_err(run_error)?;
    let dialect = sapphirerack_platform::dialect();
    let clock = Arc::new(SystemClock);
    sapphirerack_forward::serve(settings, Path::new(&path), dialect, clock).map_err(run_error)
}

fn start_log(level: &str) -> sapphirerack_forward::Result<()> {
    let out = sapphirerack_forward::start_log(std::io::stdout())?;
    let env = env_logger::Env::default().default_filter_or(level);
    let mut builder = env_logger::Builder::from_env(env);
    builder.target(env_logger::Target::Pipe(out));
    builder.format(|out, record| {
        let (time, level) = (out.timestamp_millis(), record.level());
        writeln!(out, "time={time} level={level} module={} {}", record.target(), record.args())
    });
    builder.init();
    Ok(())
}
