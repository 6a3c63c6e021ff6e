//! `drain`, `restore`, `retire`, `shift` and `moves`: start moves, wait for them, show them.

use std::thread;
use std::time::{Duration, Instant};

use getopts::Options;
use serde_json::{Value, json};

use crate::client::{Client, change_id};
use crate::command::{Args, Command, call_options, change_options};
use crate::error::{Error, Result};
use crate::output::{field, print_json, print_table};

/// Interval between two polls of an awaited move.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a response after which polling stops.
const UNREACHABLE_LIMIT: Duration = Duration::from_secs(60);

/// Columns of the table.
const COLUMNS: [&str; 6] = ["id", "owner", "state", "stage", "deadline", "ended"];

pub(crate) const DRAIN: Command = Command {
    name: "drain",
    summary: "Take a data centre out",
    operands: &["DATA_CENTRE"],
    options: start_options,
    run: |args| start(args, json!({ "kind": "drain", "data_centre": args.operand(0) })),
};

pub(crate) const RESTORE: Command = Command {
    name: "restore",
    summary: "Bring a data centre back",
    operands: &["DATA_CENTRE"],
    options: start_options,
    run: |args| start(args, json!({ "kind": "restore", "data_centre": args.operand(0) })),
};

pub(crate) const RETIRE: Command = Command {
    name: "retire",
    summary: "Retire a target",
    operands: &["TARGET"],
    options: start_options,
    run: |args| start(args, json!({ "kind": "retire", "target": args.operand(0) })),
};

pub(crate) const SHIFT: Command = Command {
    name: "shift",
    summary: "Shift a service to another version",
    operands: &["SERVICE", "FROM", "TO"],
    options: start_options,
    run: |args| {
        let [service, from, to] = [0, 1, 2].map(|i| args.operand(i));
        start(args, json!({ "kind": "shift", "service": service, "from": from, "to": to }))
    },
};

pub(crate) const MOVES: Command = Command {
    name: "moves",
    summary: "Print moves, or one in full",
    operands: &[],
    options: show_options,
    run: show,
};

fn start_options(options: &mut Options) {
    change_options(options);
    options.optopt("", "deadline", "time in which the move must end, such as 30m", "TIME");
    options.optopt("", "id", "id of the move, to repeat a start of unknown outcome", "ID");
    options.optflag("", "wait", "wait until the move is done or reversed");
}

fn show_options(options: &mut Options) {
    call_options(options);
    options.optopt("", "id", "id of the move", "ID");
}

fn start(args: &Args, goal: Value) -> Result<()> {
    let within = args.value("deadline");
    let within = within.ok_or_else(|| Error::Usage("--deadline is missing".into()))?;
    let id = args.value("id").unwrap_or_else(change_id);
    let client = args.client()?;
    let order = json!({ "id": id, "goal": goal, "within": within });
    let accepted = client.post("start move", "/moves", order.to_string())?;
    if !args.is_set("wait") {
        if args.is_set("json") {
            print_json(&accepted);
        } else {
            println!("started move {id} (version {})", field(&accepted, "version"));
        }
        return Ok(());
    }
    let status = wait(&client, &id)?;
    if args.is_set("json") {
        print_json(&status);
    } else {
        println!("move {id} is {}", field(&status, "state"));
    }
    match status["state"].as_str() {
        Some("done") => Ok(()),
        _ => Err(Error::Reversed { id, reason: field(&status, "reason") }),
    }
}

/// Polls a move until it is done or reversed; tolerates failed polls for `UNREACHABLE_LIMIT`.
fn wait(client: &Client, id: &str) -> Result<Value> {
    let path = format!("/moves/{id}");
    let mut last_response = Instant::now();
    loop {
        match client.get("get move", &path) {
            Ok(status) if is_ended(&status) => return Ok(status),
            Ok(_) => last_response = Instant::now(),
            Err(e) if last_response.elapsed() > UNREACHABLE_LIMIT => return Err(e),
            Err(e) => log::debug!("step=wait error={e}"),
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn is_ended(status: &Value) -> bool {
    matches!(status["state"].as_str(), Some("done" | "reversed"))
}

fn show(args: &Args) -> Result<()> {
    let client = args.client()?;
    if let Some(id) = args.value("id") {
        print_json(&client.get("get move", &format!("/moves/{id}"))?);
        return Ok(());
    }
    let all = client.get("get moves", "/moves")?;
    if args.is_set("json") {
        print_json(&all);
        return Ok(());
    }
    let row = |status: &Value| COLUMNS.iter().map(|c| field(status, c)).collect();
    let rows: Vec<Vec<String>> = all.as_array().into_iter().flatten().map(row).collect();
    print_table(&COLUMNS, &rows);
    Ok(())
}
