//! What is kept of a password: enough to check it, not enough to use it.

use std::fmt;
use std::str::FromStr;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};

/// Iterations of a new verifier: PostgreSQL's default.
pub const DEFAULT_ITERATIONS: u32 = 4_096;
/// Most iterations that are read. Guards a client of a hostile server, and a server of a file with a slip in it.
const MOST: u32 = 1_000_000;

pub(crate) type Key = [u8; 32];

pub(crate) fn hmac(key: &[u8], parts: &[&[u8]]) -> Key {
    // An HMAC takes a key of any length.
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

/// The password, salted so many times (`Hi` of RFC 5802).
pub(crate) fn salted(password: &str, salt: &[u8], iterations: u32) -> Key {
    let mut last = hmac(password.as_bytes(), &[salt, &1u32.to_be_bytes()]);
    let mut out = last;
    for _ in 1..iterations {
        last = hmac(password.as_bytes(), &[&last]);
        out = xor(&out, &last);
    }
    out
}

/// What a server keeps of a password, in the form in which PostgreSQL does too.
#[derive(Clone, PartialEq, Eq)]
pub struct Verifier {
    pub(crate) iterations: u32,
    pub(crate) salt: Vec<u8>,
    pub(crate) stored: Key,
    pub(crate) server: Key,
}

/// A text that is no verifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidVerifier;

impl fmt::Display for InvalidVerifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a verifier; accepted: SCRAM-SHA-256$ITERATIONS:SALT$STORED:SERVER")
    }
}

impl std::error::Error for InvalidVerifier {}

impl Verifier {
    /// Of a password, with a salt that nobody else has.
    pub fn new(password: &str, salt: &[u8], iterations: u32) -> Verifier {
        let salted = salted(password, salt, iterations);
        let stored = hash(&hmac(&salted, &[b"Client Key"]));
        Verifier { iterations, salt: salt.to_vec(), stored, server: hmac(&salted, &[b"Server Key"]) }
    }

    /// One that no password fits, the same each time for the same name: it tells nobody whether the name is known.
    pub(crate) fn of_nobody(secret: &[u8], user: &str) -> Verifier {
        let salt = hmac(secret, &[b"salt", user.as_bytes()])[..16].to_vec();
        let (stored, server) =
            (hmac(secret, &[b"stored", user.as_bytes()]), hmac(secret, &[b"server", user.as_bytes()]));
        Verifier { iterations: DEFAULT_ITERATIONS, salt, stored, server }
    }
}

impl fmt::Display for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [salt, stored, server] =
            [&self.salt[..], &self.stored, &self.server].map(|bytes| STANDARD.encode(bytes));
        write!(f, "SCRAM-SHA-256${}:{salt}${stored}:{server}", self.iterations)
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
        let (terms, keys) = rest.split_once('$').ok_or(InvalidVerifier)?;
        let (iterations, salt) = terms.split_once(':').ok_or(InvalidVerifier)?;
        let (stored, server) = keys.split_once(':').ok_or(InvalidVerifier)?;
        let key = |text: &str| Key::try_from(STANDARD.decode(text).ok()?).ok();
        let salt = STANDARD
            .decode(salt)
            .ok()
            .filter(|salt| (1..=64).contains(&salt.len()))
            .ok_or(InvalidVerifier)?;
        Ok(Verifier {
            iterations: rounds(iterations).ok_or(InvalidVerifier)?,
            salt,
            stored: key(stored).ok_or(InvalidVerifier)?,
            server: key(server).ok_or(InvalidVerifier)?,
        })
    }
}

/// A number of iterations within its bounds.
pub(crate) fn rounds(text: &str) -> Option<u32> {
    text.parse().ok().filter(|rounds| (1..=MOST).contains(rounds))
}
