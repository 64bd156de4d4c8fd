//! Membership of the fleet of aggregators, based on SWIM and Lifeguard (see `docs/design/gossip.md`). Sans-IO: times are
//! arguments, random choices come from a seed, and messages are values.
//!
//! - [`MemberTable`] stores the latest update about each member: alive, suspect, dead or left, ordered by incarnation.
//!   It refutes updates that report the local member as not alive, and its size is bounded.
//! - [`Detector`] probes members, first directly and then through other members. It suspects a member that does not
//!   answer, declares it dead when the suspicion times out, and piggybacks updates on its messages.
//! - [`DatagramCodec`] encodes, decodes and authenticates datagrams.
//!
//! The UDP transport is not implemented yet; it belongs in `net::gossip`. Terms are those of the SWIM and Lifeguard
//! papers: a "probe" in this module is sent to another aggregator; it is not the health check of a leaf server.

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
