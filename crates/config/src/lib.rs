//! The operator's own file, line-based in the manner of classic daemons: one directive a line, sections in
//! braces, `include FILE`, comments behind `#`. It is checked whole: every fault of a file is told at once,
//! with its line and column and the nearest word there is.
//!
//! ```
//! let (told, faults) = chalkhall_config::read_text("store {\n  memory 64MB\n}\n");
//! assert!(faults.is_empty());
//! assert_eq!(told.store.memory.unwrap().of(1 << 30), 64_000_000);
//!
//! let (_, faults) = chalkhall_config::read_text("store {\n  memry 64MB\n}\n");
//! assert_eq!(faults[0].to_string(), "2:3: memry is not a directive of store; memory is");
//! ```

mod lines;
pub mod values;
mod words;

pub use values::Amount;
pub use words::{
    Bound, CellMembers, Cells, Entry, Log, LogFormat, Peers, Regions, Set, Store, Table, Told,
    WORDS,
};

use lines::{Line, Word};
use std::fmt;
use std::path::{Path, PathBuf};

/// Files within files, and lines in all: past these the file leads to itself, or is none.
const DEPTH_MOST: usize = 8;
const LINES_MOST: usize = 100_000;
const FILE_MOST: u64 = 4 << 20;

/// One fault, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// None: the text was not read from a file.
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

/// Reads a file and what it includes. Of a faulty one the told part is what could be read.
pub fn read(path: &Path) -> (Told, Vec<Fault>) {
    read_with(&WORDS, path)
}

/// Reads a text that is not in a file.
pub fn read_text(text: &str) -> (Told, Vec<Fault>) {
    read_text_with(&WORDS, text)
}

/// A file of another kind, in the same manner, by its own table of directives.
pub fn read_with<T: Default>(words: &'static Table<T>, path: &Path) -> (T, Vec<Fault>) {
    let mut reading = Reading::new(words);
    reading.file(path, None, 0);
    (reading.told, reading.faults)
}

/// The same of a text that is not in a file.
pub fn read_text_with<T: Default>(words: &'static Table<T>, text: &str) -> (T, Vec<Fault>) {
    let mut reading = Reading::new(words);
    reading.text(text, None, 0);
    (reading.told, reading.faults)
}

struct Reading<T: 'static> {
    words: &'static Table<T>,
    told: T,
    faults: Vec<Fault>,
    /// What was given already, and where: a directive stands once.
    given: Vec<(&'static str, &'static str, String)>,
    lines: usize,
}

impl<T: Default> Reading<T> {
    fn new(words: &'static Table<T>) -> Reading<T> {
        Reading {
            words,
            told: T::default(),
            faults: Vec::new(),
            given: Vec::new(),
            lines: 0,
        }
    }

    fn fault(&mut self, file: Option<&Path>, at: &Word, what: String) {
        let file = file.map(Path::to_path_buf);
        self.faults.push(Fault {
            file,
            line: at.line,
            column: at.column,
            what,
        });
    }

    fn file(&mut self, path: &Path, from: Option<(&Path, &Word)>, depth: usize) {
        let length = std::fs::metadata(path).map(|m| m.len());
        let text = match length {
            Ok(length) if length > FILE_MOST => Err("the file is too large".to_owned()),
            _ => std::fs::read_to_string(path).map_err(|e| e.to_string()),
        };
        match (text, from) {
            (Ok(text), _) => self.text(&text, Some(path), depth),
            (Err(e), Some((file, word))) => {
                self.fault(Some(file), word, format!("{}: {e}", path.display()))
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
        let (lines, faults) = lines::lines(text);
        let file_of = || file.map(Path::to_path_buf);
        let cut = faults.into_iter().map(|(line, column, what)| Fault {
            file: file_of(),
            line,
            column,
            what,
        });
        self.faults.extend(cut);
        // The section that is open, and where it began.
        let mut section: Option<(&'static str, Word)> = None;
        for line in lines {
            self.lines += 1;
            if self.lines > LINES_MOST {
                return self.fault(
                    file,
                    &line[0],
                    format!("more than {LINES_MOST} lines in all"),
                );
            }
            self.line(line, file, depth, &mut section);
        }
        if let Some((name, began)) = section {
            self.fault(file, &began, format!("the section {name} has no end"));
        }
    }

    fn line(
        &mut self,
        line: Line,
        file: Option<&Path>,
        depth: usize,
        section: &mut Option<(&'static str, Word)>,
    ) {
        let (first, rest) = (&line[0], &line[1..]);
        if first.text == "}" {
            if section.take().is_none() {
                self.fault(file, first, "there is no section to end".into());
            }
            if let Some(more) = rest.first() {
                self.fault(file, more, "nothing may follow the end of a section".into());
            }
            return;
        }
        if let Some(brace) = rest.iter().find(|w| w.text == "{") {
            let known = self.words.sections().find(|name| **name == first.text);
            if let Some((open, _)) = section {
                let what = format!("the section {open} has not ended yet");
                self.fault(file, first, what);
            } else if known.is_none() {
                let near = nearest(&first.text, self.words.sections().copied());
                self.fault(
                    file,
                    first,
                    format!("{} is not a section{near}", first.text),
                );
            }
            *section = Some((known.copied().unwrap_or(""), first.clone()));
            if let Some(more) = rest.iter().find(|w| *w != brace) {
                self.fault(
                    file,
                    more,
                    "a section begins with its name and { alone on a line".into(),
                );
            }
            return;
        }
        let within = section.as_ref().map_or("", |(name, _)| *name);
        if section.is_some() && within.is_empty() {
            // Of a section that is none, nothing can be said.
            return;
        }
        if first.text == "include" && within.is_empty() {
            return self.include(first, rest, file, depth);
        }
        let Some(entry) = self.words.find(within, &first.text) else {
            let names = self
                .words
                .names(within)
                .chain(within.is_empty().then_some("include"));
            let of = if within.is_empty() {
                String::new()
            } else {
                format!(" of {within}")
            };
            let elsewhere = self
                .words
                .sections()
                .find(|s| self.words.find(s, &first.text).is_some());
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
            .given
            .iter()
            .find(|(s, n, _)| !entry.many && (*s, *n) == (within, entry.name))
        {
            let what = format!("{} was given before, at {before}", entry.name);
            return self.fault(file, first, what);
        }
        self.given.push((within, entry.name, here));
        let texts: Vec<&str> = rest.iter().map(|w| w.text.as_str()).collect();
        if !entry.count.contains(&texts.len()) {
            return self.fault(
                file,
                first,
                format!("{} is written: {} {}", entry.name, entry.name, entry.takes),
            );
        }
        if let Err((at, what)) = (entry.set)(&mut self.told, &texts) {
            let word = rest.get(at).unwrap_or(first).clone();
            self.fault(file, &word, what);
        }
    }

    fn include(&mut self, first: &Word, rest: &[Word], file: Option<&Path>, depth: usize) {
        let [name] = rest else {
            return self.fault(file, first, "include is written: include FILE".into());
        };
        if depth + 1 >= DEPTH_MOST {
            return self.fault(
                file,
                name,
                format!("more than {DEPTH_MOST} files within one another"),
            );
        }
        let beside = file.and_then(Path::parent).unwrap_or(Path::new(""));
        let path = beside.join(&name.text);
        let from = file.unwrap_or(Path::new("(text)"));
        self.file(&path, Some((from, name)), depth + 1);
    }
}

/// `; memory is`, where a name is near enough.
fn nearest<'a>(word: &str, names: impl Iterator<Item = &'a str>) -> String {
    let near = names.map(|name| (strsim::damerau_levenshtein(word, name), name));
    let best = near
        .filter(|(far, name)| *far <= name.len().div_ceil(3))
        .min();
    best.map_or_else(String::new, |(_, name)| format!("; {name} is"))
}
