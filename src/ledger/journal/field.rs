//! Encoding of the fields of records and snapshots: variable-length integers and length-prefixed strings.

use super::super::record::QuotaShare;

/// Appends an unsigned integer in LEB128 encoding: seven bits per byte, the least significant ones first.
pub(in super::super) fn put_number(output: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        output.push(number as u8 | 0x80);
        number >>= 7;
    }
    output.push(number as u8);
}

/// Appends a signed integer in zigzag encoding, which keeps small numbers of either sign short.
pub(in super::super) fn put_signed(output: &mut Vec<u8>, number: i64) {
    put_number(output, ((number << 1) ^ (number >> 63)) as u64);
}

/// Appends a length-prefixed string.
pub(in super::super) fn put_text(output: &mut Vec<u8>, text: &str) {
    put_bytes(output, text.as_bytes());
}

/// Appends length-prefixed bytes.
pub(in super::super) fn put_bytes(output: &mut Vec<u8>, bytes: &[u8]) {
    put_number(output, bytes.len() as u64);
    output.extend(bytes);
}

/// Reads fields in the order in which they were written. Each method returns `None` if the input is truncated or
/// invalid.
pub(in super::super) struct FieldReader<'a> {
    remaining: &'a [u8],
}

impl<'a> FieldReader<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        FieldReader { remaining: bytes }
    }

    /// Whether all bytes have been read.
    pub fn is_at_end(&self) -> bool {
        self.remaining.is_empty()
    }

    pub fn byte(&mut self) -> Option<u8> {
        let (first, rest) = self.remaining.split_first()?;
        self.remaining = rest;
        Some(*first)
    }

    /// Reads a boolean: a byte that is 0 for false.
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

    /// Reads an unsigned integer below 2^32.
    pub fn number_u32(&mut self) -> Option<u32> {
        u32::try_from(self.number()?).ok()
    }

    pub fn signed(&mut self) -> Option<i64> {
        let number = self.number()?;
        Some((number >> 1) as i64 ^ -((number & 1) as i64))
    }

    pub fn bytes(&mut self) -> Option<&'a [u8]> {
        let length = usize::try_from(self.number()?).ok()?;
        let (bytes, rest) = self.remaining.split_at_checked(length)?;
        self.remaining = rest;
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
