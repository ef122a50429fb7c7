//! What a login can be bound to: the hash of the server's certificate (RFC 5929, section 4).

use sha2::{Digest, Sha256, Sha384, Sha512};
use x509_parser::parse_x509_certificate;

/// The certificate's hash, by the hash of its own signature, and SHA-256 where that is weaker. None for a signature
/// without a hash of its own, of which the standard says nothing.
pub(crate) fn endpoint(der: &[u8]) -> Option<Vec<u8>> {
    let (_, certificate) = parse_x509_certificate(der).ok()?;
    match certificate.signature_algorithm.algorithm.to_id_string().as_str() {
        // MD5 and SHA-1 with RSA, SHA-1 with ECDSA; SHA-256 with either.
        "1.2.840.113549.1.1.4" | "1.2.840.113549.1.1.5" | "1.2.840.10045.4.1" => {}
        "1.2.840.113549.1.1.11" | "1.2.840.10045.4.3.2" => {}
        "1.2.840.113549.1.1.12" | "1.2.840.10045.4.3.3" => return Some(Sha384::digest(der).to_vec()),
        "1.2.840.113549.1.1.13" | "1.2.840.10045.4.3.4" => return Some(Sha512::digest(der).to_vec()),
        _ => return None,
    }
    Some(Sha256::digest(der).to_vec())
}
