//! `status`: prints the state of one host or of all hosts.

use getopts::Options;
use serde_json::Value;

use crate::command::{Args, Command, call_options};
use crate::error::Result;
use crate::output::{field, print_json, print_table};

/// Columns of the table.
const COLUMNS: [&str; 5] = ["host", "data_centre", "version", "ready", "live_hosts"];

/// Columns of the table of all hosts.
const ALL_COLUMNS: [&str; 3] = ["host", "data_centre", "version"];

pub(crate) const COMMAND: Command = Command {
    name: "status",
    summary: "Print which configuration is in force, and where",
    operands: &[],
    options,
    run,
};

fn options(options: &mut Options) {
    call_options(options);
    options.optflag("", "all", "ask all hosts that the host knows");
}

fn run(args: &Args) -> Result<()> {
    let all = args.is_set("all");
    let path = if all { "/status?all=1" } else { "/status" };
    let status = args.client()?.get("get status", path)?;
    match (args.is_set("json"), all) {
        (true, _) => print_json(&status),
        (false, true) => print_all(&status),
        (false, false) => print_table(&COLUMNS, &[row(&status, &COLUMNS)]),
    }
    Ok(())
}

fn print_all(status: &Value) {
    let list = |name: &str| status[name].as_array().cloned().unwrap_or_default();
    let mut rows: Vec<_> = list("hosts").iter().map(|h| row(h, &ALL_COLUMNS)).collect();
    rows.extend(list("unasked").iter().map(|h| {
        let mut cells = row(h, &ALL_COLUMNS);
        cells[2] = "not asked".into();
        cells
    }));
    print_table(&ALL_COLUMNS, &rows);
    for data_centre in list("cut") {
        println!("data centre {} is cut off", data_centre.as_str().unwrap_or("-"));
    }
    let version = field(status, "version");
    match status["everywhere"].as_bool() {
        Some(true) => println!("version {version} is in force everywhere"),
        _ => println!("version {version} is not known to be in force everywhere"),
    }
}

fn row(host: &Value, columns: &[&str]) -> Vec<String> {
    columns.iter().map(|c| field(host, c)).collect()
}
