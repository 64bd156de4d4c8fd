//! What operators ask of a ledger: done by whoever owns it. A command that finds a mixer in possession leaves its request
//! as a file in the directory, and finds the reply there. A request may be met again after a crash, so doing it twice
//! changes nothing: a correction has a name, a closed period is closed, an export exports what is new.

use super::UnixMs;
use super::disk::Disk;
use super::entry::{Correction, Share};
use super::export::Format;
use super::period::Period;
use super::store::{LedgerError, Store};
use serde_json::{Value, json};

/// Requests taken in one go, and bytes of one: against a directory that somebody fills.
const REQUESTS_MOST: usize = 64;
const BYTES_MOST: usize = 64 << 10;

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Correct what was billed.
    Correct(Correction),
    /// Close a period.
    Close(Period),
    /// Export what is new in a period.
    Export(Period, Format),
}

/// The names of the files of a request.
pub fn request_name(id: &str) -> String {
    format!("request-{id}.json")
}

/// The file in which its reply comes.
pub fn reply_name(id: &str) -> String {
    format!("reply-{id}.json")
}

impl Request {
    /// As JSON, one object.
    pub fn to_json(&self) -> String {
        let object = match self {
            Request::Correct(c) => json!({
                "do": "correct", "id": c.id, "tenant": c.tenant, "class": c.class, "corrects": c.corrects,
                "beyond": c.share == Share::Beyond, "queries": c.queries, "parts": c.parts, "work": c.work, "by": c.by,
                "why": c.why,
            }),
            Request::Close(period) => json!({ "do": "close", "period": period.to_string() }),
            Request::Export(period, format) => {
                json!({ "do": "export", "period": period.to_string(), "format": format.word() })
            }
        };
        format!("{object}\n")
    }

    /// Reads one that was left in a file; a correction counts as made now.
    ///
    /// # Errors
    /// What in it makes no sense.
    pub fn from_json(text: &str, now: UnixMs) -> Result<Self, String> {
        let value: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let word = |name: &str| {
            let text = value[name].as_str().filter(|t| t.len() <= 1024);
            text.map(str::to_owned).ok_or_else(|| format!("{name} must be a text of at most 1,024 bytes"))
        };
        let number =
            |name: &str| value[name].as_i64().ok_or_else(|| format!("{name} must be a whole number"));
        match word("do")?.as_str() {
            "correct" => Ok(Request::Correct(Correction {
                at: now,
                id: word("id")?,
                tenant: word("tenant")?,
                class: word("class")?,
                corrects: word("corrects")?,
                share: if value["beyond"] == true { Share::Beyond } else { Share::Within },
                queries: number("queries")?,
                parts: number("parts")?,
                work: number("work")?,
                by: word("by")?,
                why: word("why")?,
            })),
            "close" => Ok(Request::Close(word("period")?.parse()?)),
            "export" => {
                let format = word("format")?;
                let format =
                    Format::named(&format).ok_or_else(|| format!("{format} is no form of export"))?;
                Ok(Request::Export(word("period")?.parse()?, format))
            }
            other => Err(format!("{other} is nothing that a ledger does")),
        }
    }
}

impl<D: Disk> Store<D> {
    /// Does what is asked; what came of it, for the one who asked.
    ///
    /// # Errors
    /// The disk, or that it makes no sense.
    pub fn perform(&mut self, request: Request, now: UnixMs) -> Result<String, LedgerError> {
        match request {
            Request::Correct(correction) => {
                let id = correction.id.clone();
                if !self.book().corrections().iter().any(|(_, _, c)| c.id == id) {
                    self.correct(correction)?;
                }
                let made = self.book().corrections().iter().find(|(_, _, c)| c.id == id);
                Ok(made.map_or_else(String::new, |(seq, period, _)| {
                    format!("correction {seq}, billed in {period}")
                }))
            }
            Request::Close(period) => {
                self.close(period, now)?;
                Ok(format!("{period} is closed"))
            }
            Request::Export(period, format) => Ok(match self.export(period, format, now)? {
                Some(done) => {
                    format!("{}.{}  sha256 {}", done.name, done.format, done.hash.unwrap_or_default())
                }
                None => format!("nothing is new in {period} since its last export"),
            }),
        }
    }

    /// Does what was left in the directory and leaves the replies; how many requests there were.
    ///
    /// # Errors
    /// The disk; a request that makes no sense is answered, and is none.
    pub fn requests(&mut self, now: UnixMs) -> Result<usize, LedgerError> {
        let names = self.disk_mut().list()?;
        let ids = names.iter().filter_map(|n| n.strip_prefix("request-")?.strip_suffix(".json"));
        let ids: Vec<String> = ids.take(REQUESTS_MOST).map(str::to_owned).collect();
        for id in &ids {
            let bytes = self.disk_mut().read(&request_name(id))?;
            let text = String::from_utf8(bytes).ok().filter(|t| t.len() <= BYTES_MOST);
            let request = text.ok_or_else(|| "is no text, or too long".to_owned());
            let done = match request.and_then(|text| Request::from_json(&text, now)) {
                Ok(request) => match self.perform(request, now) {
                    // The disk may work again later: the request stays.
                    Err(LedgerError::Io(e)) => return Err(e.into()),
                    done => done.map_err(|e| e.to_string()),
                },
                Err(problem) => Err(problem),
            };
            let reply = match done {
                Ok(words) => json!({ "done": words }),
                Err(problem) => json!({ "refused": problem }),
            };
            self.place(&reply_name(id), format!("{reply}\n").as_bytes())?;
            self.disk_mut().remove(&request_name(id))?;
        }
        Ok(ids.len())
    }
}
