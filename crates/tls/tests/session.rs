//! Tests the client against a server of another library (OpenSSL), over an in-memory stream that limits the
//! bytes transferred by each call.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::sync::{Arc, Mutex};

use buffer::{Budget, Fill};
use openssl::ssl::{ErrorCode, Ssl, SslStream, SslVersion};
use peers::CertificateAuthority;
use rstest::rstest;
use tls::{ClientContext, ClientFiles, Session, TlsError, Transport};

/// 2026 in Unix seconds.
const NOW: f64 = 1_780_000_000.0;

type Bytes = Arc<Mutex<VecDeque<u8>>>;

/// One end of a pipe; each call transfers at most `max_bytes`.
#[derive(Clone)]
struct End {
    from: Bytes,
    to: Bytes,
    max_bytes: usize,
}

fn pipe(max_bytes: usize) -> (End, End) {
    let (a, b) = (Bytes::default(), Bytes::default());
    (End { from: a.clone(), to: b.clone(), max_bytes }, End { from: b, to: a, max_bytes })
}

impl Read for End {
    fn read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        let count = bytes.len().min(self.max_bytes);
        match self.from.lock().unwrap().read(&mut bytes[..count])? {
            0 => Err(ErrorKind::WouldBlock.into()),
            count => Ok(count),
        }
    }
}

impl Write for End {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let count = bytes.len().min(self.max_bytes);
        self.to.lock().unwrap().write(&bytes[..count])
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn client(authority: &CertificateAuthority, identity: Option<(&str, &str)>) -> ClientContext {
    let identity = identity.map(|(cert, key)| (cert.as_bytes(), key.as_bytes()));
    ClientContext::new(ClientFiles { ca: authority.pem.as_bytes(), identity }, NOW).unwrap()
}

/// Runs a client against a server that echoes what it receives, until neither has anything to send. Returns
/// the bytes that the client received.
fn echo(
    transport: &mut Transport,
    mut client_end: End,
    server: &mut SslStream<End>,
    sent: &[u8],
) -> Result<Vec<u8>, TlsError> {
    let (mut received, mut left, mut to_echo, mut idle_rounds) = (Vec::new(), sent, VecDeque::new(), 0);
    while idle_rounds < 10 {
        idle_rounds += 1;
        let count = left.len().min(9_000);
        if transport.outbox.len() < 20_000 && count > 0 {
            transport.outbox.push(&left[..count]).unwrap();
            left = &left[count..];
            idle_rounds = 0;
        }
        match transport.process_io(&mut client_end)? {
            Fill::Ended => return Ok(received),
            _ if !transport.inbox.is_empty() => idle_rounds = 0,
            _ => {}
        }
        received.extend(transport.inbox.take(usize::MAX));
        let mut bytes = [0; 5_000];
        match server.ssl_read(&mut bytes) {
            Ok(count) => to_echo.extend(&bytes[..count]),
            Err(error) if error.code() == ErrorCode::WANT_READ => {}
            Err(error) => return Err(TlsError::Other(error.to_string())),
        }
        while !to_echo.is_empty() {
            let bytes = to_echo.make_contiguous();
            let count = server.ssl_write(bytes).unwrap();
            to_echo.drain(..count);
            idle_rounds = 0;
        }
    }
    Ok(received)
}

fn server(acceptor: &openssl::ssl::SslAcceptor, server_end: End) -> SslStream<End> {
    let mut stream = SslStream::new(Ssl::new(acceptor.context()).unwrap(), server_end).unwrap();
    // Puts the stream into the server role; the handshake continues with each read.
    let _ = stream.accept();
    stream
}

#[rstest]
fn bytes_are_echoed_intact_however_the_stream_splits_them(
    #[values(1, 7, 1_000, 1 << 20)] max_bytes: usize,
    #[values(SslVersion::TLS1_2, SslVersion::TLS1_3)] version: SslVersion,
    #[values(false, true)] client_certificate: bool,
) {
    let authority = CertificateAuthority::default();
    let acceptor = authority.acceptor("127.0.0.1", 2040, client_certificate);
    let mut ssl = Ssl::new(acceptor.context()).unwrap();
    ssl.set_min_proto_version(Some(version)).unwrap();
    ssl.set_max_proto_version(Some(version)).unwrap();
    let (client_end, server_end) = pipe(max_bytes);
    let mut stream = SslStream::new(ssl, server_end).unwrap();
    let _ = stream.accept();
    let (cert, key) = authority.issue("pooler", 2040);
    let client = client(&authority, client_certificate.then_some((&cert, &key)));
    let budget = Budget::new(2 << 20);
    let mut transport = Transport::new(Some(Session::new(&client, "127.0.0.1", &budget).unwrap()), &budget);
    let sent: Vec<u8> =
        (0..if max_bytes == 1 { 300 } else { 300_000u32 }).map(|n| (n.wrapping_mul(n) >> 7) as u8).collect();
    let mut received = Vec::new();
    // A pipe that transfers single bytes needs many rounds for one record; each continues the previous one.
    for round in 0..2_000 {
        let part: &[u8] = if round == 0 { &sent } else { &[] };
        received.extend(echo(&mut transport, client_end.clone(), &mut stream, part).unwrap());
        if received.len() == sent.len() {
            break;
        }
    }
    assert_eq!(received.len(), sent.len());
    assert!(received == sent);
    assert!(budget.used() < 700_000, "{}", budget.used());
    drop(transport);
    assert_eq!(budget.used(), 0);
}

#[rstest]
#[case::expired("127.0.0.1", 2024, TlsError::Expired)]
#[case::wrong_address("127.0.0.2", 2040, TlsError::NameMismatch)]
#[case::name_instead_of_address("registry.example", 2040, TlsError::NameMismatch)]
fn an_invalid_server_certificate_fails_the_handshake(
    #[case] name: &str,
    #[case] last_year: i32,
    #[case] expected: TlsError,
) {
    let authority = CertificateAuthority::default();
    let (client_end, server_end) = pipe(1 << 20);
    let mut stream = server(&authority.acceptor(name, last_year, false), server_end);
    let budget = Budget::new(1 << 20);
    let session = Session::new(&client(&authority, None), "127.0.0.1", &budget).unwrap();
    assert_eq!(
        echo(&mut Transport::new(Some(session), &budget), client_end, &mut stream, b"x"),
        Err(expected)
    );
}

#[test]
fn an_unknown_authority_and_a_missing_client_certificate_are_reported() {
    let (authority, other) = (CertificateAuthority::default(), CertificateAuthority::default());
    let budget = Budget::new(1 << 20);
    let transport = |client: &ClientContext| {
        Transport::new(Some(Session::new(client, "127.0.0.1", &budget).unwrap()), &budget)
    };
    let (client_end, server_end) = pipe(1 << 20);
    let mut stream = server(&other.acceptor("127.0.0.1", 2040, false), server_end);
    let result = echo(&mut transport(&client(&authority, None)), client_end, &mut stream, b"x");
    assert_eq!(result, Err(TlsError::UnknownIssuer));
    let (client_end, server_end) = pipe(1 << 20);
    let mut stream = server(&authority.acceptor("127.0.0.1", 2040, true), server_end);
    let mut without_certificate = transport(&client(&authority, None));
    let mut end = client_end.clone();
    let error = (0..20).find_map(|_| {
        let _ = stream.ssl_read(&mut [0; 10]);
        without_certificate.process_io(&mut end).err()
    });
    assert_eq!(error, Some(TlsError::CertificateRejected));
}

#[test]
fn data_that_is_not_tls_and_a_truncated_stream_are_errors() {
    let authority = CertificateAuthority::default();
    let budget = Budget::new(1 << 20);
    let session = || Session::new(&client(&authority, None), "127.0.0.1", &budget).unwrap();
    let (mut client_end, mut server_end) = pipe(1 << 20);
    server_end.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n").unwrap();
    assert_eq!(Transport::new(Some(session()), &budget).process_io(&mut client_end), Err(TlsError::NotTls));
    // An end of the stream without close_notify may be caused by anybody.
    struct Closed;
    impl Read for Closed {
        fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
            Ok(0)
        }
    }
    impl Write for Closed {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            Ok(bytes.len())
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let truncated = TlsError::Io(ErrorKind::UnexpectedEof);
    assert_eq!(Transport::new(Some(session()), &budget).process_io(&mut Closed), Err(truncated));
    let too_small = Budget::new(1_000);
    let error = Session::new(&client(&authority, None), "127.0.0.1", &too_small).err();
    assert_eq!(error, Some(TlsError::OutOfMemory));
}

/// A stream that ends after the bytes that are left in it.
struct EndingStream(End);

impl Read for EndingStream {
    fn read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        match self.0.read(bytes) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(0),
            other => other,
        }
    }
}

impl Write for EndingStream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn bytes_before_an_end_without_close_notify_are_delivered() {
    let authority = CertificateAuthority::default();
    let (client_end, server_end) = pipe(1 << 20);
    let mut stream = server(&authority.acceptor("127.0.0.1", 2040, false), server_end);
    let budget = Budget::new(1 << 20);
    let session = Session::new(&client(&authority, None), "127.0.0.1", &budget).unwrap();
    let mut transport = Transport::new(Some(session), &budget);
    assert_eq!(echo(&mut transport, client_end.clone(), &mut stream, b"x").unwrap(), b"x");
    stream.ssl_write(b"the answer").unwrap();
    let mut ending = EndingStream(client_end);
    assert!(!transport.is_truncated());
    assert_eq!(transport.process_io(&mut ending), Ok(Fill::Full));
    assert!(transport.is_truncated(), "nothing tells a user of the bytes that no more will come");
    assert_eq!(transport.inbox.take(100), b"the answer");
    assert_eq!(transport.process_io(&mut ending), Err(TlsError::Io(ErrorKind::UnexpectedEof)));
}

#[test]
fn files_are_checked_before_any_connection() {
    let authority = CertificateAuthority::default();
    let (cert, key) = authority.issue("pooler", 2040);
    let (expired, expired_key) = authority.issue("pooler", 2024);
    let ca = authority.pem.as_bytes();
    let invalid_file = |ca: &[u8], identity: Option<(&str, &str)>| {
        let identity = identity.map(|(cert, key)| (cert.as_bytes(), key.as_bytes()));
        ClientContext::new(ClientFiles { ca, identity }, NOW).err().map(|error| error.file)
    };
    assert_eq!(invalid_file(ca, Some((&cert, &key))), None);
    assert_eq!(invalid_file(b"", None), Some("ca"));
    assert_eq!(invalid_file(&ca[..ca.len() / 2], None), Some("ca"));
    assert_eq!(invalid_file(ca, Some((&expired, &expired_key))), Some("certificate"));
    assert_eq!(invalid_file(ca, Some((&cert, &expired_key))), Some("key"));
    assert_eq!(invalid_file(ca, Some((&cert, &cert))), Some("key"));
    let too_many = authority.pem.repeat(40);
    assert_eq!(invalid_file(too_many.as_bytes(), None), Some("ca"));
    let (file, expiry) = client(&authority, Some((&cert, &key))).first_expiry().unwrap();
    // The last day of 2040.
    assert_eq!((file, (expiry / 86_400.0) as u64), ("certificate", 25_932));
}
