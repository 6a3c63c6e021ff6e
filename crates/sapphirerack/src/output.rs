//! Tables and JSON on standard output.

use serde_json::Value;

/// Prints JSON on one line.
pub(crate) fn print_json(value: &Value) {
    println!("{value}");
}

/// Prints a table with aligned columns.
pub(crate) fn print_table(header: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = header.iter().map(|h| h.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    print_row(header.iter().copied(), &widths);
    for row in rows {
        print_row(row.iter().map(String::as_str), &widths);
    }
}

/// Text of a field; a dash if it is missing or null.
pub(crate) fn field(value: &Value, name: &str) -> String {
    match &value[name] {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn print_row<'a>(cells: impl Iterator<Item = &'a str>, widths: &[usize]) {
    let padded = cells.zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
    let line: Vec<String> = padded.collect();
    println!("{}", line.join("  ").trim_end());
}
