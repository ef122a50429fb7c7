//! The running program with a registry over TLS, with a login, and with a view stored on disk.

use std::time::{Duration, Instant};

use peers::*;
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");
const VALUE: &[u8] = b"\x9f\x00\x03";
/// The number of calls of a pooler that logs in, reads the list and opens a watch.
const LOGIN_LIST_AND_WATCH: usize = 3;

/// A primary and two replicas, listed in a registry under `/dewferry/members/`.
struct Fixture {
    members: [AnsweringMember; 3],
    registry: Registry,
    discovery: Discovery,
    operator: OperatorFolder,
}

impl Fixture {
    fn new(name: &str, registry: Registry) -> Fixture {
        let members = ["writer", "reader", "reader"]
            .map(|role| AnsweringMember::new(move |_| answer_with_role(VALUE, role)));
        let fixture = Fixture {
            members,
            registry,
            discovery: Discovery::listen(),
            operator: OperatorFolder::new(name, ""),
        };
        (0..3).for_each(|n| fixture.put(n, "SERVING"));
        fixture
    }

    fn put(&self, name: usize, status: &str) {
        let value = Registry::member_value(self.members[name].address, 2, status);
        self.registry.write(&[(&format!("/dewferry/members/s-{name}"), Some(&value))]);
    }

    /// The settings for the registry, followed by `more`.
    fn settings(&self, more: &str) -> String {
        let address = self.registry.address;
        format!("[change]\nprobation_s = 0.3\n[registry]\ncall_s = 0.5\nguard_s = 1\nendpoints = [\"{address}\"]\n{more}")
    }

    fn file(&self, name: &str, text: &str) -> String {
        write_private_file(&self.operator.0, name, text)
    }

    fn start(&self, more: &str) -> Pooler {
        self.operator.write("dewferry.toml", &self.settings(more));
        Pooler::start_with_operator(PROGRAM, &list(0, true, &[]), &self.discovery, &self.operator)
    }

    /// Waits until exactly those replicas that `expected` marks get reads.
    fn wait_for_replicas(&self, pooler: &Pooler, expected: [bool; 2]) {
        let started = Instant::now();
        loop {
            let before = [1, 2].map(|n: usize| self.members[n].count());
            let mut wire = client(pooler);
            let mut served = 0;
            for n in 0..20 {
                wire.send(&query(&request_sql(&format!("r{n}"), "reports")));
                served += usize::from(wire.answer().first().is_some_and(|(kind, _)| *kind == b'T'));
            }
            let used = [1, 2].map(|n: usize| self.members[n].count() > before[n - 1]);
            if served == 20 && used == expected {
                return;
            }
            assert!(
                started.elapsed() < Duration::from_secs(20),
                "{served} of 20 reads are served, by {used:?}; expected {expected:?}"
            );
        }
    }

    /// Waits until the registry has received `calls` calls.
    fn wait_for_calls(&self, calls: usize) {
        let started = Instant::now();
        while self.registry.usage().0 < calls {
            let received = self.registry.usage().0;
            assert!(started.elapsed() < Duration::from_secs(20), "{received} calls; expected {calls}");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Runs `dewferry registry`; returns its exit code and its output.
    fn run(&self, args: &[&str]) -> (i32, String) {
        let mut command = std::process::Command::new(PROGRAM);
        let output =
            command.arg("registry").args(args).arg("--operator").arg(self.operator.file()).output().unwrap();
        let text = [output.stdout, output.stderr].concat();
        (output.status.code().unwrap(), String::from_utf8(text).unwrap())
    }
}

/// Settings for calls over TLS with a client certificate valid until the year `valid_until`.
fn tls(fixture: &Fixture, authority: &CertificateAuthority, valid_until: i32, suffix: &str) -> String {
    let (cert, key) = authority.issue("pooler", valid_until);
    let ca = fixture.file(&format!("ca{suffix}.pem"), &authority.pem);
    let cert = fixture.file(&format!("cert{suffix}.pem"), &cert);
    let key = fixture.file(&format!("key{suffix}.pem"), &key);
    format!("tls_ca = {ca}\ntls_cert = {cert}\ntls_key = {key}\n")
}

#[test]
fn a_registry_is_followed_over_tls_and_certificates_are_renewed_by_a_configuration_change() {
    let authority = CertificateAuthority::default();
    let fixture = Fixture::new("tls", Registry::with_tls(authority.acceptor("127.0.0.1", 2040, true)));
    let first = tls(&fixture, &authority, 2040, "");
    let pooler = fixture.start(&first);
    fixture.wait_for_replicas(&pooler, [true, true]);
    fixture.put(1, "DRAINING");
    fixture.wait_for_replicas(&pooler, [false, true]);
    assert!(fixture.run(&["view"]).1.contains("3 members"));
    // A renewed certificate is stored under new file names. A change with an unusable one is rejected.
    let next = tls(&fixture, &authority, 2041, "-2");
    let broken = next.replace("key-2.pem", "key.pem");
    let file = fixture.operator.write("next.toml", &fixture.settings(&broken));
    let (code, text) = pooler.run_config(&["apply", &file]);
    assert!(code == 1 && text.contains("registry-files") && text.contains("key.pem"), "{text}");
    let expired = tls(&fixture, &authority, 2024, "-3");
    let file = fixture.operator.write("next.toml", &fixture.settings(&expired));
    let (code, text) = pooler.run_config(&["apply", &file]);
    assert!(code == 1 && text.contains("cert-3.pem: has run out"), "{text}");
    let file = fixture.operator.write("next.toml", &fixture.settings(&next));
    assert_eq!(pooler.run_config(&["apply", &file]).0, 0);
    pooler.wait_for_log("registry.following");
    fixture.put(1, "SERVING");
    fixture.wait_for_replicas(&pooler, [true, true]);
    // A key file that others may read is rejected.
    let key_file = fixture.operator.0.join("key.pem");
    std::fs::set_permissions(&key_file, std::os::unix::fs::PermissionsExt::from_mode(0o644)).unwrap();
    let file = fixture.operator.write("next.toml", &fixture.settings(&first));
    let (code, text) = pooler.run_config(&["apply", &file]);
    assert!(code == 1 && text.contains("0600"), "{text}");
}

#[rstest]
#[case::expired("out", "127.0.0.1", 2024, "has run out")]
#[case::for_another_name("name", "registry.example", 2040, "another name")]
fn a_registry_with_an_expired_or_mismatched_certificate_is_not_followed(
    #[case] folder_suffix: &str,
    #[case] name: &str,
    #[case] valid_until: i32,
    #[case] expected: &str,
) {
    let authority = CertificateAuthority::default();
    let fixture = Fixture::new(
        &format!("tls-{folder_suffix}"),
        Registry::with_tls(authority.acceptor(name, valid_until, false)),
    );
    let settings = tls(&fixture, &authority, 2040, "");
    let pooler = fixture.start(&settings);
    assert!(pooler.wait_for_log("registry.tls").contains(expected));
    let (code, text) = fixture.run(&["view"]);
    assert!(code == 2 && text.contains(expected), "{text}");
    if folder_suffix == "name" {
        // With `tls_name` set to the name in the certificate, the registry is followed.
        let file = fixture
            .operator
            .write("next.toml", &fixture.settings(&format!("{settings}tls_name = \"{name}\"")));
        assert_eq!(pooler.run_config(&["apply", &file]).0, 0);
        fixture.wait_for_replicas(&pooler, [true, true]);
    }
}

#[test]
fn a_registry_of_an_unknown_authority_or_without_tls_is_not_followed() {
    let (authority, other) = (CertificateAuthority::default(), CertificateAuthority::default());
    let fixture = Fixture::new("tls-ca", Registry::with_tls(other.acceptor("127.0.0.1", 2040, false)));
    let pooler = fixture.start(&tls(&fixture, &authority, 2040, ""));
    assert!(pooler.wait_for_log("registry.tls").contains("vouches"));
    let fixture = Fixture::new("tls-plain", Registry::default());
    let settings = tls(&fixture, &authority, 2040, "");
    let pooler = fixture.start(&settings);
    // The registry speaks no TLS and waits for a request in plain text, so the call times out.
    pooler.wait_for_log("registry.lost");
    assert_eq!(fixture.run(&["view"]).0, 2);
}

#[test]
fn tls_files_replaced_in_place_are_read_again_after_a_failed_handshake() {
    let (old, new) = (CertificateAuthority::default(), CertificateAuthority::default());
    let fixture = Fixture::new("tls-place", Registry::with_tls(new.acceptor("127.0.0.1", 2040, true)));
    let settings = tls(&fixture, &old, 2040, "");
    let pooler = fixture.start(&settings);
    pooler.wait_for_log("registry.tls");
    tls(&fixture, &new, 2040, "");
    fixture.wait_for_replicas(&pooler, [true, true]);
}

#[test]
fn a_login_is_renewed_when_its_token_expires_during_the_watch() {
    let fixture = Fixture::new("login", Registry::default());
    fixture.registry.require_login("pooler", "first");
    let password = fixture.file("password", "first\n");
    let settings = format!("user = \"pooler\"\npassword_file = {password}\n");
    let pooler = fixture.start(&settings);
    fixture.wait_for_replicas(&pooler, [true, true]);
    // The list arrives a moment before the registry has received the call for the watch.
    fixture.wait_for_calls(LOGIN_LIST_AND_WATCH);
    fixture.registry.require_login("pooler", "first");
    fixture.put(1, "DRAINING");
    fixture.wait_for_replicas(&pooler, [false, true]);
    let expected_calls = LOGIN_LIST_AND_WATCH + 2;
    assert_eq!(
        fixture.registry.usage().0,
        expected_calls,
        "expected a login and a watch, without another full list"
    );
    // A new password is read from the same file.
    fixture.file("password", "second\n");
    fixture.registry.require_login("pooler", "second");
    fixture.put(1, "SERVING");
    fixture.wait_for_replicas(&pooler, [true, true]);
    assert!(fixture.run(&["view"]).1.contains("3 members"));
    // With a wrong password the last list stays in force.
    fixture.registry.require_login("pooler", "third");
    assert!(pooler.wait_for_log("registry.lost").contains("authentication failed"));
    fixture.wait_for_replicas(&pooler, [true, true]);
    let (code, text) = fixture.run(&["view"]);
    assert!(code == 2 && text.contains("authentication failed"), "{text}");
}

#[test]
fn a_password_without_tls_needs_the_operator_s_permission() {
    let fixture = Fixture::new("clear", Registry::default());
    let pooler = fixture.start("");
    fixture.wait_for_replicas(&pooler, [true, true]);
    let password = fixture.file("password", "first\n");
    let settings = format!("user = \"pooler\"\npassword_file = {password}\n");
    let file = fixture.operator.write("next.toml", &fixture.settings(&settings));
    let (code, text) = pooler.run_config(&["plan", &file]);
    assert!(code == 1 && text.contains("registry-clear"), "{text}");
}

#[test]
fn a_restart_serves_from_the_stored_view_and_requests_no_full_list() {
    let fixture = Fixture::new("kept", Registry::default());
    let mut pooler = fixture.start("");
    fixture.wait_for_replicas(&pooler, [true, true]);
    let view = fixture.operator.0.join("state/registry.view");
    let started = Instant::now();
    while !view.exists() {
        assert!(started.elapsed() < Duration::from_secs(20), "the first view was not stored");
        std::thread::sleep(Duration::from_millis(10));
    }
    pooler.kill();
    // While the registry is unreachable, the pooler starts with the stored view.
    fixture.registry.set_close_at_once(true);
    let mut pooler = fixture.start("");
    fixture.wait_for_replicas(&pooler, [true, true]);
    pooler.kill();
    // Changes made in the meantime arrive with the watch, without a full list.
    fixture.put(1, "DRAINING");
    fixture.registry.set_close_at_once(false);
    let bytes = fixture.registry.usage().1;
    let mut pooler = fixture.start("");
    fixture.wait_for_replicas(&pooler, [false, true]);
    let bytes = fixture.registry.usage().1 - bytes;
    assert!(bytes < 700, "{bytes} bytes for one change");
    pooler.kill();
    // A malformed view is not used.
    std::fs::write(&view, b"dewferry view 1\nand no more").unwrap();
    let pooler = fixture.start("");
    pooler.wait_for_log("not used");
    fixture.wait_for_replicas(&pooler, [false, true]);
}

#[test]
fn the_key_of_a_pooler_is_registered_while_it_runs_and_removed_on_shutdown() {
    let fixture = Fixture::new("own", Registry::default());
    let mut pooler = fixture.start("register = \"/poolers\"\nlease_s = 2\n");
    pooler.wait_for_log("registry.registered");
    let value = fixture.registry.value("/poolers/n0").unwrap();
    assert!(value.contains(r#""address":"127.0.0.1"#), "{value}");
    // After its lease has ended for any reason, the pooler requests another.
    fixture.registry.expire_leases();
    assert_eq!(fixture.registry.value("/poolers/n0"), None);
    pooler.wait_for_log("registry.unregistered");
    pooler.wait_for_log("registry.registered");
    assert!(fixture.registry.value("/poolers/n0").is_some());
    pooler.signal("TERM");
    assert!(pooler.wait_for_exit().success());
    assert_eq!(fixture.registry.value("/poolers/n0"), None);
    let file = fixture.operator.write("bad.toml", &fixture.settings("register = \"/dewferry/members\"\n"));
    let mut command = std::process::Command::new(PROGRAM);
    command.args(["config", "check", &file, "--config"]).arg(pooler.platform_file());
    let output = command.output().unwrap();
    let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
    assert!(text.contains("registry.register"), "{text}");
}

#[test]
fn a_token_that_expires_between_the_list_and_the_watch_is_renewed_at_once() {
    let fixture = Fixture::new("login-late", Registry::default());
    fixture.registry.require_login("pooler", "first");
    // Each answer is delayed, so that the token expires while the watch is requested.
    fixture.registry.change_faults(|faults| faults.delay = Duration::from_millis(150));
    let password = fixture.file("password", "first\n");
    let pooler = fixture.start(&format!("user = \"pooler\"\npassword_file = {password}\n"));
    fixture.wait_for_calls(LOGIN_LIST_AND_WATCH);
    fixture.registry.require_login("pooler", "first");
    fixture.put(1, "DRAINING");
    fixture.wait_for_replicas(&pooler, [false, true]);
    assert_eq!(
        fixture.registry.usage().0,
        LOGIN_LIST_AND_WATCH + 2,
        "expected a login and a watch, and no other calls"
    );
}
