//! The sapphirerack daemon and its operators' command line.

mod client;
mod command;

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
