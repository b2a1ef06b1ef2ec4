//! Output in text for people or in JSON for scripts.

use serde_json::{Value, json};

use crate::flags::OutputFormat;

/// Prints results in one format.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Printer {
    pub(crate) format: OutputFormat,
}

impl Printer {
    /// Prints the fields of an object.
    pub(crate) fn record(self, value: &Value) {
        if self.format == OutputFormat::Json {
            println!("{value}");
            return;
        }
        let Some(fields) = value.as_object() else { return };
        for (name, value) in fields {
            match value.as_str() {
                Some(text) => println!("{name}: {text}"),
                None => println!("{name}: {value}"),
            }
        }
    }

    /// Prints a list; the JSON output names it.
    pub(crate) fn lines(self, name: &str, lines: &[String]) {
        if self.format == OutputFormat::Json {
            println!("{}", json!({ name: lines }));
            return;
        }
        for line in lines {
            println!("{line}");
        }
    }

    /// Prints the faults for which something was rejected; as text, to
    /// standard error.
    pub(crate) fn faults(self, faults: &[String]) {
        if self.format == OutputFormat::Json {
            println!("{}", json!({"result": "rejected", "faults": faults}));
            return;
        }
        for fault in faults {
            eprintln!("{fault}");
        }
    }
}
