//! Validation: each violation is rejected with the path to the field.

#![allow(clippy::unwrap_used)]

use sapphirerack_catalogue::{Catalogue, Category, Span, from_text};

const TEXT: &str = r#"{
    "members": [{ "name": "castlegate", "key": "00" }],
    "data_centres": [{ "name": "leith" }],
    "services": [{
        "name": "clocks", "owner": "castlegate", "class": "search",
        "limits": { "concurrency": 64, "deadline": "250ms" },
        "shards": [
            { "name": "0", "span": { "start": 0, "end": 40000 }, "targets": [{
                "name": "c0", "address": "127.0.0.1:9001", "data_centre": "leith",
                "version": "v1", "slots": 4, "connections": 35, "cold": 1
            }] },
            { "name": "1", "span": { "start": 40000, "end": 65536 }, "targets": [] }
        ]
    }]
}"#;

fn valid() -> Catalogue {
    from_text(TEXT).unwrap()
}

fn violation(change: impl FnOnce(&mut Catalogue)) -> Option<String> {
    let mut catalogue = valid();
    change(&mut catalogue);
    let error = catalogue.check().unwrap_err();
    assert_eq!(error.classify(), Category::Rule);
    error.path().map(str::to_owned)
}

fn path(path: &str) -> Option<String> {
    Some(path.to_owned())
}

#[test]
fn valid_catalogue_is_accepted() {
    assert!(valid().check().is_ok());
}

#[test]
fn zero_or_excessive_limits_are_rejected() {
    let limits = |c: &mut Catalogue| c.services[0].limits.concurrency = 0;
    assert_eq!(violation(limits), path("services[0].limits.concurrency"));

    let slots = |c: &mut Catalogue| c.services[0].shards[0].targets[0].slots = 0;
    assert_eq!(violation(slots), path("services[0].shards[0].targets[0].slots"));

    let cold = |c: &mut Catalogue| c.services[0].shards[0].targets[0].cold = 5;
    assert_eq!(violation(cold), path("services[0].shards[0].targets[0].cold"));
}

#[test]
fn duplicate_names_are_rejected() {
    let members = |c: &mut Catalogue| c.members.push(c.members[0].clone());
    assert_eq!(violation(members), path("members[1].name"));

    let targets = |c: &mut Catalogue| {
        let target = c.services[0].shards[0].targets[0].clone();
        c.services[0].shards[1].targets.push(target);
    };
    assert_eq!(violation(targets), path("services[0].shards[1].targets[0].name"));
}

#[test]
fn overlapping_or_missing_partitions_are_rejected() {
    let overlap = |c: &mut Catalogue| c.services[0].shards[1].span = Span::new(39_999, 65_536);
    assert_eq!(violation(overlap), path("services[0].shards[1].span"));

    let gap = |c: &mut Catalogue| c.services[0].shards[1].span = Span::new(40_001, 65_536);
    assert_eq!(violation(gap), path("services[0].shards[1].span"));

    let short = |c: &mut Catalogue| c.services[0].shards[1].span = Span::new(40_000, 65_535);
    assert_eq!(violation(short), path("services[0].shards"));

    let inverted = |c: &mut Catalogue| c.services[0].shards[1].span = Span::new(65_536, 40_000);
    assert_eq!(violation(inverted), path("services[0].shards[1].span"));
}

#[test]
fn unknown_references_are_rejected() {
    let owner = |c: &mut Catalogue| c.services[0].owner = "nobody".into();
    assert_eq!(violation(owner), path("services[0].owner"));

    let centre = |c: &mut Catalogue| {
        c.services[0].shards[0].targets[0].data_centre = "nowhere".into();
    };
    assert_eq!(violation(centre), path("services[0].shards[0].targets[0].data_centre"));
}

#[test]
fn syntax_errors_carry_line_and_column() {
    let error = from_text(&TEXT.replace("\"slots\"", "\"slotz\"")).unwrap_err();

    assert_eq!(error.classify(), Category::Syntax);
    assert!(error.to_string().contains("unknown field `slotz`"), "{error}");
    assert!(error.to_string().contains("line 10"), "{error}");
}
