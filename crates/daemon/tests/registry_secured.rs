//! A registry that is called over TLS, with a login and from a view kept on disk, by the running program.

use std::time::{Duration, Instant};

use peers::*;
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");
const VALUE: &[u8] = b"\x9f\x00\x03";
/// Calls of a pooler that logs in, reads the list and watches it.
const LOGIN_LIST_AND_WATCH: usize = 3;

/// A primary and two replicas, listed in a registry; its prefix's keys.
struct World {
    machines: [AnsweringMember; 3],
    registry: Registry,
    discovery: Discovery,
    operator: OperatorFolder,
}

impl World {
    fn new(name: &str, registry: Registry) -> World {
        let machines = ["writer", "reader", "reader"]
            .map(|role| AnsweringMember::new(move |_| answer_with_role(VALUE, role)));
        let world = World {
            machines,
            registry,
            discovery: Discovery::listen(),
            operator: OperatorFolder::new(name, ""),
        };
        (0..3).for_each(|n| world.put(n, "SERVING"));
        world
    }

    fn put(&self, name: usize, status: &str) {
        let value = Registry::member_value(self.machines[name].address, 2, status);
        self.registry.write(&[(&format!("/dewferry/members/s-{name}"), Some(&value))]);
    }

    /// Settings of the registry with more of them.
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

    /// Waits until reads go to the one replica and not to the other.
    fn until(&self, pooler: &Pooler, wanted: [bool; 2]) {
        let begun = Instant::now();
        loop {
            let before = [1, 2].map(|n: usize| self.machines[n].count());
            let mut wire = client(pooler);
            let mut served = 0;
            for n in 0..20 {
                wire.send(&query(&request_sql(&format!("r{n}"), "reports")));
                served += usize::from(wire.answer().first().is_some_and(|(kind, _)| *kind == b'T'));
            }
            let used = [1, 2].map(|n: usize| self.machines[n].count() > before[n - 1]);
            if served == 20 && used == wanted {
                return;
            }
            assert!(
                begun.elapsed() < Duration::from_secs(20),
                "{served} served by {used:?}, not by {wanted:?}"
            );
        }
    }

    /// Waits until the registry has taken so many calls.
    fn until_called(&self, calls: usize) {
        let begun = Instant::now();
        while self.registry.usage().0 < calls {
            let made = self.registry.usage().0;
            assert!(begun.elapsed() < Duration::from_secs(20), "{made} calls in place of {calls}");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Runs `dewferry registry`; its exit code and what it prints.
    fn run(&self, args: &[&str]) -> (i32, String) {
        let mut command = std::process::Command::new(PROGRAM);
        let output =
            command.arg("registry").args(args).arg("--operator").arg(self.operator.file()).output().unwrap();
        let text = [output.stdout, output.stderr].concat();
        (output.status.code().unwrap(), String::from_utf8(text).unwrap())
    }
}

/// Settings for calls over TLS with a client's certificate.
fn tls(world: &World, authority: &CertificateAuthority, until: i32, suffix: &str) -> String {
    let (cert, key) = authority.issue("pooler", until);
    let ca = world.file(&format!("ca{suffix}.pem"), &authority.pem);
    let cert = world.file(&format!("cert{suffix}.pem"), &cert);
    let key = world.file(&format!("key{suffix}.pem"), &key);
    format!("tls_ca = {ca}\ntls_cert = {cert}\ntls_key = {key}\n")
}

#[test]
fn a_registry_is_followed_over_tls_and_certificates_change_by_a_transaction() {
    let authority = CertificateAuthority::default();
    let world = World::new("tls", Registry::with_tls(authority.acceptor("127.0.0.1", 2040, true)));
    let first = tls(&world, &authority, 2040, "");
    let pooler = world.start(&first);
    world.until(&pooler, [true, true]);
    world.put(1, "DRAINING");
    world.until(&pooler, [false, true]);
    assert!(world.run(&["view"]).1.contains("3 members"));
    // A renewed certificate goes into files of new names; what could not be used changes nothing.
    let next = tls(&world, &authority, 2041, "-2");
    let broken = next.replace("key-2.pem", "key.pem");
    let file = world.operator.write("next.toml", &world.settings(&broken));
    let (code, text) = pooler.run_config(&["apply", &file]);
    assert!(code == 1 && text.contains("registry-files") && text.contains("key.pem"), "{text}");
    let run_out = tls(&world, &authority, 2024, "-3");
    let file = world.operator.write("next.toml", &world.settings(&run_out));
    let (code, text) = pooler.run_config(&["apply", &file]);
    assert!(code == 1 && text.contains("cert-3.pem: has run out"), "{text}");
    let file = world.operator.write("next.toml", &world.settings(&next));
    assert_eq!(pooler.run_config(&["apply", &file]).0, 0);
    pooler.wait_for_log("registry.following");
    world.put(1, "SERVING");
    world.until(&pooler, [true, true]);
    // A key that others may read is no key.
    let open = world.operator.0.join("key.pem");
    std::fs::set_permissions(&open, std::os::unix::fs::PermissionsExt::from_mode(0o644)).unwrap();
    let file = world.operator.write("next.toml", &world.settings(&first));
    let (code, text) = pooler.run_config(&["apply", &file]);
    assert!(code == 1 && text.contains("0600"), "{text}");
}

#[rstest]
#[case::run_out("out", "127.0.0.1", 2024, "has run out")]
#[case::of_another_name("name", "registry.example", 2040, "another name")]
fn a_registry_whose_certificate_is_wrong_is_not_followed(
    #[case] story: &str,
    #[case] name: &str,
    #[case] until: i32,
    #[case] words: &str,
) {
    let authority = CertificateAuthority::default();
    let world =
        World::new(&format!("tls-{story}"), Registry::with_tls(authority.acceptor(name, until, false)));
    let settings = tls(&world, &authority, 2040, "");
    let pooler = world.start(&settings);
    assert!(pooler.wait_for_log("registry.tls").contains(words));
    let (code, text) = world.run(&["view"]);
    assert!(code == 2 && text.contains(words), "{text}");
    if story == "name" {
        // The name that it has is asked for instead.
        let file =
            world.operator.write("next.toml", &world.settings(&format!("{settings}tls_name = \"{name}\"")));
        assert_eq!(pooler.run_config(&["apply", &file]).0, 0);
        world.until(&pooler, [true, true]);
    }
}

#[test]
fn who_is_vouched_for_by_nobody_or_speaks_no_tls_is_not_followed() {
    let (authority, other) = (CertificateAuthority::default(), CertificateAuthority::default());
    let world = World::new("tls-ca", Registry::with_tls(other.acceptor("127.0.0.1", 2040, false)));
    let pooler = world.start(&tls(&world, &authority, 2040, ""));
    assert!(pooler.wait_for_log("registry.tls").contains("vouches"));
    let world = World::new("tls-plain", Registry::default());
    let settings = tls(&world, &authority, 2040, "");
    let pooler = world.start(&settings);
    // The registry waits for a request that never comes: that is a call not answered in time.
    pooler.wait_for_log("registry.lost");
    assert_eq!(world.run(&["view"]).0, 2);
}

#[test]
fn files_that_were_replaced_in_place_are_read_again_once_they_no_longer_serve() {
    let (old, new) = (CertificateAuthority::default(), CertificateAuthority::default());
    let world = World::new("tls-place", Registry::with_tls(new.acceptor("127.0.0.1", 2040, true)));
    let settings = tls(&world, &old, 2040, "");
    let pooler = world.start(&settings);
    pooler.wait_for_log("registry.tls");
    tls(&world, &new, 2040, "");
    world.until(&pooler, [true, true]);
}

#[test]
fn a_login_is_renewed_when_its_token_runs_out_in_the_middle_of_the_watch() {
    let world = World::new("login", Registry::default());
    world.registry.require_login("pooler", "first");
    let password = world.file("password", "first\n");
    let settings = format!("user = \"pooler\"\npassword_file = {password}\n");
    let pooler = world.start(&settings);
    world.until(&pooler, [true, true]);
    // The list is there a moment before the registry has taken the call for the watch.
    world.until_called(LOGIN_LIST_AND_WATCH);
    world.registry.require_login("pooler", "first");
    world.put(1, "DRAINING");
    world.until(&pooler, [false, true]);
    let wanted = LOGIN_LIST_AND_WATCH + 2;
    assert_eq!(world.registry.usage().0, wanted, "a login and a watch, and no whole list");
    // Another password is read from the same file.
    world.file("password", "second\n");
    world.registry.require_login("pooler", "second");
    world.put(1, "SERVING");
    world.until(&pooler, [true, true]);
    assert!(world.run(&["view"]).1.contains("3 members"));
    // A wrong one: the last list holds.
    world.registry.require_login("pooler", "third");
    assert!(pooler.wait_for_log("registry.lost").contains("authentication failed"));
    world.until(&pooler, [true, true]);
    let (code, text) = world.run(&["view"]);
    assert!(code == 2 && text.contains("authentication failed"), "{text}");
}

#[test]
fn a_password_in_the_clear_needs_the_operators_word() {
    let world = World::new("clear", Registry::default());
    let pooler = world.start("");
    world.until(&pooler, [true, true]);
    let password = world.file("password", "first\n");
    let settings = format!("user = \"pooler\"\npassword_file = {password}\n");
    let file = world.operator.write("next.toml", &world.settings(&settings));
    let (code, text) = pooler.run_config(&["plan", &file]);
    assert!(code == 1 && text.contains("registry-clear"), "{text}");
}

#[test]
fn a_restart_serves_from_the_kept_view_and_asks_for_no_whole_list() {
    let world = World::new("kept", Registry::default());
    let mut pooler = world.start("");
    world.until(&pooler, [true, true]);
    let view = world.operator.0.join("state/registry.view");
    let begun = Instant::now();
    while !view.exists() {
        assert!(begun.elapsed() < Duration::from_secs(20), "the first view is kept");
        std::thread::sleep(Duration::from_millis(10));
    }
    pooler.kill();
    // While it is down the registry cannot be reached: it comes up on what was kept.
    world.registry.set_close_at_once(true);
    let mut pooler = world.start("");
    world.until(&pooler, [true, true]);
    pooler.kill();
    // What happened meanwhile comes with the watch alone.
    world.put(1, "DRAINING");
    world.registry.set_close_at_once(false);
    let bytes = world.registry.usage().1;
    let mut pooler = world.start("");
    world.until(&pooler, [false, true]);
    let bytes = world.registry.usage().1 - bytes;
    assert!(bytes < 700, "{bytes} bytes for one change");
    pooler.kill();
    // A spoilt one is passed over.
    std::fs::write(&view, b"dewferry view 1\nand no more").unwrap();
    let pooler = world.start("");
    pooler.wait_for_log("not used");
    world.until(&pooler, [false, true]);
}

#[test]
fn the_poolers_own_key_stands_while_it_lives() {
    let world = World::new("own", Registry::default());
    let mut pooler = world.start("register = \"/poolers\"\nlease_s = 2\n");
    pooler.wait_for_log("registry.registered");
    let value = world.registry.value("/poolers/n0").unwrap();
    assert!(value.contains(r#""address":"127.0.0.1"#), "{value}");
    // A lease that is gone, whatever the reason, is asked for anew.
    world.registry.expire_leases();
    assert_eq!(world.registry.value("/poolers/n0"), None);
    pooler.wait_for_log("registry.unregistered");
    pooler.wait_for_log("registry.registered");
    assert!(world.registry.value("/poolers/n0").is_some());
    pooler.signal("TERM");
    assert!(pooler.wait_for_exit().success());
    assert_eq!(world.registry.value("/poolers/n0"), None);
    let file = world.operator.write("bad.toml", &world.settings("register = \"/dewferry/members\"\n"));
    let mut command = std::process::Command::new(PROGRAM);
    command.args(["config", "check", &file, "--config"]).arg(pooler.platform_file());
    let output = command.output().unwrap();
    let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
    assert!(text.contains("registry.register"), "{text}");
}

#[test]
fn a_token_that_runs_out_between_the_list_and_the_watch_is_renewed_at_once() {
    let world = World::new("login-late", Registry::default());
    world.registry.require_login("pooler", "first");
    // Each call is answered late enough for the token to end while the watch is asked for.
    world.registry.change_faults(|faults| faults.delay = Duration::from_millis(150));
    let password = world.file("password", "first\n");
    let pooler = world.start(&format!("user = \"pooler\"\npassword_file = {password}\n"));
    world.until_called(LOGIN_LIST_AND_WATCH);
    world.registry.require_login("pooler", "first");
    world.put(1, "DRAINING");
    world.until(&pooler, [false, true]);
    assert_eq!(world.registry.usage().0, LOGIN_LIST_AND_WATCH + 2, "a login and a watch, and no other calls");
}
