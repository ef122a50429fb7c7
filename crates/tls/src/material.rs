//! Certificates and keys: parsed from the text of files and checked as far as possible before any connection.

use std::fmt;
use std::sync::Arc;

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use x509_parser::parse_x509_certificate;

use crate::channel_binding::server_end_point;

/// Maximum file size (bytes): about a hundred certificates.
pub const MAX_FILE_BYTES: usize = 256 * 1024;
/// Maximum number of certificates in one file. Guards against a system's CA bundle given by mistake, with
/// which any public certificate authority could vouch for the registry.
const MAX_CERTIFICATES: usize = 32;

/// The texts of a client's files, in PEM.
#[derive(Clone, Copy, Debug)]
pub struct ClientFiles<'a> {
    /// Certificates of the authorities trusted to identify the server.
    pub ca: &'a [u8],
    /// The client's certificate chain, its own certificate first, and its key; none if it presents no
    /// certificate.
    pub identity: Option<(&'a [u8], &'a [u8])>,
}

/// The error for a file that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidFile {
    /// Which file: `ca`, `certificate` or `key`.
    pub file: &'static str,
    /// The fault, and what would be accepted.
    pub message: String,
}

impl fmt::Display for InvalidFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file, self.message)
    }
}

impl std::error::Error for InvalidFile {}

/// The configuration of sessions with connecting clients.
#[derive(Clone, Debug)]
pub struct ServerContext {
    pub(crate) config: Arc<ServerConfig>,
    /// Channel binding data of the server's certificate.
    pub(crate) channel_binding: Option<Arc<[u8]>>,
    /// File and expiry (Unix seconds) of each certificate.
    expiries: Vec<(&'static str, f64)>,
}

impl ServerContext {
    /// Creates a server context from its certificate chain and key, and from the certificates of the
    /// authorities trusted to identify clients if clients must present a certificate. Checks the files at the
    /// time `now` (Unix seconds).
    pub fn new(
        chain: &[u8],
        key: &[u8],
        client_ca: Option<&[u8]>,
        now: f64,
    ) -> Result<ServerContext, InvalidFile> {
        let (chain, key, mut expiries) = parse_identity(chain, key, now)?;
        let channel_binding = chain.first().and_then(|der| server_end_point(der)).map(Into::into);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = ServerConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()
            .map_err(|error| InvalidFile { file: "certificate", message: error.to_string() })?;
        let builder = match client_ca {
            None => builder.with_no_client_auth(),
            Some(text) => {
                let roots = parse_roots(text, &mut expiries)?;
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
        Ok(ServerContext { config: Arc::new(config), channel_binding, expiries })
    }

    /// Returns which file holds the certificate that expires first, and when (Unix seconds).
    pub fn first_expiry(&self) -> Option<(&'static str, f64)> {
        first_expiry(&self.expiries)
    }
}

/// The configuration of sessions with servers.
#[derive(Clone, Debug)]
pub struct ClientContext {
    pub(crate) config: Arc<ClientConfig>,
    /// File and expiry (Unix seconds) of each certificate.
    expiries: Vec<(&'static str, f64)>,
}

impl ClientContext {
    /// Creates a client context. Checks the files at the time `now` (Unix seconds): each is valid PEM, the
    /// key matches the certificate, and each certificate of the client's own chain is within its validity
    /// period.
    pub fn new(files: ClientFiles, now: f64) -> Result<ClientContext, InvalidFile> {
        let mut expiries = Vec::new();
        let roots = parse_roots(files.ca, &mut expiries)?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|error| InvalidFile { file: "ca", message: error.to_string() })?
            .with_root_certificates(roots);
        let config = match files.identity {
            None => builder.with_no_client_auth(),
            Some((chain, key)) => {
                let (chain, key, own_expiries) = parse_identity(chain, key, now)?;
                expiries.extend(own_expiries);
                builder.with_client_auth_cert(chain, key).map_err(|error| InvalidFile {
                    file: "key",
                    message: format!("{error}; accepted: the key of the first certificate"),
                })?
            }
        };
        Ok(ClientContext { config: Arc::new(config), expiries })
    }

    /// Returns which file holds the certificate that expires first, and when (Unix seconds).
    pub fn first_expiry(&self) -> Option<(&'static str, f64)> {
        first_expiry(&self.expiries)
    }
}

fn first_expiry(expiries: &[(&'static str, f64)]) -> Option<(&'static str, f64)> {
    expiries.iter().copied().min_by(|a, b| a.1.total_cmp(&b.1))
}

/// Parses the trusted certificate authorities. An expired one is not an error here, since another may be
/// valid; the handshake decides.
fn parse_roots(text: &[u8], expiries: &mut Vec<(&'static str, f64)>) -> Result<RootCertStore, InvalidFile> {
    let mut roots = RootCertStore::empty();
    for der in parse_certificates("ca", text)? {
        expiries.push(("ca", validity_period("ca", &der)?.1));
        roots.add(der).map_err(|error| InvalidFile { file: "ca", message: error.to_string() })?;
    }
    Ok(roots)
}

/// A certificate chain, its key, and file and expiry of each certificate.
type Identity = (Vec<CertificateDer<'static>>, PrivateKeyDer<'static>, Vec<(&'static str, f64)>);

/// Parses a certificate chain and its key. Each certificate must be within its validity period.
fn parse_identity(chain: &[u8], key: &[u8], now: f64) -> Result<Identity, InvalidFile> {
    let chain = parse_certificates("certificate", chain)?;
    let mut expiries = Vec::new();
    for der in &chain {
        let (begin, end) = validity_period("certificate", der)?;
        if now < begin || now >= end {
            let message = if now < begin { "is not valid yet" } else { "has run out" };
            return Err(InvalidFile { file: "certificate", message: message.into() });
        }
        expiries.push(("certificate", end));
    }
    let key = PrivateKeyDer::from_pem_slice(key).map_err(|error| InvalidFile {
        file: "key",
        message: format!("{error}; accepted: one private key in PEM, not encrypted"),
    })?;
    Ok((chain, key, expiries))
}

fn parse_certificates(file: &'static str, text: &[u8]) -> Result<Vec<CertificateDer<'static>>, InvalidFile> {
    let invalid = |message: String| InvalidFile { file, message };
    let list: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text).take(MAX_CERTIFICATES + 1).collect();
    let list = list.map_err(|error| invalid(format!("{error}; accepted: certificates in PEM")))?;
    match list.len() {
        0 => Err(invalid("contains no certificate; accepted: certificates in PEM".into())),
        1..=MAX_CERTIFICATES => Ok(list),
        _ => Err(invalid(format!("more than {MAX_CERTIFICATES} certificates"))),
    }
}

/// Returns when a certificate's validity begins and ends (Unix seconds).
fn validity_period(file: &'static str, der: &CertificateDer) -> Result<(f64, f64), InvalidFile> {
    let (_, certificate) = parse_x509_certificate(der)
        .map_err(|error| InvalidFile { file, message: format!("not a certificate: {error}") })?;
    let validity = certificate.validity();
    Ok((validity.not_before.timestamp() as f64, validity.not_after.timestamp() as f64))
}
