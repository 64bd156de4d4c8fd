//! `sailmux ledger`: show, verify, tail, reconcile look at ledgers that a mixer may be writing; correct, close and export
//! have it done by whoever owns the ledger: the mixer, or this process if there is none.

use super::{Failure, say};
use crate::ledger::{
    Book, Calendar, Correction, Format, Ledger, Options, Period, RealDisk, Record, Request, Share, Store,
    Sums, Totals, UnixMs, read_all, reconcile, reply_name, request_name,
};
use clap::ValueEnum;
use jiff::Timestamp;
use serde_json::{Value, json};
use std::fs;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The owner of a ledger looks for requests several times a second.
const PATIENCE: Duration = Duration::from_secs(30);

#[derive(clap::Subcommand)]
pub(super) enum Command {
    /// Print what each tenant used
    Show {
        #[command(flatten)]
        at: SourceLocation,
        /// Only this tenant
        #[arg(long)]
        tenant: Option<String>,
        /// Only this period, as 2026-11
        #[arg(long)]
        period: Option<Period>,
        /// As it stood then, as 2026-12-01T00:00:00+08:00: later entries and corrections are left out
        #[arg(long, value_name = "TIME")]
        as_of: Option<Timestamp>,
        /// JSON instead of a table
        #[arg(long)]
        json: bool,
    },
    /// Read every record and tell what is damaged, torn or missing
    Verify {
        #[command(flatten)]
        at: SourceLocation,
    },
    /// Print the last records
    Tail {
        #[command(flatten)]
        at: SourceLocation,
        /// How many
        #[arg(short = 'n', long, default_value_t = 20)]
        lines: usize,
    },
    /// Correct what was billed, by an entry in the period that is open now
    Correct {
        #[command(flatten)]
        at: SourceLocation,
        /// The tenant
        #[arg(long)]
        tenant: String,
        /// The class
        #[arg(long)]
        class: String,
        /// The period that was wrong
        #[arg(long, value_name = "PERIOD")]
        corrects: Period,
        /// Queries to add; may be negative
        #[arg(long, default_value_t = 0, allow_negative_numbers = true)]
        queries: i64,
        /// Parts to add
        #[arg(long, default_value_t = 0, allow_negative_numbers = true)]
        parts: i64,
        /// Thousandths of a unit of work to add
        #[arg(long, default_value_t = 0, allow_negative_numbers = true)]
        work: i64,
        /// It was beyond the tenant's share
        #[arg(long)]
        beyond: bool,
        /// By whom
        #[arg(long)]
        by: String,
        /// Why
        #[arg(long)]
        why: String,
    },
    /// Close a period that is over
    Close {
        #[command(flatten)]
        at: SourceLocation,
        /// As 2026-11
        period: Period,
    },
    /// Export what is new in a period, once and under a name of its own
    Export {
        #[command(flatten)]
        at: SourceLocation,
        /// As 2026-11
        period: Period,
        /// In which form
        #[arg(long, value_enum, default_value_t = Form::Csv)]
        format: Form,
    },
    /// Hold the ledgers of several mixers against each other
    Reconcile {
        /// Their directories
        #[arg(required = true)]
        dirs: Vec<PathBuf>,
        /// The time zone of the periods
        #[arg(long, default_value = "Asia/Taipei")]
        time_zone: String,
        /// JSON instead of a table
        #[arg(long)]
        json: bool,
    },
}

#[derive(clap::Args)]
pub(super) struct SourceLocation {
    /// The ledger's directory
    dir: PathBuf,
    /// The time zone of the periods
    #[arg(long, default_value = "Asia/Taipei")]
    time_zone: String,
}

#[derive(Clone, Copy, ValueEnum)]
pub(super) enum Form {
    Csv,
    Jsonl,
    Arrow,
}

fn now() -> UnixMs {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as UnixMs)
}

fn calendar(zone: &str) -> Result<Calendar, Failure> {
    Ok(Calendar::new(zone)?)
}

impl SourceLocation {
    /// All records in order, and what they add up to.
    fn read(&self, mut each: impl FnMut(u64, &Record, &Book)) -> Result<Book, Failure> {
        let calendar = calendar(&self.time_zone)?;
        if !self.dir.is_dir() {
            return Err(Failure::Diagnostics(vec![format!("{}: is no directory", self.dir.display())]));
        }
        Ok(read_all(&RealDisk::look(&self.dir), &calendar, &mut each)?)
    }

    /// Has a request done: here, or by the mixer that owns the ledger.
    fn ask(&self, request: Request) -> Result<(), Failure> {
        let mixer = self.read(|_, _, _| {})?.position().1.to_owned();
        let disk = match RealDisk::own(&self.dir) {
            Ok(disk) => disk,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return self.leave(&request),
            Err(e) => return Err(e.into()),
        };
        // Nothing of a command is lost: each record is synced before it is told.
        let options = Options { window: 0, ..Options::default() };
        let mut store = Store::open(disk, calendar(&self.time_zone)?, options, &mixer, now())?.0;
        let done = store.perform(request, now());
        store.end(now())?;
        say(&format!("{}\n", done?))
    }

    /// Leaves a request for the owner, and waits for its reply.
    fn leave(&self, request: &Request) -> Result<(), Failure> {
        let id = fresh_id();
        let (path, reply) = (self.dir.join(request_name(&id)), self.dir.join(reply_name(&id)));
        let mut fresh = path.clone().into_os_string();
        fresh.push(".tmp");
        fs::write(&fresh, request.to_json())?;
        fs::rename(&fresh, &path)?;
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            if let Ok(text) = fs::read_to_string(&reply) {
                fs::remove_file(&reply)?;
                let value: Value = serde_json::from_str(&text)?;
                return match value["done"].as_str() {
                    Some(words) => say(&format!("{words}\n")),
                    None => Err(Failure::Diagnostics(vec![
                        value["refused"].as_str().unwrap_or_default().to_owned(),
                    ])),
                };
            }
            thread::sleep(Duration::from_millis(20));
        }
        let problem = format!("{}: no reply in {PATIENCE:?}; the request stays there", path.display());
        Err(Failure::Diagnostics(vec![problem]))
    }
}

/// A name that no other request has.
fn fresh_id() -> String {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos());
    format!("{nanos:x}-{:x}", std::process::id())
}

impl Command {
    pub(super) fn run(self) -> Result<(), Failure> {
        match self {
            Command::Show { at, tenant, period, as_of, json } => {
                let until = as_of.map(|t| t.as_millisecond());
                let mut early = Book::new(calendar(&at.time_zone)?);
                let mut first = None;
                let whole = at.read(|seq, record, _| {
                    first.get_or_insert(seq);
                    let late = match record {
                        Record::Entry(e) => Some(e.at),
                        Record::Correction(c) => Some(c.at),
                        Record::Close { at, .. } | Record::Open { at, .. } | Record::Done { at, .. } => {
                            Some(*at)
                        }
                        _ => None,
                    };
                    if until.is_none_or(|until| late.is_none_or(|at| at <= until)) {
                        early.apply(seq, record);
                    }
                })?;
                if let Some(first) = first.filter(|first| until.is_some() && *first > 1) {
                    let problem =
                        format!("records before {first} are compacted: how it stood then is not known");
                    return Err(Failure::Diagnostics(vec![problem]));
                }
                let book = if until.is_some() { early } else { whole };
                let wanted = |p: &Period, name: &str| {
                    period.is_none_or(|only| only == *p) && tenant.as_deref().is_none_or(|only| only == name)
                };
                let mut totals = book.totals().clone();
                totals.retain(|line, _| wanted(&line.period, &line.account.name()));
                let corrections: Vec<_> =
                    book.corrections().iter().filter(|(_, p, c)| wanted(p, &c.tenant)).collect();
                if json {
                    let rows: Vec<Value> =
                        corrections.iter().map(|(seq, p, c)| correction(*seq, p, c)).collect();
                    return say(&format!("{:#}\n", json!({ "totals": lines(&totals), "corrections": rows })));
                }
                let mut text = table(&totals);
                for (seq, period, c) in corrections {
                    text += &format!(
                        "correction {seq}, billed in {period}, of {}: {} {} {:+} queries, {:+} parts, {:+.3} units; by {}: {}\n",
                        c.corrects,
                        c.tenant,
                        c.class,
                        c.queries,
                        c.parts,
                        c.work as f64 / 1e3,
                        c.by,
                        c.why
                    );
                }
                say(&text)
            }
            Command::Verify { at } => {
                let mut entries = 0;
                let book =
                    at.read(|_, record, _| entries += u64::from(matches!(record, Record::Entry(_))))?;
                let (seq, mixer, epoch) = book.position();
                let mut text = format!(
                    "{}: {mixer}, {epoch} runs, records up to {seq}, {entries} entries\n",
                    at.dir.display()
                );
                for (seq, gap) in book.gaps() {
                    text += &format!("record {seq}: {}\n", Record::Gap(gap.clone()));
                }
                let open: Vec<&str> =
                    book.exports().iter().filter(|e| e.hash.is_none()).map(|e| e.name.as_str()).collect();
                if !open.is_empty() {
                    text += &format!("exports to be completed at the next start: {}\n", open.join(", "));
                }
                let bad = exports_that_differ(&at.dir, &book);
                say(&text)?;
                if bad.is_empty() { Ok(()) } else { Err(Failure::Diagnostics(bad)) }
            }
            Command::Tail { at, lines } => {
                let mut last = std::collections::VecDeque::new();
                at.read(|seq, record, _| {
                    last.push_back(format!("{seq:>10}  {record}\n"));
                    if last.len() > lines {
                        last.pop_front();
                    }
                })?;
                say(&last.into_iter().collect::<String>())
            }
            Command::Correct { at, tenant, class, corrects, queries, parts, work, beyond, by, why } => {
                let share = if beyond { Share::Beyond } else { Share::Within };
                let corrects = corrects.to_string();
                let id = fresh_id();
                let made = Correction {
                    at: now(),
                    id,
                    tenant,
                    class,
                    corrects,
                    share,
                    queries,
                    parts,
                    work,
                    by,
                    why,
                };
                at.ask(Request::Correct(made))
            }
            Command::Close { at, period } => at.ask(Request::Close(period)),
            Command::Export { at, period, format } => at.ask(Request::Export(
                period,
                match format {
                    Form::Csv => Format::Csv,
                    Form::Jsonl => Format::JsonLines,
                    Form::Arrow => Format::Arrow,
                },
            )),
            Command::Reconcile { dirs, time_zone, json } => reconciled(dirs, time_zone, json),
        }
    }
}

/// Exports whose files are not what the journal says they are.
fn exports_that_differ(dir: &Path, book: &Book) -> Vec<String> {
    use sha2::{Digest, Sha256};
    let mut bad = Vec::new();
    for export in book.exports() {
        let Some(hash) = &export.hash else { continue };
        let path = dir.join(format!("{}.{}", export.name, export.format));
        match std::fs::read(&path) {
            Ok(bytes) if crate::inventory::hex(&Sha256::digest(&bytes)) == *hash => {}
            Ok(_) => bad.push(format!("{}: is not the export that the journal knows", path.display())),
            // Whoever bills may have taken it away.
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => {}
            Err(e) => bad.push(format!("{}: {e}", path.display())),
        }
    }
    bad
}

fn reconciled(dirs: Vec<PathBuf>, time_zone: String, json: bool) -> Result<(), Failure> {
    let mut ledgers = Vec::new();
    for dir in dirs {
        let at = SourceLocation { dir, time_zone: time_zone.clone() };
        let mut records = Vec::new();
        let book = at.read(|seq, record, _| {
            if matches!(record, Record::Entry(_)) {
                records.push((seq, record.clone()));
            }
        })?;
        ledgers.push(Ledger { place: at.dir.display().to_string(), book, records });
    }
    let found = reconcile(&ledgers);
    let gaps: Vec<Value> = found
        .gaps
        .iter()
        .map(|(mixer, g)| json!({ "mixer": mixer, "from": g.from, "to": g.to, "entries": g.entries, "reason": g.reason }))
        .collect();
    if json {
        let object = json!({
            "complete": found.is_complete(), "entries": found.entries, "totals": lines(&found.totals), "gaps": gaps,
            "overlaps": found.overlaps, "clocks": found.clocks, "met_at_two_mixers": found.twice_count,
        });
        say(&format!("{object:#}\n"))?;
    } else {
        let mut text = table(&found.totals);
        for line in found.overlaps.iter().chain(&found.clocks) {
            text += &format!("{line}\n");
        }
        for (mixer, gap) in &found.gaps {
            text += &format!("{mixer}: {}\n", Record::Gap(gap.clone()));
        }
        if found.twice_count > 0 {
            text += &format!("{} queries were met at two mixers; by rule both count\n", found.twice_count);
        }
        text += match found.is_complete() {
            true => "complete: every sequence is whole, no gap is recorded, no ledger stands twice\n",
            false => "not complete: see above\n",
        };
        say(&text)?;
    }
    if found.is_complete() { Ok(()) } else { Err(Failure::Printed) }
}

fn correction(seq: u64, period: &Period, c: &Correction) -> Value {
    json!({
        "seq": seq, "billed_in": period.to_string(), "corrects": c.corrects, "tenant": c.tenant, "class": c.class,
        "share": c.share.word(), "queries": c.queries, "parts": c.parts, "work_milliunits": c.work, "by": c.by,
        "why": c.why, "at_ms": c.at,
    })
}

fn lines(totals: &Totals) -> Vec<Value> {
    crate::ledger::lines(totals)
}

fn table(totals: &Totals) -> String {
    let head = [
        "PERIOD", "TENANT", "CLASS", "SHARE", "QUERIES", "BILLED", "REFUSED", "FAILED", "PARTS", "ATTEMPTS",
        "UNITS", "LATE",
    ];
    let mut rows = vec![head.map(str::to_owned)];
    for (line, s) in totals {
        let Sums { queries, billed, refused, failed, parts, attempts, work, late, .. } = s;
        let units = format!("{}.{:03}", work / 1000, work % 1000);
        let numbers = [queries, billed, refused, failed, parts, attempts].map(u64::to_string);
        let [q, b, r, f, p, a] = numbers;
        let share = line.share.word().to_owned();
        rows.push([
            line.period.to_string(),
            line.account.name(),
            line.class.clone(),
            share,
            q,
            b,
            r,
            f,
            p,
            a,
            units,
            late.to_string(),
        ]);
    }
    crate::inventory::columns(&rows)
}
