//! Membership of the aggregators' own fleet, after SWIM and Lifeguard (see `docs/design/gossip.md`). Sans-IO: times
//! are arguments, randomness comes from a seed, messages are values.
//!
//! - [`MemberTable`] keeps what is known of each member: alive, suspect, dead or left, ordered by incarnation. It
//!   refutes updates about the local member, and its size is bounded.
//! - [`Detector`] probes members, directly and then through others, suspects those that do not answer, declares them
//!   dead when a suspicion times out, and disseminates updates on its messages.
//! - [`DatagramCodec`] encodes and authenticates what travels.
//!
//! The transport over UDP does not exist yet; its place is `net::gossip`. Terms are those of the SWIM and Lifeguard
//! papers: "probe" here is the probe of a fellow member, not the health check of a leaf server.

mod counters;
mod detector;
mod dissemination;
mod local_health;
mod member;
mod message;
mod probing;
mod settings;
mod suspicion;
mod table;
mod wire;

pub use counters::DetectorCounters;
pub use detector::{Detector, Input, Output};
pub use member::{MemberId, MemberStatus, MemberUpdate};
pub use message::Message;
pub use settings::DetectorSettings;
pub use table::{ApplyResult, Member, MemberTable, MemberTableSettings};
pub use wire::{Datagram, DatagramCodec, MIN_KEY_BYTES, Packet, WireError};
