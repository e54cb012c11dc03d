//! Parser of the operator's file: one directive per line, sections in braces, `include FILE`, comments after `#`.
//! All faults of a file are reported at once, each with its line and column and, for an unknown name, the most
//! similar known one.
//!
//! ```
//! let (directives, faults) = chalkhall_config::read_text("store {\n  memory 64MB\n}\n");
//! assert!(faults.is_empty());
//! assert_eq!(directives.store.memory.unwrap().of(1 << 30), 64_000_000);
//!
//! let (_, faults) = chalkhall_config::read_text("store {\n  memry 64MB\n}\n");
//! assert_eq!(faults[0].to_string(), "2:3: memry is not a directive of store; memory is");
//! ```

mod directives;
mod lexer;
pub mod values;

pub use directives::{
    Apply, CellMembers, Cells, DIRECTIVES, Directive, Directives, Log, LogFormat, Peers, Regions,
    Scope, Store, Table,
};
pub use values::Amount;

use lexer::{Line, Token};
use std::fmt;
use std::path::{Path, PathBuf};

/// Limits on nested includes, total lines and file size, against include cycles and files of other kinds.
const MAX_INCLUDE_DEPTH: usize = 8;
const MAX_LINES: usize = 100_000;
const MAX_FILE_BYTES: u64 = 4 << 20;

/// A fault and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// `None` if the text was not read from a file.
    pub file: Option<PathBuf>,
    pub line: usize,
    pub column: usize,
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if let Some(file) = &self.file {
            write!(f, "{}:", file.display())?;
        }
        write!(f, "{}:{}: {}", self.line, self.column, self.what)
    }
}

/// Reads a file and the files that it includes. With faults, the result has the directives that could be read.
pub fn read(path: &Path) -> (Directives, Vec<Fault>) {
    read_with(&DIRECTIVES, path)
}

/// Reads directives from a string.
pub fn read_text(text: &str) -> (Directives, Vec<Fault>) {
    read_text_with(&DIRECTIVES, text)
}

/// Reads a file by another table of directives.
pub fn read_with<T: Default>(table: &'static Table<T>, path: &Path) -> (T, Vec<Fault>) {
    let mut parser = Parser::new(table);
    parser.file(path, None, 0);
    (parser.result, parser.faults)
}

/// Reads a string by another table of directives.
pub fn read_text_with<T: Default>(table: &'static Table<T>, text: &str) -> (T, Vec<Fault>) {
    let mut parser = Parser::new(table);
    parser.text(text, None, 0);
    (parser.result, parser.faults)
}

struct Parser<T: 'static> {
    table: &'static Table<T>,
    result: T,
    faults: Vec<Fault>,
    /// The directives seen so far, each with its section and place, to find duplicates.
    seen: Vec<(&'static str, &'static str, String)>,
    lines: usize,
}

impl<T: Default> Parser<T> {
    fn new(table: &'static Table<T>) -> Parser<T> {
        Parser {
            table,
            result: T::default(),
            faults: Vec::new(),
            seen: Vec::new(),
            lines: 0,
        }
    }

    fn fault(&mut self, file: Option<&Path>, at: &Token, what: String) {
        let file = file.map(Path::to_path_buf);
        self.faults.push(Fault {
            file,
            line: at.line,
            column: at.column,
            what,
        });
    }

    fn file(&mut self, path: &Path, from: Option<(&Path, &Token)>, depth: usize) {
        let length = std::fs::metadata(path).map(|m| m.len());
        let text = match length {
            Ok(length) if length > MAX_FILE_BYTES => Err("the file is too large".to_owned()),
            _ => std::fs::read_to_string(path).map_err(|e| e.to_string()),
        };
        match (text, from) {
            (Ok(text), _) => self.text(&text, Some(path), depth),
            (Err(e), Some((file, token))) => {
                self.fault(Some(file), token, format!("{}: {e}", path.display()))
            }
            (Err(e), None) => {
                self.faults.push(Fault {
                    file: Some(path.to_path_buf()),
                    line: 1,
                    column: 1,
                    what: e,
                });
            }
        }
    }

    fn text(&mut self, text: &str, file: Option<&Path>, depth: usize) {
        let (lines, faults) = lexer::lines(text);
        let file_of = || file.map(Path::to_path_buf);
        let located = faults.into_iter().map(|(line, column, what)| Fault {
            file: file_of(),
            line,
            column,
            what,
        });
        self.faults.extend(located);
        // The open section, and where it starts.
        let mut section: Option<(&'static str, Token)> = None;
        for line in lines {
            self.lines += 1;
            if self.lines > MAX_LINES {
                return self.fault(
                    file,
                    &line[0],
                    format!("more than {MAX_LINES} lines in total"),
                );
            }
            self.line(line, file, depth, &mut section);
        }
        if let Some((name, start)) = section {
            self.fault(file, &start, format!("section {name} is not closed"));
        }
    }

    fn line(
        &mut self,
        line: Line,
        file: Option<&Path>,
        depth: usize,
        section: &mut Option<(&'static str, Token)>,
    ) {
        let (first, rest) = (&line[0], &line[1..]);
        if first.text == "}" {
            if section.take().is_none() {
                self.fault(file, first, "no section is open".into());
            }
            if let Some(extra) = rest.first() {
                self.fault(
                    file,
                    extra,
                    "unexpected text after the end of a section".into(),
                );
            }
            return;
        }
        if let Some(brace) = rest.iter().find(|w| w.text == "{") {
            let known = self.table.sections().find(|name| **name == first.text);
            if let Some((open, _)) = section {
                let what = format!("section {open} is still open");
                self.fault(file, first, what);
            } else if known.is_none() {
                let hint = nearest(&first.text, self.table.sections().copied());
                self.fault(
                    file,
                    first,
                    format!("{} is not a section{hint}", first.text),
                );
            }
            *section = Some((known.copied().unwrap_or(""), first.clone()));
            if let Some(extra) = rest.iter().find(|w| *w != brace) {
                self.fault(
                    file,
                    extra,
                    "unexpected text: a section starts with its name and { alone on a line".into(),
                );
            }
            return;
        }
        let in_section = section.as_ref().map_or("", |(name, _)| *name);
        if section.is_some() && in_section.is_empty() {
            // Directives of an unknown section cannot be checked.
            return;
        }
        if first.text == "include" && in_section.is_empty() {
            return self.include(first, rest, file, depth);
        }
        let Some(entry) = self.table.find(in_section, &first.text) else {
            let names = self
                .table
                .names(in_section)
                .chain(in_section.is_empty().then_some("include"));
            let of = if in_section.is_empty() {
                String::new()
            } else {
                format!(" of {in_section}")
            };
            let elsewhere = self
                .table
                .sections()
                .find(|s| self.table.find(s, &first.text).is_some());
            let hint = match elsewhere {
                Some(there) => format!("; it belongs in {there}"),
                None => nearest(&first.text, names),
            };
            return self.fault(
                file,
                first,
                format!("{} is not a directive{of}{hint}", first.text),
            );
        };
        let here = match file {
            Some(file) => format!("{}:{}", file.display(), first.line),
            None => first.line.to_string(),
        };
        if let Some((_, _, before)) = self
            .seen
            .iter()
            .find(|(s, n, _)| !entry.repeatable && (*s, *n) == (in_section, entry.name))
        {
            let what = format!("{} was given before, at {before}", entry.name);
            return self.fault(file, first, what);
        }
        self.seen.push((in_section, entry.name, here));
        let texts: Vec<&str> = rest.iter().map(|w| w.text.as_str()).collect();
        if !entry.count.contains(&texts.len()) {
            return self.fault(
                file,
                first,
                format!("{} is written: {} {}", entry.name, entry.name, entry.usage),
            );
        }
        if let Err((at, what)) = (entry.set)(&mut self.result, &texts) {
            let token = rest.get(at).unwrap_or(first).clone();
            self.fault(file, &token, what);
        }
    }

    fn include(&mut self, first: &Token, rest: &[Token], file: Option<&Path>, depth: usize) {
        let [name] = rest else {
            return self.fault(file, first, "include is written: include FILE".into());
        };
        if depth + 1 >= MAX_INCLUDE_DEPTH {
            return self.fault(
                file,
                name,
                format!("includes are nested more than {MAX_INCLUDE_DEPTH} deep"),
            );
        }
        let directory = file.and_then(Path::parent).unwrap_or(Path::new(""));
        let path = directory.join(&name.text);
        let from = file.unwrap_or(Path::new("(text)"));
        self.file(&path, Some((from, name)), depth + 1);
    }
}

/// A hint at the most similar name, such as `; memory is`, or an empty string if none is similar.
fn nearest<'a>(name: &str, names: impl Iterator<Item = &'a str>) -> String {
    let candidates = names.map(|known| (strsim::damerau_levenshtein(name, known), known));
    let best = candidates
        .filter(|(distance, known)| *distance <= known.len().div_ceil(3))
        .min();
    best.map_or_else(String::new, |(_, known)| format!("; {known} is"))
}
