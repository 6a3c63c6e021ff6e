//! `get`: prints the catalogue in force.

use crate::command::{Args, Command, call_options};
use crate::error::{Error, Result};
use crate::output::print_json;

pub(crate) const COMMAND: Command = Command {
    name: "get",
    summary: "Print the catalogue in force on a host, as 'apply' takes it",
    operands: &[],
    options: call_options,
    run,
};

fn run(args: &Args) -> Result<()> {
    let answer = args.client()?.get("get catalogue", "/catalogue")?;
    if args.is_set("json") {
        print_json(&answer);
        return Ok(());
    }
    let text = serde_json::to_string_pretty(&answer["catalogue"]);
    println!("// version {}", answer["version"]);
    println!("{}", text.map_err(|e| Error::Run(e.to_string()))?);
    Ok(())
}
