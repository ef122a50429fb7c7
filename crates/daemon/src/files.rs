//! Files of the operator's: read whole within bounds, and only where they are what they must be.

use std::fs::File;
use std::io::Read;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::time::Duration;

use bundle::Key;
use operator::{Document, MAX_FILE_BYTES};

/// Times that a file that changes under its reader is read again, and the pause before (the file of a writer
/// who is at it takes no longer).
const TRIES: u32 = 3;
const PAUSE: Duration = Duration::from_millis(5);

/// Longest file with a password (bytes).
const LONGEST_PASSWORD: usize = 1024;

/// Reads a file of at most so many bytes. One that is replaced meanwhile is read as it was when it was opened;
/// one that is written to in place is read again, and refused if that goes on.
pub(crate) fn read(path: &Path, longest: usize) -> Result<Vec<u8>, String> {
    let named = |fault: String| format!("{}: {fault}", path.display());
    for attempt in 0..TRIES {
        if attempt > 0 {
            std::thread::sleep(PAUSE);
        }
        let mut file = File::open(path).map_err(|error| named(error.to_string()))?;
        let state = |file: &File| file.metadata().map(|m| (m.len(), m.mtime(), m.mtime_nsec(), m.is_file()));
        let before = state(&file).map_err(|error| named(error.to_string()))?;
        if !before.3 {
            return Err(named("not a regular file".into()));
        }
        if before.0 > longest as u64 {
            return Err(named(format!("{} bytes; at most {longest} are read", before.0)));
        }
        let mut bytes = Vec::with_capacity(before.0 as usize);
        let taken = Read::by_ref(&mut file).take(longest as u64 + 1).read_to_end(&mut bytes);
        taken.map_err(|error| named(error.to_string()))?;
        let after = state(&file).map_err(|error| named(error.to_string()))?;
        if before == after && bytes.len() as u64 == before.0 {
            return Ok(bytes);
        }
    }
    Err(named("it is being written to; write a new file and rename it over this one".into()))
}

/// Reads the operator's file.
pub(crate) fn read_document(path: &Path) -> Result<(String, Document), String> {
    let bytes = read(path, MAX_FILE_BYTES)?;
    let named = |fault: String| {
        let place = format!("{}: ", path.display());
        fault.lines().map(|line| format!("{place}{line}")).collect::<Vec<_>>().join("\n")
    };
    let document = operator::parse(&bytes).map_err(|faults| named(faults.to_string()))?;
    Ok((String::from_utf8_lossy(&bytes).into_owned(), document))
}

/// Reads a file that nobody but its owner may read.
fn private(path: &Path, longest: usize) -> Result<Vec<u8>, String> {
    let named = |fault: String| format!("{}: {fault}", path.display());
    let mode = std::fs::metadata(path).map_err(|error| named(error.to_string()))?.permissions().mode();
    if mode & 0o077 != 0 {
        return Err(named(format!("mode {:04o}; accepted: 0600 or stricter", mode & 0o7777)));
    }
    read(path, longest)
}

/// Reads a key file for signatures.
pub(crate) fn read_key(path: &Path) -> Result<Key, String> {
    let named = |fault: String| format!("{}: {fault}", path.display());
    let bytes = private(path, bundle::MAX_KEY_FILE_BYTES)?;
    let text = String::from_utf8(bytes).map_err(|_| named(bundle::SignatureError::InvalidKey.to_string()))?;
    Key::parse(&text).map_err(|fault| named(fault.to_string()))
}

/// Reads the key files of instances that talk.
pub(crate) fn read_peer_keys(paths: &[PathBuf]) -> Result<replication::Keys, String> {
    let named = |path: &Path, fault: &str| format!("{}: {fault}", path.display());
    let mut texts = Vec::new();
    for path in paths {
        let bytes = private(path, bundle::MAX_KEY_FILE_BYTES)?;
        texts.push(
            String::from_utf8(bytes)
                .map_err(|_| named(path, "not a key; accepted: 64 hexadecimal digits"))?,
        );
    }
    replication::Keys::parse(texts.iter().map(String::as_str)).map_err(|at| match paths.get(at) {
        Some(path) => named(path, "not a key; accepted: 64 hexadecimal digits on one line"),
        None => "peers.keys: accepted: 1 or 2 files".into(),
    })
}

/// Reads a password: the file's only line.
pub(crate) fn read_password(path: &Path) -> Result<String, String> {
    let text = String::from_utf8(private(path, LONGEST_PASSWORD)?).unwrap_or_default();
    let line = text.strip_suffix('\n').unwrap_or(&text);
    if line.is_empty() || line.chars().any(char::is_control) {
        return Err(format!("{}: not a password; accepted: one line of UTF-8 text", path.display()));
    }
    Ok(line.to_string())
}

/// Reads the files of TLS for ordinary clients and makes a server of them at the time `now` (Unix seconds); none where
/// they are served without.
pub(crate) fn pool_tls(pool: &operator::Pool, now: f64) -> Result<Option<tls::ServerContext>, String> {
    let Some((cert, key)) = pool.tls_cert.as_ref().zip(pool.tls_key.as_ref()) else { return Ok(None) };
    let (chain, secret) = (read(cert, tls::MAX_FILE_BYTES)?, private(key, tls::MAX_FILE_BYTES)?);
    let clients = pool.tls_client_ca.as_ref().map(|path| read(path, tls::MAX_FILE_BYTES)).transpose()?;
    let server = tls::ServerContext::new(&chain, &secret, clients.as_deref(), now);
    server.map(Some).map_err(|fault| {
        let path = match (fault.file, &pool.tls_client_ca) {
            ("key", _) => key,
            ("ca", Some(path)) => path,
            _ => cert,
        };
        format!("{}: {}", path.display(), fault.message)
    })
}

/// Reads the files of TLS towards the servers of ordinary clients; none where those are called without TLS.
pub(crate) fn server_tls(pool: &operator::Pool, now: f64) -> Result<Option<tls::ClientContext>, String> {
    tls_client(&pool.server_tls_ca, &pool.server_tls_cert, &pool.server_tls_key, now)
}

/// Reads a file of users.
pub(crate) fn read_users(path: &Path) -> Result<scram::Users, String> {
    let text = String::from_utf8(private(path, scram::MAX_FILE_BYTES)?);
    let text = text.map_err(|_| format!("{}: not UTF-8", path.display()))?;
    scram::Users::parse(&text).map_err(|fault| format!("{}: {fault}", path.display()))
}

/// Fills bytes with what nobody can foretell.
pub(crate) fn fill_random(bytes: &mut [u8]) -> Result<(), String> {
    let read = File::open("/dev/urandom").and_then(|mut file| file.read_exact(bytes));
    read.map_err(|error| format!("/dev/urandom: {error}"))
}

/// Reads the files of TLS towards a registry; none where it is called without TLS.
pub(crate) fn registry_tls(
    settings: &operator::Registry,
    now: f64,
) -> Result<Option<tls::ClientContext>, String> {
    tls_client(&settings.tls_ca, &settings.tls_cert, &settings.tls_key, now)
}

/// Reads the certificates of whoever may vouch for the other side, and this side's own certificate and key, and makes
/// a client of them at the time `now` (Unix seconds).
fn tls_client(
    ca: &Option<PathBuf>,
    cert: &Option<PathBuf>,
    key: &Option<PathBuf>,
    now: f64,
) -> Result<Option<tls::ClientContext>, String> {
    let Some(ca) = ca else { return Ok(None) };
    let own = cert.as_ref().zip(key.as_ref());
    let authorities = read(ca, tls::MAX_FILE_BYTES)?;
    let texts = own.map(|(cert, key)| {
        Ok::<_, String>((read(cert, tls::MAX_FILE_BYTES)?, private(key, tls::MAX_FILE_BYTES)?))
    });
    let texts = texts.transpose()?;
    let own_texts = texts.as_ref().map(|(cert, key)| (cert.as_slice(), key.as_slice()));
    let client = tls::ClientContext::new(tls::ClientFiles { ca: &authorities, identity: own_texts }, now);
    client.map(Some).map_err(|fault| {
        let path = match (fault.file, own) {
            ("certificate", Some((cert, _))) => cert,
            ("key", Some((_, key))) => key,
            _ => ca,
        };
        format!("{}: {}", path.display(), fault.message)
    })
}

/// Whether a file's text may be taken under the change policy in force.
pub(crate) fn check_signature(text: &str, policy: &operator::ChangePolicy) -> Result<(), String> {
    if !policy.require_signature {
        return Ok(());
    }
    let keys = policy.keys.iter().map(|path| read_key(path)).collect::<Result<Vec<Key>, String>>()?;
    bundle::verify(text, &keys).map(drop).map_err(|fault| fault.to_string())
}
