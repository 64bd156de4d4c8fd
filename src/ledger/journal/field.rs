//! Fields of records and snapshots: variable-length numbers and texts with their length in front.

use super::super::record::QuotaShare;

/// Appends a number, seven bits a byte, the low ones first.
pub(in super::super) fn put_number(into: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        into.push(number as u8 | 0x80);
        number >>= 7;
    }
    into.push(number as u8);
}

/// Appends a signed number in zigzag encoding, which keeps small ones of either sign short.
pub(in super::super) fn put_signed(into: &mut Vec<u8>, number: i64) {
    put_number(into, ((number << 1) ^ (number >> 63)) as u64);
}

/// Appends a text with its length in front.
pub(in super::super) fn put_text(into: &mut Vec<u8>, text: &str) {
    put_bytes(into, text.as_bytes());
}

/// Appends bytes with their length in front.
pub(in super::super) fn put_bytes(into: &mut Vec<u8>, bytes: &[u8]) {
    put_number(into, bytes.len() as u64);
    into.extend(bytes);
}

/// Reads fields in the order in which they were put. Each method returns `None` if the bytes end early or are invalid.
pub(in super::super) struct FieldReader<'a> {
    rest: &'a [u8],
}

impl<'a> FieldReader<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        FieldReader { rest: bytes }
    }

    /// Whether all bytes have been read.
    pub fn is_at_end(&self) -> bool {
        self.rest.is_empty()
    }

    pub fn byte(&mut self) -> Option<u8> {
        let (first, rest) = self.rest.split_first()?;
        self.rest = rest;
        Some(*first)
    }

    /// A byte that is 0 for false.
    pub fn flag(&mut self) -> Option<bool> {
        self.byte().map(|byte| byte != 0)
    }

    pub fn number(&mut self) -> Option<u64> {
        let mut number = 0;
        for shift in (0..u64::BITS).step_by(7) {
            let byte = self.byte()?;
            number |= u64::from(byte & 0x7f) << shift;
            if byte < 0x80 {
                return Some(number);
            }
        }
        None
    }

    /// A number below 2^32.
    pub fn small_number(&mut self) -> Option<u32> {
        u32::try_from(self.number()?).ok()
    }

    pub fn signed(&mut self) -> Option<i64> {
        let number = self.number()?;
        Some((number >> 1) as i64 ^ -((number & 1) as i64))
    }

    pub fn bytes(&mut self) -> Option<&'a [u8]> {
        let length = usize::try_from(self.number()?).ok()?;
        let (bytes, rest) = self.rest.split_at_checked(length)?;
        self.rest = rest;
        Some(bytes)
    }

    pub fn text(&mut self) -> Option<String> {
        String::from_utf8(self.bytes()?.to_vec()).ok()
    }

    pub fn share(&mut self) -> Option<QuotaShare> {
        match self.byte()? {
            0 => Some(QuotaShare::WithinQuota),
            1 => Some(QuotaShare::OverQuota),
            _ => None,
        }
    }
}
