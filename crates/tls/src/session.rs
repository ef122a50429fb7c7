//! One connection's TLS.

use std::fmt;
use std::io::{self, ErrorKind, Write};
use std::sync::Arc;

use buffer::{Budget, Charge, Fill, Ring};
use rustls::pki_types::ServerName;
use rustls::{CertificateError, ClientConnection, Connection, ServerConnection};

use crate::endpoint::endpoint;
use crate::material::{ClientContext, ServerContext};

/// Most plain bytes that wait within a session to be made into records; what is past it stays in its own buffer.
const WAITING: usize = 16 * 1024;
/// What a session itself takes, at the most: a record that is not whole, a handshake message, plain bytes that are
/// not taken yet, and those that wait.
const TAKES: usize = 96 * 1024;

/// Why a session is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TlsError {
    /// The other side's certificate has run out, or does not hold yet.
    Expired,
    /// It is not of the name, or the address, that was called.
    NameMismatch,
    /// Nobody that is trusted vouches for it.
    UnknownIssuer,
    /// What came is not TLS.
    NotTls,
    /// The other side does not take this client's certificate, or misses one.
    CertificateRejected,
    /// There is no memory left for it.
    OutOfMemory,
    /// The stream has failed, or ended within the handshake.
    Io(ErrorKind),
    /// Something else, in the library's words.
    Other(String),
}

impl fmt::Display for TlsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TlsError::Expired => f.write_str("its certificate has run out, or does not hold yet"),
            TlsError::NameMismatch => f.write_str("its certificate is another name's"),
            TlsError::UnknownIssuer => f.write_str("nobody in the CA file vouches for its certificate"),
            TlsError::NotTls => f.write_str("it does not speak TLS"),
            TlsError::CertificateRejected => f.write_str("it does not take the client's certificate"),
            TlsError::OutOfMemory => f.write_str("no memory left"),
            TlsError::Io(kind) => write!(f, "{kind}"),
            TlsError::Other(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for TlsError {}

impl From<io::Error> for TlsError {
    fn from(error: io::Error) -> TlsError {
        // The library hands its own errors through the stream's where it is read or written as one.
        match error.get_ref().and_then(|inner| inner.downcast_ref::<rustls::Error>()) {
            Some(inner) => inner.clone().into(),
            None => TlsError::Io(error.kind()),
        }
    }
}

impl From<rustls::Error> for TlsError {
    fn from(error: rustls::Error) -> TlsError {
        use rustls::{AlertDescription as Alert, Error};
        use CertificateError as Bad;
        match error {
            Error::InvalidCertificate(
                Bad::Expired | Bad::ExpiredContext { .. } | Bad::NotValidYet | Bad::NotValidYetContext { .. },
            ) => TlsError::Expired,
            Error::InvalidCertificate(Bad::NotValidForName | Bad::NotValidForNameContext { .. }) => {
                TlsError::NameMismatch
            }
            Error::InvalidCertificate(Bad::UnknownIssuer | Bad::BadSignature) => TlsError::UnknownIssuer,
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
    /// What a login over this connection can be bound to, where this side is the server.
    endpoint: Option<Arc<[u8]>>,
    _charge: Charge,
}

/// Takes bytes that came over the connection.
struct Intake<'a>(&'a mut Connection);

impl Write for Intake<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Plain bytes that nobody has taken yet hold up what comes behind them.
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

/// Takes what is to go over the connection, as far as there is room.
struct Outlet<'a>(&'a mut Ring);

impl Write for Outlet<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.push(bytes).map_err(|_| ErrorKind::WouldBlock)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Session {
    /// A session with whoever has a certificate of this name: a DNS name or an IP address.
    pub fn new(client: &ClientContext, name: &str, budget: &Budget) -> Result<Session, TlsError> {
        let name = ServerName::try_from(name.to_string())
            .map_err(|_| TlsError::Other(format!("{name:?} is neither a DNS name nor an IP address")))?;
        Session::over(ClientConnection::new(client.config.clone(), name)?.into(), None, budget)
    }

    /// A session with somebody who connects here.
    pub fn accept(server: &ServerContext, budget: &Budget) -> Result<Session, TlsError> {
        let connection = ServerConnection::new(server.config.clone())?;
        Session::over(connection.into(), server.endpoint.clone(), budget)
    }

    fn over(
        mut connection: Connection,
        endpoint: Option<Arc<[u8]>>,
        budget: &Budget,
    ) -> Result<Session, TlsError> {
        let mut charge = budget.charge();
        charge.set(TAKES).map_err(|_| TlsError::OutOfMemory)?;
        connection.set_buffer_limit(Some(WAITING));
        Ok(Session { connection, endpoint, _charge: charge })
    }

    /// What a login over this connection can be bound to (`tls-server-end-point`): the hash of the server's
    /// certificate, this side's own or the other's. None before the handshake is over, and for a certificate whose
    /// signature has no hash.
    pub fn channel_binding(&self) -> Option<Arc<[u8]>> {
        match &self.connection {
            Connection::Server(_) => self.endpoint.clone(),
            Connection::Client(client) => {
                client.peer_certificates()?.first().and_then(|der| endpoint(der)).map(Into::into)
            }
        }
    }

    /// Whether the other side is known to be who it must be.
    pub fn is_established(&self) -> bool {
        !self.connection.is_handshaking()
    }

    /// Makes records of plain bytes, as far as they fit, and puts what is to go into `wire`.
    pub fn seal(&mut self, plain: &mut Ring, wire: &mut Ring) -> Result<(), TlsError> {
        loop {
            let before = plain.len();
            plain.drain(&mut Writer(&mut self.connection))?;
            self.flush(wire)?;
            // Room that was made by the flush is used for what still waits.
            if plain.is_empty() || plain.len() == before || !wire.is_empty() {
                return Ok(());
            }
        }
    }

    fn flush(&mut self, wire: &mut Ring) -> Result<(), TlsError> {
        while self.connection.wants_write() {
            match self.connection.write_tls(&mut Outlet(wire)) {
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => return Err(error.into()),
            }
        }
        Ok(())
    }

    /// Takes what came, puts plain bytes into `plain` and what is to go in answer into `wire`. Full where `plain`
    /// has no room, ended where the other side has said its last.
    pub fn open(&mut self, came: &mut Ring, plain: &mut Ring, wire: &mut Ring) -> Result<Fill, TlsError> {
        loop {
            let fill = plain.fill(&mut self.connection.reader())?;
            if fill != Fill::Drained || came.is_empty() {
                self.flush(wire)?;
                return Ok(fill);
            }
            let before = came.len();
            let taken = came.drain(&mut Intake(&mut self.connection));
            // An alert that tells the other side what was wrong with it goes out all the same.
            self.flush(wire)?;
            taken?;
            if came.len() == before {
                return Ok(Fill::Drained);
            }
        }
    }
}

/// Takes plain bytes that are to go; full as soon as so many wait.
struct Writer<'a>(&'a mut Connection);

impl Write for Writer<'_> {
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
