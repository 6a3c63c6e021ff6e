//! `serve`: runs an entry host.

use crate::client::read_file;
use crate::command::{Args, Command};
use crate::error::{Error, Result};
use crate::log_format::log_builder;

pub(crate) const COMMAND: Command = Command {
    name: "serve",
    summary: "Run an entry host with the given settings",
    operands: &["SETTINGS"],
    options: |_| (),
    run,
};

fn run(args: &Args) -> Result<()> {
    let path = args.operand(0);
    let settings = sapphirerack_host::from_text(&read_file(path)?)
        .map_err(|e| Error::File(format!("{path}: {e}")))?;
    log_builder(&settings.log).init();
    let host = sapphirerack_host::serve(&settings).map_err(|e| Error::Run(e.to_string()))?;
    match host.join() {
        Ok(true) => Ok(()),
        Ok(false) => Err(Error::Run("stop limit expired before all work was finished".into())),
        Err(e) => Err(Error::Run(e.to_string())),
    }
}
