//! Membership among mixers, after SWIM and Lifeguard (see `docs/design/membership.md`). Sans-IO.
//!
//! The table of members holds the order of what is said about them: who is alive, suspect, dead or has left, by
//! incarnation; it refutes news against the member itself and keeps memory flat in ids ever seen. The detector probes
//! (directly, then through others), suspects, confirms and declares dead, and spreads news on its messages. The wire
//! form seals each datagram; the transport over UDP is in `net::gossip`.

mod detector;
mod table;
mod wire;

pub use detector::{Detector, DetectorCounters, DetectorSettings, Input, Message, Output};
pub use table::{Applied, Member, MemberId, News, Status, Table, TableSettings};
pub use wire::{Envelope, KEY_LEAST, Packet, Sealer, WireError};
