//! `forward`: runs a host that forwards opaque requests on the users' platform.

use std::path::Path;
use std::sync::Arc;

use sapphirerack_forward::Limits;
use sapphirerack_policy::SystemClock;

use crate::client::read_file;
use crate::command::{Args, Command};
use crate::error::{Error, Result};
use crate::log_format::log_builder;

/// Environment variable that holds the path of the settings file.
const SETTINGS_ENV: &str = "SAPPHIRERACK_SETTINGS";

/// Environment variables that state what the process may take.
const MEMORY_ENV: &str = "SAPPHIRERACK_MEMORY_MB";
const DESCRIPTORS_ENV: &str = "SAPPHIRERACK_MAX_FDS";

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
    let limits = Limits { memory: stated(MEMORY_ENV)?, descriptors: stated(DESCRIPTORS_ENV)? };
    let settings = sapphirerack_forward::from_text(&read_file(&path)?, limits)
        .map_err(|e| Error::File(format!("{path}: {e}")))?;
    let run_error = |e: sapphirerack_forward::Error| Error::Run(e.to_string());
    start_log(&settings.log).map_err(run_error)?;
    let dialect = sapphirerack_platform::dialect();
    let clock = Arc::new(SystemClock);
    sapphirerack_forward::serve(settings, limits, Path::new(&path), dialect, clock)
        .map_err(run_error)
}

/// Value of an environment variable; 0 if it is not set or empty.
fn stated(variable: &str) -> Result<u64> {
    let text = std::env::var_os(variable).unwrap_or_default();
    match text.to_str() {
        Some("") => Ok(0),
        text => text.and_then(|t| t.parse().ok()).ok_or_else(|| {
            Error::Usage(format!("{variable}: {}, expected a number", text.unwrap_or("no text")))
        }),
    }
}

fn start_log(level: &str) -> sapphirerack_forward::Result<()> {
    let out = sapphirerack_forward::start_log(std::io::stdout())?;
    log_builder(level).target(env_logger::Target::Pipe(out)).init();
    Ok(())
}
