//! PostgreSQL clients, most of them a real driver's, through the running program.

mod pool_fixture;

use std::io::{Read, Write};
use std::time::{Duration, Instant};

use peers::*;
use pool_fixture::*;
use postgres::{Client, NoTls};

#[test]
fn statements_transactions_and_copies_of_a_driver_work() {
    let fixture = Fixture::with_known_primary("driver", "");
    let mut client = fixture.client();
    assert_eq!(value(&mut client, "SELECT who"), "s-1", "a read did not go to the replica");
    assert_eq!(client.execute("INSERT INTO items VALUES ($1)", &[&"x"]).unwrap(), 1);
    assert_eq!(fixture.primary.committed_rows(), 1, "a write did not go to the primary");
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
    assert_eq!(fixture.primary.committed_rows(), 2);
    let mut transaction = client.transaction().unwrap();
    assert_eq!(code(transaction.query("SELECT fail", &[])), "22012");
    assert_eq!(code(transaction.query("SELECT 1", &[])), "25P02");
    drop(transaction);
    let mut copy = client.copy_in("COPY items FROM STDIN").unwrap();
    copy.write_all(&b"line\n".repeat(10_000)).unwrap();
    assert_eq!(copy.finish().unwrap(), 10_000);
    assert_eq!(fixture.primary.committed_rows(), 10_002);
    let mut text = String::new();
    client.copy_out("COPY items TO STDOUT").unwrap().read_to_string(&mut text).unwrap();
    assert_eq!(text, "line 0\nline 1\nline 2\n");
    assert_eq!(client.query("SELECT big 20000", &[]).unwrap().len(), 20_000);
    let mut read_only = client.build_transaction().read_only(true).start().unwrap();
    assert_eq!(read_only.query_one("SELECT who", &[]).unwrap().get::<_, &str>(0), "s-1");
    read_only.commit().unwrap();
    assert_eq!(
        fixture.primary.connections().1 + fixture.replica.connections().1,
        2,
        "expected one connection to each server"
    );
}

#[test]
fn clients_share_server_connections_without_seeing_each_other_s_settings() {
    let fixture = Fixture::new("share", "servers_each = 3\n");
    std::thread::scope(|scope| {
        for n in 0..12 {
            let fixture = &fixture;
            scope.spawn(move || {
                let mut client = fixture.client();
                let client_name = format!("client-{n}");
                client.batch_execute(&format!("SET app.me TO '{client_name}'")).unwrap();
                // All clients prepare a statement of the same name with different texts.
                let statement = client.prepare(&format!("SELECT $1 /* {n} */")).unwrap();
                for round in 0..25 {
                    assert_eq!(value(&mut client, "SHOW app.me"), client_name);
                    let mut transaction = client.transaction().unwrap();
                    transaction.batch_execute("SET app.me TO 'lost'").unwrap();
                    transaction.rollback().unwrap();
                    let mut transaction = client.transaction().unwrap();
                    transaction.execute("INSERT INTO items VALUES (1)", &[]).unwrap();
                    let shown = transaction.query_one("SHOW app.me", &[]).unwrap();
                    assert_eq!(
                        shown.get::<_, &str>(0),
                        client_name,
                        "a setting outlived the rollback of its transaction"
                    );
                    transaction.commit().unwrap();
                    let text = format!("{n}.{round}");
                    assert_eq!(client.query_one(&statement, &[&text]).unwrap().get::<_, &str>(0), text);
                }
            });
        }
    });
    assert_eq!(fixture.primary.committed_rows(), 300);
    assert!(fixture.primary.connections().1 <= 3 && fixture.replica.connections().1 <= 3);
}

#[test]
fn a_session_with_a_temporary_table_keeps_its_server_connection() {
    let fixture = Fixture::new("pin", "servers_each = 2\n");
    let (mut one, mut two) = (fixture.client(), fixture.client());
    one.batch_execute("CREATE TEMP TABLE x (a int)").unwrap();
    for _ in 0..5 {
        assert_eq!(value(&mut one, "SELECT temporary"), "true");
        assert_eq!(value(&mut two, "BEGIN; SELECT temporary; COMMIT"), "false");
    }
    drop(one);
    wait_until(|| fixture.primary.connections().0 <= 1);
    let mut three = fixture.client();
    three.batch_execute("CREATE TEMP TABLE x (a int); DISCARD ALL").unwrap();
    assert_eq!(value(&mut two, "BEGIN; SELECT temporary; COMMIT"), "false");
}

#[test]
fn the_transaction_of_a_client_that_disconnects_is_rolled_back() {
    let fixture = Fixture::new("vanish", "servers_each = 1\n");
    for _ in 0..5 {
        let mut client = fixture.client();
        client.batch_execute("BEGIN; INSERT INTO items VALUES (1); SET app.me TO 'gone'").unwrap();
        // The connection ends without a Terminate message.
        std::mem::forget(client.cancel_token());
        drop(client);
        let mut next = fixture.client();
        assert_eq!(value(&mut next, "BEGIN; SHOW app.me; COMMIT"), "");
    }
    assert_eq!(fixture.primary.committed_rows(), 0);
}

#[test]
fn a_lost_server_connection_ends_the_transaction_but_not_the_session() {
    let fixture = Fixture::new("death", "");
    let mut client = fixture.client();
    let echo = client.prepare("SELECT $1").unwrap();
    client.batch_execute("SET app.me TO 'one'").unwrap();
    let mut transaction = client.transaction().unwrap();
    transaction.execute("INSERT INTO items VALUES (1)", &[]).unwrap();
    fixture.primary.close_connections();
    assert_eq!(code(transaction.execute("INSERT INTO items VALUES (1)", &[])), "08006");
    assert_eq!(code(transaction.execute("INSERT INTO items VALUES (1)", &[])), "25P02");
    transaction.rollback().unwrap();
    assert_eq!(client.query_one(&echo, &[&"again"]).unwrap().get::<_, &str>(0), "again");
    assert_eq!(value(&mut client, "BEGIN; SHOW app.me; COMMIT"), "one");
    fixture.primary.set_fail_on_commit(true);
    let mut transaction = client.transaction().unwrap();
    transaction.execute("INSERT INTO items VALUES (1)", &[]).unwrap();
    assert_eq!(code(transaction.commit()), "08007", "the outcome of the commit is unknown");
    let commits = fixture.primary.statement_count("COMMIT");
    assert_eq!(value(&mut client, "SELECT 1"), "SELECT 1");
    assert_eq!(fixture.primary.statement_count("COMMIT"), commits, "the commit was repeated");
    assert_eq!(fixture.primary.committed_rows(), 0);
}

#[test]
fn a_statement_with_an_outdated_plan_is_prepared_again() {
    let fixture = Fixture::new("plan", "");
    let mut client = fixture.client();
    let stale = client.prepare("SELECT stale").unwrap();
    let echo = client.prepare("SELECT $1").unwrap();
    assert_eq!(code(client.query(&stale, &[])), "0A000");
    for _ in 0..3 {
        assert_eq!(client.query_one(&echo, &[&"x"]).unwrap().get::<_, &str>(0), "x");
    }
}

#[test]
fn a_cancel_request_ends_only_the_statement_of_its_session() {
    let fixture = Fixture::with_known_primary("cancel", "servers_each = 1\n");
    let (mut one, mut two) = (fixture.client(), fixture.client());
    let token = one.cancel_token();
    let started = Instant::now();
    std::thread::scope(|scope| {
        let statement = scope.spawn(|| code(one.batch_execute("SELECT sleep 8000")));
        wait_until(|| fixture.replica.statement_count("SELECT sleep") == 1);
        token.cancel_query(NoTls).unwrap();
        assert_eq!(statement.join().unwrap(), "57014");
    });
    assert!(started.elapsed() < Duration::from_secs(7));
    // A cancel request for an idle session has no effect on another session.
    std::thread::scope(|scope| {
        let statement = scope.spawn(|| value(&mut two, "SELECT sleep 400"));
        wait_until(|| fixture.replica.statement_count("SELECT sleep") == 2);
        token.cancel_query(NoTls).unwrap();
        assert_eq!(statement.join().unwrap(), "slept");
    });
}

#[test]
fn time_limits_end_idle_transactions_and_long_statements() {
    let fixture = Fixture::new("limits", "idle_in_transaction_s = 0.3\nstatement_s = 0.5\n");
    let mut client = fixture.client();
    client.batch_execute("BEGIN; INSERT INTO items VALUES (1)").unwrap();
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(code(client.batch_execute("INSERT INTO items VALUES (1)")), "25P03");
    client.batch_execute("ROLLBACK").unwrap();
    assert_eq!(code(client.batch_execute("SELECT sleep 5000")), "57014");
    assert_eq!(value(&mut client, "SELECT 1"), "SELECT 1");
    assert_eq!(fixture.primary.committed_rows(), 0);
}

#[test]
fn an_open_transaction_on_a_draining_server_is_ended_after_the_drain_time() {
    let fixture = Fixture::with_known_primary("drain", "drain_s = 1\n");
    let (mut one, mut two) = (fixture.client(), fixture.client());
    one.batch_execute("BEGIN READ ONLY").unwrap();
    two.batch_execute("BEGIN READ ONLY").unwrap();
    let (mut watch, _) = fixture.discovery.accept_request();
    let update = list(42, false, &[fixture.replica.list_entry("DRAINING")]);
    watch
        .write_all(&[RESPONSE_HEAD.as_bytes(), &encode_chunks([format!("{update}\n").as_bytes()])].concat())
        .unwrap();
    std::thread::sleep(Duration::from_millis(300));
    // One transaction ends in time, the other does not; new queries go to another server.
    assert_eq!(value(&mut one, "SELECT who"), "s-1");
    one.batch_execute("COMMIT").unwrap();
    assert_eq!(value(&mut one, "SELECT who"), "s-0");
    std::thread::sleep(Duration::from_millis(1_200));
    assert_eq!(code(two.batch_execute("SELECT 1")), "57P01");
    two.batch_execute("ROLLBACK").unwrap();
    assert_eq!(value(&mut two, "SELECT who"), "s-0");
    let _ = &fixture.pooler;
}

#[test]
fn a_route_sets_the_class_and_writes_go_to_the_primary() {
    let routes = "[route.all]\nclass = \"reports\"\n";
    let fixture = Fixture::with_known_primary("route", routes);
    let mut client = fixture.client();
    assert_eq!(value(&mut client, "SELECT who"), "s-1");
    client.batch_execute("SET dewferry.class = 'order-write'").unwrap();
    assert_eq!(value(&mut client, "SELECT who"), "s-0", "the class that the session set was not used");
    client.batch_execute("RESET dewferry.class").unwrap();
    assert_eq!(value(&mut client, "SELECT who"), "s-1");
    client.batch_execute("INSERT INTO items VALUES (1)").unwrap();
    assert_eq!(fixture.primary.committed_rows(), 1);
}

#[test]
fn a_failed_login_is_delayed_and_does_not_reveal_whether_the_user_exists() {
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
    let fixture = Fixture::new("users", &format!("users = {:?}\n", users.to_str().unwrap()));
    let connect = |user: &str, password: &str| {
        let port = fixture.address.port();
        Client::connect(
            &format!("host=127.0.0.1 port={port} user={user} password={password} dbname=shop"),
            NoTls,
        )
    };
    assert_eq!(value(&mut connect("app", "right").unwrap(), "SELECT 1"), "SELECT 1");
    let started = Instant::now();
    let (wrong, unknown_user) =
        (connect("app", "wrong").err().unwrap(), connect("nobody", "right").err().unwrap());
    assert_eq!(wrong.to_string(), unknown_user.to_string());
    assert_eq!(
        (code(Err::<(), _>(wrong)), code(Err::<(), _>(unknown_user))),
        ("28P01".into(), "28P01".into())
    );
    // The delay is 0.1 s for the first failed login and 0.2 s for the second.
    assert!(started.elapsed() > Duration::from_millis(300));
    add("other", "word");
    fixture.pooler.signal("HUP");
    fixture.pooler.wait_for_log("config.");
    assert!(connect("other", "word").is_ok());
}

#[test]
fn tls_required_rejects_clients_without_tls() {
    let authority = CertificateAuthority::default();
    let folder = OperatorFolder::new("pool-tls-files", "");
    let (cert, key) = authority.issue("127.0.0.1", 2040);
    let (cert, key) =
        (write_private_file(&folder.0, "cert.pem", &cert), write_private_file(&folder.0, "key.pem", &key));
    let fixture = Fixture::new("tls", &format!("tls_cert = {cert}\ntls_key = {key}\ntls_required = true\n"));
    let port = fixture.address.port();
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
fn with_server_tls_ca_only_servers_of_that_authority_are_used() {
    let (authority, other) = (CertificateAuthority::default(), CertificateAuthority::default());
    let folder = OperatorFolder::new("pool-server-tls-files", "");
    let ca = write_private_file(&folder.0, "ca.pem", &authority.pem);
    let server =
        |name, replica| Postgres::with_tls(name, replica, authority.acceptor("127.0.0.1", 2040, false));
    let settings = format!("server_tls_ca = {ca}\n");
    let fixture = Fixture::with_servers(server("s-0", false), server("s-1", true), "server-tls", &settings);
    let mut client = fixture.client();
    client.execute("INSERT INTO items VALUES (1)", &[]).unwrap();
    assert_eq!(client.query("SELECT big 5000", &[]).unwrap().len(), 5_000);
    // A server whose certificate is of another authority gets no statement.
    let untrusted =
        ["s-0", "s-1"].map(|name| Postgres::with_tls(name, false, other.acceptor("127.0.0.1", 2040, false)));
    let [first, second] = untrusted;
    let fixture = Fixture::with_servers(first, second, "server-tls-false", &settings);
    let mut client = fixture.client();
    assert!(client.batch_execute("INSERT INTO items VALUES (1)").is_err());
    assert!(fixture.pooler.wait_for_log("pool.server_tls").contains("vouches"));
    assert_eq!(
        (fixture.primary.statement_count("INSERT"), fixture.replica.statement_count("INSERT")),
        (0, 0)
    );
}

#[test]
fn servers_get_a_client_certificate_and_a_password_with_channel_binding() {
    let authority = CertificateAuthority::default();
    let folder = OperatorFolder::new("pool-server-login-files", "");
    let (cert, key) = authority.issue("pooler", 2040);
    let ca = write_private_file(&folder.0, "ca.pem", &authority.pem);
    let (cert, key) =
        (write_private_file(&folder.0, "cert.pem", &cert), write_private_file(&folder.0, "key.pem", &key));
    let password = write_private_file(&folder.0, "password", "word\n");
    let login =
        format!("server_user = \"pooler\"\nserver_password_file = {password}\nserver_tls_ca = {ca}\n");
    let certificate = format!("server_tls_cert = {cert}\nserver_tls_key = {key}\n");
    let server = |name, replica, password: &str| {
        let server = Postgres::with_tls(name, replica, authority.acceptor("127.0.0.1", 2040, true));
        server.require_password(password);
        server
    };
    let try_insert = |name: &str, settings: &str, password: &str| {
        let fixture = Fixture::with_servers(
            server("s-0", false, password),
            server("s-1", true, password),
            name,
            settings,
        );
        let result = fixture.client().batch_execute("INSERT INTO items VALUES (1)").is_ok();
        (fixture, result)
    };
    let (fixture, served) = try_insert("server-login", &format!("{login}{certificate}"), "word");
    assert!(served);
    assert!(fixture.primary.login_mechanisms().iter().all(|mechanism| mechanism == "SCRAM-SHA-256-PLUS"));
    assert!(!fixture.primary.login_mechanisms().is_empty());
    // Without a certificate, or with a wrong password, no statement is sent.
    let (fixture, served) = try_insert("server-login-bare", &login, "word");
    assert!(!served && fixture.primary.statement_count("INSERT") == 0);
    let (fixture, served) = try_insert("server-login-wrong", &format!("{login}{certificate}"), "another");
    assert!(!served && fixture.primary.statement_count("INSERT") == 0);
}

#[test]
fn client_logins_use_channel_binding_only_over_tls() {
    let authority = CertificateAuthority::default();
    let folder = OperatorFolder::new("pool-binding-files", "");
    let (cert, key) = authority.issue("127.0.0.1", 2040);
    let (cert, key) =
        (write_private_file(&folder.0, "cert.pem", &cert), write_private_file(&folder.0, "key.pem", &key));
    let verifier = scram::Verifier::new("word", b"a salt", 4_096);
    let users = write_private_file(&folder.0, "users", &format!("app {verifier}\n"));
    let fixture = Fixture::new("binding", &format!("tls_cert = {cert}\ntls_key = {key}\nusers = {users}\n"));
    let mut builder = openssl::ssl::SslConnector::builder(openssl::ssl::SslMethod::tls()).unwrap();
    let ca = openssl::x509::X509::from_pem(authority.pem.as_bytes()).unwrap();
    builder.cert_store_mut().add_cert(ca).unwrap();
    let connector = postgres_openssl::MakeTlsConnector::new(builder.build());
    let port = fixture.address.port();
    let connect = |binding: &str, mode: &str| {
        let text = format!(
            "host=127.0.0.1 port={port} user=app password=word dbname=shop sslmode={mode} channel_binding={binding}"
        );
        Client::connect(&text, connector.clone())
    };
    for (binding, mode) in [("require", "require"), ("disable", "require"), ("disable", "disable")] {
        assert_eq!(value(&mut connect(binding, mode).unwrap(), "SELECT 1"), "SELECT 1");
    }
    assert!(connect("require", "disable").is_err(), "channel binding was accepted without TLS");
}

#[test]
fn the_sessions_command_lists_what_binds_each_session_to_its_connection() {
    let fixture = Fixture::new("list", "");
    let (mut one, mut two) = (fixture.client(), fixture.client());
    one.batch_execute("CREATE TEMP TABLE x (a int)").unwrap();
    two.batch_execute("BEGIN").unwrap();
    let socket = fixture.operator.0.join("control");
    let list = |args: &[&str]| {
        let mut command = std::process::Command::new(PROGRAM);
        let output = command.arg("sessions").args(args).arg("--socket").arg(&socket).output();
        String::from_utf8(output.unwrap().stdout).unwrap()
    };
    let output = list(&[]);
    assert!(output.starts_with("2 sessions, ") && output.contains("0 wait for one"), "{output}");
    assert!(output.contains("a temporary table") && output.contains("transaction"), "{output}");
    assert!(list(&["--json"]).contains(r#""bound_by":["a temporary table"]"#));
}

#[test]
fn a_drain_ends_many_open_transactions_in_time() {
    let fixture = Fixture::with_known_primary(
        "drain-many",
        "drain_s = 1\nclients = 250\nservers = 220\nservers_each = 210\n",
    );
    let mut clients: Vec<Client> = (0..200).map(|_| fixture.client()).collect();
    clients.iter_mut().for_each(|client| client.batch_execute("BEGIN READ ONLY").unwrap());
    let (mut watch, _) = fixture.discovery.accept_request();
    let update = list(42, false, &[fixture.replica.list_entry("DRAINING")]);
    watch
        .write_all(&[RESPONSE_HEAD.as_bytes(), &encode_chunks([format!("{update}\n").as_bytes()])].concat())
        .unwrap();
    wait_until(|| fixture.replica.connections().0 == 0);
    for client in &mut clients {
        assert_eq!(code(client.batch_execute("SELECT 1")), "57P01");
        client.batch_execute("ROLLBACK").unwrap();
    }
    assert_eq!(value(&mut clients[0], "SELECT who"), "s-0");
}

#[test]
fn a_client_that_reads_nothing_does_not_grow_memory_or_block_others() {
    let fixture = Fixture::with_known_primary("unread", "statement_s = 2\n");
    let mut stream = std::net::TcpStream::connect(fixture.address).unwrap();
    stream.write_all(&startup()).unwrap();
    stream.write_all(&query("SELECT big 1000000")).unwrap();
    // The result would be a gigabyte. While the client reads nothing, other clients are served and memory
    // stays bounded.
    let resident = || {
        let status = std::fs::read_to_string(format!("/proc/{}/status", fixture.pooler.pid())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap().to_string();
        line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap()
    };
    wait_until(|| fixture.replica.statement_count("SELECT big") == 1);
    let mut other = fixture.client();
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(1) {
        assert_eq!(value(&mut other, "SELECT 1"), "SELECT 1");
        assert!(resident() < 100_000, "{} KiB", resident());
    }
    // The statement exceeds its time limit, and its server connection is released.
    wait_until(|| fixture.replica.connections().0 <= 1);
}
