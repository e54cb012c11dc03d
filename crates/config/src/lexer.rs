//! Splits the text of a file into lines of tokens with their positions. No I/O.

/// A token and its start: line and column, both from 1; columns count characters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    pub text: String,
    pub line: usize,
    pub column: usize,
}

/// The tokens of a line that is not blank, at least one. `{` and `}` are tokens of their own.
pub type Line = Vec<Token>;

/// The lines of a text, and its faults as line, column and message. `#` starts a comment; a token in double quotes
/// may contain anything but a line end, with the escapes `\"` and `\\`.
pub fn lines(text: &str) -> (Vec<Line>, Vec<(usize, usize, String)>) {
    let (mut result, mut faults) = (Vec::new(), Vec::new());
    for (n, line) in text.lines().enumerate() {
        let mut tokens = Vec::new();
        let mut chars = line.chars().enumerate().peekable();
        while let Some((at, first)) = chars.next() {
            let (mut token, column) = (String::new(), at + 1);
            match first {
                '#' => break,
                c if c.is_whitespace() => continue,
                '{' | '}' => token.push(first),
                '"' => {
                    let mut closed = false;
                    while let Some((_, c)) = chars.next() {
                        match c {
                            '"' => closed = true,
                            '\\' if chars.peek().is_some_and(|(_, c)| matches!(c, '"' | '\\')) => {
                                token.extend(chars.next().map(|(_, c)| c));
                                continue;
                            }
                            other => token.push(other),
                        }
                        if closed {
                            break;
                        }
                    }
                    if !closed {
                        faults.push((n + 1, column, "unterminated quote".to_owned()));
                    }
                }
                other => {
                    token.push(other);
                    let is_delimiter =
                        |c: char| c.is_whitespace() || matches!(c, '{' | '}' | '#' | '"');
                    while let Some((_, c)) = chars.next_if(|(_, c)| !is_delimiter(*c)) {
                        token.push(c);
                    }
                }
            }
            tokens.push(Token {
                text: token,
                line: n + 1,
                column,
            });
        }
        if !tokens.is_empty() {
            result.push(tokens);
        }
    }
    (result, faults)
}

#[cfg(test)]
mod tests;
