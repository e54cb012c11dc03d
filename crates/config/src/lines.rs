//! Cuts the text of a file into words, and says where each stands. Pure.

/// A word and where it begins: line and column, both from 1; columns count characters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    pub text: String,
    pub line: usize,
    pub column: usize,
}

/// One line that says something: its words, never none. `{` and `}` are words of their own.
pub type Line = Vec<Word>;

/// The lines of a text, and what could not be read of it. `#` begins a comment; a word in double quotes may
/// hold anything but a line's end, with `\"` and `\\` for themselves.
pub fn lines(text: &str) -> (Vec<Line>, Vec<(usize, usize, String)>) {
    let (mut found, mut faults) = (Vec::new(), Vec::new());
    for (n, line) in text.lines().enumerate() {
        let mut words = Vec::new();
        let mut chars = line.chars().enumerate().peekable();
        while let Some((at, first)) = chars.next() {
            let (mut word, column) = (String::new(), at + 1);
            match first {
                '#' => break,
                c if c.is_whitespace() => continue,
                '{' | '}' => word.push(first),
                '"' => {
                    let mut closed = false;
                    while let Some((_, c)) = chars.next() {
                        match c {
                            '"' => closed = true,
                            '\\' if chars.peek().is_some_and(|(_, c)| matches!(c, '"' | '\\')) => {
                                word.extend(chars.next().map(|(_, c)| c));
                                continue;
                            }
                            other => word.push(other),
                        }
                        if closed {
                            break;
                        }
                    }
                    if !closed {
                        faults.push((
                            n + 1,
                            column,
                            "a quote that does not end on its line".to_owned(),
                        ));
                    }
                }
                other => {
                    word.push(other);
                    let ends = |c: char| c.is_whitespace() || matches!(c, '{' | '}' | '#' | '"');
                    while let Some((_, c)) = chars.next_if(|(_, c)| !ends(*c)) {
                        word.push(c);
                    }
                }
            }
            words.push(Word {
                text: word,
                line: n + 1,
                column,
            });
        }
        if !words.is_empty() {
            found.push(words);
        }
    }
    (found, faults)
}

#[cfg(test)]
mod tests;
