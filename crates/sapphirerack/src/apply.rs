//! `apply`: puts a catalogue in force.

use getopts::Options;

use crate::client::{change_id, read_file};
use crate::command::{Args, Command, change_options};
use crate::error::{Error, Result};
use crate::output::{field, print_json};

pub(crate) const COMMAND: Command = Command {
    name: "apply",
    summary: "Put a catalogue in force",
    operands: &["CATALOGUE"],
    options,
    run,
};

fn options(options: &mut Options) {
    change_options(options);
    options.optopt("", "change", "id of the change, to repeat one of unknown outcome", "ID");
}

fn run(args: &Args) -> Result<()> {
    let path = args.operand(0);
    let text = read_file(path)?;
    let checked = sapphirerack_catalogue::from_text(&text);
    checked.map_err(|e| Error::File(format!("{path}: {e}")))?;
    let change = args.value("change").unwrap_or_else(change_id);
    let accepted = args.client()?.change(
        "apply catalogue",
        minreq::Method::Put,
        "/catalogue",
        &change,
        text,
    )?;
    if args.is_set("json") {
        print_json(&accepted);
    } else {
        println!("accepted as version {} (change {change})", field(&accepted, "version"));
    }
    Ok(())
}
