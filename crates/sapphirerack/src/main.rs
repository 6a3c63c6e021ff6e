//! The sapphirerack daemon and its operators' command line.
//!
//! One binary runs an entry host (`sapphirerack serve`), a forwarding host (`sapphirerack forward`)
//! and the operators' client. Related commands share a module; `command` lists all of them.
//!
//! # Modules
//!
//! - `command`: the commands, their options and help
//! - `serve`, `forward`, `check`, `explain`, `apply`, `get`, `status`, `moves`, `member`: the commands
//! - `client`: HTTP client of an entry host's operator API
//! - `log_format`: format of the log
//! - `output`: tables and JSON on standard output
//! - `error`: errors and their exit codes

mod apply;
mod check;
mod client;
mod command;
mod error;
mod explain;
mod forward;
mod get;
mod log_format;
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
