//! Ansible's host ranges: `s[01:16]`, `[a:c]`, `r[1:9:2]n[1:2]`. Both ends belong to the range.

use std::error::Error;
use std::fmt;

/// What is wrong with a range in a host's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RangeError {
    /// `[` without `]`.
    WithoutEnd,
    /// `]` without `[`.
    WithoutBegin,
    /// The text in brackets is no range.
    Invalid(String),
    /// The end is before the beginning.
    Backwards(String),
    /// The letters run backwards, or one is of upper and one of lower case.
    BackwardsOrMixedCase(String),
    /// The beginning has leading zeros, and the end has another number of digits.
    UnequalWidths(String),
    /// The pattern has more names than this bound.
    TooMany(usize),
}

impl fmt::Display for RangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WithoutEnd => f.write_str("has a range without an end"),
            Self::WithoutBegin => f.write_str("has a range without a beginning"),
            Self::Invalid(range) => {
                write!(f, "[{range}] is no range: it is begin:end or begin:end:step")
            }
            Self::Backwards(range) => write!(f, "[{range}] runs backwards"),
            Self::BackwardsOrMixedCase(range) => write!(f, "[{range}] runs backwards or mixes cases"),
            Self::UnequalWidths(range) => write!(f, "[{range}] has ends of unlike widths"),
            Self::TooMany(bound) => write!(f, "stands for more than {bound} hosts"),
        }
    }
}

impl Error for RangeError {}

/// The names of a pattern in order; the pattern itself if it has no range. `bound` limits their number.
///
/// # Errors
/// What is wrong with a range, or that there are too many names.
pub fn expand(pattern: &str, bound: usize) -> Result<Vec<String>, RangeError> {
    let mut names = vec![String::new()];
    let mut rest = pattern;
    while let Some(open) = rest.find('[') {
        let length = rest[open..].find(']').ok_or(RangeError::WithoutEnd)?;
        let close = open + length;
        let values = Range::parse(&rest[open + 1..close])?.values(bound)?;
        if names.len().saturating_mul(values.len()) > bound {
            return Err(RangeError::TooMany(bound));
        }
        names = append_each(&names, &rest[..open], &values);
        rest = &rest[close + 1..];
    }
    if rest.contains(']') {
        return Err(RangeError::WithoutBegin);
    }
    for name in &mut names {
        name.push_str(rest);
    }
    Ok(names)
}

/// Each name with the text and each of the values behind it.
fn append_each(names: &[String], text: &str, values: &[String]) -> Vec<String> {
    let mut longer = Vec::with_capacity(names.len() * values.len());
    for name in names {
        for value in values {
            longer.push(format!("{name}{text}{value}"));
        }
    }
    longer
}

/// The text of a range, split at its colons.
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
            return Err(RangeError::BackwardsOrMixedCase(self.text.to_owned()));
        }
        let letters = (from..=to).step_by(self.step as usize);
        Ok(letters.map(|letter| char::from(letter).to_string()).collect())
    }

    fn numbers(&self, bound: usize) -> Result<Vec<String>, RangeError> {
        let from = self.number(self.begin)?;
        let to = self.number(self.end)?;
        // A leading zero asks for numbers of that width, at both ends.
        let has_width = self.begin.len() > 1 && self.begin.starts_with('0');
        let width = if has_width { self.begin.len() } else { 0 };
        if has_width && self.end.len() != width {
            return Err(RangeError::UnequalWidths(self.text.to_owned()));
        }
        if from > to {
            return Err(RangeError::Backwards(self.text.to_owned()));
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
