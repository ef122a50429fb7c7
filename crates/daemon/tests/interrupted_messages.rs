//! Clients whose server connection is taken away while a message of the server is on its way.

mod pool_fixture;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use openssl::ssl::{SslConnector, SslMethod, SslVerifyMode};
use peers::*;
use pool_fixture::*;
use rstest::rstest;

/// What takes the server connection from the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    ServerLost,
    StatementLimit,
    Drain,
    PoolerEnds,
}

impl Cause {
    fn settings(self) -> &'static str {
        match self {
            Cause::ServerLost => "",
            Cause::PoolerEnds => "[daemon]\ndrain_for_s = 1.0\n",
            Cause::StatementLimit => "statement_s = 0.5\n",
            Cause::Drain => "drain_s = 0.5\n",
        }
    }

    fn happen(self, fixture: &Fixture) {
        match self {
            Cause::ServerLost => fixture.replica.close_connections(),
            Cause::StatementLimit => {}
            Cause::Drain => drain_replica(fixture),
            Cause::PoolerEnds => fixture.pooler.signal("TERM"),
        }
    }
}

fn drain_replica(fixture: &Fixture) {
    let (mut watch, _) = fixture.discovery.accept_request();
    let update = list(42, false, &[fixture.replica.list_entry("DRAINING")]);
    let chunk = encode_chunks([format!("{update}\n").as_bytes()]);
    watch.write_all(&[RESPONSE_HEAD.as_bytes(), &chunk].concat()).unwrap();
}

/// Returns a primary, a replica and a pooler that speak TLS with each other and with clients if `secured`, and
/// the folder of their certificates.
fn start(name: &str, secured: bool, settings: &str) -> (Fixture, Option<OperatorFolder>) {
    if !secured {
        return (Fixture::new(name, settings), None);
    }
    let authority = CertificateAuthority::default();
    let folder = OperatorFolder::new(&unique_name("files"), "");
    let (cert, key) = authority.issue("127.0.0.1", 2040);
    let ca = write_private_file(&folder.0, "ca.pem", &authority.pem);
    let (cert, key) =
        (write_private_file(&folder.0, "cert.pem", &cert), write_private_file(&folder.0, "key.pem", &key));
    let server =
        |name, replica| Postgres::with_tls(name, replica, authority.acceptor("127.0.0.1", 2040, false));
    let settings = format!("tls_cert = {cert}\ntls_key = {key}\nserver_tls_ca = {ca}\n{settings}");
    (Fixture::with_servers(server("s-0", false), server("s-1", true), name, &settings), Some(folder))
}

/// Connects a client, over TLS if `secured`, and completes its startup.
fn connect(fixture: &Fixture, secured: bool) -> Box<dyn ReadWrite> {
    let mut stream = TcpStream::connect(fixture.address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(15))).unwrap();
    let mut stream: Box<dyn ReadWrite> = if secured {
        stream.write_all(&pgwire::session::ssl_request()).unwrap();
        stream.read_exact(&mut [0]).unwrap();
        let mut connector = SslConnector::builder(SslMethod::tls()).unwrap();
        connector.set_verify(SslVerifyMode::NONE);
        Box::new(connector.build().connect("127.0.0.1", stream).unwrap())
    } else {
        Box::new(stream)
    };
    stream.write_all(&startup()).unwrap();
    read_until(&mut *stream, b"Z\0\0\0\x05I");
    stream
}

/// Reads up to and including these bytes.
fn read_until(stream: &mut dyn ReadWrite, end: &[u8]) -> Vec<u8> {
    let mut received = Vec::new();
    while !received.ends_with(end) {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        received.push(byte[0]);
    }
    received
}

/// Reads up to the end of the connection, which need not be announced by TLS. Panics if it does not end.
fn read_to_end(stream: &mut dyn ReadWrite) -> Vec<u8> {
    let (mut received, mut buffer) = (Vec::new(), [0; 16 * 1024]);
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return received,
            Ok(count) => received.extend(&buffer[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                panic!("neither the rest of the message nor the end of the connection has come")
            }
            Err(_) => return received,
        }
    }
}

/// Splits the last message, which may be incomplete, off the others. Returns its announced and its received
/// length and what has been received of its body.
fn last_message(received: &[u8]) -> (usize, &[u8]) {
    let mut rest = received;
    loop {
        let announced = u32::from_be_bytes(rest[1..5].try_into().unwrap()) as usize - 4;
        if rest.len() <= announced + 5 {
            return (announced, &rest[5..]);
        }
        rest = &rest[announced + 5..];
    }
}

/// Guards against an error of the pooler's own in the middle of a row or of copied data: the client took its
/// text for the rest of the value, or waited without end for a longer rest.
#[rstest]
fn a_client_can_tell_that_a_message_of_its_server_was_cut(
    #[values(Cause::ServerLost, Cause::StatementLimit, Cause::Drain, Cause::PoolerEnds)] cause: Cause,
    #[values("SELECT cut 49152 60", "SELECT cut 49152 24000", "COPY cut 49152 60 TO STDOUT")] sql: &str,
    #[values(false, true)] secured: bool,
) {
    let (fixture, _certificates) = start("cut", secured, cause.settings());
    wait_for_known_primary(&fixture, secured);
    let mut client = connect(&fixture, secured);
    client.write_all(&query(sql)).unwrap();
    wait_until(|| fixture.replica.statement_count(sql) == 1);
    std::thread::sleep(Duration::from_millis(100));
    cause.happen(&fixture);
    let received = read_to_end(&mut *client);
    let (announced, body) = last_message(&received);
    let missing = announced - body.len();
    let sent_missing: usize = sql.split(' ').nth(3).unwrap().parse().unwrap();
    assert!(missing >= sent_missing, "{announced} bytes were announced and {} received", body.len());
    assert!(
        body.iter().skip(6).all(|byte| *byte == b'x'),
        "the value has bytes that its server did not send"
    );
}

/// Waits until the primary is known: until then a read may go to either server.
fn wait_for_known_primary(fixture: &Fixture, secured: bool) {
    let mut client = connect(fixture, secured);
    client.write_all(&query("BEGIN; SELECT who; COMMIT")).unwrap();
    read_until(&mut *client, b"Z\0\0\0\x05I");
}

/// Guards against a session that is closed although the client has received nothing of the message that was
/// cut: it is told of the loss and goes on. Over TLS, guards against a loss that is never noticed.
#[rstest]
#[case::plain(false)]
#[case::over_tls(true)]
fn a_session_survives_the_loss_of_its_server_within_a_short_row(#[case] secured: bool) {
    let (fixture, _certificates) = start("cut-short", secured, "");
    wait_for_known_primary(&fixture, secured);
    let mut client = connect(&fixture, secured);
    client.write_all(&query("SELECT cut 200 60")).unwrap();
    wait_until(|| fixture.replica.statement_count("SELECT cut") == 1);
    std::thread::sleep(Duration::from_millis(100));
    fixture.replica.close_connections();
    let answer = read_until(&mut *client, b"Z\0\0\0\x05I");
    assert!(answer.windows(7).any(|field| field == b"C08007\0"), "the client was not told of the loss");
    assert!(!answer.contains(&b'x'), "a part of the row was forwarded");
    client.write_all(&query("SELECT 1")).unwrap();
    assert!(read_until(&mut *client, b"Z\0\0\0\x05I").windows(8).any(|part| part == b"SELECT 1"));
}
