//! The request ids that the processes of one aggregator have taken, in a file of fixed size. It is a table of buckets, each with
//! the most recent fingerprints first: an id is forgotten once newer ones have pushed it out of its bucket, about 32,000
//! queries later. The file needs no times, which the processes' clocks may disagree about.

use sha2::{Digest, Sha256};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Number of fingerprints in a bucket.
const BUCKET_LENGTH: usize = 8;
const FINGERPRINT_BYTES: usize = size_of::<u64>();
const BUCKET_BYTES: usize = BUCKET_LENGTH * FINGERPRINT_BYTES;
const BUCKET_COUNT: u64 = 4096;
/// A place of a bucket without a fingerprint.
const EMPTY: u64 = 0;
/// Number of attempts to lock the file. A process that is paused while it holds the lock must not stop its siblings; without
/// the lock, a change that a sibling makes to the same bucket in the same moment may be lost.
const LOCK_ATTEMPTS: usize = 100;

/// A number by which an id is remembered instead of its text; the same in every version of the program.
pub fn request_id_fingerprint(id: &str) -> u64 {
    let digest = Sha256::digest(id.as_bytes());
    let first = digest.first_chunk::<FINGERPRINT_BYTES>().copied().unwrap_or_default();
    u64::from_be_bytes(first).max(EMPTY + 1)
}

/// The table of request ids.
#[derive(Debug)]
pub struct RequestIdTable {
    file: File,
}

/// One bucket, the most recent fingerprint first.
struct Bucket([u64; BUCKET_LENGTH]);

impl RequestIdTable {
    /// Opens the table, and creates it if needed.
    ///
    /// # Errors
    /// The file cannot be opened or extended.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).truncate(false).read(true).write(true).open(path)?;
        let bytes = BUCKET_COUNT * BUCKET_BYTES as u64;
        if file.metadata()?.len() != bytes {
            file.set_len(bytes)?;
        }
        Ok(RequestIdTable { file })
    }

    /// Adds a fingerprint; returns whether it was absent.
    ///
    /// # Errors
    /// The file cannot be read or written.
    pub fn insert(&self, fingerprint: u64) -> io::Result<bool> {
        self.locked(|| {
            let mut bucket = self.read(fingerprint)?;
            if bucket.0.contains(&fingerprint) {
                return Ok(false);
            }
            bucket.0.rotate_right(1);
            bucket.0[0] = fingerprint;
            self.write(fingerprint, &bucket)?;
            Ok(true)
        })
    }

    /// Removes a fingerprint.
    ///
    /// # Errors
    /// The file cannot be read or written.
    pub fn remove(&self, fingerprint: u64) -> io::Result<()> {
        self.locked(|| {
            let mut bucket = self.read(fingerprint)?;
            let Some(place) = bucket.0.iter().position(|stored| *stored == fingerprint) else {
                return Ok(());
            };
            bucket.0[place..].rotate_left(1);
            bucket.0[BUCKET_LENGTH - 1] = EMPTY;
            self.write(fingerprint, &bucket)
        })
    }

    fn locked<T>(&self, change: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
        let is_locked = (0..LOCK_ATTEMPTS).any(|_| self.file.try_lock().is_ok());
        let result = change();
        if is_locked {
            self.file.unlock()?;
        }
        result
    }

    fn read(&self, fingerprint: u64) -> io::Result<Bucket> {
        let mut bytes = [0; BUCKET_BYTES];
        self.file.read_exact_at(&mut bytes, bucket_offset(fingerprint))?;
        let mut bucket = Bucket([EMPTY; BUCKET_LENGTH]);
        for (place, stored) in bucket.0.iter_mut().zip(bytes.chunks_exact(FINGERPRINT_BYTES)) {
            *place = stored.try_into().map_or(EMPTY, u64::from_be_bytes);
        }
        Ok(bucket)
    }

    fn write(&self, fingerprint: u64, bucket: &Bucket) -> io::Result<()> {
        let bytes: Vec<u8> = bucket.0.iter().flat_map(|stored| stored.to_be_bytes()).collect();
        self.file.write_all_at(&bytes, bucket_offset(fingerprint))
    }
}

fn bucket_offset(fingerprint: u64) -> u64 {
    (fingerprint % BUCKET_COUNT) * BUCKET_BYTES as u64
}
