//! Bodies that arrive in chunks.

use bytes::{Buf, BytesMut};

/// A body that is not chunked as it should be.
#[derive(Debug)]
pub struct Malformed;

/// Takes chunks apart as they arrive.
#[derive(Debug, Default)]
pub struct Chunks {
    /// Bytes left of the chunk under way.
    left: u64,
    /// The line break after a chunk is still to come.
    after: bool,
    /// The last chunk has come; trailers may follow.
    last: bool,
}

/// A line of trailers or of a chunk's size is no longer than that.
const LINE_MOST: usize = 4096;

impl Chunks {
    /// Moves what is in of the body from `raw` to `body`; true once the body has ended.
    pub fn take(&mut self, raw: &mut BytesMut, body: &mut BytesMut) -> Result<bool, Malformed> {
        loop {
            if self.left > 0 {
                let n = raw.len().min(usize::try_from(self.left).unwrap_or(usize::MAX));
                if n == 0 {
                    return Ok(false);
                }
                body.extend_from_slice(&raw.split_to(n));
                self.left -= n as u64;
                self.after = self.left == 0;
            } else if self.after {
                match raw.get(..2) {
                    Some(b"\r\n") => raw.advance(2),
                    Some(_) => return Err(Malformed),
                    None => return Ok(false),
                }
                self.after = false;
            } else if self.last {
                let Some(end) = raw.iter().position(|b| *b == b'\n') else {
                    return if raw.len() > LINE_MOST { Err(Malformed) } else { Ok(false) };
                };
                let line = raw.split_to(end + 1);
                if line.as_ref() == b"\r\n" || line.as_ref() == b"\n" {
                    return Ok(true);
                }
            } else {
                match httparse::parse_chunk_size(raw) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        raw.advance(used);
                        (self.left, self.last) = (size, size == 0);
                    }
                    Ok(httparse::Status::Partial) if raw.len() <= LINE_MOST => return Ok(false),
                    _ => return Err(Malformed),
                }
            }
        }
    }
}
