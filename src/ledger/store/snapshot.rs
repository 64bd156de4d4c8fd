//! The binary format of a snapshot: the state of the book after some record, preceded by a checksum. A damaged snapshot
//! is skipped, and an older one or the records themselves are read instead.

use super::super::accounts::{Account, BillingLine, Usage};
use super::super::book::{BilledCorrection, Book, ExportRecord, RecordedGap, SequenceRange};
use super::super::journal::{self, FieldReader, put_bytes, put_number, put_signed, put_text, read_frame};
use super::super::period::Calendar;
use super::super::record::Record;

/// Magic number at the start of a snapshot; the last byte is the format version.
const MAGIC: &[u8; 8] = b"SMXSNAP\x01";
/// Length of the checksum after [`MAGIC`], in bytes.
const CHECKSUM_BYTES: usize = 4;

/// The byte that identifies the kind of an account. These values are stored on disk.
mod account_kind {
    pub const TENANT: u8 = 0;
    pub const UNKNOWN: u8 = 1;
    pub const OTHERS: u8 = 2;
}

/// Encodes a book as a snapshot.
pub(super) fn encode(book: &Book) -> Vec<u8> {
    let mut fields = Vec::new();
    encode_position(&mut fields, book);
    encode_totals(&mut fields, book);
    encode_unknown_tenants(&mut fields, book);
    encode_corrections_and_gaps(&mut fields, book);
    encode_periods(&mut fields, book);
    encode_exports(&mut fields, book);
    let checksum = crc32fast::hash(&fields).to_le_bytes();
    [MAGIC.as_slice(), &checksum, &fields].concat()
}

/// Decodes a snapshot; `None` if it is damaged or has an unknown version.
pub(super) fn decode(bytes: &[u8], calendar: &Calendar) -> Option<Book> {
    let content = bytes.strip_prefix(MAGIC)?;
    let (checksum, fields) = content.split_at_checked(CHECKSUM_BYTES)?;
    if checksum != crc32fast::hash(fields).to_le_bytes() {
        return None;
    }
    let mut fields = FieldReader::new(fields);
    let mut book = Book::new(calendar.clone());
    decode_position(&mut fields, &mut book)?;
    decode_totals(&mut fields, &mut book)?;
    decode_unknown_tenants(&mut fields, &mut book)?;
    decode_corrections_and_gaps(&mut fields, &mut book)?;
    decode_periods(&mut fields, &mut book)?;
    decode_exports(&mut fields, &mut book)?;
    fields.is_at_end().then_some(book)
}

fn encode_position(output: &mut Vec<u8>, book: &Book) {
    put_number(output, book.sequence);
    put_text(output, &book.aggregator);
    put_number(output, book.epoch);
    put_signed(output, book.latest_entry);
    output.push(u8::from(book.ended_gracefully));
}

fn decode_position(fields: &mut FieldReader<'_>, book: &mut Book) -> Option<()> {
    book.sequence = fields.number()?;
    book.aggregator = fields.text()?;
    book.epoch = fields.number()?;
    book.latest_entry = fields.signed()?;
    book.ended_gracefully = fields.flag()?;
    Some(())
}

fn encode_totals(output: &mut Vec<u8>, book: &Book) {
    put_number(output, book.totals.len() as u64);
    for (line, usage) in &book.totals {
        encode_line(output, line);
        encode_usage(output, usage);
    }
}

fn decode_totals(fields: &mut FieldReader<'_>, book: &mut Book) -> Option<()> {
    for _ in 0..fields.number()? {
        let line = decode_line(fields)?;
        let usage = decode_usage(fields)?;
        book.totals.insert(line, usage);
    }
    Some(())
}

fn encode_line(output: &mut Vec<u8>, line: &BillingLine) {
    put_text(output, &line.period.to_string());
    let (kind, name) = match &line.account {
        Account::Tenant(name) => (account_kind::TENANT, name.as_str()),
        Account::Unknown(name) => (account_kind::UNKNOWN, name.as_str()),
        Account::Others => (account_kind::OTHERS, ""),
    };
    output.push(kind);
    put_text(output, name);
    put_text(output, &line.class);
    output.push(line.share as u8);
}

fn decode_line(fields: &mut FieldReader<'_>) -> Option<BillingLine> {
    let period = fields.text()?.parse().ok()?;
    let kind = fields.byte()?;
    let name = fields.text()?;
    let account = match kind {
        account_kind::TENANT => Account::Tenant(name),
        account_kind::UNKNOWN => Account::Unknown(name),
        _ => Account::Others,
    };
    let class = fields.text()?;
    let share = fields.share()?;
    Some(BillingLine { period, account, class, share })
}

fn encode_usage(output: &mut Vec<u8>, usage: &Usage) {
    put_number(output, usage.queries);
    put_number(output, usage.billed);
    put_number(output, usage.rejected);
    put_number(output, usage.failed);
    put_number(output, usage.requested_parts);
    put_number(output, usage.parts);
    put_number(output, usage.attempts);
    put_number(output, usage.work);
    put_number(output, usage.late);
}

/// Rust evaluates the fields of the struct literal in the order in which they are written: the stored order.
fn decode_usage(fields: &mut FieldReader<'_>) -> Option<Usage> {
    Some(Usage {
        queries: fields.number()?,
        billed: fields.number()?,
        rejected: fields.number()?,
        failed: fields.number()?,
        requested_parts: fields.number()?,
        parts: fields.number()?,
        attempts: fields.number()?,
        work: fields.number()?,
        late: fields.number()?,
    })
}

fn encode_unknown_tenants(output: &mut Vec<u8>, book: &Book) {
    let names = &book.unknown_tenants.names;
    put_number(output, names.len() as u64);
    for name in names {
        put_text(output, name);
    }
}

fn decode_unknown_tenants(fields: &mut FieldReader<'_>, book: &mut Book) -> Option<()> {
    for _ in 0..fields.number()? {
        book.unknown_tenants.names.insert(fields.text()?);
    }
    Some(())
}

/// Corrections and gaps are stored as journal frames, followed by the periods in which the corrections are billed.
fn encode_corrections_and_gaps(output: &mut Vec<u8>, book: &Book) {
    let mut frames = Vec::new();
    for billed in &book.corrections {
        journal::encode(&mut frames, billed.sequence, 0, &Record::Correction(billed.correction.clone()));
    }
    for recorded in &book.gaps {
        journal::encode(&mut frames, recorded.sequence, 0, &Record::Gap(recorded.gap.clone()));
    }
    put_bytes(output, &frames);
    put_number(output, book.corrections.len() as u64);
    for billed in &book.corrections {
        put_text(output, &billed.billed_in.to_string());
    }
}

fn decode_corrections_and_gaps(fields: &mut FieldReader<'_>, book: &mut Book) -> Option<()> {
    let mut frames = fields.bytes()?;
    let mut corrections = Vec::new();
    while !frames.is_empty() {
        let framed = read_frame(frames)?;
        match framed.record {
            Record::Correction(correction) => corrections.push((framed.sequence, correction)),
            Record::Gap(gap) => book.gaps.push(RecordedGap { sequence: framed.sequence, gap }),
            _ => return None,
        }
        frames = &frames[framed.length..];
    }
    if fields.number()? != corrections.len() as u64 {
        return None;
    }
    for (sequence, correction) in corrections {
        let billed_in = fields.text()?.parse().ok()?;
        book.corrections.push(BilledCorrection { sequence, billed_in, correction });
    }
    Some(())
}

fn encode_periods(output: &mut Vec<u8>, book: &Book) {
    put_number(output, book.closed_periods.len() as u64);
    for (period, closed_at) in &book.closed_periods {
        put_text(output, &period.to_string());
        put_signed(output, *closed_at);
    }
    put_number(output, book.last_changes.len() as u64);
    for (period, sequence) in &book.last_changes {
        put_text(output, &period.to_string());
        put_number(output, *sequence);
    }
}

fn decode_periods(fields: &mut FieldReader<'_>, book: &mut Book) -> Option<()> {
    for _ in 0..fields.number()? {
        let period = fields.text()?.parse().ok()?;
        let closed_at = fields.signed()?;
        book.closed_periods.insert(period, closed_at);
    }
    for _ in 0..fields.number()? {
        let period = fields.text()?.parse().ok()?;
        let sequence = fields.number()?;
        book.last_changes.insert(period, sequence);
    }
    Some(())
}

fn encode_exports(output: &mut Vec<u8>, book: &Book) {
    put_number(output, book.exports.len() as u64);
    for export in &book.exports {
        put_text(output, &export.name);
        put_text(output, &export.period);
        put_text(output, &export.format);
        put_text(output, export.hash.as_deref().unwrap_or_default());
        put_number(output, export.range.after);
        put_number(output, export.range.up_to);
    }
}

fn decode_exports(fields: &mut FieldReader<'_>, book: &mut Book) -> Option<()> {
    for _ in 0..fields.number()? {
        let name = fields.text()?;
        let period = fields.text()?;
        let format = fields.text()?;
        let hash = Some(fields.text()?).filter(|hash| !hash.is_empty());
        let range = SequenceRange { after: fields.number()?, up_to: fields.number()? };
        book.exports.push(ExportRecord { name, period, format, range, hash });
    }
    Some(())
}
