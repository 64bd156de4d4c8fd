//! The ledger on a disk: recovery, appending, sealing with a snapshot, exports in steps that a crash may part.

use super::book::{Begun, Book, Line, Sums};
use super::disk::Disk;
use super::entry::{Correction, Gap, Record, Share};
use super::export::{self, Export, Format};
use super::journal::{self, Damage, Fields, put, put_signed, put_text};
use super::period::{Calendar, Period};
use super::{Account, UnixMs};
use sha2::{Digest, Sha256};
use std::fmt;
use std::io;

/// How a ledger is kept.
#[derive(Clone, Debug)]
pub struct Options {
    /// A segment is sealed beyond that.
    pub segment_bytes: usize,
    /// A period closes so long after its end.
    pub grace: UnixMs,
    /// A run that ends without a word may have lost what came within that time of its end; 0 where no answer went out
    /// before its entry was safe.
    pub window: UnixMs,
    /// Exports are written in that form when a period closes; none: only by command.
    pub export: Option<Format>,
}

impl Default for Options {
    fn default() -> Self {
        Options { segment_bytes: 8 << 20, grace: 86_400_000, window: 50, export: None }
    }
}

/// What is wrong with a ledger.
#[derive(Debug)]
pub enum LedgerError {
    /// The disk.
    Io(io::Error),
    /// A file has lost what it had kept.
    Damaged(String, Damage),
    /// Something that was asked for makes no sense.
    Refused(String),
}

impl fmt::Display for LedgerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(e) => write!(f, "{e}"),
            Self::Damaged(file, damage) => write!(f, "{file}: {damage}"),
            Self::Refused(why) => write!(f, "{why}"),
        }
    }
}

impl std::error::Error for LedgerError {}

impl From<io::Error> for LedgerError {
    fn from(e: io::Error) -> Self {
        LedgerError::Io(e)
    }
}

/// What was found at the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Records read, those behind the snapshot.
    pub records: u64,
    /// Bytes of a torn tail that were cut.
    pub torn: usize,
    /// Exports that a crash had left halfway and that are complete now.
    pub finished: usize,
}

/// A ledger that is open for writing.
pub struct Store<D> {
    disk: D,
    options: Options,
    book: Book,
    /// The segment that is written, its length, how much of that is synced, and the length before what failed.
    segment: String,
    length: usize,
    synced: usize,
    /// A write has failed: what lies behind the synced bytes is unknown.
    broken: bool,
    buffer: Vec<u8>,
}

fn segment_name(first: u64) -> String {
    format!("seg-{first:020}.log")
}

fn snapshot_name(seq: u64) -> String {
    format!("snap-{seq:020}.bin")
}

fn number_in(name: &str, prefix: &str, suffix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.strip_suffix(suffix)?.parse().ok()
}

/// All that a directory holds, read without changing it.
struct Found {
    book: Book,
    /// The last segment, its whole bytes and its torn ones.
    last: Option<(String, usize, usize)>,
    records: u64,
}

/// Reads a ledger: the newest snapshot that is whole, and all records behind it; each goes to `each` with the book as it
/// is once the record is in it.
fn load(
    disk: &impl Disk,
    calendar: &Calendar,
    use_snapshot: bool,
    mut each: impl FnMut(u64, &Record, &Book),
) -> Result<Found, LedgerError> {
    let names = disk.list()?;
    let mut snapshots: Vec<u64> = names.iter().filter_map(|n| number_in(n, "snap-", ".bin")).collect();
    snapshots.sort_unstable();
    let mut segments: Vec<u64> = names.iter().filter_map(|n| number_in(n, "seg-", ".log")).collect();
    segments.sort_unstable();
    let oldest = segments.first().copied();
    let mut book = Book::new(calendar.clone());
    // Without segments from the first record on, only a snapshot knows what went before.
    let needed = oldest.is_none_or(|first| first > 1);
    if use_snapshot || needed {
        for seq in snapshots.into_iter().rev() {
            if !use_snapshot && oldest.is_some_and(|first| seq + 1 > first) {
                continue;
            }
            if let Some(read) = unpack(&disk.read(&snapshot_name(seq))?, calendar) {
                book = read;
                break;
            }
        }
    }
    let (mut records, mut last) = (0, None);
    for (i, first) in segments.iter().enumerate() {
        let (name, is_last) = (segment_name(*first), i + 1 == segments.len());
        let next = segments.get(i + 1).copied();
        if next.is_some_and(|next| next <= book.seq + 1) {
            continue;
        }
        let scanned = journal::scan(&disk.read(&name)?, *first, is_last);
        let scanned = scanned.map_err(|damage| LedgerError::Damaged(name.clone(), damage))?;
        let expected = first + scanned.records.len() as u64;
        if *first > book.seq + 1 {
            let problem = format!("records {} to {} are missing", book.seq + 1, first - 1);
            return Err(LedgerError::Damaged(name, Damage { offset: 0, problem }));
        }
        if next.is_some_and(|next| next != expected) {
            let problem = format!("records {expected} to {} are missing behind it", next.unwrap_or(0) - 1);
            return Err(LedgerError::Damaged(name, Damage { offset: scanned.good, problem }));
        }
        for (seq, record, _) in &scanned.records {
            if *seq == book.seq + 1 {
                book.apply(*seq, record);
                each(*seq, record, &book);
                records += 1;
            }
        }
        if is_last {
            last = Some((name, scanned.good, scanned.torn));
        }
    }
    Ok(Found { book, last, records })
}

/// Reads a ledger without owning it, from its first record if that is still there.
///
/// # Errors
/// What is damaged, and where.
pub fn read_all(
    disk: &impl Disk,
    calendar: &Calendar,
    each: impl FnMut(u64, &Record, &Book),
) -> Result<Book, LedgerError> {
    load(disk, calendar, false, each).map(|found| found.book)
}

impl<D: Disk> Store<D> {
    /// Opens a ledger: cuts a torn tail, begins a run, and completes exports that were begun.
    ///
    /// # Errors
    /// The disk, or a damaged middle: nothing is changed then.
    pub fn open(
        mut disk: D,
        calendar: Calendar,
        options: Options,
        mixer: &str,
        now: UnixMs,
    ) -> Result<(Self, Recovery), LedgerError> {
        let found = load(&disk, &calendar, true, |_, _, _| {})?;
        let mut recovery = Recovery { records: found.records, ..Recovery::default() };
        // A request that is being left is not ours to remove.
        let ours = |n: &&String| n.ends_with(".tmp") && !n.starts_with("request-");
        for name in disk.list()?.iter().filter(ours) {
            disk.remove(name)?;
        }
        let (segment, length) = match found.last {
            Some((name, good, torn)) if good >= journal::HEAD => {
                if torn > 0 {
                    recovery.torn = torn;
                    disk.truncate(&name, good as u64)?;
                    disk.sync(&name)?;
                }
                (name, good)
            }
            // Not even its head was kept.
            Some((name, _, torn)) => {
                recovery.torn = torn;
                disk.remove(&name)?;
                (String::new(), 0)
            }
            None => (String::new(), 0),
        };
        let epoch = found.book.epoch + 1;
        let mut store = Store {
            disk,
            options,
            book: found.book,
            segment,
            length,
            synced: length,
            broken: false,
            buffer: Vec::new(),
        };
        let mut first = Vec::new();
        if !store.book.ended && store.options.window > 0 {
            // How many were lost nobody knows: none, or those of one window.
            let (window, from) = (store.options.window, store.book.latest);
            let reason = format!("a run ended without a word; its last {window} ms may be missing");
            first.push(Record::Gap(Gap { from, to: now.max(from), entries: 0, reason }));
        }
        first.push(Record::Open { mixer: mixer.to_owned(), epoch, at: now });
        store.append(&first)?;
        store.commit()?;
        let begun: Vec<Begun> = store.book.exports.iter().filter(|e| e.hash.is_none()).cloned().collect();
        for export in begun {
            store.complete(&export, now)?;
            recovery.finished += 1;
        }
        Ok((store, recovery))
    }

    /// What the records add up to.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Adds records to the segment; [`Store::commit`] makes them last. After an error none of them is in the book, and
    /// the next call writes to a fresh segment.
    ///
    /// # Errors
    /// The disk.
    pub fn append(&mut self, records: &[Record]) -> Result<(), LedgerError> {
        if self.broken {
            self.mend()?;
        }
        if self.segment.is_empty() || self.length >= self.options.segment_bytes {
            self.seal()?;
        }
        self.buffer.clear();
        for (i, record) in records.iter().enumerate() {
            journal::encode(&mut self.buffer, self.book.seq + 1 + i as u64, self.synced as u32, record);
        }
        if let Err(e) = self.disk.append(&self.segment, &self.buffer) {
            self.broken = true;
            return Err(e.into());
        }
        self.length += self.buffer.len();
        for record in records {
            self.book.apply(self.book.seq + 1, record);
        }
        Ok(())
    }

    /// Makes all that was appended last through a power cut.
    ///
    /// # Errors
    /// The disk: then nothing is known of what was appended since the last commit, and the caller brings it again. The
    /// book is as it was at that commit.
    pub fn commit(&mut self) -> Result<(), LedgerError> {
        if self.synced == self.length {
            return Ok(());
        }
        match self.disk.sync(&self.segment) {
            Ok(()) => {
                self.synced = self.length;
                Ok(())
            }
            Err(e) => {
                self.broken = true;
                Err(e.into())
            }
        }
    }

    /// After a failed write: cuts what is not known to be synced and goes on in a fresh segment.
    fn mend(&mut self) -> Result<(), LedgerError> {
        self.disk.truncate(&self.segment, self.synced as u64)?;
        self.disk.sync(&self.segment)?;
        let found = load(&self.disk, self.book.calendar(), true, |_, _, _| {})?;
        self.book = found.book;
        self.length = self.synced;
        self.broken = false;
        Ok(())
    }

    /// Seals the segment: what it adds up to becomes a snapshot, and the next record begins a segment of its own.
    fn seal(&mut self) -> Result<(), LedgerError> {
        if !self.segment.is_empty() {
            self.commit()?;
            let packed = pack(&self.book);
            self.place(&snapshot_name(self.book.seq), &packed)?;
        }
        let name = segment_name(self.book.seq + 1);
        // A crash or a failed write may have left one of that name, with nothing in it that was synced.
        self.write_whole(&name, &journal::head(self.book.seq + 1))?;
        self.disk.sync_names()?;
        (self.segment, self.length, self.synced) = (name, journal::HEAD, journal::HEAD);
        Ok(())
    }

    fn write_whole(&mut self, name: &str, bytes: &[u8]) -> Result<(), LedgerError> {
        if self.disk.list()?.iter().any(|n| n == name) {
            self.disk.remove(name)?;
        }
        self.disk.append(name, bytes)?;
        Ok(self.disk.sync(name)?)
    }

    /// Puts a file under its name, whole or not at all.
    pub(super) fn place(&mut self, name: &str, bytes: &[u8]) -> Result<(), LedgerError> {
        let fresh = format!("{name}.tmp");
        self.write_whole(&fresh, bytes)?;
        self.disk.rename(&fresh, name)?;
        Ok(self.disk.sync_names()?)
    }

    pub(super) fn disk_mut(&mut self) -> &mut D {
        &mut self.disk
    }

    /// Removes sealed segments of which every period is closed and exported, so that the disk stays bounded.
    ///
    /// # Errors
    /// The disk.
    pub fn compact(&mut self) -> Result<usize, LedgerError> {
        let lines = self.book.totals.keys().map(|l| l.period);
        let open = lines.filter(|p| {
            let exported = self.book.exports.iter().filter(|e| e.period == p.to_string() && e.hash.is_some());
            !self.book.closed.contains_key(p) || exported.count() == 0
        });
        let open: Vec<Period> = open.collect();
        let names = self.disk.list()?;
        let kept = names.iter().filter_map(|n| number_in(n, "snap-", ".bin")).max().unwrap_or(0);
        let mut segments: Vec<u64> = names.iter().filter_map(|n| number_in(n, "seg-", ".log")).collect();
        segments.sort_unstable();
        let mut removed = 0;
        for two in segments.windows(2) {
            let (first, next) = (two[0], two[1]);
            if next > kept + 1 {
                break;
            }
            let name = segment_name(first);
            let scanned = journal::scan(&self.disk.read(&name)?, first, false);
            let scanned = scanned.map_err(|damage| LedgerError::Damaged(name.clone(), damage))?;
            let needed = scanned.records.iter().any(|(_, r, _)| match r {
                Record::Entry(e) => {
                    let own = self.book.calendar().period(e.at);
                    open.contains(&own) || open.contains(&self.book.billed_in(e.at).0)
                }
                _ => false,
            });
            if needed {
                break;
            }
            self.disk.remove(&name)?;
            removed += 1;
            // What the oldest segment builds on is the snapshot right before it; older ones serve nobody.
            for old in names.iter().filter(|n| number_in(n, "snap-", ".bin").is_some_and(|s| s + 1 < next)) {
                if self.disk.list()?.contains(old) {
                    self.disk.remove(old)?;
                }
            }
        }
        Ok(removed)
    }

    /// Closes a period: nothing more is billed in it.
    ///
    /// # Errors
    /// The disk; the period is not over, or closed already.
    pub fn close(&mut self, period: Period, now: UnixMs) -> Result<(), LedgerError> {
        if self.book.closed.contains_key(&period) {
            return Err(LedgerError::Refused(format!("{period} is closed already")));
        }
        if self.book.calendar().end(period) > now {
            return Err(LedgerError::Refused(format!("{period} is not over")));
        }
        self.append(&[Record::Close { period: period.to_string(), at: now }])?;
        self.commit()
    }

    /// Corrects what was billed, in the period that is open now.
    ///
    /// # Errors
    /// The disk; a correction that does not say by whom and why.
    pub fn correct(&mut self, correction: Correction) -> Result<(), LedgerError> {
        if correction.by.trim().is_empty() || correction.why.trim().is_empty() {
            return Err(LedgerError::Refused("a correction says by whom and why".to_owned()));
        }
        correction.corrects.parse::<Period>().map_err(LedgerError::Refused)?;
        self.append(&[Record::Correction(correction)])?;
        self.commit()
    }

    /// Ends a run in good order.
    ///
    /// # Errors
    /// The disk: then the next run says that something may be missing.
    pub fn end(&mut self, now: UnixMs) -> Result<(), LedgerError> {
        self.append(&[Record::End { at: now }])?;
        self.commit()
    }

    /// Records what could not be kept.
    ///
    /// # Errors
    /// The disk.
    pub fn gap(&mut self, gap: Gap) -> Result<(), LedgerError> {
        self.append(&[Record::Gap(gap)])
    }

    /// Exports what is new in a period since its last export; none if nothing is.
    ///
    /// # Errors
    /// The disk. Whatever step it fails at, or a crash comes at, the next start completes it under the same name with
    /// the same bytes.
    pub fn export(
        &mut self,
        period: Period,
        format: Format,
        now: UnixMs,
    ) -> Result<Option<Begun>, LedgerError> {
        if let Some(halfway) = self.book.exports.iter().find(|e| e.hash.is_none()).cloned() {
            self.complete(&halfway, now)?;
        }
        let Some(begun) = self.book.next_export(period, format.word()) else { return Ok(None) };
        let (after, upto) = begun.range;
        let intent = Record::Intent {
            name: begun.name.clone(),
            period: begun.period.clone(),
            format: begun.format.clone(),
            after,
            upto,
        };
        self.append(&[intent])?;
        self.commit()?;
        self.complete(&begun, now)?;
        Ok(self.book.exports.iter().find(|e| e.name == begun.name).cloned())
    }

    /// Writes an export that is in the journal: the file and its manifest whole, then the record that it is done.
    fn complete(&mut self, begun: &Begun, now: UnixMs) -> Result<(), LedgerError> {
        let content = self.content(begun)?;
        let Some(format) = Format::named(&begun.format) else {
            return Err(LedgerError::Refused(format!("{} is no form of export", begun.format)));
        };
        let bytes = export::render(&content, format).map_err(LedgerError::Refused)?;
        let hash = crate::inventory::hex(&Sha256::digest(&bytes));
        let manifest = export::manifest(&content, &hash).to_json();
        let name = format!("{}.{}", begun.name, begun.format);
        for (name, bytes) in [(name, bytes), (format!("{}.manifest.json", begun.name), manifest.into_bytes())]
        {
            self.place(&name, &bytes)?;
        }
        self.append(&[Record::Done { name: begun.name.clone(), hash, at: now }])?;
        self.commit()
    }

    /// What an export holds: the same whenever it is asked, for its records never change.
    fn content(&self, begun: &Begun) -> Result<Export, LedgerError> {
        let mut content = Export::new(begun);
        let (after, upto) = begun.range;
        load(&self.disk, self.book.calendar(), false, |seq, record, book| {
            if seq > after && seq <= upto {
                content.take(seq, record, book);
            }
        })?;
        Ok(content)
    }

    /// The disk, for tests.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

// ---- Snapshots ------------------------------------------------------------------------------------------------

const SNAPSHOT: &[u8; 8] = b"SMXSNAP\x01";

/// The book as bytes, with a checksum in front.
fn pack(book: &Book) -> Vec<u8> {
    let mut b = Vec::new();
    put(&mut b, book.seq);
    put_text(&mut b, &book.mixer);
    put(&mut b, book.epoch);
    put_signed(&mut b, book.latest);
    b.push(u8::from(book.ended));
    put(&mut b, book.totals.len() as u64);
    for (line, s) in &book.totals {
        put_text(&mut b, &line.period.to_string());
        let (kind, name) = match &line.account {
            Account::Tenant(name) => (0, name.as_str()),
            Account::Unknown(name) => (1, name.as_str()),
            Account::Others => (2, ""),
        };
        b.push(kind);
        put_text(&mut b, name);
        put_text(&mut b, &line.class);
        b.push(line.share as u8);
        for n in [s.queries, s.billed, s.refused, s.failed, s.asked, s.parts, s.attempts, s.work, s.late] {
            put(&mut b, n);
        }
    }
    put(&mut b, book.unknown.len() as u64);
    book.unknown.iter().for_each(|name| put_text(&mut b, name));
    // Corrections and gaps as the journal has them.
    let records = book.corrections.iter().map(|(seq, _, c)| (*seq, Record::Correction(c.clone())));
    let records = records.chain(book.gaps.iter().map(|(seq, g)| (*seq, Record::Gap(g.clone()))));
    let mut frames = Vec::new();
    records.for_each(|(seq, record)| journal::encode(&mut frames, seq, 0, &record));
    put(&mut b, frames.len() as u64);
    b.extend(frames);
    put(&mut b, book.corrections.len() as u64);
    book.corrections.iter().for_each(|(_, period, _)| put_text(&mut b, &period.to_string()));
    put(&mut b, book.closed.len() as u64);
    for (period, at) in &book.closed {
        put_text(&mut b, &period.to_string());
        put_signed(&mut b, *at);
    }
    put(&mut b, book.changed.len() as u64);
    for (period, seq) in &book.changed {
        put_text(&mut b, &period.to_string());
        put(&mut b, *seq);
    }
    put(&mut b, book.exports.len() as u64);
    for e in &book.exports {
        for text in [&e.name, &e.period, &e.format, e.hash.as_ref().unwrap_or(&String::new())] {
            put_text(&mut b, text);
        }
        put(&mut b, e.range.0);
        put(&mut b, e.range.1);
    }
    [SNAPSHOT.as_slice(), &crc32fast::hash(&b).to_le_bytes(), &b].concat()
}

fn unpack(bytes: &[u8], calendar: &Calendar) -> Option<Book> {
    let rest = bytes.strip_prefix(SNAPSHOT)?;
    let (sum, rest) = rest.split_at_checked(4)?;
    if sum != crc32fast::hash(rest).to_le_bytes() {
        return None;
    }
    let mut f = Fields(rest);
    let mut book = Book::new(calendar.clone());
    (book.seq, book.mixer, book.epoch, book.latest) = (f.number()?, f.text()?, f.number()?, f.signed()?);
    book.ended = f.byte()? != 0;
    for _ in 0..f.number()? {
        let period = f.text()?.parse().ok()?;
        let (kind, name) = (f.byte()?, f.text()?);
        let account = match kind {
            0 => Account::Tenant(name),
            1 => Account::Unknown(name),
            _ => Account::Others,
        };
        let (class, share): (String, Share) = (f.text()?, f.share()?);
        let mut n = || f.number();
        let sums = Sums {
            queries: n()?,
            billed: n()?,
            refused: n()?,
            failed: n()?,
            asked: n()?,
            parts: n()?,
            attempts: n()?,
            work: n()?,
            late: n()?,
        };
        book.totals.insert(Line { period, account, class, share }, sums);
    }
    for _ in 0..f.number()? {
        book.unknown.insert(f.text()?);
    }
    let length = usize::try_from(f.number()?).ok()?;
    let mut frames = f.0.get(..length)?;
    f.0 = &f.0[length..];
    let mut corrections = Vec::new();
    while !frames.is_empty() {
        let (used, seq, record) = journal::one(frames)?;
        match record {
            Record::Correction(c) => corrections.push((seq, c)),
            Record::Gap(gap) => book.gaps.push((seq, gap)),
            _ => return None,
        }
        frames = &frames[used..];
    }
    if f.number()? != corrections.len() as u64 {
        return None;
    }
    for (seq, correction) in corrections {
        book.corrections.push((seq, f.text()?.parse().ok()?, correction));
    }
    for _ in 0..f.number()? {
        book.closed.insert(f.text()?.parse().ok()?, f.signed()?);
    }
    for _ in 0..f.number()? {
        book.changed.insert(f.text()?.parse().ok()?, f.number()?);
    }
    for _ in 0..f.number()? {
        let (name, period, format, hash) = (f.text()?, f.text()?, f.text()?, f.text()?);
        let hash = Some(hash).filter(|h| !h.is_empty());
        book.exports.push(Begun { name, period, format, hash, range: (f.number()?, f.number()?) });
    }
    f.0.is_empty().then_some(book)
}
