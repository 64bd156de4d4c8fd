//! Hexadecimal encoding.

use std::fmt::Write;

/// Encodes bytes as lower-case hexadecimal digits.
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing into a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
