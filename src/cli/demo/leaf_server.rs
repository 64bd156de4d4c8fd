//! A simulated leaf server: it answers each part with its own name and the shard.

use std::collections::BTreeSet;
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Maximum length of a frame, in bytes.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// The first byte of a frame, which identifies its kind.
mod frame_kind {
    /// Parts, from the aggregator.
    pub const PARTS: u8 = b'm';
    /// The cancellation of a part, from the aggregator.
    pub const CANCEL: u8 = b'n';
    /// A health check, or its result.
    pub const HEALTH_CHECK: u8 = b'o';
    /// A request for a load report, or the report.
    pub const LOAD_REPORT: u8 = b'p';
    /// The answer to a part.
    pub const ANSWER: u8 = b'q';
}

/// Accepts connections until the task is dropped.
pub(super) async fn run(name: String, listener: TcpListener) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        let connection = Connection { name: name.clone(), stream, cancelled: BTreeSet::new() };
        spawn_local(connection.serve());
    }
}

/// A connection of the aggregator.
struct Connection {
    /// The leaf server's name.
    name: String,
    stream: TcpStream,
    /// Ids of parts that were cancelled before they arrived.
    cancelled: BTreeSet<String>,
}

impl Connection {
    /// Answers frames until the aggregator disconnects or sends an invalid one.
    async fn serve(mut self) -> io::Result<()> {
        while let Some(frame) = self.read_frame().await? {
            let Some((kind, payload)) = frame.split_first() else { return Ok(()) };
            let payload = String::from_utf8_lossy(payload);
            match *kind {
                frame_kind::PARTS => self.answer_parts(&payload).await?,
                frame_kind::CANCEL => drop(self.cancelled.insert(payload.into_owned())),
                frame_kind::HEALTH_CHECK => self.write_frame(frame_kind::HEALTH_CHECK, "good").await?,
                frame_kind::LOAD_REPORT => self.write_frame(frame_kind::LOAD_REPORT, "inflight=0").await?,
                _ => return Ok(()),
            }
        }
        Ok(())
    }

    /// The next frame; `None` if its length is invalid.
    async fn read_frame(&mut self) -> io::Result<Option<Vec<u8>>> {
        let length = self.stream.read_u32().await? as usize;
        if length == 0 || length > MAX_FRAME_BYTES {
            return Ok(None);
        }
        let mut frame = vec![0; length];
        self.stream.read_exact(&mut frame).await?;
        Ok(Some(frame))
    }

    /// Answers the parts of a frame. Each is a line with its id, its shard, an unused field and the length of the text
    /// that follows the line.
    async fn answer_parts(&mut self, payload: &str) -> io::Result<()> {
        let mut rest = payload;
        while let Some((line, after)) = rest.split_once('\n') {
            let mut fields = line.split(' ');
            let id = fields.next().unwrap_or_default();
            let shard = fields.next().unwrap_or_default();
            let text_length = fields.nth(1).and_then(|length| length.parse().ok()).unwrap_or(0);
            rest = after.get(text_length..).unwrap_or_default();
            if !self.cancelled.remove(id) {
                let answer = format!("{id} good 1 inflight=1\n{} holds shard {shard}", self.name);
                self.write_frame(frame_kind::ANSWER, &answer).await?;
            }
        }
        Ok(())
    }

    async fn write_frame(&mut self, kind: u8, payload: &str) -> io::Result<()> {
        let length = payload.len() as u32 + 1;
        let mut frame = length.to_be_bytes().to_vec();
        frame.push(kind);
        frame.extend(payload.as_bytes());
        self.stream.write_all(&frame).await
    }
}
