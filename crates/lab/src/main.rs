//! Command line of the lab.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::process::ExitCode;

const USAGE: &str = "usage: lab demo";

fn main() -> ExitCode {
    env_logger::init();
    let command = std::env::args().nth(1);
    match command.as_deref() {
        Some("demo") => {
            // The shipped binary is built into the same folder.
            let program = std::env::current_exe().unwrap().with_file_name("sapphirerack");
            let summary = sapphirerack_lab::demo::run(&program);
            println!("{}", serde_json::to_string(&summary).unwrap());
            ExitCode::SUCCESS
        }
        _ => {
            eprintln!("{USAGE}");
            ExitCode::from(2)
        }
    }
}
