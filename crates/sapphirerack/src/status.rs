//! `status`: prints how a host is, or all hosts.

use getopts::Options;
use serde_json::Value;

use crate::command::{Args, Command, call_options};
use crate::error::Result;
use crate::output::{field, print_json, print_table};

/// Columns of the table.
const COLUMNS: [&str; 5] = ["host", "data_centre", "version", "ready", "live_hosts"];

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
    let hosts = match &status {
        Value::Array(hosts) => hosts.as_slice(),
        one => std::slice::from_ref(one),
    };
    let row = |host: &Value| COLUMNS.iter().map(|c| field(host, c)).collect();
    print_table(&COLUMNS, &hosts.iter().map(row).collect::<Vec<_>>());
    Ok(())
}
