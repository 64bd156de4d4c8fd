//! Authentication tags of datagrams: truncated HMAC-SHA256 with the fleet's key.

use super::WireError;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Minimum length of the key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;
/// Length of the tag, in bytes.
pub(super) const TAG_BYTES: usize = 16;

#[derive(Clone)]
pub(super) struct Authenticator {
    /// Initialized with the key and cloned for each datagram, so that the key is set up only once.
    keyed_mac: Hmac<Sha256>,
}

impl Authenticator {
    pub fn new(key: &[u8]) -> Result<Self, WireError> {
        if key.len() < MIN_KEY_BYTES {
            return Err(WireError::KeyTooShort);
        }
        let keyed_mac = <Hmac<Sha256> as KeyInit>::new_from_slice(key).map_err(|_| WireError::KeyTooShort)?;
        Ok(Authenticator { keyed_mac })
    }

    pub fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut mac = self.keyed_mac.clone();
        mac.update(bytes);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&mac.finalize().into_bytes()[..TAG_BYTES]);
        tag
    }

    /// Checks the tag of `bytes`; compares in constant time.
    pub fn verify(&self, bytes: &[u8], tag: &[u8]) -> Result<(), WireError> {
        let mut mac = self.keyed_mac.clone();
        mac.update(bytes);
        mac.verify_truncated_left(tag).map_err(|_| WireError::AuthenticationFailed)
    }
}
