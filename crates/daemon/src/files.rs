//! Reads the operator's files, within size limits and after checks of their type and mode.

use std::fs::File;
use std::io::Read;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::time::Duration;

use bundle::Key;
use operator::{Document, MAX_FILE_BYTES};

/// Number of attempts to read a file that changes while it is read, and the delay between them, which is long
/// enough for a writer that is writing the file to finish.
const MAX_ATTEMPTS: u32 = 3;
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// Maximum size of a password file (bytes).
const MAX_PASSWORD_FILE_BYTES: usize = 1024;

/// Reads a file of at most `max_bytes` bytes. If the file is replaced meanwhile, the version that was opened
/// is read; if it is modified in place, it is read again, and refused if it keeps changing.
pub(crate) fn read(path: &Path, max_bytes: usize) -> Result<Vec<u8>, String> {
    let with_path = |fault: String| format!("{}: {fault}", path.display());
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            std::thread::sleep(RETRY_DELAY);
        }
        let mut file = File::open(path).map_err(|error| with_path(error.to_string()))?;
        let state = |file: &File| file.metadata().map(|m| (m.len(), m.mtime(), m.mtime_nsec(), m.is_file()));
        let before = state(&file).map_err(|error| with_path(error.to_string()))?;
        if !before.3 {
            return Err(with_path("not a regular file".into()));
        }
        if before.0 > max_bytes as u64 {
            return Err(with_path(format!("{} bytes; accepted: at most {max_bytes}", before.0)));
        }
        let mut bytes = Vec::with_capacity(before.0 as usize);
        let result = Read::by_ref(&mut file).take(max_bytes as u64 + 1).read_to_end(&mut bytes);
        result.map_err(|error| with_path(error.to_string()))?;
        let after = state(&file).map_err(|error| with_path(error.to_string()))?;
        if before == after && bytes.len() as u64 == before.0 {
            return Ok(bytes);
        }
    }
    Err(with_path("changes while it is read; write a new file and rename it over this one".into()))
}

/// Reads the operator's file.
pub(crate) fn read_document(path: &Path) -> Result<(String, Document), String> {
    let bytes = read(path, MAX_FILE_BYTES)?;
    let with_path = |fault: String| {
        let prefix = format!("{}: ", path.display());
        fault.lines().map(|line| format!("{prefix}{line}")).collect::<Vec<_>>().join("\n")
    };
    let document = operator::parse(&bytes).map_err(|faults| with_path(faults.to_string()))?;
    Ok((String::from_utf8_lossy(&bytes).into_owned(), document))
}

/// Reads a file whose mode permits access to its owner only.
fn read_private(path: &Path, max_bytes: usize) -> Result<Vec<u8>, String> {
    let with_path = |fault: String| format!("{}: {fault}", path.display());
    let mode = std::fs::metadata(path).map_err(|error| with_path(error.to_string()))?.permissions().mode();
    if mode & 0o077 != 0 {
        return Err(with_path(format!("mode {:04o}; accepted: 0600 or stricter", mode & 0o7777)));
    }
    read(path, max_bytes)
}

/// Reads a key file for signatures of documents.
pub(crate) fn read_key(path: &Path) -> Result<Key, String> {
    let with_path = |fault: String| format!("{}: {fault}", path.display());
    let bytes = read_private(path, bundle::MAX_KEY_FILE_BYTES)?;
    let text =
        String::from_utf8(bytes).map_err(|_| with_path(bundle::SignatureError::InvalidKey.to_string()))?;
    Key::parse(&text).map_err(|fault| with_path(fault.to_string()))
}

/// Reads the key files for the state exchange with peers.
pub(crate) fn read_peer_keys(paths: &[PathBuf]) -> Result<replication::Keys, String> {
    let with_path = |path: &Path, fault: &str| format!("{}: {fault}", path.display());
    let mut texts = Vec::new();
    for path in paths {
        let bytes = read_private(path, bundle::MAX_KEY_FILE_BYTES)?;
        texts.push(
            String::from_utf8(bytes)
                .map_err(|_| with_path(path, "not a key; accepted: 64 hexadecimal digits"))?,
        );
    }
    replication::Keys::parse(texts.iter().map(String::as_str)).map_err(|at| match paths.get(at) {
        Some(path) => with_path(path, "not a key; accepted: 64 hexadecimal digits on one line"),
        None => "peers.keys: accepted: 1 or 2 files".into(),
    })
}

/// Reads a password file, whose only line is the password.
pub(crate) fn read_password(path: &Path) -> Result<String, String> {
    let text = String::from_utf8(read_private(path, MAX_PASSWORD_FILE_BYTES)?).unwrap_or_default();
    let line = text.strip_suffix('\n').unwrap_or(&text);
    if line.is_empty() || line.chars().any(char::is_control) {
        return Err(format!("{}: not a password; accepted: one line of UTF-8 text", path.display()));
    }
    Ok(line.to_string())
}

/// Creates the TLS server context for ordinary clients from its files; none if they are served without TLS.
/// `now` is in Unix seconds.
pub(crate) fn pool_tls(pool: &operator::Pool, now: f64) -> Result<Option<tls::ServerContext>, String> {
    let Some((cert, key)) = pool.tls_cert.as_ref().zip(pool.tls_key.as_ref()) else { return Ok(None) };
    let (chain, secret) = (read(cert, tls::MAX_FILE_BYTES)?, read_private(key, tls::MAX_FILE_BYTES)?);
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

/// Creates the TLS client context for server connections of ordinary clients; none if these do not use TLS.
pub(crate) fn server_tls(pool: &operator::Pool, now: f64) -> Result<Option<tls::ClientContext>, String> {
    tls_client(&pool.server_tls_ca, &pool.server_tls_cert, &pool.server_tls_key, now)
}

/// Reads the file of users and their password verifiers.
pub(crate) fn read_users(path: &Path) -> Result<scram::Users, String> {
    let text = String::from_utf8(read_private(path, scram::MAX_FILE_BYTES)?);
    let text = text.map_err(|_| format!("{}: not UTF-8", path.display()))?;
    scram::Users::parse(&text).map_err(|fault| format!("{}: {fault}", path.display()))
}

/// Fills the slice with cryptographically secure random bytes.
pub(crate) fn fill_random(bytes: &mut [u8]) -> Result<(), String> {
    let read = File::open("/dev/urandom").and_then(|mut file| file.read_exact(bytes));
    read.map_err(|error| format!("/dev/urandom: {error}"))
}

/// Creates the TLS client context for connections to a registry; none if these do not use TLS.
pub(crate) fn registry_tls(
    settings: &operator::Registry,
    now: f64,
) -> Result<Option<tls::ClientContext>, String> {
    tls_client(&settings.tls_ca, &settings.tls_cert, &settings.tls_key, now)
}

/// Creates a TLS client context from a file of trusted certificates and, if set, the client's own certificate
/// and key; none without trusted certificates. `now` is in Unix seconds.
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
        Ok::<_, String>((read(cert, tls::MAX_FILE_BYTES)?, read_private(key, tls::MAX_FILE_BYTES)?))
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

/// Checks that a document is signed with one of the keys of the change policy in force, if the policy
/// requires that.
pub(crate) fn check_signature(text: &str, policy: &operator::ChangePolicy) -> Result<(), String> {
    if !policy.require_signature {
        return Ok(());
    }
    let keys = policy.keys.iter().map(|path| read_key(path)).collect::<Result<Vec<Key>, String>>()?;
    bundle::verify(text, &keys).map(drop).map_err(|fault| fault.to_string())
}
