//! `check` and `directives`.

use crate::Failure;
use chalkhall_config::{DIRECTIVES, read};
use serde_json::json;
use std::path::Path;

/// Prints every fault of a file.
pub fn check(file: &Path, as_json: bool) -> Result<(), Failure> {
    let (_, faults) = read(file);
    if as_json {
        let list = faults.iter().map(|f| {
            let file = f.file.as_ref().map(|f| f.display().to_string());
            json!({"file": file, "line": f.line, "column": f.column, "what": f.what})
        });
        println!("{}", json!({"faults": list.collect::<Vec<_>>()}));
    } else {
        faults.iter().for_each(|fault| println!("{fault}"));
    }
    match faults.len() {
        0 => Ok(()),
        1 => Err(Failure::new("1 fault")),
        n => Err(Failure::new(format!("{n} faults"))),
    }
}

/// Prints all directives.
pub fn directives(as_json: bool) {
    let entries = DIRECTIVES.entries();
    if as_json {
        let list = entries.iter().map(
            |e| json!({"section": e.section, "name": e.name, "takes": e.usage, "says": e.help}),
        );
        println!("{}", json!(list.collect::<Vec<_>>()));
        return;
    }
    let mut section = "";
    for entry in entries {
        if entry.section != section {
            section = entry.section;
            println!("{section} {{");
        }
        let indent = if section.is_empty() { "" } else { "    " };
        let written = format!("{indent}{} {}", entry.name, entry.usage);
        println!("{written:<40} # {}", entry.help);
    }
    if !section.is_empty() {
        println!("}}");
    }
}
