//! The tag of a datagram: a truncated HMAC-SHA256 under the fleet's key.

use super::WireError;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Least bytes of the key.
pub const MIN_KEY_BYTES: usize = 16;
/// Bytes of the tag.
pub(super) const TAG_BYTES: usize = 16;

#[derive(Clone)]
pub(super) struct Authenticator {
    /// Keyed, and without input.
    keyed: Hmac<Sha256>,
}

impl Authenticator {
    pub fn new(key: &[u8]) -> Result<Self, WireError> {
        if key.len() < MIN_KEY_BYTES {
            return Err(WireError::KeyTooShort);
        }
        let keyed = <Hmac<Sha256> as KeyInit>::new_from_slice(key).map_err(|_| WireError::KeyTooShort)?;
        Ok(Authenticator { keyed })
    }

    pub fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut mac = self.keyed.clone();
        mac.update(bytes);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&mac.finalize().into_bytes()[..TAG_BYTES]);
        tag
    }

    /// Compares in constant time.
    pub fn verify(&self, bytes: &[u8], tag: &[u8]) -> Result<(), WireError> {
        let mut mac = self.keyed.clone();
        mac.update(bytes);
        mac.verify_truncated_left(tag).map_err(|_| WireError::AuthenticationFailed)
    }
}
