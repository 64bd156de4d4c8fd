//! The encoding of each kind of record: a byte for the kind, then its fields in a fixed order.

use super::super::record::{Correction, Entry, Gap, Outcome, Record};
use super::field::{FieldReader, put_number, put_signed, put_text};

/// The byte with which a record's encoding begins. These numbers are stored: they are never used for another kind.
mod kind {
    pub const OPEN: u8 = 1;
    pub const ENTRY: u8 = 2;
    pub const GAP: u8 = 3;
    pub const CORRECTION: u8 = 4;
    pub const CLOSE: u8 = 5;
    pub const INTENT: u8 = 6;
    pub const DONE: u8 = 7;
    pub const END: u8 = 8;
}

/// Appends a record.
pub(super) fn encode_record(into: &mut Vec<u8>, record: &Record) {
    match record {
        Record::Open { aggregator, epoch, at } => {
            into.push(kind::OPEN);
            put_text(into, aggregator);
            put_number(into, *epoch);
            put_signed(into, *at);
        }
        Record::End { at } => {
            into.push(kind::END);
            put_signed(into, *at);
        }
        Record::Entry(entry) => encode_entry(into, entry),
        Record::Gap(gap) => {
            into.push(kind::GAP);
            put_signed(into, gap.from);
            put_signed(into, gap.to);
            put_number(into, gap.entries);
            put_text(into, &gap.reason);
        }
        Record::Correction(correction) => encode_correction(into, correction),
        Record::Close { period, at } => {
            into.push(kind::CLOSE);
            put_text(into, period);
            put_signed(into, *at);
        }
        Record::ExportIntent { name, period, format, after, up_to } => {
            into.push(kind::INTENT);
            put_text(into, name);
            put_text(into, period);
            put_text(into, format);
            put_number(into, *after);
            put_number(into, *up_to);
        }
        Record::ExportFinished { name, hash, at } => {
            into.push(kind::DONE);
            put_text(into, name);
            put_text(into, hash);
            put_signed(into, *at);
        }
    }
}

fn encode_entry(into: &mut Vec<u8>, entry: &Entry) {
    into.push(kind::ENTRY);
    put_signed(into, entry.at);
    put_text(into, &entry.tenant);
    into.push(u8::from(entry.tenant_is_known));
    put_text(into, &entry.class);
    put_text(into, &entry.query);
    put_number(into, u64::from(entry.parts));
    put_number(into, u64::from(entry.parts_served));
    put_number(into, u64::from(entry.attempts));
    put_number(into, entry.work);
    into.push(entry.outcome as u8);
    into.push(entry.share as u8);
}

fn encode_correction(into: &mut Vec<u8>, correction: &Correction) {
    into.push(kind::CORRECTION);
    put_signed(into, correction.at);
    put_text(into, &correction.id);
    put_text(into, &correction.tenant);
    put_text(into, &correction.class);
    put_text(into, &correction.corrected_period);
    put_text(into, &correction.author);
    put_text(into, &correction.reason);
    into.push(correction.share as u8);
    put_signed(into, correction.queries);
    put_signed(into, correction.parts);
    put_signed(into, correction.work);
}

/// Reads a record; `None` if its kind or a field is unknown, or if bytes are left over.
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
        kind::INTENT => Record::ExportIntent {
            name: fields.text()?,
            period: fields.text()?,
            format: fields.text()?,
            after: fields.number()?,
            up_to: fields.number()?,
        },
        kind::DONE => {
            Record::ExportFinished { name: fields.text()?, hash: fields.text()?, at: fields.signed()? }
        }
        kind::END => Record::End { at: fields.signed()? },
        _ => return None,
    };
    fields.is_at_end().then_some(record)
}

// The fields of the literals below are evaluated in the order in which they are written, which is the stored order.

fn decode_entry(fields: &mut FieldReader<'_>) -> Option<Entry> {
    Some(Entry {
        at: fields.signed()?,
        tenant: fields.text()?,
        tenant_is_known: fields.flag()?,
        class: fields.text()?,
        query: fields.text()?,
        parts: fields.small_number()?,
        parts_served: fields.small_number()?,
        attempts: fields.small_number()?,
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
