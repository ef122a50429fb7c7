//! Signed operator files. The last line of a signed file is a comment with an HMAC-SHA256 of all before it, so
//! that the file stays a plain one for whoever does not ask for signatures. No I/O.
//!
//! ```text
//! # dewferry-signature: 1 KEY-ID HEX
//! ```
#![warn(missing_docs)]

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};

const MARK: &str = "# dewferry-signature: ";
const VERSION: &str = "1";
/// Fewest bytes of a key: as many as the hash has, below which it could be guessed more easily than that.
pub const MIN_KEY_BYTES: usize = 32;
/// Most bytes of a key file.
pub const MAX_KEY_FILE_BYTES: usize = 1024;

/// A secret key. Never printed.
pub struct Key {
    secret: Vec<u8>,
    id: String,
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "key {}", self.id)
    }
}

/// Why a key or a signature is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SignatureError {
    /// The key file is not at least [`MIN_KEY_BYTES`] bytes in hexadecimal.
    InvalidKey,
    /// The file has no signature on its last line.
    Unsigned,
    /// The signature is of another version or form.
    UnsupportedFormat,
    /// None of the keys has signed it.
    UnknownKey(String),
    /// The file is not what was signed.
    Mismatch(String),
}

impl fmt::Display for SignatureError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SignatureError::InvalidKey => {
                write!(f, "a key file holds at least {MIN_KEY_BYTES} bytes in hexadecimal, on one line")
            }
            SignatureError::Unsigned => f.write_str("not signed: the last line holds no signature"),
            SignatureError::UnsupportedFormat => f.write_str("the signature is of another version or form"),
            SignatureError::UnknownKey(id) => {
                write!(f, "signed with the key {id}, which is none of the keys here")
            }
            SignatureError::Mismatch(id) => write!(f, "changed since it was signed with the key {id}"),
        }
    }
}

impl std::error::Error for SignatureError {}

impl Key {
    /// Reads the text of a key file.
    pub fn parse(text: &str) -> Result<Key, SignatureError> {
        let secret = hex::decode(text.trim()).map_err(|_| SignatureError::InvalidKey)?;
        if secret.len() < MIN_KEY_BYTES || text.len() > MAX_KEY_FILE_BYTES {
            return Err(SignatureError::InvalidKey);
        }
        // Names the key without telling of it: a hash of it, cut short.
        let id = hex::encode(&Sha256::digest(&secret)[..4]);
        Ok(Key { secret, id })
    }

    /// What names the key; tells nothing of it.
    pub fn id(&self) -> &str {
        &self.id
    }

    fn mac(&self, text: &str) -> Result<Hmac<Sha256>, SignatureError> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).map_err(|_| SignatureError::InvalidKey)?;
        mac.update(text.as_bytes());
        Ok(mac)
    }
}

/// The text and its signature line, apart.
fn split(text: &str) -> Option<(&str, &str)> {
    let trimmed = text.trim_end();
    let at = trimmed.rfind('\n').map_or(0, |at| at + 1);
    Some((&text[..at], trimmed[at..].strip_prefix(MARK)?))
}

/// The text with a signature under this key, in place of one that it may have.
pub fn sign(text: &str, key: &Key) -> Result<String, SignatureError> {
    let mut text = split(text).map_or(text, |(body, _)| body).to_string();
    if !text.is_empty() && !text.ends_with('\n') {
        text.push('\n');
    }
    let mac = hex::encode(key.mac(&text)?.finalize().into_bytes());
    Ok(format!("{text}{MARK}{VERSION} {} {mac}\n", key.id))
}

/// The id of the key that has signed a text. Several keys are valid at a time, so that one can take another's
/// place; the comparison takes the same time wherever two signatures differ.
pub fn verify<'k>(text: &str, keys: &'k [Key]) -> Result<&'k str, SignatureError> {
    let (body, line) = split(text).ok_or(SignatureError::Unsigned)?;
    let words: Vec<&str> = line.split(' ').collect();
    let [VERSION, id, mac] = words[..] else { return Err(SignatureError::UnsupportedFormat) };
    let mac = hex::decode(mac).map_err(|_| SignatureError::UnsupportedFormat)?;
    let key = keys.iter().find(|key| key.id == id).ok_or_else(|| SignatureError::UnknownKey(id.into()))?;
    key.mac(body)?.verify_slice(&mac).map_err(|_| SignatureError::Mismatch(id.into()))?;
    Ok(&key.id)
}
