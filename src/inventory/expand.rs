//! Expands Ansible's host ranges: `s[01:16]`, `[a:c]`, `r[1:9:2]n[1:2]`. Both bounds are inclusive.

use std::error::Error;
use std::fmt;

/// An error in a range of a host pattern.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RangeError {
    /// `[` without `]`.
    Unclosed,
    /// `]` without `[`.
    Unopened,
    /// The text in brackets is not a range.
    Invalid(String),
    /// The end is less than the beginning.
    Reversed(String),
    /// The end letter precedes the beginning, or one letter is upper case and the other lower case.
    ReversedOrMixedCase(String),
    /// The beginning has leading zeros, and the end has a different number of digits.
    UnequalWidths(String),
    /// The pattern expands to more names than this maximum.
    TooMany(usize),
}

impl fmt::Display for RangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unclosed => f.write_str("has an unclosed range: '[' without ']'"),
            Self::Unopened => f.write_str("has an unopened range: ']' without '['"),
            Self::Invalid(range) => {
                write!(f, "[{range}] is not a valid range; expected begin:end or begin:end:step")
            }
            Self::Reversed(range) => write!(f, "[{range}] has its end before its beginning"),
            Self::ReversedOrMixedCase(range) => {
                write!(f, "[{range}] has its end before its beginning or mixes upper and lower case")
            }
            Self::UnequalWidths(range) => {
                write!(f, "[{range}] must have the same number of digits at both ends")
            }
            Self::TooMany(bound) => write!(f, "expands to more than {bound} hosts"),
        }
    }
}

impl Error for RangeError {}

/// Expands a host pattern into at most `bound` names, in order; a pattern without a range is the only name.
///
/// # Errors
/// A range is invalid, or the pattern expands to more than `bound` names.
pub fn expand(pattern: &str, bound: usize) -> Result<Vec<String>, RangeError> {
    let mut names = vec![String::new()];
    let mut rest = pattern;
    while let Some(open) = rest.find('[') {
        let length = rest[open..].find(']').ok_or(RangeError::Unclosed)?;
        let close = open + length;
        let values = Range::parse(&rest[open + 1..close])?.values(bound)?;
        if names.len().saturating_mul(values.len()) > bound {
            return Err(RangeError::TooMany(bound));
        }
        names = append_each(&names, &rest[..open], &values);
        rest = &rest[close + 1..];
    }
    if rest.contains(']') {
        return Err(RangeError::Unopened);
    }
    for name in &mut names {
        name.push_str(rest);
    }
    Ok(names)
}

/// All combinations of a name, the text and a value, concatenated.
fn append_each(names: &[String], text: &str, values: &[String]) -> Vec<String> {
    let mut combined = Vec::with_capacity(names.len() * values.len());
    for name in names {
        for value in values {
            combined.push(format!("{name}{text}{value}"));
        }
    }
    combined
}

/// A parsed range: the text in brackets and its fields.
struct Range<'a> {
    text: &'a str,
    begin: &'a str,
    end: &'a str,
    step: u64,
}

impl<'a> Range<'a> {
    fn parse(text: &'a str) -> Result<Self, RangeError> {
        let invalid = || RangeError::Invalid(text.to_owned());
        let mut fields = text.split(':');
        let begin = fields.next().unwrap_or_default();
        let end = fields.next().ok_or_else(invalid)?;
        let step = match fields.next() {
            Some(step) => step.parse().map_err(|_| invalid())?,
            None => 1,
        };
        if fields.next().is_some() || step == 0 || end.is_empty() {
            return Err(invalid());
        }
        let begin = if begin.is_empty() { "0" } else { begin };
        Ok(Range { text, begin, end, step })
    }

    fn values(&self, bound: usize) -> Result<Vec<String>, RangeError> {
        match (single_letter(self.begin), single_letter(self.end)) {
            (Some(from), Some(to)) => self.letters(from, to),
            _ => self.numbers(bound),
        }
    }

    fn letters(&self, from: u8, to: u8) -> Result<Vec<String>, RangeError> {
        if from.is_ascii_lowercase() != to.is_ascii_lowercase() || from > to {
            return Err(RangeError::ReversedOrMixedCase(self.text.to_owned()));
        }
        let letters = (from..=to).step_by(self.step as usize);
        Ok(letters.map(|letter| char::from(letter).to_string()).collect())
    }

    fn numbers(&self, bound: usize) -> Result<Vec<String>, RangeError> {
        let from = self.number(self.begin)?;
        let to = self.number(self.end)?;
        // A leading zero pads all numbers to the width of the beginning; the end must have the same width.
        let is_padded = self.begin.len() > 1 && self.begin.starts_with('0');
        let width = if is_padded { self.begin.len() } else { 0 };
        if is_padded && self.end.len() != width {
            return Err(RangeError::UnequalWidths(self.text.to_owned()));
        }
        if from > to {
            return Err(RangeError::Reversed(self.text.to_owned()));
        }
        if (to - from) / self.step >= bound as u64 {
            return Err(RangeError::TooMany(bound));
        }
        let numbers = (from..=to).step_by(self.step as usize);
        Ok(numbers.map(|number| format!("{number:0width$}")).collect())
    }

    fn number(&self, digits: &str) -> Result<u64, RangeError> {
        let invalid = || RangeError::Invalid(self.text.to_owned());
        if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(invalid());
        }
        digits.parse().map_err(|_| invalid())
    }
}

fn single_letter(text: &str) -> Option<u8> {
    match text.as_bytes() {
        [letter] if letter.is_ascii_alphabetic() => Some(*letter),
        _ => None,
    }
}
