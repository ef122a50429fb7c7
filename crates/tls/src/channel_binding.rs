//! Channel binding of type `tls-server-end-point`: the hash of the server's certificate (RFC 5929, section
//! 4).

use sha2::{Digest, Sha256, Sha384, Sha512};
use x509_parser::parse_x509_certificate;

/// Returns the certificate's hash, computed with the hash function of its signature, or with SHA-256 where
/// that is MD5 or SHA-1. Returns none for a signature algorithm without a single hash function, which the RFC
/// does not define.
pub(crate) fn server_end_point(der: &[u8]) -> Option<Vec<u8>> {
    let (_, certificate) = parse_x509_certificate(der).ok()?;
    match certificate.signature_algorithm.algorithm.to_id_string().as_str() {
        // RSA with MD5 or SHA-1, ECDSA with SHA-1; then RSA and ECDSA with SHA-256.
        "1.2.840.113549.1.1.4" | "1.2.840.113549.1.1.5" | "1.2.840.10045.4.1" => {}
        "1.2.840.113549.1.1.11" | "1.2.840.10045.4.3.2" => {}
        "1.2.840.113549.1.1.12" | "1.2.840.10045.4.3.3" => return Some(Sha384::digest(der).to_vec()),
        "1.2.840.113549.1.1.13" | "1.2.840.10045.4.3.4" => return Some(Sha512::digest(der).to_vec()),
        _ => return None,
    }
    Some(Sha256::digest(der).to_vec())
}
