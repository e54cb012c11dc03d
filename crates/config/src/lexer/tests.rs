use super::*;
use proptest::prelude::*;

#[test]
fn tokens_have_their_positions() {
    let (lines, faults) = lines("a  b# c\n\n  store{ \"x \\\" # y\" }\n\"open");
    let texts = |at: usize| -> Vec<(&str, usize, usize)> {
        lines[at]
            .iter()
            .map(|w| (w.text.as_str(), w.line, w.column))
            .collect()
    };
    assert_eq!(texts(0), [("a", 1, 1), ("b", 1, 4)]);
    assert_eq!(
        texts(1),
        [
            ("store", 3, 3),
            ("{", 3, 8),
            ("x \" # y", 3, 10),
            ("}", 3, 21)
        ]
    );
    assert_eq!(faults, [(4, 1, "unterminated quote".to_owned())]);
}

proptest! {
    #[test]
    fn any_text_is_tokenized(text in any::<String>()) {
        let (lines, _) = lines(&text);
        prop_assert!(lines.iter().flatten().all(|w| w.line >= 1 && w.column >= 1));
    }
}
