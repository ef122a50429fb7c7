//! The server's side of one login.

use std::fmt;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use subtle::ConstantTimeEq;

use crate::verifier::{hash, hmac, xor, Key, Verifier};

/// Longest message that is read (bytes).
const LONGEST: usize = 2_048;

/// Why a login fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A message not of the agreed form.
    Malformed,
    /// Channel binding that there is none of here.
    Binding,
    /// The password is wrong, or the user is not known: nobody is told which.
    Wrong,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::Malformed => "malformed SCRAM message",
            Fault::Binding => "channel binding is not served",
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
    header: String,
}

impl Server {
    /// Takes a client's first message; what it is told. `nonce` is this side's, printable and never used before;
    /// `secret` makes up what is told of users that are not known.
    pub fn begin(
        message: &str,
        user: &str,
        verifier: Option<&Verifier>,
        nonce: &str,
        secret: &[u8],
    ) -> Result<(Server, String), Fault> {
        if message.len() > LONGEST {
            return Err(Fault::Malformed);
        }
        let (binding, rest) = message.split_once(',').ok_or(Fault::Malformed)?;
        let (identity, bare) = rest.split_once(',').ok_or(Fault::Malformed)?;
        match binding {
            // A client that could bind but takes it that this side cannot is right.
            "n" | "y" => {}
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
        let (signed, header) = (format!("{bare},{first}"), format!("{binding},{identity},"));
        Ok((Server { verifier, known, nonce, signed, header }, first))
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
        if STANDARD.decode(channel).ok().as_deref() != Some(self.header.as_bytes()) || nonce != self.nonce {
            return Err(Fault::Malformed);
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
