//! The client against a server of another library, over a stream of our own that gives and takes as few bytes at a
//! time as it is told to.

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

/// One end of a pipe; each call moves so many bytes at the most.
#[derive(Clone)]
struct End {
    from: Bytes,
    to: Bytes,
    most: usize,
}

fn pipe(most: usize) -> (End, End) {
    let (a, b) = (Bytes::default(), Bytes::default());
    (End { from: a.clone(), to: b.clone(), most }, End { from: b, to: a, most })
}

impl Read for End {
    fn read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        let most = bytes.len().min(self.most);
        match self.from.lock().unwrap().read(&mut bytes[..most])? {
            0 => Err(ErrorKind::WouldBlock.into()),
            count => Ok(count),
        }
    }
}

impl Write for End {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let most = bytes.len().min(self.most);
        self.to.lock().unwrap().write(&bytes[..most])
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn client(authority: &CertificateAuthority, own: Option<(&str, &str)>) -> ClientContext {
    let own = own.map(|(cert, key)| (cert.as_bytes(), key.as_bytes()));
    ClientContext::new(ClientFiles { ca: authority.pem.as_bytes(), identity: own }, NOW).unwrap()
}

/// Lets a client and a server that sends back what it gets talk until neither has anything to say; what the client
/// has got.
fn echo(
    link: &mut Transport,
    mut near: End,
    server: &mut SslStream<End>,
    sent: &[u8],
) -> Result<Vec<u8>, TlsError> {
    let (mut got, mut left, mut back, mut quiet) = (Vec::new(), sent, VecDeque::new(), 0);
    while quiet < 10 {
        quiet += 1;
        let most = left.len().min(9_000);
        if link.outbox.len() < 20_000 && most > 0 {
            link.outbox.push(&left[..most]).unwrap();
            left = &left[most..];
            quiet = 0;
        }
        match link.process_io(&mut near)? {
            Fill::Ended => return Ok(got),
            _ if !link.inbox.is_empty() => quiet = 0,
            _ => {}
        }
        got.extend(link.inbox.take(usize::MAX));
        let mut bytes = [0; 5_000];
        match server.ssl_read(&mut bytes) {
            Ok(count) => back.extend(&bytes[..count]),
            Err(error) if error.code() == ErrorCode::WANT_READ => {}
            Err(error) => return Err(TlsError::Other(error.to_string())),
        }
        while !back.is_empty() {
            let bytes = back.make_contiguous();
            let count = server.ssl_write(bytes).unwrap();
            back.drain(..count);
            quiet = 0;
        }
    }
    Ok(got)
}

fn server(acceptor: &openssl::ssl::SslAcceptor, far: End) -> SslStream<End> {
    let mut stream = SslStream::new(Ssl::new(acceptor.context()).unwrap(), far).unwrap();
    // Says which side it is; the handshake goes on with each read.
    let _ = stream.accept();
    stream
}

#[rstest]
fn bytes_pass_both_ways_whole_however_they_are_cut(
    #[values(1, 7, 1_000, 1 << 20)] most: usize,
    #[values(SslVersion::TLS1_2, SslVersion::TLS1_3)] version: SslVersion,
    #[values(false, true)] of_clients: bool,
) {
    let authority = CertificateAuthority::default();
    let acceptor = authority.acceptor("127.0.0.1", 2040, of_clients);
    let mut ssl = Ssl::new(acceptor.context()).unwrap();
    ssl.set_min_proto_version(Some(version)).unwrap();
    ssl.set_max_proto_version(Some(version)).unwrap();
    let (near, far) = pipe(most);
    let mut stream = SslStream::new(ssl, far).unwrap();
    let _ = stream.accept();
    let (cert, key) = authority.issue("pooler", 2040);
    let client = client(&authority, of_clients.then_some((&cert, &key)));
    let budget = Budget::new(2 << 20);
    let mut link = Transport::new(Some(Session::new(&client, "127.0.0.1", &budget).unwrap()), &budget);
    let sent: Vec<u8> =
        (0..if most == 1 { 300 } else { 300_000u32 }).map(|n| (n.wrapping_mul(n) >> 7) as u8).collect();
    let mut got = Vec::new();
    // A pipe of single bytes needs many rounds for one record; each goes on where the last stopped.
    for round in 0..2_000 {
        let part: &[u8] = if round == 0 { &sent } else { &[] };
        got.extend(echo(&mut link, near.clone(), &mut stream, part).unwrap());
        if got.len() == sent.len() {
            break;
        }
    }
    assert_eq!(got.len(), sent.len());
    assert!(got == sent);
    assert!(budget.used() < 700_000, "{}", budget.used());
    drop(link);
    assert_eq!(budget.used(), 0);
}

#[rstest]
#[case::run_out("127.0.0.1", 2024, TlsError::Expired)]
#[case::of_another_address("127.0.0.2", 2040, TlsError::NameMismatch)]
#[case::of_a_name("registry.example", 2040, TlsError::NameMismatch)]
fn a_certificate_that_is_not_the_one_due_ends_it(
    #[case] name: &str,
    #[case] until: i32,
    #[case] fault: TlsError,
) {
    let authority = CertificateAuthority::default();
    let (near, far) = pipe(1 << 20);
    let mut stream = server(&authority.acceptor(name, until, false), far);
    let budget = Budget::new(1 << 20);
    let session = Session::new(&client(&authority, None), "127.0.0.1", &budget).unwrap();
    assert_eq!(echo(&mut Transport::new(Some(session), &budget), near, &mut stream, b"x"), Err(fault));
}

#[test]
fn nobody_else_vouches_and_a_missing_client_certificate_is_told() {
    let (authority, other) = (CertificateAuthority::default(), CertificateAuthority::default());
    let budget = Budget::new(1 << 20);
    let link = |client: &ClientContext| {
        Transport::new(Some(Session::new(client, "127.0.0.1", &budget).unwrap()), &budget)
    };
    let (near, far) = pipe(1 << 20);
    let mut stream = server(&other.acceptor("127.0.0.1", 2040, false), far);
    let fault = echo(&mut link(&client(&authority, None)), near, &mut stream, b"x");
    assert_eq!(fault, Err(TlsError::UnknownIssuer));
    let (near, far) = pipe(1 << 20);
    let mut stream = server(&authority.acceptor("127.0.0.1", 2040, true), far);
    let mut without = link(&client(&authority, None));
    let mut end = near.clone();
    let told = (0..20).find_map(|_| {
        let _ = stream.ssl_read(&mut [0; 10]);
        without.process_io(&mut end).err()
    });
    assert_eq!(told, Some(TlsError::CertificateRejected));
}

#[test]
fn what_is_not_tls_or_is_cut_off_ends_it() {
    let authority = CertificateAuthority::default();
    let budget = Budget::new(1 << 20);
    let session = || Session::new(&client(&authority, None), "127.0.0.1", &budget).unwrap();
    let (mut near, mut far) = pipe(1 << 20);
    far.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n").unwrap();
    assert_eq!(Transport::new(Some(session()), &budget).process_io(&mut near), Err(TlsError::NotTls));
    // The end of the stream without the other side's word may be anybody's doing.
    struct Over;
    impl Read for Over {
        fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
            Ok(0)
        }
    }
    impl Write for Over {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            Ok(bytes.len())
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let cut = TlsError::Io(ErrorKind::UnexpectedEof);
    assert_eq!(Transport::new(Some(session()), &budget).process_io(&mut Over), Err(cut));
    let none = Budget::new(1_000);
    let fault = Session::new(&client(&authority, None), "127.0.0.1", &none).err();
    assert_eq!(fault, Some(TlsError::OutOfMemory));
}

/// A stream that has ended behind what is left in it.
struct Ending(End);

impl Read for Ending {
    fn read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        match self.0.read(bytes) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(0),
            other => other,
        }
    }
}

impl Write for Ending {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn what_came_before_an_end_without_a_word_is_taken_first() {
    let authority = CertificateAuthority::default();
    let (near, far) = pipe(1 << 20);
    let mut stream = server(&authority.acceptor("127.0.0.1", 2040, false), far);
    let budget = Budget::new(1 << 20);
    let session = Session::new(&client(&authority, None), "127.0.0.1", &budget).unwrap();
    let mut link = Transport::new(Some(session), &budget);
    assert_eq!(echo(&mut link, near.clone(), &mut stream, b"x").unwrap(), b"x");
    stream.ssl_write(b"the answer").unwrap();
    let mut ending = Ending(near);
    assert_eq!(link.process_io(&mut ending), Ok(Fill::Full));
    assert_eq!(link.inbox.take(100), b"the answer");
    assert_eq!(link.process_io(&mut ending), Err(TlsError::Io(ErrorKind::UnexpectedEof)));
}

#[test]
fn files_are_checked_before_anybody_is_called() {
    let authority = CertificateAuthority::default();
    let (cert, key) = authority.issue("pooler", 2040);
    let (old, old_key) = authority.issue("pooler", 2024);
    let ca = authority.pem.as_bytes();
    let which = |ca: &[u8], own: Option<(&str, &str)>| {
        let own = own.map(|(cert, key)| (cert.as_bytes(), key.as_bytes()));
        ClientContext::new(ClientFiles { ca, identity: own }, NOW).err().map(|unusable| unusable.file)
    };
    assert_eq!(which(ca, Some((&cert, &key))), None);
    assert_eq!(which(b"", None), Some("ca"));
    assert_eq!(which(&ca[..ca.len() / 2], None), Some("ca"));
    assert_eq!(which(ca, Some((&old, &old_key))), Some("certificate"));
    assert_eq!(which(ca, Some((&cert, &old_key))), Some("key"));
    assert_eq!(which(ca, Some((&cert, &cert))), Some("key"));
    let whole = authority.pem.repeat(40);
    assert_eq!(which(whole.as_bytes(), None), Some("ca"));
    let (which, end) = client(&authority, Some((&cert, &key))).first_expiry().unwrap();
    // The last day of 2040.
    assert_eq!((which, (end / 86_400.0) as u64), ("certificate", 25_932));
}
