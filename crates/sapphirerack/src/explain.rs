//! `explain`: what the logs of forwarding hosts say of one request.
//!
//! The lines that carry the request's id name targets and hosts whose state decided the outcome. The
//! latest lines on these are shown as well, all in order of time.

use std::collections::BTreeSet;
use std::io::{Read, stdin};

use getopts::Options;

use crate::client::read_file;
use crate::command::{Args, Command};
use crate::error::{Error, Result};

pub(crate) const COMMAND: Command = Command {
    name: "explain",
    summary: "Print what logs of forwarding hosts say of a request, with the beliefs behind it",
    operands: &["ID"],
    options,
    run,
};

/// Lines on the targets and hosts of a request that are shown, before its last line.
const MAX_CONTEXT: usize = 40;

/// Events on the state of a target or host.
const STATES: [&str; 12] = [
    "target_slow",
    "target_unreached",
    "target_leaving",
    "target_holds_off",
    "target_missing",
    "target_gone",
    "host_lost",
    "host_found",
    "store_lost",
    "store_regained",
    "start",
    "stop",
];

fn options(options: &mut Options) {
    options.optmulti("", "log", "log of a host; standard input without this", "FILE");
}

/// A line of a log.
struct Line {
    /// File, or the host that a collector has put in front of the line.
    source: String,
    /// Time as the host wrote it, in a format that sorts.
    time: String,
    /// The fields after the time.
    text: String,
}

fn run(args: &Args) -> Result<()> {
    let id = args.operand(0);
    let mut lines = Vec::new();
    let files = args.values("log");
    for path in &files {
        lines.extend(read_file(path)?.lines().filter_map(|line| parse(path, line)));
    }
    if files.is_empty() {
        let mut text = String::new();
        let read = stdin().read_to_string(&mut text);
        read.map_err(|e| Error::File(format!("standard input: {e}")))?;
        lines.extend(text.lines().filter_map(|line| parse("", line)));
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let story = select(id, &lines);
    if story.is_empty() {
        return Err(Error::File(format!("no line names the request {id:?}")));
    }
    for Line { source, time, text } in story {
        println!("{time} {source} {text}");
    }
    Ok(())
}

/// Parses a line; `None` if it is not one of a host.
fn parse(file: &str, line: &str) -> Option<Line> {
    let (before, rest) = line.split_once("time=")?;
    let (time, text) = rest.split_once(' ')?;
    let source = before.split_whitespace().last().unwrap_or(file).to_owned();
    Some(Line { source, time: time.to_owned(), text: text.to_owned() })
}

/// Lines of a request, and the latest ones before its end on the targets and hosts that they name.
fn select<'a>(id: &str, lines: &'a [Line]) -> Vec<&'a Line> {
    let is_own = |line: &Line| field(&line.text, "id") == Some(id);
    let Some(last) = lines.iter().rposition(is_own) else { return Vec::new() };
    let own = lines.iter().filter(|line| is_own(line));
    let mut names: BTreeSet<&str> = own.clone().flat_map(|line| named(&line.text)).collect();
    names.extend(own.map(|line| &*line.source).filter(|source| !source.is_empty()));
    let is_context = |line: &Line| {
        let is_state = field(&line.text, "event").is_some_and(|e| STATES.contains(&e));
        let subject = ["target", "host"].iter().find_map(|key| field(&line.text, key));
        is_state && names.contains(subject.unwrap_or(&line.source))
    };
    let context: Vec<usize> = (0..last).filter(|at| is_context(&lines[*at])).collect();
    let from = context.len().saturating_sub(MAX_CONTEXT);
    let mut chosen: BTreeSet<usize> = context[from..].iter().copied().collect();
    chosen.extend((0..=last).filter(|at| is_own(&lines[*at])));
    chosen.into_iter().map(|at| &lines[at]).collect()
}

/// Value of a field, without quotes.
fn field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let at = text.match_indices(key).map(|(at, _)| at).find(|at| {
        let starts = *at == 0 || text.as_bytes()[at - 1] == b' ';
        starts && text[at + key.len()..].starts_with('=')
    })?;
    let value = &text[at + key.len() + 1..];
    match value.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next(),
        None => value.split(' ').next(),
    }
}

/// Targets and hosts that a line names.
fn named(text: &str) -> Vec<&str> {
    let lists = ["targets", "replicas"].iter().filter_map(|key| field(text, key));
    let entries = lists.flat_map(|list| list.split(','));
    let names = entries.filter_map(|entry| entry.split([':', '/']).next());
    names.chain(field(text, "gatherer")).filter(|name| !name.is_empty()).collect()
}
