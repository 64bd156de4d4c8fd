//! Billing periods: months in a set time zone.

use super::UnixMs;
use jiff::Timestamp;
use jiff::civil::Date;
use jiff::tz::TimeZone;
use std::fmt;
use std::str::FromStr;

/// A month, as `2026-11`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Period {
    /// The year.
    pub year: i16,
    /// The month, from 1.
    pub month: i8,
}

impl fmt::Display for Period {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:04}-{:02}", self.year, self.month)
    }
}

impl FromStr for Period {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let wrong = || format!("{text:?} is no period such as 2026-11");
        let (year, month) = text.split_once('-').ok_or_else(wrong)?;
        let digits = |s: &str, n: usize| s.len() == n && s.bytes().all(|b| b.is_ascii_digit());
        if !digits(year, 4) || !digits(month, 2) {
            return Err(wrong());
        }
        let period =
            Period { year: year.parse().map_err(|_| wrong())?, month: month.parse().map_err(|_| wrong())? };
        if (1..=12).contains(&period.month) && period.year > 0 { Ok(period) } else { Err(wrong()) }
    }
}

impl Period {
    /// The month after.
    pub fn next(self) -> Period {
        match self.month {
            12 => Period { year: self.year + 1, month: 1 },
            month => Period { year: self.year, month: month + 1 },
        }
    }
}

/// Months in a time zone.
#[derive(Clone, Debug)]
pub struct Calendar {
    zone: TimeZone,
}

impl Calendar {
    /// By the zone's name in the IANA database, as `Asia/Taipei`.
    ///
    /// # Errors
    /// There is no such zone.
    pub fn new(zone: &str) -> Result<Self, String> {
        TimeZone::get(zone).map(|zone| Calendar { zone }).map_err(|_| format!("{zone:?} is no time zone"))
    }

    /// The month of a moment; a moment beyond all calendars is taken for the nearest one.
    pub fn period(&self, at: UnixMs) -> Period {
        let moment =
            Timestamp::from_millisecond(at.clamp(0, 4_000_000_000_000)).unwrap_or(Timestamp::UNIX_EPOCH);
        let date = self.zone.to_datetime(moment).date();
        Period { year: date.year(), month: date.month() }
    }

    /// When a month is over: its first moment is not before, the next one's is.
    pub fn end(&self, period: Period) -> UnixMs {
        let next = period.next();
        let first = Date::new(next.year, next.month, 1).unwrap_or(Date::MAX);
        self.zone.to_timestamp(first.at(0, 0, 0, 0)).map_or(UnixMs::MAX, |t| t.as_millisecond())
    }
}
