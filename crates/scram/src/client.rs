//! The client side of a login.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use subtle::ConstantTimeEq;

use crate::channel::ChannelBinding;
use crate::server::ScramError;
use crate::verifier::{hash, hmac, parse_iterations, salted_password, xor};

/// A login in progress.
#[derive(Debug)]
pub struct Client {
    nonce: String,
    /// The client's first message without the GS2 header.
    first_bare: String,
    /// The GS2 header and the channel binding data in Base64, as they are signed.
    channel_binding: String,
    /// The signature that the server's final message must carry.
    expected_signature: Option<[u8; 32]>,
}

impl Client {
    /// Begins a login and returns its first message. `nonce` must be printable, without commas, and never
    /// used before.
    pub fn begin(nonce: &str, channel: ChannelBinding) -> (Client, String) {
        // The user name is empty: PostgreSQL uses that of the startup message.
        let first_bare = format!("n=,r={nonce}");
        let header = format!("{},,", channel.gs2_flag());
        let first = format!("{header}{first_bare}");
        let channel_binding = STANDARD.encode([header.as_bytes(), channel.bytes()].concat());
        (Client { nonce: nonce.into(), first_bare, channel_binding, expected_signature: None }, first)
    }

    /// Handles the server's first message and returns the client's final message.
    pub fn answer(&mut self, message: &str, password: &str) -> Result<String, ScramError> {
        let mut fields = message.split(',');
        let mut field =
            |name: &str| fields.next().and_then(|f| f.strip_prefix(name)).ok_or(ScramError::Malformed);
        let (nonce, salt, iterations) = (field("r=")?, field("s=")?, field("i=")?);
        if !nonce.starts_with(&self.nonce) || nonce.len() == self.nonce.len() {
            return Err(ScramError::Malformed);
        }
        let salt = STANDARD.decode(salt).map_err(|_| ScramError::Malformed)?;
        let salted =
            salted_password(password, &salt, parse_iterations(iterations).ok_or(ScramError::Malformed)?);
        let without_proof = format!("c={},r={nonce}", self.channel_binding);
        let auth_message = format!("{},{message},{without_proof}", self.first_bare);
        let key = hmac(&salted, &[b"Client Key"]);
        let proof = xor(&key, &hmac(&hash(&key), &[auth_message.as_bytes()]));
        self.expected_signature = Some(hmac(&hmac(&salted, &[b"Server Key"]), &[auth_message.as_bytes()]));
        Ok(format!("{without_proof},p={}", STANDARD.encode(proof)))
    }

    /// Checks the server's final message, which proves that the server knows the password.
    pub fn finish(&self, message: &str) -> Result<(), ScramError> {
        let signature = message.strip_prefix("v=").and_then(|text| STANDARD.decode(text).ok());
        let signature = signature.ok_or(ScramError::Malformed)?;
        let expected = self.expected_signature.ok_or(ScramError::Malformed)?;
        if bool::from(signature.ct_eq(&expected)) {
            Ok(())
        } else {
            Err(ScramError::WrongPassword)
        }
    }
}
