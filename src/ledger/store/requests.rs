//! Processes requests of operators, made either directly by a command that owns the ledger or as files for the owner.

use super::super::UnixMs;
use super::super::disk::Disk;
use super::super::error::LedgerError;
use super::super::record::Correction;
use super::super::request::{
    Reply, Request, RequestError, RequestOutcome, reply_file_name, request_file_name, request_id,
};
use super::Store;

/// Maximum number of requests processed at a time, so that a directory full of requests does not block the writer for
/// long.
const MAX_REQUESTS: usize = 64;
/// Maximum length of a request file, in bytes.
const MAX_REQUEST_BYTES: usize = 64 << 10;

impl<D: Disk> Store<D> {
    /// Performs a request.
    ///
    /// # Errors
    /// The disk failed, or the request cannot be performed in the ledger's current state.
    pub fn perform(&mut self, request: Request, now: UnixMs) -> Result<RequestOutcome, LedgerError> {
        match request {
            Request::Correct(correction) => self.correct_once(correction),
            Request::Close(period) => {
                self.close(period, now)?;
                Ok(RequestOutcome::Closed(period))
            }
            Request::Export(period, format) => match self.export(period, format, now)? {
                Some(export) => Ok(RequestOutcome::Exported {
                    file: export.file_name(),
                    hash: export.hash.unwrap_or_default(),
                }),
                None => Ok(RequestOutcome::NothingToExport(period)),
            },
        }
    }

    /// Records a correction unless the ledger already contains one with its idempotency key.
    fn correct_once(&mut self, correction: Correction) -> Result<RequestOutcome, LedgerError> {
        let existing = self.book.corrections().iter().find(|billed| billed.correction.id == correction.id);
        if let Some(existing) = existing {
            return Ok(RequestOutcome::Corrected { sequence: existing.sequence, period: existing.billed_in });
        }
        let (period, _) = self.book.billed_in(correction.at);
        self.correct(correction)?;
        Ok(RequestOutcome::Corrected { sequence: self.book.sequence, period })
    }

    /// Performs the requests in the directory and writes the replies. Returns the number of processed requests.
    ///
    /// # Errors
    /// The disk failed; requests without a reply remain in the directory. An invalid or impossible request is not an
    /// error here: its reply contains the reason.
    pub fn process_requests(&mut self, now: UnixMs) -> Result<usize, LedgerError> {
        let names = self.disk.list()?;
        let ids: Vec<&str> = names.iter().filter_map(|name| request_id(name)).take(MAX_REQUESTS).collect();
        for id in &ids {
            let name = request_file_name(id);
            let is_too_long = self.disk.length(&name)? > MAX_REQUEST_BYTES as u64;
            let reply = if is_too_long {
                Reply::Rejected(RequestError::InvalidFile.to_string())
            } else {
                self.reply_to(self.disk.read(&name)?, now)?
            };
            self.write_file_atomically(&reply_file_name(id), reply.to_json().as_bytes())?;
            self.disk.remove(&request_file_name(id))?;
        }
        Ok(ids.len())
    }

    /// Performs the request in a file. Only a disk failure is an error, since the request may succeed later.
    fn reply_to(&mut self, file: Vec<u8>, now: UnixMs) -> Result<Reply, LedgerError> {
        let request = match parse_request(file, now) {
            Ok(request) => request,
            Err(error) => return Ok(Reply::Rejected(error.to_string())),
        };
        match self.perform(request, now) {
            Ok(outcome) => Ok(Reply::Done(outcome.to_string())),
            Err(LedgerError::Io(error)) => Err(LedgerError::Io(error)),
            Err(error) => Ok(Reply::Rejected(error.to_string())),
        }
    }
}

fn parse_request(file: Vec<u8>, now: UnixMs) -> Result<Request, RequestError> {
    let text = String::from_utf8(file).map_err(|_| RequestError::InvalidFile)?;
    if text.len() > MAX_REQUEST_BYTES {
        return Err(RequestError::InvalidFile);
    }
    Request::from_json(&text, now)
}
