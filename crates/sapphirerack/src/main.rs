//! The sapphirerack daemon and its operators' command line.
//!
//! One binary serves as entry host (`sapphirerack serve`) and as the operators' client. Each
//! command stands in a module of its own and is listed in `command`.
//!
//! # Modules
//!
//! - `command`: the list of commands, their options and help
//! - `serve`, `forward`, `check`, `apply`, `get`, `status`: the commands
//! - `client`: operators' calls to an entry host
//! - `output`: text for people, JSON for machines
//! - `error`: errors and their exit codes

mod apply;
mod check;
mod client;
mod command;
mod error;
mod forward;
mod get;
mod member;
mod moves;
mod output;
mod serve;
mod status;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match command::run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("sapphirerack: {e}");
            e.exit_code()
        }
    }
}
