//! The encoding of records: a byte for the kind, then the fields in a fixed order.

use super::super::record::{Correction, Entry, Gap, Outcome, Record};
use super::field::{FieldReader, put_number, put_signed, put_text};

/// The first byte of an encoded record. These values are stored on disk: they are never reused for another kind.
mod kind {
    pub const OPEN: u8 = 1;
    pub const ENTRY: u8 = 2;
    pub const GAP: u8 = 3;
    pub const CORRECTION: u8 = 4;
    pub const CLOSE: u8 = 5;
    pub const EXPORT_INTENT: u8 = 6;
    pub const EXPORT_FINISHED: u8 = 7;
    pub const END: u8 = 8;
}

/// Appends the encoding of a record.
pub(super) fn encode_record(output: &mut Vec<u8>, record: &Record) {
    match record {
        Record::Open { aggregator, epoch, at } => {
            output.push(kind::OPEN);
            put_text(output, aggregator);
            put_number(output, *epoch);
            put_signed(output, *at);
        }
        Record::End { at } => {
            output.push(kind::END);
            put_signed(output, *at);
        }
        Record::Entry(entry) => encode_entry(output, entry),
        Record::Gap(gap) => {
            output.push(kind::GAP);
            put_signed(output, gap.from);
            put_signed(output, gap.to);
            put_number(output, gap.entries);
            put_text(output, &gap.reason);
        }
        Record::Correction(correction) => encode_correction(output, correction),
        Record::Close { period, at } => {
            output.push(kind::CLOSE);
            put_text(output, period);
            put_signed(output, *at);
        }
        Record::ExportIntent { name, period, format, after, up_to } => {
            output.push(kind::EXPORT_INTENT);
            put_text(output, name);
            put_text(output, period);
            put_text(output, format);
            put_number(output, *after);
            put_number(output, *up_to);
        }
        Record::ExportFinished { name, hash, at } => {
            output.push(kind::EXPORT_FINISHED);
            put_text(output, name);
            put_text(output, hash);
            put_signed(output, *at);
        }
    }
}

fn encode_entry(output: &mut Vec<u8>, entry: &Entry) {
    output.push(kind::ENTRY);
    put_signed(output, entry.at);
    put_text(output, &entry.tenant);
    output.push(u8::from(entry.tenant_is_known));
    put_text(output, &entry.class);
    put_text(output, &entry.query);
    put_number(output, u64::from(entry.parts));
    put_number(output, u64::from(entry.parts_served));
    put_number(output, u64::from(entry.attempts));
    put_number(output, entry.work);
    output.push(entry.outcome as u8);
    output.push(entry.share as u8);
}

fn encode_correction(output: &mut Vec<u8>, correction: &Correction) {
    output.push(kind::CORRECTION);
    put_signed(output, correction.at);
    put_text(output, &correction.id);
    put_text(output, &correction.tenant);
    put_text(output, &correction.class);
    put_text(output, &correction.corrected_period);
    put_text(output, &correction.author);
    put_text(output, &correction.reason);
    output.push(correction.share as u8);
    put_signed(output, correction.queries);
    put_signed(output, correction.parts);
    put_signed(output, correction.work);
}

/// Decodes a record; `None` if its kind is unknown, a field is invalid, or bytes are left over.
pub(super) fn decode_record(bytes: &[u8]) -> Option<Record> {
    let mut fields = FieldReader::new(bytes);
    let record = match fields.byte()? {
        kind::OPEN => {
            Record::Open { aggregator: fields.text()?, epoch: fields.number()?, at: fields.signed()? }
        }
        kind::ENTRY => Record::Entry(decode_entry(&mut fields)?),
        kind::GAP => Record::Gap(Gap {
            from: fields.signed()?,
            to: fields.signed()?,
            entries: fields.number()?,
            reason: fields.text()?,
        }),
        kind::CORRECTION => Record::Correction(decode_correction(&mut fields)?),
        kind::CLOSE => Record::Close { period: fields.text()?, at: fields.signed()? },
        kind::EXPORT_INTENT => Record::ExportIntent {
            name: fields.text()?,
            period: fields.text()?,
            format: fields.text()?,
            after: fields.number()?,
            up_to: fields.number()?,
        },
        kind::EXPORT_FINISHED => {
            Record::ExportFinished { name: fields.text()?, hash: fields.text()?, at: fields.signed()? }
        }
        kind::END => Record::End { at: fields.signed()? },
        _ => return None,
    };
    fields.is_at_end().then_some(record)
}

// Rust evaluates the fields of the struct literals below in the order in which they are written: the stored order.

fn decode_entry(fields: &mut FieldReader<'_>) -> Option<Entry> {
    Some(Entry {
        at: fields.signed()?,
        tenant: fields.text()?,
        tenant_is_known: fields.flag()?,
        class: fields.text()?,
        query: fields.text()?,
        parts: fields.number_u32()?,
        parts_served: fields.number_u32()?,
        attempts: fields.number_u32()?,
        work: fields.number()?,
        outcome: *Outcome::ALL.get(usize::from(fields.byte()?))?,
        share: fields.share()?,
    })
}

fn decode_correction(fields: &mut FieldReader<'_>) -> Option<Correction> {
    Some(Correction {
        at: fields.signed()?,
        id: fields.text()?,
        tenant: fields.text()?,
        class: fields.text()?,
        corrected_period: fields.text()?,
        author: fields.text()?,
        reason: fields.text()?,
        share: fields.share()?,
        queries: fields.signed()?,
        parts: fields.signed()?,
        work: fields.signed()?,
    })
}
