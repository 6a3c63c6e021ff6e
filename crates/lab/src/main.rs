//! Command line of the lab.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::path::PathBuf;
use std::process::ExitCode;

use getopts::{Matches, Options};
use sapphirerack_lab::load::{LoadError, LoadFile};
use sapphirerack_lab::{demo, experiment, load, report};

const USAGE: &str = "usage: lab demo
       lab load [--json FILE] LOAD_FILE
       lab bench [--json FILE] [--repeats N] [--seconds N] [--deployment NAME] [--only VARIANT]";

/// The load file of `lab bench`.
const BENCH: &str = include_str!("../loads/bench.json");

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("{0}\n{USAGE}")]
    Usage(String),
    #[error("read {0}: {1}")]
    Read(String, std::io::Error),
    #[error("{0}: {1}")]
    Load(String, LoadError),
}

fn main() -> ExitCode {
    env_logger::init();
    let args: Vec<String> = std::env::args().skip(1).collect();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("lab: {e}");
            ExitCode::from(2)
        }
    }
}

fn run(args: &[String]) -> Result<(), Error> {
    let (command, rest) = args.split_first().ok_or_else(|| Error::Usage("no command".into()))?;
    let matches = options().parse(rest).map_err(|e| Error::Usage(e.to_string()))?;
    match command.as_str() {
        "demo" => {
            println!("{}", serde_json::to_string(&demo::run(&program())).unwrap());
            Ok(())
        }
        "load" => {
            let [path] = matches.free.as_slice() else {
                return Err(Error::Usage("expected one load file".into()));
            };
            let text = std::fs::read_to_string(path).map_err(|e| Error::Read(path.clone(), e))?;
            let file = load::from_text(&text).map_err(|e| Error::Load(path.clone(), e))?;
            measure(&file, &matches)
        }
        "bench" => measure(&bench(&matches)?, &matches),
        other => Err(Error::Usage(format!("unknown command {other:?}"))),
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "json", "write one JSON line for each run to a file", "FILE");
    options.optopt("", "repeats", "runs of each combination", "N");
    options.optopt("", "seconds", "seconds that are measured", "N");
    options.optopt("", "deployment", "zeugenwerk, castlegate or group", "NAME");
    options.optmulti("", "only", "only this variant; may be repeated", "VARIANT");
    options
}

/// The shipped binary, built into the same folder.
fn program() -> PathBuf {
    std::env::current_exe().unwrap().with_file_name("sapphirerack")
}

fn bench(matches: &Matches) -> Result<LoadFile, Error> {
    let number = |name: &str| -> Result<Option<u32>, Error> {
        matches.opt_get(name).map_err(|e| Error::Usage(format!("--{name}: {e}")))
    };
    let mut file = load::from_text(BENCH).map_err(|e| Error::Load("bench".into(), e))?;
    if let Some(repeats) = number("repeats")? {
        file.repeats = repeats;
    }
    if let Some(seconds) = number("seconds")? {
        file.duration = std::time::Duration::from_secs(seconds.into());
    }
    if let Some(name) = matches.opt_str("deployment") {
        file.deployment = serde_json::from_value(name.into())
            .map_err(|e| Error::Usage(format!("--deployment: {e}")))?;
        let first = &file.deployment.plan().catalogue.services[0];
        file.mix[0].service = first.name.clone();
    }
    let only = matches.opt_strs("only");
    if !only.is_empty() {
        file.variants.retain(|v| only.iter().any(|name| **name == *v.name));
    }
    if file.variants.is_empty() || file.repeats == 0 {
        return Err(Error::Usage("nothing to run".into()));
    }
    Ok(file)
}

fn measure(file: &LoadFile, matches: &Matches) -> Result<(), Error> {
    let mut lines = String::new();
    let json = matches.opt_str("json");
    let runs = experiment::run(&program(), file, |run| {
        let line = serde_json::to_string(run).unwrap();
        match &json {
            Some(_) => lines += &(line + "\n"),
            None => println!("{line}"),
        }
    });
    if let Some(path) = json {
        std::fs::write(&path, lines).map_err(|e| Error::Read(path, e))?;
    }
    print!("{}", report::table(&runs));
    Ok(())
}
