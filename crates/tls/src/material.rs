//! Certificates and keys: read from the text of files, checked as far as they can be before anybody is called.

use std::fmt;
use std::sync::Arc;

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use x509_parser::parse_x509_certificate;

use crate::endpoint::endpoint;

/// Longest file that is read (bytes): some hundred certificates.
pub const MAX_FILE_BYTES: usize = 256 * 1024;
/// Most certificates in one file. Guards against a whole system's bundle given by mistake, which would trust the
/// whole world to be the registry.
const MOST: usize = 32;

/// The texts of the files that a client is made of, in PEM.
#[derive(Clone, Copy, Debug)]
pub struct ClientFiles<'a> {
    /// The certificates of whoever may vouch for the other side.
    pub ca: &'a [u8],
    /// The client's own chain, its own certificate first, and the key; none where it has none to show.
    pub identity: Option<(&'a [u8], &'a [u8])>,
}

/// Why files cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidFile {
    /// Which: `ca`, `certificate` or `key`.
    pub file: &'static str,
    /// What is wrong, and what would be accepted.
    pub message: String,
}

impl fmt::Display for InvalidFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file, self.message)
    }
}

impl std::error::Error for InvalidFile {}

/// What the sessions of those who connect here are made from.
#[derive(Clone, Debug)]
pub struct ServerContext {
    pub(crate) config: Arc<ServerConfig>,
    pub(crate) endpoint: Option<Arc<[u8]>>,
    ends: Vec<(&'static str, f64)>,
}

impl ServerContext {
    /// Checks the files and makes a server of them, at the time `now` (Unix seconds): its chain and key, and the
    /// certificates of whoever may vouch for clients, where those are to show one.
    pub fn new(
        chain: &[u8],
        key: &[u8],
        clients: Option<&[u8]>,
        now: f64,
    ) -> Result<ServerContext, InvalidFile> {
        let (chain, key, mut ends) = own(chain, key, now)?;
        let endpoint = chain.first().and_then(|der| endpoint(der)).map(Into::into);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = ServerConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()
            .map_err(|error| InvalidFile { file: "certificate", message: error.to_string() })?;
        let builder = match clients {
            None => builder.with_no_client_auth(),
            Some(text) => {
                let roots = roots(text, &mut ends)?;
                let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider).build();
                let verifier =
                    verifier.map_err(|error| InvalidFile { file: "ca", message: error.to_string() })?;
                builder.with_client_cert_verifier(verifier)
            }
        };
        let config = builder.with_single_cert(chain, key).map_err(|error| InvalidFile {
            file: "key",
            message: format!("{error}; accepted: the key of the first certificate"),
        })?;
        Ok(ServerContext { config: Arc::new(config), endpoint, ends })
    }

    /// Which of the files holds the certificate that runs out first, and when (Unix seconds).
    pub fn first_expiry(&self) -> Option<(&'static str, f64)> {
        first(&self.ends)
    }
}

/// What sessions are made from.
#[derive(Clone, Debug)]
pub struct ClientContext {
    pub(crate) config: Arc<ClientConfig>,
    ends: Vec<(&'static str, f64)>,
}

impl ClientContext {
    /// Checks the files and makes a client of them, at the time `now` (Unix seconds): each is read as PEM, the key
    /// is the certificate's, no certificate of the client's own has run out or does not hold yet.
    pub fn new(files: ClientFiles, now: f64) -> Result<ClientContext, InvalidFile> {
        let mut ends = Vec::new();
        let roots = roots(files.ca, &mut ends)?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|error| InvalidFile { file: "ca", message: error.to_string() })?
            .with_root_certificates(roots);
        let config = match files.identity {
            None => builder.with_no_client_auth(),
            Some((chain, key)) => {
                let (chain, key, own_ends) = own(chain, key, now)?;
                ends.extend(own_ends);
                builder.with_client_auth_cert(chain, key).map_err(|error| InvalidFile {
                    file: "key",
                    message: format!("{error}; accepted: the key of the first certificate"),
                })?
            }
        };
        Ok(ClientContext { config: Arc::new(config), ends })
    }

    /// Which of the files holds the certificate that runs out first, and when (Unix seconds).
    pub fn first_expiry(&self) -> Option<(&'static str, f64)> {
        first(&self.ends)
    }
}

fn first(ends: &[(&'static str, f64)]) -> Option<(&'static str, f64)> {
    ends.iter().copied().min_by(|a, b| a.1.total_cmp(&b.1))
}

/// Those who may vouch for the other side. One whose certificate has run out is left to the handshake: another may
/// vouch in its place.
fn roots(text: &[u8], ends: &mut Vec<(&'static str, f64)>) -> Result<RootCertStore, InvalidFile> {
    let mut roots = RootCertStore::empty();
    for der in certificates("ca", text)? {
        ends.push(("ca", span("ca", &der)?.1));
        roots.add(der).map_err(|error| InvalidFile { file: "ca", message: error.to_string() })?;
    }
    Ok(roots)
}

type Own = (Vec<CertificateDer<'static>>, PrivateKeyDer<'static>, Vec<(&'static str, f64)>);

/// A chain of which each certificate holds now, its key, and when each ends.
fn own(chain: &[u8], key: &[u8], now: f64) -> Result<Own, InvalidFile> {
    let chain = certificates("certificate", chain)?;
    let mut ends = Vec::new();
    for der in &chain {
        let (begin, end) = span("certificate", der)?;
        if now < begin || now >= end {
            let what = if now < begin { "does not hold yet" } else { "has run out" };
            return Err(InvalidFile { file: "certificate", message: what.into() });
        }
        ends.push(("certificate", end));
    }
    let key = PrivateKeyDer::from_pem_slice(key).map_err(|error| InvalidFile {
        file: "key",
        message: format!("{error}; accepted: one private key in PEM, not encrypted"),
    })?;
    Ok((chain, key, ends))
}

fn certificates(which: &'static str, text: &[u8]) -> Result<Vec<CertificateDer<'static>>, InvalidFile> {
    let unusable = |what: String| InvalidFile { file: which, message: what };
    let list: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text).take(MOST + 1).collect();
    let list = list.map_err(|error| unusable(format!("{error}; accepted: certificates in PEM")))?;
    match list.len() {
        0 => Err(unusable("no certificate in it; accepted: certificates in PEM".into())),
        1..=MOST => Ok(list),
        _ => Err(unusable(format!("over {MOST} certificates"))),
    }
}

/// From when until when a certificate holds (Unix seconds).
fn span(which: &'static str, der: &CertificateDer) -> Result<(f64, f64), InvalidFile> {
    let (_, certificate) = parse_x509_certificate(der)
        .map_err(|error| InvalidFile { file: which, message: format!("not a certificate: {error}") })?;
    let validity = certificate.validity();
    Ok((validity.not_before.timestamp() as f64, validity.not_after.timestamp() as f64))
}
