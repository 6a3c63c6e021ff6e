//! The commands, their options and help.

use getopts::{Matches, Options};

use crate::client::Client;
use crate::error::{Error, Result};
use crate::{apply, check, explain, forward, get, member, moves, serve, status};

const COMMANDS: [&Command; 14] = [
    &serve::COMMAND,
    &forward::COMMAND,
    &check::COMMAND,
    &explain::COMMAND,
    &apply::COMMAND,
    &get::COMMAND,
    &status::COMMAND,
    &moves::DRAIN,
    &moves::RESTORE,
    &moves::RETIRE,
    &moves::SHIFT,
    &moves::MOVES,
    &member::PROPOSE,
    &member::APPROVE,
];

const EXIT_CODES: &str = "Exit codes: 0 done, 1 can't run, 2 usage, 3 file refused, \
     4 no answer, 5 refused, 6 conflict, 7 outcome unknown, 8 move reversed";

/// A subcommand of the binary.
pub(crate) struct Command {
    pub name: &'static str,
    /// One-line description for the help.
    pub summary: &'static str,
    /// Names of the required operands.
    pub operands: &'static [&'static str],
    /// Declares the options.
    pub options: fn(&mut Options),
    /// Executes the command.
    pub run: fn(&Args) -> Result<()>,
}

/// Parsed options and operands of a command.
pub(crate) struct Args {
    matches: Matches,
}

impl Args {
    /// Operand at `index`; `run_command` has checked the number of operands.
    pub(crate) fn operand(&self, index: usize) -> &str {
        &self.matches.free[index]
    }

    /// Whether a flag is given.
    pub(crate) fn is_set(&self, option: &str) -> bool {
        self.matches.opt_present(option)
    }

    /// Value of an option; `None` also if the command does not define the option.
    pub(crate) fn value(&self, option: &str) -> Option<String> {
        // `getopts` panics on a query for an undefined option.
        self.matches.opt_defined(option).then(|| self.matches.opt_str(option)).flatten()
    }

    /// Values of an option that may be repeated.
    pub(crate) fn values(&self, option: &str) -> Vec<String> {
        self.matches.opt_strs(option)
    }

    /// Client of the entry host that `--host` names.
    ///
    /// # Errors
    ///
    /// No host is named, or the key can't be read.
    pub(crate) fn client(&self) -> Result<Client> {
        let host = self.value("host").ok_or_else(|| Error::Usage("--host is missing".into()))?;
        Client::new(host, self.value("member"), self.value("key-file").as_deref())
    }
}

/// Declares the options of commands that call an entry host.
pub(crate) fn call_options(options: &mut Options) {
    options.optopt("", "host", "operators' address of an entry host", "ADDRESS");
    options.optflag("", "json", "print JSON");
}

/// Declares the options of commands that make changes.
pub(crate) fn change_options(options: &mut Options) {
    call_options(options);
    options.optopt("", "member", "member on whose behalf the change is made", "NAME");
    options.optopt("", "key-file", "file with the member's key (or SAPPHIRERACK_KEY)", "FILE");
}

/// Runs the command line `args`.
///
/// # Errors
///
/// The usage is wrong or the command fails.
pub(crate) fn run(args: &[String]) -> Result<()> {
    let (name, rest) = args.split_first().ok_or_else(|| Error::Usage("no command".into()))?;
    match name.as_str() {
        "--help" | "-h" | "help" => print_help(),
        "--version" | "-V" => println!("sapphirerack {}", env!("CARGO_PKG_VERSION")),
        name => return run_command(find(name)?, rest),
    }
    Ok(())
}

fn find(name: &str) -> Result<&'static Command> {
    let found = COMMANDS.into_iter().find(|c| c.name == name);
    found.ok_or_else(|| Error::Usage(format!("unknown command {name:?}")))
}

fn run_command(command: &Command, args: &[String]) -> Result<()> {
    let mut options = Options::new();
    (command.options)(&mut options);
    options.optflag("h", "help", "print this help");
    let usage = |e: String| Error::Usage(format!("{}: {e}", command.name));
    let matches = options.parse(args).map_err(|e| usage(e.to_string()))?;
    if matches.opt_present("help") {
        print!("{}", options.usage(&brief(command)));
        return Ok(());
    }
    if matches.free.len() != command.operands.len() {
        let expected = match command.operands {
            [] => "no operands".to_owned(),
            names => names.join(" "),
        };
        return Err(usage(format!("expected {expected}, found {:?}", matches.free.join(" "))));
    }
    (command.run)(&Args { matches })
}

fn brief(command: &Command) -> String {
    let operands: String = command.operands.iter().map(|o| format!(" {o}")).collect();
    format!("{}\n\nUsage: sapphirerack {} [OPTIONS]{operands}", command.summary, command.name)
}

fn print_help() {
    println!("sapphirerack: a query tier between callers and many shards\n");
    println!("Usage: sapphirerack COMMAND [OPTIONS] [OPERANDS]\n\nCommands:");
    for command in COMMANDS {
        println!("    {:<10} {}", command.name, command.summary);
    }
    println!("\n'sapphirerack COMMAND --help' tells more.\n{EXIT_CODES}.");
}
