//! The memory for data that peers make the process hold: requests, queries in flight, answers, and unread responses. All
//! connections share one budget, since a bound for each connection does not bound their sum.
//!
//! Small amounts, such as the first read of a connection, are not counted: they are bounded by the number of connections.

mod budget;
mod buffer;

pub(super) use budget::{Eviction, MemoryBudget, MemoryExhausted, Reservation};
pub(super) use buffer::{BudgetedBuffer, ReadError};
