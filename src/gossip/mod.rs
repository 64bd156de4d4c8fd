//! Membership among mixers, after SWIM and Lifeguard (see `docs/design/membership.md`). Sans-IO.
//!
//! This first stage is the table of members and the order of what is said about them: who is alive, suspect, dead
//! or has left, by incarnation. It decides which news stands, refutes news against the member itself, and keeps its
//! memory bounded and flat in ids ever seen. Probes, suspicion timers and the transport come in later stages.

mod table;

pub use table::{Applied, Member, MemberId, News, Status, Table, TableSettings};
