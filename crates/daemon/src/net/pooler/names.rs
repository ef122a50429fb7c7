//! Names that clients choose, shortened where they are kept or logged.

use std::sync::Arc;

use sha2::{Digest as _, Sha256};

/// Maximum length of a session's name that is kept as it is (bytes).
const MAX_SESSION_NAME_BYTES: usize = 128;
/// Maximum length of a name in a log line (bytes).
const MAX_LOGGED_BYTES: usize = 64;

/// Returns the name under which a session's writes are remembered. A long key is replaced by its digest, which is the
/// same at every instance.
pub(super) fn session_name(key: String) -> Arc<str> {
    if key.len() <= MAX_SESSION_NAME_BYTES {
        return key.into();
    }
    format!("sha256:{}", hex::encode(Sha256::digest(key))).into()
}

/// Returns the beginning of a name, for the log.
pub(super) fn for_log(name: &str) -> &str {
    let end = (0..=MAX_LOGGED_BYTES.min(name.len())).rev().find(|end| name.is_char_boundary(*end));
    &name[..end.unwrap_or_default()]
}

#[cfg(test)]
mod tests;
