//! Password verifiers: sufficient to check a password, not to log in with it.

use std::fmt;
use std::str::FromStr;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};

/// Iterations of a new verifier; PostgreSQL's default.
pub const DEFAULT_ITERATIONS: u32 = 4_096;
/// Maximum number of iterations accepted. Protects a client from a hostile server, and a server from a
/// mistake in its users file.
const MAX_ITERATIONS: u32 = 1_000_000;

pub(crate) type Key = [u8; 32];

pub(crate) fn hmac(key: &[u8], parts: &[&[u8]]) -> Key {
    // Cannot fail: HMAC accepts keys of any length.
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(key) else { return Key::default() };
    parts.iter().for_each(|part| mac.update(part));
    mac.finalize().into_bytes().into()
}

pub(crate) fn hash(bytes: &[u8]) -> Key {
    Sha256::digest(bytes).into()
}

pub(crate) fn xor(a: &Key, b: &Key) -> Key {
    let mut out = *a;
    out.iter_mut().zip(b).for_each(|(a, b)| *a ^= b);
    out
}

/// Returns the salted password (`Hi` of RFC 5802).
pub(crate) fn salted_password(password: &str, salt: &[u8], iterations: u32) -> Key {
    let mut block = hmac(password.as_bytes(), &[salt, &1u32.to_be_bytes()]);
    let mut out = block;
    for _ in 1..iterations {
        block = hmac(password.as_bytes(), &[&block]);
        out = xor(&out, &block);
    }
    out
}

/// What a server stores of a password, in PostgreSQL's format.
#[derive(Clone, PartialEq, Eq)]
pub struct Verifier {
    pub(crate) iterations: u32,
    pub(crate) salt: Vec<u8>,
    pub(crate) stored_key: Key,
    pub(crate) server_key: Key,
}

/// The error for a text that is not a verifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidVerifier;

impl fmt::Display for InvalidVerifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a verifier; accepted: SCRAM-SHA-256$ITERATIONS:SALT$STORED:SERVER")
    }
}

impl std::error::Error for InvalidVerifier {}

impl Verifier {
    /// Creates a verifier of a password; the salt must be unique to it.
    pub fn new(password: &str, salt: &[u8], iterations: u32) -> Verifier {
        let salted = salted_password(password, salt, iterations);
        let stored_key = hash(&hmac(&salted, &[b"Client Key"]));
        Verifier { iterations, salt: salt.to_vec(), stored_key, server_key: hmac(&salted, &[b"Server Key"]) }
    }

    /// Creates a verifier that matches no password. It is always the same for the same name, so that a login
    /// attempt does not reveal whether the name exists.
    pub(crate) fn for_unknown_user(secret: &[u8], user: &str) -> Verifier {
        let salt = hmac(secret, &[b"salt", user.as_bytes()])[..16].to_vec();
        let (stored_key, server_key) =
            (hmac(secret, &[b"stored", user.as_bytes()]), hmac(secret, &[b"server", user.as_bytes()]));
        Verifier { iterations: DEFAULT_ITERATIONS, salt, stored_key, server_key }
    }
}

impl fmt::Display for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [salt, stored_key, server_key] =
            [&self.salt[..], &self.stored_key, &self.server_key].map(|bytes| STANDARD.encode(bytes));
        write!(f, "SCRAM-SHA-256${}:{salt}${stored_key}:{server_key}", self.iterations)
    }
}

impl fmt::Debug for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a verifier")
    }
}

impl FromStr for Verifier {
    type Err = InvalidVerifier;

    fn from_str(text: &str) -> Result<Verifier, InvalidVerifier> {
        let rest = text.strip_prefix("SCRAM-SHA-256$").ok_or(InvalidVerifier)?;
        let (parameters, keys) = rest.split_once('$').ok_or(InvalidVerifier)?;
        let (iterations, salt) = parameters.split_once(':').ok_or(InvalidVerifier)?;
        let (stored_key, server_key) = keys.split_once(':').ok_or(InvalidVerifier)?;
        let key = |text: &str| Key::try_from(STANDARD.decode(text).ok()?).ok();
        let salt = STANDARD
            .decode(salt)
            .ok()
            .filter(|salt| (1..=64).contains(&salt.len()))
            .ok_or(InvalidVerifier)?;
        Ok(Verifier {
            iterations: parse_iterations(iterations).ok_or(InvalidVerifier)?,
            salt,
            stored_key: key(stored_key).ok_or(InvalidVerifier)?,
            server_key: key(server_key).ok_or(InvalidVerifier)?,
        })
    }
}

/// Parses a number of iterations; returns none if it is out of bounds.
pub(crate) fn parse_iterations(text: &str) -> Option<u32> {
    text.parse().ok().filter(|iterations| (1..=MAX_ITERATIONS).contains(iterations))
}
