//! The server's side of one login.

use std::fmt;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use subtle::ConstantTimeEq;

use crate::channel::Channel;
use crate::verifier::{hash, hmac, xor, Key, Verifier};

/// Longest message that is read (bytes).
const LONGEST: usize = 2_048;

/// Why a login fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A message not of the agreed form.
    Malformed,
    /// Channel binding that is not what this connection has: somebody may stand in between.
    Binding,
    /// The password is wrong, or the user is not known: nobody is told which.
    Wrong,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::Malformed => "malformed SCRAM message",
            Fault::Binding => "the login is bound to another connection, or its binding was struck out",
            Fault::Wrong => "password authentication failed",
        })
    }
}

impl std::error::Error for Fault {}

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
        channel: Channel,
    ) -> Result<(Server, String), Fault> {
        if message.len() > LONGEST {
            return Err(Fault::Malformed);
        }
        let (binding, rest) = message.split_once(',').ok_or(Fault::Malformed)?;
        let (identity, bare) = rest.split_once(',').ok_or(Fault::Malformed)?;
        match (binding, channel) {
            ("n", Channel::Open | Channel::Unbound) => {}
            // A client that could bind, and was not offered it: right where it was not.
            ("y", Channel::Open) => {}
            (word, Channel::Bound(_)) if word == channel.word() => {}
            // It was offered, and did not reach the client: somebody has struck it out.
            ("n" | "y", _) => return Err(Fault::Binding),
            _ if binding.starts_with("p=") => return Err(Fault::Binding),
            _ => return Err(Fault::Malformed),
        }
        if !identity.is_empty() {
            return Err(Fault::Malformed);
        }
        let mut fields = bare.split(',');
        // The user is that of the startup message; what stands here is not looked at, as at PostgreSQL.
        fields.next().and_then(|field| field.strip_prefix("n=")).ok_or(Fault::Malformed)?;
        let theirs = fields.next().and_then(|field| field.strip_prefix("r=")).ok_or(Fault::Malformed)?;
        let printable = |c: char| ('!'..='~').contains(&c) && c != ',';
        if theirs.is_empty() || !theirs.chars().all(printable) {
            return Err(Fault::Malformed);
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
    pub fn finish(self, message: &str) -> Result<String, Fault> {
        if message.len() > LONGEST {
            return Err(Fault::Malformed);
        }
        let (without, proof) = message.rsplit_once(",p=").ok_or(Fault::Malformed)?;
        let mut fields = without.split(',');
        let channel = fields.next().and_then(|field| field.strip_prefix("c=")).ok_or(Fault::Malformed)?;
        let nonce = fields.next().and_then(|field| field.strip_prefix("r=")).ok_or(Fault::Malformed)?;
        let channel = STANDARD.decode(channel).map_err(|_| Fault::Malformed)?;
        if nonce != self.nonce {
            return Err(Fault::Malformed);
        }
        if channel != self.bound {
            return Err(Fault::Binding);
        }
        let proof = STANDARD
            .decode(proof)
            .ok()
            .and_then(|proof| Key::try_from(proof).ok())
            .ok_or(Fault::Malformed)?;
        let signed = format!("{},{without}", self.signed);
        let signature = hmac(&self.verifier.stored, &[signed.as_bytes()]);
        let right = hash(&xor(&proof, &signature)).ct_eq(&self.verifier.stored);
        if !(bool::from(right) && self.known) {
            return Err(Fault::Wrong);
        }
        let signature = hmac(&self.verifier.server, &[signed.as_bytes()]);
        Ok(format!("v={}", STANDARD.encode(signature)))
    }
}
