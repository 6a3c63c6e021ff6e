//! Runs a case of the review: `review-standins CASE FOLDER`, where FOLDER gets `record.txt`.
//!
//! Exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case couldn't run.
//! With `TROUBLE=0` in the environment the disruption is left out.

mod client;
mod deployment;
mod drain;
mod failback;
mod fleet;
mod http;
mod record;
mod searcher;
mod skew;
mod store;

use std::path::Path;
use std::process::ExitCode;

use deployment::Folder;
use record::Record;

/// Outcome of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

impl From<bool> for Verdict {
    fn from(held: bool) -> Self {
        if held { Self::Held } else { Self::Broken }
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &args[..] else {
        eprintln!("usage: review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Record::create(&Path::new(folder).join("record.txt")).expect("create the record");
    let temporary = Folder::create().expect("create a folder for settings and logs");
    record.say(format_args!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
    let verdict = match case.as_str() {
        "drain" => drain::run(&drain::SEEDS_LOST, trouble, &temporary.0, &record),
        "idle" => drain::run(&drain::READER_LOST, trouble, &temporary.0, &record),
        "failback" => failback::run(trouble, &temporary.0, &record),
        "skew" => skew::run(trouble, &temporary.0, &record),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(reason) => (format!("not run: {reason}"), 2),
    };
    record.say(text);
    record.flush();
    ExitCode::from(code)
}
