//! Commands of the command line.

use std::path::Path;
use std::process::ExitCode;

use getopts::Options;

use crate::client;

const USAGE: &str = "usage: sapphirerack serve SETTINGS
       sapphirerack check (SETTINGS | --catalogue CATALOGUE)
       sapphirerack apply --host ADDRESS CATALOGUE
       sapphirerack get --host ADDRESS
       sapphirerack status --host ADDRESS";

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error("{0}\n{USAGE}")]
    Usage(String),
    #[error("{0}")]
    File(String),
    #[error("call {path} at {host}: {message}")]
    Unreachable { path: String, host: String, message: String },
    #[error("call {path} at {host}: {message}")]
    Refused { path: String, host: String, message: String },
    #[error("call {path} at {host}: conflict: {message}")]
    Conflict { path: String, host: String, message: String },
}

impl Error {
    pub(crate) fn unreachable(path: &str, host: &str, message: String) -> Self {
        Self::Unreachable { path: path.into(), host: host.into(), message }
    }

    pub(crate) fn refused(path: &str, host: &str, message: String) -> Self {
        Self::Refused { path: path.into(), host: host.into(), message }
    }

    pub(crate) fn conflict(path: &str, host: &str, message: String) -> Self {
        Self::Conflict { path: path.into(), host: host.into(), message }
    }

    /// Exit code by which scripts tell errors apart.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Usage(_) => 2,
            Self::File(_) => 3,
            Self::Unreachable { .. } => 4,
            Self::Refused { .. } => 5,
            Self::Conflict { .. } => 6,
        })
    }
}

/// Runs the command that `args` name.
pub(crate) fn run(args: &[String]) -> Result<(), Error> {
    let (command, rest) = args.split_first().ok_or_else(|| Error::Usage("no command".into()))?;
    match command.as_str() {
        "serve" => serve(rest),
        "check" => check(rest),
        "apply" => apply(rest),
        "get" => show(rest, "/catalogue"),
        "status" => show(rest, "/status"),
        other => Err(Error::Usage(format!("unknown command {other:?}"))),
    }
}

fn parse(args: &[String]) -> Result<getopts::Matches, Error> {
    let mut options = Options::new();
    options.optopt("", "host", "operators' address of an entry host", "ADDRESS");
    options.optflag("", "catalogue", "check a catalogue");
    options.parse(args).map_err(|e| Error::Usage(e.to_string()))
}

fn free<'a>(matches: &'a getopts::Matches, what: &str) -> Result<&'a Path, Error> {
    match matches.free.as_slice() {
        [one] => Ok(Path::new(one)),
        _ => Err(Error::Usage(format!("expected one {what}"))),
    }
}

fn host(matches: &getopts::Matches) -> Result<String, Error> {
    matches.opt_str("host").ok_or_else(|| Error::Usage("--host is missing".into()))
}

fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|e| Error::File(format!("read {}: {e}", path.display())))
}

fn file_error(path: &Path, error: impl std::fmt::Display) -> Error {
    Error::File(format!("{}: {error}", path.display()))
}

fn serve(args: &[String]) -> Result<(), Error> {
    let matches = parse(args)?;
    let path = free(&matches, "settings file")?;
    let settings = sapphirerack_host::from_text(&read(path)?).map_err(|e| file_error(path, e))?;
    let env = env_logger::Env::default().default_filter_or(&*settings.log);
    env_logger::Builder::from_env(env).init();
    let host = sapphirerack_host::serve(&settings).map_err(|e| file_error(path, e))?;
    host.join();
    Ok(())
}

fn check(args: &[String]) -> Result<(), Error> {
    let matches = parse(args)?;
    let path = free(&matches, "file")?;
    let text = read(path)?;
    if matches.opt_present("catalogue") {
        sapphirerack_catalogue::from_text(&text).map_err(|e| file_error(path, e))?;
    } else {
        sapphirerack_host::from_text(&text).map_err(|e| file_error(path, e))?;
    }
    println!("{}: ok", path.display());
    Ok(())
}

fn apply(args: &[String]) -> Result<(), Error> {
    let matches = parse(args)?;
    let text = read(free(&matches, "catalogue file")?)?;
    let change = format!("{:016x}", fastrand::u64(..));
    println!("{}", client::put_catalogue(&host(&matches)?, &change, text)?);
    Ok(())
}

fn show(args: &[String], path: &str) -> Result<(), Error> {
    let matches = parse(args)?;
    println!("{}", client::get(&host(&matches)?, path)?);
    Ok(())
}
