//! The server's side of one login.

use std::fmt;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use subtle::ConstantTimeEq;

use crate::channel::ChannelBinding;
use crate::verifier::{hash, hmac, xor, Key, Verifier};

/// Longest message that is read (bytes).
const LONGEST: usize = 2_048;

/// Why a login fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScramError {
    /// A message not of the agreed form.
    Malformed,
    /// Channel binding that is not what this connection has: somebody may stand in between.
    BindingMismatch,
    /// The password is wrong, or the user is not known: nobody is told which.
    WrongPassword,
}

impl fmt::Display for ScramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ScramError::Malformed => "malformed SCRAM message",
            ScramError::BindingMismatch => {
                "the login is bound to another connection, or its binding was struck out"
            }
            ScramError::WrongPassword => "password authentication failed",
        })
    }
}

impl std::error::Error for ScramError {}

/// A login that has begun.
#[derive(Debug)]
pub struct Server {
    verifier: Verifier,
    /// Whether the user is known: else nothing is right.
    known: bool,
    nonce: String,
    /// What both sides sign, up to and with the server's first message.
    signed: String,
    /// The header and what the channel is.
    bound: Vec<u8>,
}

impl Server {
    /// Takes a client's first message; what it is told. `nonce` is this side's, printable and never used before;
    /// `secret` makes up what is told of users that are not known; `channel` is bound where the client has chosen so.
    pub fn begin(
        message: &str,
        user: &str,
        verifier: Option<&Verifier>,
        nonce: &str,
        secret: &[u8],
        channel: ChannelBinding,
    ) -> Result<(Server, String), ScramError> {
        if message.len() > LONGEST {
            return Err(ScramError::Malformed);
        }
        let (binding, rest) = message.split_once(',').ok_or(ScramError::Malformed)?;
        let (identity, bare) = rest.split_once(',').ok_or(ScramError::Malformed)?;
        match (binding, channel) {
            ("n", ChannelBinding::Unsupported | ChannelBinding::NotUsed) => {}
            // A client that could bind, and was not offered it: right where it was not.
            ("y", ChannelBinding::Unsupported) => {}
            (word, ChannelBinding::Bound(_)) if word == channel.word() => {}
            // It was offered, and did not reach the client: somebody has struck it out.
            ("n" | "y", _) => return Err(ScramError::BindingMismatch),
            _ if binding.starts_with("p=") => return Err(ScramError::BindingMismatch),
            _ => return Err(ScramError::Malformed),
        }
        if !identity.is_empty() {
            return Err(ScramError::Malformed);
        }
        let mut fields = bare.split(',');
        // The user is that of the startup message; what stands here is not looked at, as at PostgreSQL.
        fields.next().and_then(|field| field.strip_prefix("n=")).ok_or(ScramError::Malformed)?;
        let theirs = fields.next().and_then(|field| field.strip_prefix("r=")).ok_or(ScramError::Malformed)?;
        let printable = |c: char| ('!'..='~').contains(&c) && c != ',';
        if theirs.is_empty() || !theirs.chars().all(printable) {
            return Err(ScramError::Malformed);
        }
        let known = verifier.is_some();
        let verifier = verifier.cloned().unwrap_or_else(|| Verifier::of_nobody(secret, user));
        let nonce = format!("{theirs}{nonce}");
        let first = format!("r={nonce},s={},i={}", STANDARD.encode(&verifier.salt), verifier.iterations);
        let signed = format!("{bare},{first}");
        let bound = [format!("{binding},{identity},").as_bytes(), channel.bytes()].concat();
        Ok((Server { verifier, known, nonce, signed, bound }, first))
    }

    /// Takes the client's last message; what it is told where its password is right.
    pub fn finish(self, message: &str) -> Result<String, ScramError> {
        if message.len() > LONGEST {
            return Err(ScramError::Malformed);
        }
        let (without, proof) = message.rsplit_once(",p=").ok_or(ScramError::Malformed)?;
        let mut fields = without.split(',');
        let channel =
            fields.next().and_then(|field| field.strip_prefix("c=")).ok_or(ScramError::Malformed)?;
        let nonce = fields.next().and_then(|field| field.strip_prefix("r=")).ok_or(ScramError::Malformed)?;
        let channel = STANDARD.decode(channel).map_err(|_| ScramError::Malformed)?;
        if nonce != self.nonce {
            return Err(ScramError::Malformed);
        }
        if channel != self.bound {
            return Err(ScramError::BindingMismatch);
        }
        let proof = STANDARD
            .decode(proof)
            .ok()
            .and_then(|proof| Key::try_from(proof).ok())
            .ok_or(ScramError::Malformed)?;
        let signed = format!("{},{without}", self.signed);
        let signature = hmac(&self.verifier.stored, &[signed.as_bytes()]);
        let right = hash(&xor(&proof, &signature)).ct_eq(&self.verifier.stored);
        if !(bool::from(right) && self.known) {
            return Err(ScramError::WrongPassword);
        }
        let signature = hmac(&self.verifier.server, &[signed.as_bytes()]);
        Ok(format!("v={}", STANDARD.encode(signature)))
    }
}
