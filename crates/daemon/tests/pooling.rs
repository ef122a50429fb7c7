//! Ordinary clients, most of them a real driver's, through the running program.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use peers::*;
use postgres::{Client, NoTls, SimpleQueryMessage};

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");

/// A primary and a replica behind a pooler.
struct World {
    primary: Postgres,
    replica: Postgres,
    pooler: Pooler,
    address: SocketAddr,
    discovery: Discovery,
    operator: OperatorFolder,
}

impl World {
    fn new(name: &str, more: &str) -> World {
        World::before(Postgres::new("s-0", false), Postgres::new("s-1", true), name, more)
    }

    fn before(primary: Postgres, replica: Postgres, name: &str, more: &str) -> World {
        let discovery = Discovery::listen();
        let settings = format!(
            "[pool]\nlisten = \"127.0.0.1:0\"\nwrite_class = \"order-write\"\nread_class = \"reports\"\ngroup = 2\n{more}"
        );
        let operator = OperatorFolder::new(&format!("pool-{name}"), &settings);
        let known = [&primary, &replica].map(|server| server.list_entry("SERVING"));
        let pooler = Pooler::start_with_operator(PROGRAM, &list(41, true, &known), &discovery, &operator);
        let line = pooler.wait_for_log("ordinary clients connect to ");
        let address = line.split("connect to ").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
        World { primary, replica, pooler, address, discovery, operator }
    }

    /// The same, once it is known which server is the primary: until then a read may go to either.
    fn settled(name: &str, more: &str) -> World {
        let world = World::new(name, more);
        assert_eq!(value(&mut world.client(), "BEGIN; SELECT who; COMMIT"), "s-0");
        world
    }

    fn client(&self) -> Client {
        let text = format!("host=127.0.0.1 port={} user=app dbname=shop", self.address.port());
        Client::connect(&text, NoTls).unwrap()
    }
}

/// The only value of a simple query.
fn value(client: &mut Client, sql: &str) -> String {
    let rows = client.simple_query(sql).unwrap();
    let row = rows.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(String::from),
        _ => None,
    });
    row.unwrap_or_default()
}

fn wait(until: impl Fn() -> bool) {
    let begun = Instant::now();
    while !until() {
        assert!(begun.elapsed() < Duration::from_secs(20));
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn code(result: Result<impl Sized, postgres::Error>) -> String {
    result.err().and_then(|error| error.code().map(|code| code.code().to_string())).unwrap_or_default()
}

#[test]
fn a_driver_s_ordinary_use() {
    let world = World::settled("driver", "");
    let mut client = world.client();
    assert_eq!(value(&mut client, "SELECT who"), "s-1", "reads go to the replica");
    assert_eq!(client.execute("INSERT INTO items VALUES ($1)", &[&"x"]).unwrap(), 1);
    assert_eq!(world.primary.committed_rows(), 1, "and writes to the primary");
    let echo = client.prepare("SELECT $1").unwrap();
    for text in ["a", "b", "c"] {
        assert_eq!(client.query_one(&echo, &[&text]).unwrap().get::<_, &str>(0), text);
    }
    let mut transaction = client.transaction().unwrap();
    transaction.execute("INSERT INTO items VALUES (2)", &[]).unwrap();
    assert_eq!(transaction.query_one(&echo, &[&"in"]).unwrap().get::<_, &str>(0), "in");
    let mut inner = transaction.savepoint("inner").unwrap();
    inner.execute("INSERT INTO items VALUES (3)", &[]).unwrap();
    inner.rollback().unwrap();
    transaction.commit().unwrap();
    assert_eq!(world.primary.committed_rows(), 2);
    let mut transaction = client.transaction().unwrap();
    assert_eq!(code(transaction.query("SELECT fail", &[])), "22012");
    assert_eq!(code(transaction.query("SELECT 1", &[])), "25P02");
    drop(transaction);
    let mut copy = client.copy_in("COPY items FROM STDIN").unwrap();
    copy.write_all(&b"line\n".repeat(10_000)).unwrap();
    assert_eq!(copy.finish().unwrap(), 10_000);
    assert_eq!(world.primary.committed_rows(), 10_002);
    let mut text = String::new();
    client.copy_out("COPY items TO STDOUT").unwrap().read_to_string(&mut text).unwrap();
    assert_eq!(text, "line 0\nline 1\nline 2\n");
    assert_eq!(client.query("SELECT big 20000", &[]).unwrap().len(), 20_000);
    let mut read_only = client.build_transaction().read_only(true).start().unwrap();
    assert_eq!(read_only.query_one("SELECT who", &[]).unwrap().get::<_, &str>(0), "s-1");
    read_only.commit().unwrap();
    assert_eq!(
        world.primary.connections().1 + world.replica.connections().1,
        2,
        "one connection each is enough"
    );
}

#[test]
fn many_clients_share_few_connections_and_none_sees_another_s_state() {
    let world = World::new("share", "servers_each = 3\n");
    std::thread::scope(|scope| {
        for n in 0..12 {
            let world = &world;
            scope.spawn(move || {
                let mut client = world.client();
                let mine = format!("client-{n}");
                client.batch_execute(&format!("SET app.me TO '{mine}'")).unwrap();
                // The same name at all clients, for as many texts.
                let own = client.prepare(&format!("SELECT $1 /* {n} */")).unwrap();
                for round in 0..25 {
                    assert_eq!(value(&mut client, "SHOW app.me"), mine);
                    let mut transaction = client.transaction().unwrap();
                    transaction.batch_execute("SET app.me TO 'lost'").unwrap();
                    transaction.rollback().unwrap();
                    let mut transaction = client.transaction().unwrap();
                    transaction.execute("INSERT INTO items VALUES (1)", &[]).unwrap();
                    let shown = transaction.query_one("SHOW app.me", &[]).unwrap();
                    assert_eq!(shown.get::<_, &str>(0), mine, "undone with its transaction");
                    transaction.commit().unwrap();
                    let text = format!("{n}.{round}");
                    assert_eq!(client.query_one(&own, &[&text]).unwrap().get::<_, &str>(0), text);
                }
            });
        }
    });
    assert_eq!(world.primary.committed_rows(), 300);
    assert!(world.primary.connections().1 <= 3 && world.replica.connections().1 <= 3);
}

#[test]
fn a_session_that_cannot_be_carried_over_keeps_its_connection() {
    let world = World::new("pin", "servers_each = 2\n");
    let (mut one, mut two) = (world.client(), world.client());
    one.batch_execute("CREATE TEMP TABLE x (a int)").unwrap();
    for _ in 0..5 {
        assert_eq!(value(&mut one, "SELECT temporary"), "true");
        assert_eq!(value(&mut two, "BEGIN; SELECT temporary; COMMIT"), "false");
    }
    drop(one);
    wait(|| world.primary.connections().0 <= 1);
    let mut three = world.client();
    three.batch_execute("CREATE TEMP TABLE x (a int); DISCARD ALL").unwrap();
    assert_eq!(value(&mut two, "BEGIN; SELECT temporary; COMMIT"), "false");
}

#[test]
fn a_client_that_vanishes_in_a_transaction_leaves_nothing_behind() {
    let world = World::new("vanish", "servers_each = 1\n");
    for _ in 0..5 {
        let mut client = world.client();
        client.batch_execute("BEGIN; INSERT INTO items VALUES (1); SET app.me TO 'gone'").unwrap();
        // Without a word: not even a Terminate.
        std::mem::forget(client.cancel_token());
        drop(client);
        let mut next = world.client();
        assert_eq!(value(&mut next, "BEGIN; SHOW app.me; COMMIT"), "");
    }
    assert_eq!(world.primary.committed_rows(), 0);
}

#[test]
fn a_server_that_dies_ends_the_transaction_and_not_the_session() {
    let world = World::new("death", "");
    let mut client = world.client();
    let echo = client.prepare("SELECT $1").unwrap();
    client.batch_execute("SET app.me TO 'one'").unwrap();
    let mut transaction = client.transaction().unwrap();
    transaction.execute("INSERT INTO items VALUES (1)", &[]).unwrap();
    world.primary.close_connections();
    assert_eq!(code(transaction.execute("INSERT INTO items VALUES (1)", &[])), "08006");
    assert_eq!(code(transaction.execute("INSERT INTO items VALUES (1)", &[])), "25P02");
    transaction.rollback().unwrap();
    assert_eq!(client.query_one(&echo, &[&"again"]).unwrap().get::<_, &str>(0), "again");
    assert_eq!(value(&mut client, "BEGIN; SHOW app.me; COMMIT"), "one");
    world.primary.set_fail_on_commit(true);
    let mut transaction = client.transaction().unwrap();
    transaction.execute("INSERT INTO items VALUES (1)", &[]).unwrap();
    assert_eq!(code(transaction.commit()), "08007", "nobody knows");
    let commits = world.primary.statement_count("COMMIT");
    assert_eq!(value(&mut client, "SELECT 1"), "SELECT 1");
    assert_eq!(world.primary.statement_count("COMMIT"), commits, "and it is not asked again");
    assert_eq!(world.primary.committed_rows(), 0);
}

#[test]
fn a_stale_plan_is_prepared_anew_the_next_time() {
    let world = World::new("plan", "");
    let mut client = world.client();
    let stale = client.prepare("SELECT stale").unwrap();
    let echo = client.prepare("SELECT $1").unwrap();
    assert_eq!(code(client.query(&stale, &[])), "0A000");
    for _ in 0..3 {
        assert_eq!(client.query_one(&echo, &[&"x"]).unwrap().get::<_, &str>(0), "x");
    }
}

#[test]
fn a_cancel_ends_the_statement_that_it_is_for_and_no_other() {
    let world = World::settled("cancel", "servers_each = 1\n");
    let (mut one, mut two) = (world.client(), world.client());
    let token = one.cancel_token();
    let begun = Instant::now();
    std::thread::scope(|scope| {
        let asking = scope.spawn(|| code(one.batch_execute("SELECT sleep 8000")));
        wait(|| world.replica.statement_count("SELECT sleep") == 1);
        token.cancel_query(NoTls).unwrap();
        assert_eq!(asking.join().unwrap(), "57014");
    });
    assert!(begun.elapsed() < Duration::from_secs(7));
    // One that comes when its session does nothing touches nobody.
    std::thread::scope(|scope| {
        let asking = scope.spawn(|| value(&mut two, "SELECT sleep 400"));
        wait(|| world.replica.statement_count("SELECT sleep") == 2);
        token.cancel_query(NoTls).unwrap();
        assert_eq!(asking.join().unwrap(), "slept");
    });
}

#[test]
fn limits_end_what_is_left_open() {
    let world = World::new("limits", "idle_in_transaction_s = 0.3\nstatement_s = 0.5\n");
    let mut client = world.client();
    client.batch_execute("BEGIN; INSERT INTO items VALUES (1)").unwrap();
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(code(client.batch_execute("INSERT INTO items VALUES (1)")), "25P03");
    client.batch_execute("ROLLBACK").unwrap();
    assert_eq!(code(client.batch_execute("SELECT sleep 5000")), "57014");
    assert_eq!(value(&mut client, "SELECT 1"), "SELECT 1");
    assert_eq!(world.primary.committed_rows(), 0);
}

#[test]
fn an_open_transaction_on_a_drained_server_has_its_time() {
    let world = World::settled("drain", "drain_s = 1\n");
    let (mut one, mut two) = (world.client(), world.client());
    one.batch_execute("BEGIN READ ONLY").unwrap();
    two.batch_execute("BEGIN READ ONLY").unwrap();
    let (mut call, _) = world.discovery.accept_request();
    let drained = list(42, false, &[world.replica.list_entry("DRAINING")]);
    call.write_all(&[RESPONSE_HEAD.as_bytes(), &encode_chunks([format!("{drained}\n").as_bytes()])].concat())
        .unwrap();
    std::thread::sleep(Duration::from_millis(300));
    // The one ends in time, the other does not; what is new goes elsewhere.
    assert_eq!(value(&mut one, "SELECT who"), "s-1");
    one.batch_execute("COMMIT").unwrap();
    assert_eq!(value(&mut one, "SELECT who"), "s-0");
    std::thread::sleep(Duration::from_millis(1_200));
    assert_eq!(code(two.batch_execute("SELECT 1")), "57P01");
    two.batch_execute("ROLLBACK").unwrap();
    assert_eq!(value(&mut two, "SELECT who"), "s-0");
    let _ = &world.pooler;
}

#[test]
fn a_route_gives_a_class_and_what_may_write_never_one_of_the_replicas() {
    let routes = "[route.all]\nclass = \"reports\"\n";
    let world = World::settled("route", routes);
    let mut client = world.client();
    assert_eq!(value(&mut client, "SELECT who"), "s-1");
    client.batch_execute("SET dewferry.class = 'order-write'").unwrap();
    assert_eq!(value(&mut client, "SELECT who"), "s-0", "the session asks for the primary");
    client.batch_execute("RESET dewferry.class").unwrap();
    assert_eq!(value(&mut client, "SELECT who"), "s-1");
    client.batch_execute("INSERT INTO items VALUES (1)").unwrap();
    assert_eq!(world.primary.committed_rows(), 1);
}

#[test]
fn who_does_not_know_the_password_waits_and_learns_nothing() {
    let folder = OperatorFolder::new("pool-users-file", "");
    let users = folder.0.join("users");
    let add = |name: &str, password: &str| {
        let mut command = std::process::Command::new(PROGRAM);
        command.args(["users", "add", name, "--file"]).arg(&users).stdin(std::process::Stdio::piped());
        let mut child = command.stdout(std::process::Stdio::null()).spawn().unwrap();
        child.stdin.take().unwrap().write_all(format!("{password}\n").as_bytes()).unwrap();
        assert!(child.wait().unwrap().success());
    };
    add("app", "right");
    let world = World::new("users", &format!("users = {:?}\n", users.to_str().unwrap()));
    let connect = |user: &str, password: &str| {
        let port = world.address.port();
        Client::connect(
            &format!("host=127.0.0.1 port={port} user={user} password={password} dbname=shop"),
            NoTls,
        )
    };
    assert_eq!(value(&mut connect("app", "right").unwrap(), "SELECT 1"), "SELECT 1");
    let begun = Instant::now();
    let (wrong, nobody) = (connect("app", "wrong").err().unwrap(), connect("nobody", "right").err().unwrap());
    assert_eq!(wrong.to_string(), nobody.to_string());
    assert_eq!((code(Err::<(), _>(wrong)), code(Err::<(), _>(nobody))), ("28P01".into(), "28P01".into()));
    // 0.1 s for the first, 0.2 s for the second.
    assert!(begun.elapsed() > Duration::from_millis(300));
    add("other", "word");
    world.pooler.signal("HUP");
    world.pooler.wait_for_log("config.");
    assert!(connect("other", "word").is_ok());
}

#[test]
fn clients_may_be_made_to_speak_tls() {
    let authority = CertificateAuthority::default();
    let folder = OperatorFolder::new("pool-tls-files", "");
    let (cert, key) = authority.issue("127.0.0.1", 2040);
    let (cert, key) =
        (write_private_file(&folder.0, "cert.pem", &cert), write_private_file(&folder.0, "key.pem", &key));
    let world = World::new("tls", &format!("tls_cert = {cert}\ntls_key = {key}\ntls_required = true\n"));
    let port = world.address.port();
    let plain = format!("host=127.0.0.1 port={port} user=app dbname=shop sslmode=disable");
    assert_eq!(code(Client::connect(&plain, NoTls)), "28000");
    let mut builder = openssl::ssl::SslConnector::builder(openssl::ssl::SslMethod::tls()).unwrap();
    let ca = openssl::x509::X509::from_pem(authority.pem.as_bytes()).unwrap();
    builder.cert_store_mut().add_cert(ca).unwrap();
    let connector = postgres_openssl::MakeTlsConnector::new(builder.build());
    let secure = format!("host=127.0.0.1 port={port} user=app dbname=shop sslmode=require");
    let mut client = Client::connect(&secure, connector).unwrap();
    assert_eq!(value(&mut client, "SELECT 1"), "SELECT 1");
    assert_eq!(client.query("SELECT big 5000", &[]).unwrap().len(), 5_000);
    let mut copy = client.copy_in("COPY items FROM STDIN").unwrap();
    copy.write_all(&b"line\n".repeat(20_000)).unwrap();
    assert_eq!(copy.finish().unwrap(), 20_000);
}

#[test]
fn servers_are_reached_over_tls_alone_where_an_authority_is_named() {
    let (authority, other) = (CertificateAuthority::default(), CertificateAuthority::default());
    let folder = OperatorFolder::new("pool-server-tls-files", "");
    let ca = write_private_file(&folder.0, "ca.pem", &authority.pem);
    let secured =
        |name, replica| Postgres::with_tls(name, replica, authority.acceptor("127.0.0.1", 2040, false));
    let settings = format!("server_tls_ca = {ca}\n");
    let world = World::before(secured("s-0", false), secured("s-1", true), "server-tls", &settings);
    let mut client = world.client();
    client.execute("INSERT INTO items VALUES (1)", &[]).unwrap();
    assert_eq!(client.query("SELECT big 5000", &[]).unwrap().len(), 5_000);
    // Who is vouched for by somebody else gets nothing.
    let false_ones =
        ["s-0", "s-1"].map(|name| Postgres::with_tls(name, false, other.acceptor("127.0.0.1", 2040, false)));
    let [first, second] = false_ones;
    let world = World::before(first, second, "server-tls-false", &settings);
    let mut client = world.client();
    assert!(client.batch_execute("INSERT INTO items VALUES (1)").is_err());
    assert!(world.pooler.wait_for_log("pool.server_tls").contains("vouches"));
    assert_eq!((world.primary.statement_count("INSERT"), world.replica.statement_count("INSERT")), (0, 0));
}

#[test]
fn servers_are_shown_a_certificate_and_a_password_bound_to_the_connection() {
    let authority = CertificateAuthority::default();
    let folder = OperatorFolder::new("pool-server-login-files", "");
    let (cert, key) = authority.issue("pooler", 2040);
    let ca = write_private_file(&folder.0, "ca.pem", &authority.pem);
    let (cert, key) =
        (write_private_file(&folder.0, "cert.pem", &cert), write_private_file(&folder.0, "key.pem", &key));
    let password = write_private_file(&folder.0, "password", "word\n");
    let login =
        format!("server_user = \"pooler\"\nserver_password_file = {password}\nserver_tls_ca = {ca}\n");
    let own = format!("server_tls_cert = {cert}\nserver_tls_key = {key}\n");
    let server = |name, replica, password: &str| {
        let server = Postgres::with_tls(name, replica, authority.acceptor("127.0.0.1", 2040, true));
        server.require_password(password);
        server
    };
    let ask = |name: &str, settings: &str, password: &str| {
        let world =
            World::before(server("s-0", false, password), server("s-1", true, password), name, settings);
        let result = world.client().batch_execute("INSERT INTO items VALUES (1)").is_ok();
        (world, result)
    };
    let (world, served) = ask("server-login", &format!("{login}{own}"), "word");
    assert!(served);
    assert!(world.primary.login_mechanisms().iter().all(|mechanism| mechanism == "SCRAM-SHA-256-PLUS"));
    assert!(!world.primary.login_mechanisms().is_empty());
    // Without a certificate, or with another password, nothing is reached.
    let (world, served) = ask("server-login-bare", &login, "word");
    assert!(!served && world.primary.statement_count("INSERT") == 0);
    let (world, served) = ask("server-login-wrong", &format!("{login}{own}"), "another");
    assert!(!served && world.primary.statement_count("INSERT") == 0);
}

#[test]
fn a_password_is_bound_to_the_connection_where_there_is_tls() {
    let authority = CertificateAuthority::default();
    let folder = OperatorFolder::new("pool-binding-files", "");
    let (cert, key) = authority.issue("127.0.0.1", 2040);
    let (cert, key) =
        (write_private_file(&folder.0, "cert.pem", &cert), write_private_file(&folder.0, "key.pem", &key));
    let verifier = scram::Verifier::new("word", b"a salt", 4_096);
    let users = write_private_file(&folder.0, "users", &format!("app {verifier}\n"));
    let world = World::new("binding", &format!("tls_cert = {cert}\ntls_key = {key}\nusers = {users}\n"));
    let mut builder = openssl::ssl::SslConnector::builder(openssl::ssl::SslMethod::tls()).unwrap();
    let ca = openssl::x509::X509::from_pem(authority.pem.as_bytes()).unwrap();
    builder.cert_store_mut().add_cert(ca).unwrap();
    let connector = postgres_openssl::MakeTlsConnector::new(builder.build());
    let port = world.address.port();
    let connect = |binding: &str, mode: &str| {
        let text = format!(
            "host=127.0.0.1 port={port} user=app password=word dbname=shop sslmode={mode} channel_binding={binding}"
        );
        Client::connect(&text, connector.clone())
    };
    for (binding, mode) in [("require", "require"), ("disable", "require"), ("disable", "disable")] {
        assert_eq!(value(&mut connect(binding, mode).unwrap(), "SELECT 1"), "SELECT 1");
    }
    assert!(connect("require", "disable").is_err(), "nothing to bind to in the clear");
}

#[test]
fn sessions_are_listed_with_what_binds_them() {
    let world = World::new("list", "");
    let (mut one, mut two) = (world.client(), world.client());
    one.batch_execute("CREATE TEMP TABLE x (a int)").unwrap();
    two.batch_execute("BEGIN").unwrap();
    let socket = world.operator.0.join("control");
    let list = |args: &[&str]| {
        let mut command = std::process::Command::new(PROGRAM);
        let output = command.arg("sessions").args(args).arg("--socket").arg(&socket).output();
        String::from_utf8(output.unwrap().stdout).unwrap()
    };
    let told = list(&[]);
    assert!(told.starts_with("2 sessions, ") && told.contains("0 wait for one"), "{told}");
    assert!(told.contains("a temporary table") && told.contains("transaction"), "{told}");
    assert!(list(&["--json"]).contains(r#""bound_by":["a temporary table"]"#));
}

#[test]
fn a_drain_told_while_many_transactions_are_open_ends_them_all_in_time() {
    let world =
        World::settled("drain-many", "drain_s = 1\nclients = 250\nservers = 220\nservers_each = 210\n");
    let mut clients: Vec<Client> = (0..200).map(|_| world.client()).collect();
    clients.iter_mut().for_each(|client| client.batch_execute("BEGIN READ ONLY").unwrap());
    let (mut call, _) = world.discovery.accept_request();
    let drained = list(42, false, &[world.replica.list_entry("DRAINING")]);
    call.write_all(&[RESPONSE_HEAD.as_bytes(), &encode_chunks([format!("{drained}\n").as_bytes()])].concat())
        .unwrap();
    wait(|| world.replica.connections().0 == 0);
    for client in &mut clients {
        assert_eq!(code(client.batch_execute("SELECT 1")), "57P01");
        client.batch_execute("ROLLBACK").unwrap();
    }
    assert_eq!(value(&mut clients[0], "SELECT who"), "s-0");
}

#[test]
fn a_client_that_reads_nothing_costs_its_buffers_and_no_more() {
    let world = World::settled("unread", "statement_s = 2\n");
    let mut stream = std::net::TcpStream::connect(world.address).unwrap();
    stream.write_all(&startup()).unwrap();
    stream.write_all(&query("SELECT big 1000000")).unwrap();
    // A gigabyte is asked for; as long as nobody reads, the others are served, and memory stays.
    let resident = || {
        let status = std::fs::read_to_string(format!("/proc/{}/status", world.pooler.pid())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap().to_string();
        line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap()
    };
    wait(|| world.replica.statement_count("SELECT big") == 1);
    let mut other = world.client();
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(1) {
        assert_eq!(value(&mut other, "SELECT 1"), "SELECT 1");
        assert!(resident() < 100_000, "{} KiB", resident());
    }
    // Its statement takes too long: the server is free again.
    wait(|| world.replica.connections().0 <= 1);
}
