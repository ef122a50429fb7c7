//! Certificates for the tests, generated when needed.

use std::path::Path;

use openssl::pkey::PKey;
use openssl::ssl::{SslAcceptor, SslMethod, SslVerifyMode};
use openssl::x509::X509;
use rcgen::{date_time_ymd, BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair};

/// A certificate authority.
pub struct CertificateAuthority {
    issuer: Issuer<'static, KeyPair>,
    /// Its certificate.
    pub pem: String,
}

impl Default for CertificateAuthority {
    fn default() -> Self {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        // Must differ from the names of the certificates that it issues, or they would look self-signed.
        params.distinguished_name.push(DnType::CommonName, "an authority");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let pem = params.self_signed(&key).unwrap().pem();
        CertificateAuthority { issuer: Issuer::new(params, key), pem }
    }
}

impl CertificateAuthority {
    /// Issues a certificate for a name or address that is valid until the end of a year. Returns the
    /// certificate and its key.
    pub fn issue(&self, name: &str, expiry_year: i32) -> (String, String) {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(vec![name.to_string()]).unwrap();
        (params.not_before, params.not_after) =
            (date_time_ymd(2020, 1, 1), date_time_ymd(expiry_year, 12, 31));
        (params.signed_by(&key, &self.issuer).unwrap().pem(), key.serialize_pem())
    }

    /// Returns an acceptor with a certificate of this name. With `verify_clients` it requires a client
    /// certificate of this authority.
    pub fn acceptor(&self, name: &str, expiry_year: i32, verify_clients: bool) -> SslAcceptor {
        let (certificate, key) = self.issue(name, expiry_year);
        let mut builder = SslAcceptor::mozilla_intermediate_v5(SslMethod::tls_server()).unwrap();
        builder.set_certificate(&X509::from_pem(certificate.as_bytes()).unwrap()).unwrap();
        builder.set_private_key(&PKey::private_key_from_pem(key.as_bytes()).unwrap()).unwrap();
        if verify_clients {
            builder.cert_store_mut().add_cert(X509::from_pem(self.pem.as_bytes()).unwrap()).unwrap();
            builder.set_verify(SslVerifyMode::PEER | SslVerifyMode::FAIL_IF_NO_PEER_CERT);
        }
        builder.build()
    }
}

/// Writes a file that only its owner may read. Returns its path as a TOML string.
pub fn write_private_file(folder: &Path, name: &str, text: &str) -> String {
    use std::os::unix::fs::PermissionsExt;
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).unwrap();
    format!("{:?}", path.to_str().unwrap())
}
