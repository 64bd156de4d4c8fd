//! Checks that a file was read completely, by the end marker and checksum that the operator file requires.

use super::files::{Bundle, BundleFile, Role};
use super::options::Options;
use crate::diagnostic::Diagnostic;
use crate::hex;
use sha2::{Digest, Sha256};

const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Returns the text of a file after checking the end marker and the checksum that the options require.
pub(super) fn complete_text<'a>(file: &'a BundleFile, options: &Options) -> Result<&'a str, Diagnostic> {
    let text = utf8_text(file)?;
    if file.role == Role::Inventory {
        check_end_marker(file, text, options)?;
        check_checksum(file, options)?;
    }
    Ok(text)
}

fn utf8_text(file: &BundleFile) -> Result<&str, Diagnostic> {
    let bytes = file.content.strip_prefix(BYTE_ORDER_MARK).unwrap_or(&file.content);
    std::str::from_utf8(bytes).map_err(|error| {
        let valid = &bytes[..error.valid_up_to()];
        let line = valid.iter().filter(|byte| **byte == b'\n').count() as u32 + 1;
        Diagnostic::at(&file.name, line, "", "is not valid UTF-8")
    })
}

fn check_end_marker(file: &BundleFile, text: &str, options: &Options) -> Result<(), Diagnostic> {
    let Some(marker) = &options.end_marker else { return Ok(()) };
    let last_line = text.lines().rev().find(|line| !line.trim().is_empty()).unwrap_or_default();
    if last_line.trim() == marker.trim() {
        return Ok(());
    }
    let line = text.lines().count().max(1) as u32;
    let message = format!("does not end with the end marker {marker:?}; the file is incomplete");
    Err(Diagnostic::at(&file.name, line, "", message))
}

fn check_checksum(file: &BundleFile, options: &Options) -> Result<(), Diagnostic> {
    if !options.checksum {
        return Ok(());
    }
    // In the output format of `sha256sum`, the file name follows the checksum.
    let expected = file.checksum.as_deref().unwrap_or_default();
    let expected = expected.split_whitespace().next().unwrap_or_default();
    let found = hex::encode(&Sha256::digest(&file.content));
    if expected.eq_ignore_ascii_case(&found) {
        return Ok(());
    }
    let message = match expected {
        "" => "has no checksum file".to_owned(),
        _ => format!("SHA-256 is {found}, but the checksum file contains {expected}; the file is incomplete"),
    };
    Err(Diagnostic::for_file(&file.name, message))
}

/// Whether an inventory file lacks the final newline, so that its last line may be truncated.
pub(super) fn is_truncated_mid_line(file: &BundleFile) -> bool {
    if file.role != Role::Inventory {
        return false;
    }
    let text = file.content.trim_ascii_start();
    // A JSON object or array with its closing bracket is complete without a final newline.
    let first_and_last = (text.first(), text.trim_ascii_end().last());
    let is_bracketed = matches!(first_and_last, (Some(b'{'), Some(b'}')) | (Some(b'['), Some(b']')));
    !is_bracketed && text.last().is_some_and(|byte| *byte != b'\n')
}

/// A copy of the bundle in which files that are truncated mid-line lack their last line.
pub(super) fn without_truncated_lines(bundle: &Bundle) -> Bundle {
    let without_truncated_line = |file: &BundleFile| {
        let mut file = file.clone();
        if is_truncated_mid_line(&file) {
            let last_line_end = file.content.iter().rposition(|byte| *byte == b'\n');
            file.content.truncate(last_line_end.map_or(0, |position| position + 1));
        }
        file
    };
    Bundle { files: bundle.files.iter().map(without_truncated_line).collect() }
}
