//! The TLS session of one connection.

use std::fmt;
use std::io::{self, ErrorKind, Write};
use std::sync::Arc;

use buffer::{Budget, Charge, Fill, Ring};
use rustls::pki_types::ServerName;
use rustls::{CertificateError, ClientConnection, Connection, ServerConnection};

use crate::channel_binding::server_end_point;
use crate::material::{ClientContext, ServerContext};

/// Maximum number of plain bytes that a session buffers for encryption; the rest stays in the caller's
/// buffer.
const MAX_UNSENT_BYTES: usize = 16 * 1024;
/// Maximum memory of a session itself (bytes): an incomplete record, a handshake message, plain bytes that
/// are not yet read, and those buffered for encryption.
const MAX_SESSION_BYTES: usize = 96 * 1024;

/// Why a session failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TlsError {
    /// The peer's certificate has expired or is not valid yet.
    Expired,
    /// The peer's certificate is not issued for the name or address connected to.
    NameMismatch,
    /// The peer's certificate is not signed by a trusted authority.
    UnknownIssuer,
    /// The received bytes are not TLS.
    NotTls,
    /// The peer rejected this side's certificate, or requires one that was not presented.
    CertificateRejected,
    /// The memory budget is exhausted.
    OutOfMemory,
    /// The stream failed, or ended without a close_notify alert.
    Io(ErrorKind),
    /// Any other error, as described by the TLS library.
    Other(String),
}

impl fmt::Display for TlsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TlsError::Expired => f.write_str("its certificate has run out or is not valid yet"),
            TlsError::NameMismatch => f.write_str("its certificate is issued for another name"),
            TlsError::UnknownIssuer => f.write_str("no authority in the CA file vouches for its certificate"),
            TlsError::NotTls => f.write_str("it does not speak TLS"),
            TlsError::CertificateRejected => {
                f.write_str("it rejected the client's certificate, or requires one")
            }
            TlsError::OutOfMemory => f.write_str("the memory budget is exhausted"),
            TlsError::Io(kind) => write!(f, "{kind}"),
            TlsError::Other(message) => f.write_str(message),
        }
    }
}

impl std::error::Error for TlsError {}

impl From<io::Error> for TlsError {
    fn from(error: io::Error) -> TlsError {
        // When the library is read from or written to as a stream, its own errors are wrapped in I/O errors.
        match error.get_ref().and_then(|inner| inner.downcast_ref::<rustls::Error>()) {
            Some(inner) => inner.clone().into(),
            None => TlsError::Io(error.kind()),
        }
    }
}

impl From<rustls::Error> for TlsError {
    fn from(error: rustls::Error) -> TlsError {
        use rustls::{AlertDescription as Alert, Error};
        use CertificateError as Invalid;
        match error {
            Error::InvalidCertificate(
                Invalid::Expired
                | Invalid::ExpiredContext { .. }
                | Invalid::NotValidYet
                | Invalid::NotValidYetContext { .. },
            ) => TlsError::Expired,
            Error::InvalidCertificate(Invalid::NotValidForName | Invalid::NotValidForNameContext { .. }) => {
                TlsError::NameMismatch
            }
            Error::InvalidCertificate(Invalid::UnknownIssuer | Invalid::BadSignature) => {
                TlsError::UnknownIssuer
            }
            Error::InvalidMessage(_) => TlsError::NotTls,
            Error::AlertReceived(
                Alert::BadCertificate
                | Alert::CertificateRequired
                | Alert::CertificateExpired
                | Alert::CertificateUnknown
                | Alert::UnknownCA
                | Alert::AccessDenied,
            ) => TlsError::CertificateRejected,
            error => TlsError::Other(error.to_string()),
        }
    }
}

/// The TLS of one connection.
pub struct Session {
    connection: Connection,
    /// Channel binding data of this side's certificate, if this side is the server.
    channel_binding: Option<Arc<[u8]>>,
    _charge: Charge,
}

/// Passes received bytes to the TLS library.
struct RecordInput<'a>(&'a mut Connection);

impl Write for RecordInput<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Decrypted bytes that are not read yet block further records.
        if !self.0.wants_read() {
            return Err(ErrorKind::WouldBlock.into());
        }
        let count = self.0.read_tls(&mut &bytes[..])?;
        self.0.process_new_packets().map_err(io::Error::other)?;
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Stores records to send in a ring, as far as there is room.
struct RecordOutput<'a>(&'a mut Ring);

impl Write for RecordOutput<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.push(bytes).map_err(|_| ErrorKind::WouldBlock)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Session {
    /// Creates a client's session. The server's certificate must be issued for `name`, a DNS name or an IP
    /// address.
    pub fn new(client: &ClientContext, name: &str, budget: &Budget) -> Result<Session, TlsError> {
        let name = ServerName::try_from(name.to_string())
            .map_err(|_| TlsError::Other(format!("{name:?} is neither a DNS name nor an IP address")))?;
        Session::with_connection(ClientConnection::new(client.config.clone(), name)?.into(), None, budget)
    }

    /// Creates a server's session with a connecting client.
    pub fn accept(server: &ServerContext, budget: &Budget) -> Result<Session, TlsError> {
        let connection = ServerConnection::new(server.config.clone())?;
        Session::with_connection(connection.into(), server.channel_binding.clone(), budget)
    }

    fn with_connection(
        mut connection: Connection,
        channel_binding: Option<Arc<[u8]>>,
        budget: &Budget,
    ) -> Result<Session, TlsError> {
        let mut charge = budget.charge();
        charge.set(MAX_SESSION_BYTES).map_err(|_| TlsError::OutOfMemory)?;
        connection.set_buffer_limit(Some(MAX_UNSENT_BYTES));
        Ok(Session { connection, channel_binding, _charge: charge })
    }

    /// Returns the channel binding data (`tls-server-end-point`): the hash of the server's certificate.
    /// Returns none for a certificate whose signature algorithm has no single hash function, and on the
    /// client's side before the server's certificate has arrived.
    pub fn channel_binding(&self) -> Option<Arc<[u8]>> {
        match &self.connection {
            Connection::Server(_) => self.channel_binding.clone(),
            Connection::Client(client) => {
                client.peer_certificates()?.first().and_then(|der| server_end_point(der)).map(Into::into)
            }
        }
    }

    /// Returns true if the handshake is complete. A certificate that the peer must present has then been
    /// verified.
    pub fn is_established(&self) -> bool {
        !self.connection.is_handshaking()
    }

    /// Encrypts plain bytes and stores the records in `to_send`, as far as there is room.
    pub fn seal(&mut self, plain: &mut Ring, to_send: &mut Ring) -> Result<(), TlsError> {
        loop {
            let before = plain.len();
            plain.drain(&mut PlainWriter(&mut self.connection))?;
            self.flush(to_send)?;
            // The flush has made room in the session, which is used for the remaining bytes.
            if plain.is_empty() || plain.len() == before || !to_send.is_empty() {
                return Ok(());
            }
        }
    }

    fn flush(&mut self, to_send: &mut Ring) -> Result<(), TlsError> {
        while self.connection.wants_write() {
            match self.connection.write_tls(&mut RecordOutput(to_send)) {
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => return Err(error.into()),
            }
        }
        Ok(())
    }

    /// Decrypts `received` into `plain`, and stores the session's answers in `to_send`. Returns `Full` if
    /// `plain` has no room, and `Ended` if the peer has sent close_notify.
    pub fn open(
        &mut self,
        received: &mut Ring,
        plain: &mut Ring,
        to_send: &mut Ring,
    ) -> Result<Fill, TlsError> {
        loop {
            let fill = plain.fill(&mut self.connection.reader())?;
            if fill != Fill::Drained || received.is_empty() {
                self.flush(to_send)?;
                return Ok(fill);
            }
            let before = received.len();
            let result = received.drain(&mut RecordInput(&mut self.connection));
            // After an error, the alert for the peer is sent all the same.
            self.flush(to_send)?;
            result?;
            if received.len() == before {
                return Ok(Fill::Drained);
            }
        }
    }
}

/// Passes plain bytes to the TLS library for encryption; blocks while `MAX_UNSENT_BYTES` are buffered.
struct PlainWriter<'a>(&'a mut Connection);

impl Write for PlainWriter<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.0.writer().write(bytes)? {
            0 => Err(ErrorKind::WouldBlock.into()),
            count => Ok(count),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
