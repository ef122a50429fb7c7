//! The client's side of one login.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use subtle::ConstantTimeEq;

use crate::channel::ChannelBinding;
use crate::server::ScramError;
use crate::verifier::{hash, hmac, rounds, salted, xor};

/// A login that has begun.
#[derive(Debug)]
pub struct Client {
    nonce: String,
    bare: String,
    /// The header and what the channel is, as they are signed.
    bound: String,
    /// What the server must sign its last message with.
    expected: Option<[u8; 32]>,
}

impl Client {
    /// Begins a login; the first message. `nonce` is printable, without commas, and never used before.
    pub fn begin(nonce: &str, channel: ChannelBinding) -> (Client, String) {
        // The user is that of the startup message.
        let bare = format!("n=,r={nonce}");
        let header = format!("{},,", channel.word());
        let first = format!("{header}{bare}");
        let bound = STANDARD.encode([header.as_bytes(), channel.bytes()].concat());
        (Client { nonce: nonce.into(), bare, bound, expected: None }, first)
    }

    /// Takes the server's first message; the answer to it.
    pub fn answer(&mut self, message: &str, password: &str) -> Result<String, ScramError> {
        let mut fields = message.split(',');
        let mut field =
            |name: &str| fields.next().and_then(|f| f.strip_prefix(name)).ok_or(ScramError::Malformed);
        let (nonce, salt, iterations) = (field("r=")?, field("s=")?, field("i=")?);
        if !nonce.starts_with(&self.nonce) || nonce.len() == self.nonce.len() {
            return Err(ScramError::Malformed);
        }
        let salt = STANDARD.decode(salt).map_err(|_| ScramError::Malformed)?;
        let salted = salted(password, &salt, rounds(iterations).ok_or(ScramError::Malformed)?);
        let without = format!("c={},r={nonce}", self.bound);
        let signed = format!("{},{message},{without}", self.bare);
        let key = hmac(&salted, &[b"Client Key"]);
        let proof = xor(&key, &hmac(&hash(&key), &[signed.as_bytes()]));
        self.expected = Some(hmac(&hmac(&salted, &[b"Server Key"]), &[signed.as_bytes()]));
        Ok(format!("{without},p={}", STANDARD.encode(proof)))
    }

    /// Takes the server's last message: whether it knows the password too.
    pub fn finish(&self, message: &str) -> Result<(), ScramError> {
        let signature = message.strip_prefix("v=").and_then(|text| STANDARD.decode(text).ok());
        let signature = signature.ok_or(ScramError::Malformed)?;
        let expected = self.expected.ok_or(ScramError::Malformed)?;
        if bool::from(signature.ct_eq(&expected)) {
            Ok(())
        } else {
            Err(ScramError::WrongPassword)
        }
    }
}
