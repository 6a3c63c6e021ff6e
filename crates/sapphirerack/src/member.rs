//! `propose` and `approve`: admission of a new member.

use getopts::Options;
use sapphirerack_catalogue::{Member, Proposal};
use serde_json::json;

use crate::client::change_id;
use crate::command::{Args, Command, change_options};
use crate::error::Result;
use crate::output::{field, print_json};

pub(crate) const PROPOSE: Command = Command {
    name: "propose",
    summary: "Propose a new member, with the SHA-256 of its key",
    operands: &["MEMBER", "HASH"],
    options,
    run: propose,
};

pub(crate) const APPROVE: Command = Command {
    name: "approve",
    summary: "Approve exactly the proposal with this digest",
    operands: &["MEMBER", "DIGEST"],
    options,
    run: approve,
};

fn options(options: &mut Options) {
    change_options(options);
    options.optopt("", "change", "id of the change, to repeat one of unknown outcome", "ID");
}

fn propose(args: &Args) -> Result<()> {
    let (name, hash) = (args.operand(0), args.operand(1));
    let member = Member { name: name.into(), key: hash.into() };
    let body = json!(member).to_string();
    send(args, "propose member", "/members", body)?;
    if !args.is_set("json") {
        let by = args.value("member").unwrap_or_default().into();
        let proposal = Proposal { member, by, approvals: Vec::new() };
        println!("every other member has yet to approve {name} {}", proposal.digest());
    }
    Ok(())
}

fn approve(args: &Args) -> Result<()> {
    let body = json!({ "name": args.operand(0), "digest": args.operand(1) }).to_string();
    send(args, "approve member", "/members/approve", body)
}

fn send(args: &Args, step: &'static str, path: &str, body: String) -> Result<()> {
    let change = args.value("change").unwrap_or_else(change_id);
    let accepted = args.client()?.change(step, minreq::Method::Post, path, &change, body)?;
    if args.is_set("json") {
        print_json(&accepted);
    } else {
        println!("accepted as version {} (change {change})", field(&accepted, "version"));
    }
    Ok(())
}
