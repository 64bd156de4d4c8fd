//! Billing periods: calendar months in a configured time zone.

use super::UnixMs;
use jiff::Timestamp;
use jiff::civil::Date;
use jiff::tz::TimeZone;
use std::error::Error;
use std::fmt;
use std::str::FromStr;

/// The latest time that is not clamped, in 2096.
const LATEST_TIME: UnixMs = 4_000_000_000_000;

/// A calendar month, written as `2026-11`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Period {
    /// The year, 1 or later.
    pub year: i16,
    /// The month, from 1 to 12.
    pub month: i8,
}

/// A text is not a valid period such as `2026-11`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsePeriodError {
    text: String,
}

impl fmt::Display for ParsePeriodError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is no period such as 2026-11", self.text)
    }
}

impl Error for ParsePeriodError {}

impl fmt::Display for Period {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:04}-{:02}", self.year, self.month)
    }
}

impl FromStr for Period {
    type Err = ParsePeriodError;

    fn from_str(text: &str) -> Result<Self, ParsePeriodError> {
        Period::parse(text).ok_or_else(|| ParsePeriodError { text: text.to_owned() })
    }
}

impl Period {
    fn parse(text: &str) -> Option<Self> {
        let (year, month) = text.split_once('-')?;
        if !has_digits(year, 4) || !has_digits(month, 2) {
            return None;
        }
        let period = Period { year: year.parse().ok()?, month: month.parse().ok()? };
        let is_valid = period.year > 0 && (1..=12).contains(&period.month);
        is_valid.then_some(period)
    }

    /// The month after this one.
    pub fn next(self) -> Period {
        match self.month {
            12 => Period { year: self.year + 1, month: 1 },
            month => Period { year: self.year, month: month + 1 },
        }
    }
}

fn has_digits(text: &str, count: usize) -> bool {
    text.len() == count && text.bytes().all(|byte| byte.is_ascii_digit())
}

/// A time zone name is not in the IANA database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownTimeZone {
    name: String,
}

impl fmt::Display for UnknownTimeZone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unknown time zone {:?}", self.name)
    }
}

impl Error for UnknownTimeZone {}

impl From<UnknownTimeZone> for String {
    fn from(error: UnknownTimeZone) -> String {
        error.to_string()
    }
}

/// Assigns times to the calendar months of a time zone.
#[derive(Clone, Debug)]
pub struct Calendar {
    zone: TimeZone,
}

impl Calendar {
    /// Creates a calendar for a time zone of the IANA database, such as `Asia/Taipei`.
    ///
    /// # Errors
    /// There is no time zone with that name.
    pub fn new(zone: &str) -> Result<Self, UnknownTimeZone> {
        match TimeZone::get(zone) {
            Ok(zone) => Ok(Calendar { zone }),
            Err(_) => Err(UnknownTimeZone { name: zone.to_owned() }),
        }
    }

    /// The month that contains a time. Times before 1970 or after 2096 are clamped to these bounds.
    pub fn period(&self, at: UnixMs) -> Period {
        let clamped = at.clamp(0, LATEST_TIME);
        let timestamp = Timestamp::from_millisecond(clamped).unwrap_or(Timestamp::UNIX_EPOCH);
        let date = self.zone.to_datetime(timestamp).date();
        Period { year: date.year(), month: date.month() }
    }

    /// The exclusive end of a month: the first millisecond of the next one.
    pub fn end(&self, period: Period) -> UnixMs {
        let next = period.next();
        let first_day = Date::new(next.year, next.month, 1).unwrap_or(Date::MAX);
        let midnight = self.zone.to_timestamp(first_day.at(0, 0, 0, 0));
        midnight.map_or(UnixMs::MAX, jiff::Timestamp::as_millisecond)
    }
}
