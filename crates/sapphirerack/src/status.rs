//! `status`: prints how a host is, or all hosts.

use getopts::Options;
use serde_json::Value;

use crate::command::{Args, Command, call_options};
use crate::error::Result;
use crate::output::{field, print_json, print_table};

/// Columns of the table.
const COLUMNS: [&str; 5] = ["host", "data_centre", "version", "ready", "live_hosts"];

/// Columns that are known of other hosts.
const ALL_COLUMNS: usize = 3;

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
    let path = if args.is_set("all") { "/status?all=1" } else { "/status" };
    let status = args.client()?.get("get status", path)?;
    if args.is_set("json") {
        print_json(&status);
        return Ok(());
    }
    let hosts = match &status["hosts"] {
        Value::Array(hosts) => hosts.as_slice(),
        _ => std::slice::from_ref(&status),
    };
    let columns = if args.is_set("all") { &COLUMNS[..ALL_COLUMNS] } else { &COLUMNS };
    let row = |host: &Value| columns.iter().map(|c| field(host, c)).collect();
    print_table(columns, &hosts.iter().map(row).collect::<Vec<_>>());
    for host in status["unasked"].as_array().into_iter().flatten() {
        println!("no answer: {} in {}", field(host, "host"), field(host, "data_centre"));
    }
    for name in status["cut"].as_array().into_iter().flatten() {
        println!("cut off: data centre {}", name.as_str().unwrap_or_default());
    }
    Ok(())
}
