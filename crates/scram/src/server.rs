//! The server side of a login.

use std::fmt;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use subtle::ConstantTimeEq;

use crate::channel::ChannelBinding;
use crate::verifier::{hash, hmac, xor, Key, Verifier};

/// Maximum length of a message (bytes).
const MAX_MESSAGE_BYTES: usize = 2_048;

/// Why a login fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScramError {
    /// A message is malformed.
    Malformed,
    /// The channel binding is not that of this connection; there may be a man in the middle.
    BindingMismatch,
    /// The password is wrong or the user is unknown; the error does not reveal which.
    WrongPassword,
}

impl fmt::Display for ScramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ScramError::Malformed => "malformed SCRAM message",
            ScramError::BindingMismatch => {
                "channel binding does not match this connection, or its offer was removed in transit"
            }
            ScramError::WrongPassword => "password authentication failed",
        })
    }
}

impl std::error::Error for ScramError {}

/// A login in progress.
#[derive(Debug)]
pub struct Server {
    verifier: Verifier,
    /// Whether the user exists; otherwise no password is accepted.
    user_exists: bool,
    nonce: String,
    /// The part of the signed AuthMessage up to and including the server's first message.
    auth_message: String,
    /// The GS2 header and the channel binding data.
    channel_binding: Vec<u8>,
}

impl Server {
    /// Handles a client's first message and returns the server's first message. `nonce` is the server's,
    /// printable and never used before; `secret` generates the answer for unknown users; `channel` is bound
    /// if the client chose channel binding.
    pub fn begin(
        message: &str,
        user: &str,
        verifier: Option<&Verifier>,
        nonce: &str,
        secret: &[u8],
        channel: ChannelBinding,
    ) -> Result<(Server, String), ScramError> {
        if message.len() > MAX_MESSAGE_BYTES {
            return Err(ScramError::Malformed);
        }
        let (gs2_flag, rest) = message.split_once(',').ok_or(ScramError::Malformed)?;
        let (identity, bare) = rest.split_once(',').ok_or(ScramError::Malformed)?;
        match (gs2_flag, channel) {
            ("n", ChannelBinding::Unsupported | ChannelBinding::NotUsed) => {}
            // The client supports channel binding and received no offer; valid only if the server made none.
            ("y", ChannelBinding::Unsupported) => {}
            (flag, ChannelBinding::Bound(_)) if flag == channel.gs2_flag() => {}
            // The server's offer did not reach the client: it was removed in transit.
            ("n" | "y", _) => return Err(ScramError::BindingMismatch),
            _ if gs2_flag.starts_with("p=") => return Err(ScramError::BindingMismatch),
            _ => return Err(ScramError::Malformed),
        }
        if !identity.is_empty() {
            return Err(ScramError::Malformed);
        }
        let mut fields = bare.split(',');
        // The user is that of the startup message; the name given here is ignored, as in PostgreSQL.
        fields.next().and_then(|field| field.strip_prefix("n=")).ok_or(ScramError::Malformed)?;
        let client_nonce =
            fields.next().and_then(|field| field.strip_prefix("r=")).ok_or(ScramError::Malformed)?;
        let printable = |c: char| ('!'..='~').contains(&c) && c != ',';
        if client_nonce.is_empty() || !client_nonce.chars().all(printable) {
            return Err(ScramError::Malformed);
        }
        let user_exists = verifier.is_some();
        let verifier = verifier.cloned().unwrap_or_else(|| Verifier::for_unknown_user(secret, user));
        let nonce = format!("{client_nonce}{nonce}");
        let first = format!("r={nonce},s={},i={}", STANDARD.encode(&verifier.salt), verifier.iterations);
        let auth_message = format!("{bare},{first}");
        let channel_binding = [format!("{gs2_flag},{identity},").as_bytes(), channel.bytes()].concat();
        Ok((Server { verifier, user_exists, nonce, auth_message, channel_binding }, first))
    }

    /// Handles the client's final message. Returns the server's final message if the password is right.
    pub fn finish(self, message: &str) -> Result<String, ScramError> {
        if message.len() > MAX_MESSAGE_BYTES {
            return Err(ScramError::Malformed);
        }
        let (without_proof, proof) = message.rsplit_once(",p=").ok_or(ScramError::Malformed)?;
        let mut fields = without_proof.split(',');
        let channel =
            fields.next().and_then(|field| field.strip_prefix("c=")).ok_or(ScramError::Malformed)?;
        let nonce = fields.next().and_then(|field| field.strip_prefix("r=")).ok_or(ScramError::Malformed)?;
        let channel = STANDARD.decode(channel).map_err(|_| ScramError::Malformed)?;
        if nonce != self.nonce {
            return Err(ScramError::Malformed);
        }
        if channel != self.channel_binding {
            return Err(ScramError::BindingMismatch);
        }
        let proof = STANDARD
            .decode(proof)
            .ok()
            .and_then(|proof| Key::try_from(proof).ok())
            .ok_or(ScramError::Malformed)?;
        let auth_message = format!("{},{without_proof}", self.auth_message);
        let signature = hmac(&self.verifier.stored_key, &[auth_message.as_bytes()]);
        let proof_matches = hash(&xor(&proof, &signature)).ct_eq(&self.verifier.stored_key);
        if !(bool::from(proof_matches) && self.user_exists) {
            return Err(ScramError::WrongPassword);
        }
        let signature = hmac(&self.verifier.server_key, &[auth_message.as_bytes()]);
        Ok(format!("v={}", STANDARD.encode(signature)))
    }
}
