//! The settings example must list every field with its default.

#![allow(clippy::unwrap_used)]

use sapphirerack_host::from_text;
use serde_json::Value;

const EXAMPLE: &str = include_str!("../../../docs/settings.example.json");

fn parse(text: &str) -> Value {
    serde_json::from_reader(json_comments::StripComments::new(text.as_bytes())).unwrap()
}

/// Settings with only the fields that have no default.
fn minimal() -> String {
    let example = parse(EXAMPLE);
    let listen = &example["listen"];
    let store = serde_json::json!({ "address": example["store"]["address"] });
    let name = &example["name"];
    let centre = &example["data_centre"];
    serde_json::json!({ "name": name, "data_centre": centre, "listen": listen, "store": store })
        .to_string()
}

#[test]
fn example_is_accepted_and_names_every_field_with_its_default() {
    let defaults = serde_json::to_value(from_text(&minimal()).unwrap()).unwrap();
    let settings = serde_json::to_value(from_text(EXAMPLE).unwrap()).unwrap();

    assert_eq!(settings, defaults);
    assert_fields(&parse(EXAMPLE), &defaults, "");
}

fn assert_fields(example: &Value, settings: &Value, path: &str) {
    let Value::Object(fields) = settings else { return };
    for (name, value) in fields {
        let path = format!("{path}.{name}");
        assert!(example.get(name).is_some(), "{path} is missing in the example");
        assert_fields(&example[name], value, &path);
    }
}
