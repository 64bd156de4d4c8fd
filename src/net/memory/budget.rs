//! The budget and the reservations that share it. When it is exhausted, the peers that have held memory for longest without
//! making progress lose it, so that peers that finish in time are served.

use bytes::Bytes;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::warn;

/// Age from which a reservation may be evicted. A peer that is not slow finishes a request or a response earlier.
const MIN_EVICTION_AGE: Duration = Duration::from_millis(100);
/// Size up to which values of leaf servers are not counted.
const SMALL_VALUE_BYTES: usize = 1 << 10;
/// Interval between two warnings that memory is short.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);

/// The budget is exhausted, and nothing can be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::net) struct MemoryExhausted;

impl fmt::Display for MemoryExhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no memory is left for the data of peers")
    }
}

impl std::error::Error for MemoryExhausted {}

/// A number of bytes that all reservations share. Clones share the same budget.
#[derive(Clone)]
pub(in crate::net) struct MemoryBudget(Arc<Mutex<State>>);

struct State {
    limit: usize,
    used: usize,
    /// Bytes of reservations that have been evicted and will be released when their owners run.
    being_released: usize,
    next_id: u64,
    /// The reservations that may be evicted, the oldest first.
    evictable: BTreeMap<(Instant, u64), Evictable>,
    refusals: u64,
    evictions: u64,
    last_warning: Option<Instant>,
}

struct Evictable {
    bytes: usize,
    evicted: Arc<Notify>,
}

/// The state of a budget, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::net) struct Usage {
    /// Maximum number of reserved bytes.
    pub limit: usize,
    /// Number of reserved bytes.
    pub used: usize,
    /// Number of reservations refused.
    pub refusals: u64,
    /// Number of reservations evicted.
    pub evictions: u64,
}

impl MemoryBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        MemoryBudget(Arc::new(Mutex::new(State {
            limit,
            used: 0,
            being_released: 0,
            next_id: 0,
            evictable: BTreeMap::new(),
            refusals: 0,
            evictions: 0,
            last_warning: None,
        })))
    }

    /// Changes the limit; existing reservations stay.
    pub fn set_limit(&self, limit: usize) {
        self.state().limit = limit;
    }

    /// A reservation of no bytes yet.
    pub fn reservation(&self) -> Reservation {
        let mut state = self.state();
        state.next_id += 1;
        Reservation {
            id: state.next_id,
            bytes: 0,
            evictable_since: None,
            eviction: Eviction(Arc::default()),
            budget: self.clone(),
        }
    }

    /// Keeps `reserved_bytes` reserved for as long as any clone of the returned bytes exists.
    ///
    /// # Errors
    /// The budget is exhausted.
    pub fn attach(&self, data: Vec<u8>, reserved_bytes: usize) -> Result<Bytes, MemoryExhausted> {
        let mut reservation = self.reservation();
        reservation.resize(reserved_bytes)?;
        Ok(Bytes::from_owner(AttachedData { data, _reservation: reservation }))
    }

    /// A copy of a leaf server's value. A large one is reserved for as long as any clone of the copy exists.
    ///
    /// # Errors
    /// The budget is exhausted.
    pub fn copy(&self, value: &[u8]) -> Result<Bytes, MemoryExhausted> {
        if value.len() <= SMALL_VALUE_BYTES {
            return Ok(Bytes::copy_from_slice(value));
        }
        self.attach(value.to_vec(), value.len())
    }

    /// The current state, for metrics.
    pub fn usage(&self) -> Usage {
        let state = self.state();
        Usage { limit: state.limit, used: state.used, refusals: state.refusals, evictions: state.evictions }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Data with the reservation for it.
struct AttachedData {
    data: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for AttachedData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl State {
    /// Makes room for `bytes` more, if necessary by eviction of reservations other than `id`.
    fn make_room(&mut self, bytes: usize, id: u64) -> Result<(), MemoryExhausted> {
        while self.used - self.being_released + bytes > self.limit {
            let now = Instant::now();
            let oldest = self.evictable.first_key_value().map(|(key, _)| *key);
            let Some((since, oldest_id)) = oldest else { return self.refuse(now) };
            if oldest_id == id || now.duration_since(since) < MIN_EVICTION_AGE {
                return self.refuse(now);
            }
            if let Some(evicted) = self.evictable.remove(&(since, oldest_id)) {
                self.being_released += evicted.bytes;
                self.evictions += 1;
                evicted.evicted.notify_one();
                self.warn_occasionally(now);
            }
        }
        Ok(())
    }

    fn refuse(&mut self, now: Instant) -> Result<(), MemoryExhausted> {
        self.refusals += 1;
        self.warn_occasionally(now);
        Err(MemoryExhausted)
    }

    fn warn_occasionally(&mut self, now: Instant) {
        if self.last_warning.is_some_and(|last| now.duration_since(last) < WARNING_INTERVAL) {
            return;
        }
        self.last_warning = Some(now);
        warn!(
            used = self.used,
            limit = self.limit,
            refusals = self.refusals,
            evictions = self.evictions,
            "memory for the data of peers is short"
        );
    }
}

/// Completes when its reservation is evicted.
#[derive(Clone)]
pub(in crate::net) struct Eviction(Arc<Notify>);

impl Eviction {
    /// Waits for the eviction.
    pub async fn evicted(&self) {
        self.0.notified().await;
    }
}

/// Bytes reserved by one owner; released when dropped.
pub(in crate::net) struct Reservation {
    id: u64,
    bytes: usize,
    /// Set while the reservation may be evicted.
    evictable_since: Option<Instant>,
    eviction: Eviction,
    budget: MemoryBudget,
}

impl Reservation {
    /// The number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of reserved bytes.
    ///
    /// # Errors
    /// The budget is exhausted; the reservation is unchanged.
    pub fn resize(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        if bytes > self.bytes {
            self.budget.state().make_room(bytes - self.bytes, self.id)?;
        }
        self.set_bytes(bytes);
        Ok(())
    }

    /// Changes the number of reserved bytes for data that must be held in any case. The budget may be exceeded until
    /// others have released memory.
    pub fn force_resize(&mut self, bytes: usize) {
        if bytes > self.bytes {
            let _ = self.budget.state().make_room(bytes - self.bytes, self.id);
        }
        self.set_bytes(bytes);
    }

    /// Allows eviction while the owner waits for its peer, since the given time; `None` forbids it.
    pub fn set_evictable(&mut self, since: Option<Instant>) {
        if self.evictable_since == since {
            return;
        }
        self.unregister();
        self.evictable_since = since;
        if since.is_some() {
            // An eviction that came too late for the previous wait must not end this one.
            self.eviction = Eviction(Arc::default());
        }
        self.register();
    }

    /// Releases all bytes.
    pub fn release(&mut self) {
        if self.bytes > 0 {
            self.set_bytes(0);
        }
    }

    /// A handle to wait for the eviction of this reservation.
    pub fn eviction(&self) -> Eviction {
        self.eviction.clone()
    }

    /// Waits until this reservation is evicted. The owner then has to release it.
    pub async fn evicted(&self) {
        self.eviction.evicted().await;
    }

    fn set_bytes(&mut self, bytes: usize) {
        self.unregister();
        let mut state = self.budget.state();
        state.used = state.used + bytes - self.bytes;
        drop(state);
        self.bytes = bytes;
        self.register();
    }

    /// Takes the reservation out of the evictable ones. One that is not among them any more has been evicted: its bytes
    /// are no longer about to be released by that.
    fn unregister(&mut self) {
        let Some(since) = self.evictable_since else { return };
        if self.bytes == 0 {
            return;
        }
        let mut state = self.budget.state();
        if state.evictable.remove(&(since, self.id)).is_none() {
            state.being_released -= self.bytes;
        }
    }

    fn register(&mut self) {
        let Some(since) = self.evictable_since else { return };
        if self.bytes == 0 {
            return;
        }
        let entry = Evictable { bytes: self.bytes, evicted: self.eviction.0.clone() };
        self.budget.state().evictable.insert((since, self.id), entry);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}
