//! Command line of the lab.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use getopts::{Matches, Options};
use sapphirerack_lab::load::{LoadError, LoadFile};
use sapphirerack_lab::slopes::Slope;
use sapphirerack_lab::soak::{self, Soak};
use sapphirerack_lab::{
    booking_ways, demo, experiment, hold, load, report, slope_bookings, slope_control,
    slope_search, slopes, verdict,
};
use serde::Serialize;

const USAGE: &str = "usage: lab demo
       lab hold [--seconds N]
       lab load [--json FILE] LOAD_FILE
       lab bench [--json FILE] [--repeats N] [--seconds N] [--deployment NAME] [--only VARIANT]
       lab slopes [--json FILE] [--repeats N] [--only EXPERIMENT]
       lab verdict [--json FILE]
       lab bookings [--json FILE]
       lab soak [--seed N] [--minutes M]";

/// Default running time of `lab hold`, in seconds.
const HOLD_SECONDS: u64 = 120;

/// The load file of `lab bench`.
const BENCH: &str = include_str!("../loads/bench.json");

/// Failure of a command.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("{0}\n{USAGE}")]
    Usage(String),
    #[error("open {0}: {1}")]
    File(String, std::io::Error),
    #[error("{0}: {1}")]
    Load(String, LoadError),
    #[error("the history violates the consistency guarantees")]
    Violations,
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
        "hold" => {
            let seconds = matches.opt_get_default("seconds", HOLD_SECONDS);
            let seconds = seconds.map_err(|e| Error::Usage(format!("--seconds: {e}")))?;
            hold::run(&program(), std::time::Duration::from_secs(seconds));
            Ok(())
        }
        "load" => {
            let [path] = matches.free.as_slice() else {
                return Err(Error::Usage("expected one load file".into()));
            };
            let text = std::fs::read_to_string(path).map_err(|e| Error::File(path.clone(), e))?;
            let file = load::from_text(&text).map_err(|e| Error::Load(path.clone(), e))?;
            run_load(&file, &matches)
        }
        "bench" => run_load(&bench_file(&matches)?, &matches),
        "slopes" => run_slopes(&matches),
        "verdict" => run_verdict(&matches),
        "soak" => run_soak(&matches),
        "bookings" => {
            let mut lines = JsonLines::open(&matches)?;
            booking_ways::run(&program(), &mut |measurement| lines.write(measurement));
            Ok(())
        }
        other => Err(Error::Usage(format!("unknown command {other:?}"))),
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "json", "write one JSON line per run to a file", "FILE");
    options.optopt("", "repeats", "runs per combination", "N");
    options.optopt("", "seconds", "duration of the measurement, or of `hold`, in seconds", "N");
    options.optopt("", "deployment", "zeugenwerk, castlegate or group", "NAME");
    options.optopt("", "seed", "seed of the fault schedule", "N");
    options.optopt("", "minutes", "duration of the fault injection in minutes", "M");
    options.optmulti("", "only", "run only this variant or experiment; may be repeated", "VARIANT");
    options
}

/// The sapphirerack binary, built into the same directory.
fn program() -> PathBuf {
    std::env::current_exe().unwrap().with_file_name("sapphirerack")
}

fn bench_file(matches: &Matches) -> Result<LoadFile, Error> {
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

fn run_load(file: &LoadFile, matches: &Matches) -> Result<(), Error> {
    let mut lines = JsonLines::open(matches)?;
    let runs = experiment::run(&program(), file, |run| lines.write(run));
    print!("{}", report::table(&runs));
    Ok(())
}

/// An experiment that measures slopes.
type Experiment = fn(&Path) -> Vec<Slope>;

const EXPERIMENTS: [(&str, Experiment); 8] = [
    ("search", slope_search::measure),
    ("catalogue", slope_control::catalogue),
    ("peers", slope_control::peers),
    ("hosts", slope_control::hosts),
    ("links", slope_control::links),
    ("changes", slope_control::changes),
    ("moves", slope_control::moves),
    ("bookings", slope_bookings::measure),
];

fn run_slopes(matches: &Matches) -> Result<(), Error> {
    let only = matches.opt_strs("only");
    let repeats = matches.opt_get_default("repeats", 1);
    let repeats = repeats.map_err(|e| Error::Usage(format!("--repeats: {e}")))?;
    let mut lines = JsonLines::open(matches)?;
    let mut all = Vec::new();
    for (name, measure) in EXPERIMENTS {
        if only.is_empty() || only.iter().any(|o| o == name) {
            let measured = slopes::repeat(repeats, || measure(&program()));
            measured.iter().for_each(|slope| lines.write(slope));
            all.extend(measured);
        }
    }
    print!("{}", slopes::table(&all));
    Ok(())
}

fn run_soak(matches: &Matches) -> Result<(), Error> {
    let number = |name: &str, default: u64| -> Result<u64, Error> {
        let given = matches.opt_get(name).map_err(|e| Error::Usage(format!("--{name}: {e}")))?;
        Ok(given.unwrap_or(default))
    };
    let duration = Duration::from_secs(60 * number("minutes", 1)?);
    let summary = soak::run(&program(), &Soak { seed: number("seed", 1)?, duration });
    println!("{}", serde_json::to_string(&summary).unwrap());
    match summary.violations.is_empty() {
        true => Ok(()),
        false => Err(Error::Violations),
    }
}

/// Simulates the rule that detects faulty new versions.
fn run_verdict(matches: &Matches) -> Result<(), Error> {
    verdict::run(&mut *JsonLines::open(matches)?.0);
    Ok(())
}

/// Output of JSON lines: the file of `--json`, or standard output.
struct JsonLines(Box<dyn Write>);

impl JsonLines {
    fn open(matches: &Matches) -> Result<Self, Error> {
        let Some(path) = matches.opt_str("json") else {
            return Ok(Self(Box::new(std::io::stdout())));
        };
        let file = std::fs::File::create(&path).map_err(|e| Error::File(path, e))?;
        Ok(Self(Box::new(file)))
    }

    fn write(&mut self, value: &impl Serialize) {
        let line = serde_json::to_string(value).unwrap();
        writeln!(self.0, "{line}").unwrap();
    }
}
