//! Signed operator files. The last line of a signed file is a comment with the HMAC-SHA256 of the text before
//! it, so that readers that do not require signatures can parse the file as it is. No I/O.
//!
//! ```text
//! # dewferry-signature: 1 KEY-ID HEX
//! ```
#![warn(missing_docs)]

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};

const SIGNATURE_PREFIX: &str = "# dewferry-signature: ";
const VERSION: &str = "1";
/// Minimum length of a key (bytes): the length of the hash. A shorter key would be easier to guess than the
/// hash.
pub const MIN_KEY_BYTES: usize = 32;
/// Maximum length of a key file (bytes).
pub const MAX_KEY_FILE_BYTES: usize = 1024;

/// A secret key. `Debug` prints only its id.
pub struct Key {
    secret: Vec<u8>,
    id: String,
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "key {}", self.id)
    }
}

/// Reason why a key or a signature is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SignatureError {
    /// The key file is not hexadecimal, shorter than [`MIN_KEY_BYTES`] or longer than [`MAX_KEY_FILE_BYTES`].
    InvalidKey,
    /// The file has no signature on its last line.
    Unsigned,
    /// The signature has another version or format.
    UnsupportedFormat,
    /// None of the keys has this id.
    UnknownKey(String),
    /// The file differs from the signed one.
    Mismatch(String),
}

impl fmt::Display for SignatureError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SignatureError::InvalidKey => {
                write!(f, "a key file must hold at least {MIN_KEY_BYTES} bytes in hexadecimal, on one line")
            }
            SignatureError::Unsigned => f.write_str("not signed: the last line holds no signature"),
            SignatureError::UnsupportedFormat => f.write_str("the signature has another version or format"),
            SignatureError::UnknownKey(id) => {
                write!(f, "signed with the key {id}, which is not one of the given keys")
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
        // A truncated hash identifies the key without revealing it.
        let id = hex::encode(&Sha256::digest(&secret)[..4]);
        Ok(Key { secret, id })
    }

    /// Id of the key, which does not reveal it.
    pub fn id(&self) -> &str {
        &self.id
    }

    fn mac(&self, text: &str) -> Result<Hmac<Sha256>, SignatureError> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).map_err(|_| SignatureError::InvalidKey)?;
        mac.update(text.as_bytes());
        Ok(mac)
    }
}

/// Splits the text from its signature line.
fn split(text: &str) -> Option<(&str, &str)> {
    let trimmed = text.trim_end();
    let line_start = trimmed.rfind('\n').map_or(0, |newline| newline + 1);
    Some((&text[..line_start], trimmed[line_start..].strip_prefix(SIGNATURE_PREFIX)?))
}

/// Signs a text with `key`; replaces the signature that the text may have.
pub fn sign(text: &str, key: &Key) -> Result<String, SignatureError> {
    let mut text = split(text).map_or(text, |(body, _)| body).to_string();
    if !text.is_empty() && !text.ends_with('\n') {
        text.push('\n');
    }
    let mac = hex::encode(key.mac(&text)?.finalize().into_bytes());
    Ok(format!("{text}{SIGNATURE_PREFIX}{VERSION} {} {mac}\n", key.id))
}

/// Returns the id of the key that has signed a text. Several keys can be valid at a time, so that keys can be
/// rotated. The signatures are compared in constant time.
pub fn verify<'k>(text: &str, keys: &'k [Key]) -> Result<&'k str, SignatureError> {
    let (body, line) = split(text).ok_or(SignatureError::Unsigned)?;
    let fields: Vec<&str> = line.split(' ').collect();
    let [VERSION, id, mac] = fields[..] else { return Err(SignatureError::UnsupportedFormat) };
    let mac = hex::decode(mac).map_err(|_| SignatureError::UnsupportedFormat)?;
    let key = keys.iter().find(|key| key.id == id).ok_or_else(|| SignatureError::UnknownKey(id.into()))?;
    key.mac(body)?.verify_slice(&mac).map_err(|_| SignatureError::Mismatch(id.into()))?;
    Ok(&key.id)
}
