//! Authentication of messages: HMAC-SHA-256 with a key that all instances share. Unauthentic messages are
//! dropped before they are parsed.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};

/// Length of a key (bytes); a key file has it as 64 hexadecimal digits.
pub const KEY_BYTES: usize = 32;
/// Maximum number of valid keys: the old and the new one during a rotation.
pub const MAX_KEYS: usize = 2;
/// Bytes that sealing adds to a message: the key id and the HMAC.
pub const SEAL_BYTES: usize = 4 + 32;

struct Key {
    mac: Hmac<Sha256>,
    /// Prefix of the key's hash: identifies the key without revealing it.
    id: [u8; 4],
}

/// The valid keys; the first one seals.
pub struct Keys(Vec<Key>);

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} keys", self.0.len())
    }
}

impl Keys {
    /// Parses the contents of one or two key files, each with 64 hexadecimal digits on one line. The error is
    /// the index of the invalid file.
    pub fn parse<'a>(texts: impl IntoIterator<Item = &'a str>) -> Result<Keys, usize> {
        let mut keys = Vec::new();
        for (number, text) in texts.into_iter().enumerate() {
            let secret =
                hex::decode(text.trim()).ok().filter(|secret| secret.len() == KEY_BYTES).ok_or(number)?;
            let mac = Hmac::<Sha256>::new_from_slice(&secret).map_err(|_| number)?;
            let mut id = [0; 4];
            id.copy_from_slice(&Sha256::digest(&secret)[..4]);
            keys.push(Key { mac, id });
        }
        match keys.len() {
            1..=MAX_KEYS => Ok(Keys(keys)),
            count => Err(count.min(MAX_KEYS)),
        }
    }

    /// Seals a message with the first key.
    pub fn seal(&self, mut message: Vec<u8>) -> Vec<u8> {
        let key = &self.0[0];
        message.extend_from_slice(&key.id);
        let mut mac = key.mac.clone();
        mac.update(&message);
        message.extend_from_slice(&mac.finalize().into_bytes());
        message
    }

    /// Returns the message inside a sealed one, or `None` if no valid key sealed it.
    pub fn open<'a>(&self, sealed: &'a [u8]) -> Option<&'a [u8]> {
        let (signed, tag) = sealed.split_at_checked(sealed.len().checked_sub(SEAL_BYTES - 4)?)?;
        let (message, id) = signed.split_at_checked(signed.len().checked_sub(4)?)?;
        let key = self.0.iter().find(|key| key.id == id)?;
        let mut mac = key.mac.clone();
        mac.update(signed);
        // Compares in constant time.
        mac.verify_slice(tag).ok().map(|()| message)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OLD: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
    const NEW: &str = "f00102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\n";

    #[test]
    fn sealed_message_opens_and_corrupted_or_truncated_does_not() {
        let old = Keys::parse([OLD]).unwrap();
        let sealed = old.seal(b"word".to_vec());
        assert_eq!(old.open(&sealed), Some(&b"word"[..]));
        for n in 0..sealed.len() {
            let mut corrupted = sealed.clone();
            corrupted[n] ^= 1;
            assert_eq!(old.open(&corrupted), None, "byte {n}");
            assert_eq!(old.open(&sealed[..n]), None, "cut to {n}");
        }
    }

    #[test]
    fn two_keys_are_valid_during_rotation() {
        let (old, new) = (Keys::parse([OLD]).unwrap(), Keys::parse([NEW]).unwrap());
        let both = Keys::parse([NEW, OLD]).unwrap();
        assert!(both.open(&old.seal(vec![1])).is_some());
        assert!(new.open(&both.seal(vec![1])).is_some());
        assert!(old.open(&both.seal(vec![1])).is_none());
    }

    #[test]
    fn invalid_key_is_reported_by_its_index() {
        assert_eq!(Keys::parse(["12"]).unwrap_err(), 0);
        assert_eq!(Keys::parse([OLD, "zz"]).unwrap_err(), 1);
        assert_eq!(Keys::parse([]).unwrap_err(), 0);
        assert_eq!(Keys::parse([OLD, NEW, OLD]).unwrap_err(), 2);
    }
}
