//! `check`: validates a settings or catalogue file without starting anything.

use getopts::Options;
use sapphirerack_forward::Limits;

use crate::client::read_file;
use crate::command::{Args, Command};
use crate::error::{Error, Result};

pub(crate) const COMMAND: Command = Command {
    name: "check",
    summary: "Check a file of settings, or a catalogue, without starting anything",
    operands: &["FILE"],
    options,
    run,
};

fn options(options: &mut Options) {
    options.optflag("", "catalogue", "the file is a catalogue");
    options.optflag("", "forward", "the file holds settings of `forward`");
}

fn run(args: &Args) -> Result<()> {
    let path = args.operand(0);
    let text = read_file(path)?;
    if args.is_set("catalogue") {
        let checked = sapphirerack_catalogue::from_text(&text);
        checked.map_err(|e| Error::File(format!("{path}: {e}")))?;
    } else if args.is_set("forward") {
        let checked = sapphirerack_forward::from_text(&text, Limits::default());
        checked.map_err(|e| Error::File(format!("{path}: {e}")))?;
    } else {
        let checked = sapphirerack_host::from_text(&text);
        checked.map_err(|e| Error::File(format!("{path}: {e}")))?;
    }
    println!("{path}: ok");
    Ok(())
}
