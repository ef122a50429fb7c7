//! The operator's file: what is accepted, and how each error is reported.

use config::Config;
use operator::{parse, schema, Document, EffectiveConfig, MAX_FILE_BYTES};

const PLATFORM: &str = r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7f",
    "limits":{"memory_mb":64,"sockets":512},"settings":{"classes":[
    {"name":"browse","aim":1,"deadline":2,"effect":"read_like"},{"name":"order","aim":1,"deadline":2}],
    "customers":[{"name":"acme","quotaPerS":10}],"specifics":{"consistency":["any","write"]},
    "invariants":{"tipMultiple":2}}}"#;

fn platform() -> Config {
    Config::parse(PLATFORM).unwrap()
}

#[test]
fn the_printed_defaults_contain_every_setting_and_parse_to_the_defaults() {
    let text = schema::defaults();
    assert_eq!(
        text,
        include_str!("../../../deploy/dewferry.toml"),
        "deploy/dewferry.toml must equal the printed defaults"
    );
    assert_eq!(parse(text.as_bytes()), Ok(Document::default()));
    for setting in schema::SETTINGS {
        assert!(text.contains(setting.about), "{}", setting.key);
    }
    // The examples are valid too: the file with all examples uncommented is accepted.
    let examples: String = text
        .lines()
        .filter_map(|line| {
            let uncommented = line.strip_prefix("# ").unwrap_or(line);
            let is_code = uncommented.starts_with('[')
                || uncommented.split_once(" = ").is_some_and(|(key, _)| !key.contains(' '));
            is_code.then(|| format!("{uncommented}\n"))
        })
        .collect();
    let document = parse(examples.as_bytes()).unwrap_or_else(|errors| panic!("{errors}\n{examples}"));
    assert_eq!(document.class.len() + document.member.len() + document.overrides.len(), 3);
}

#[test]
fn an_error_names_line_column_key_and_what_would_be_accepted() {
    let cases: &[(&[u8], &str)] = &[
        (
            b"[limits]\nmemory_md = 3",
            "line 2, column 1: limits.memory_md: unknown key; accepted: did you mean memory_mb?",
        ),
        (
            b"lissten = \"127.0.0.1:1\"",
            "line 1, column 1: lissten: unknown key; accepted: did you mean listen?",
        ),
        (
            b"[limits]\nsockets = 3",
            "line 2, column 11: limits.sockets: 3 is out of range; accepted: a whole number from 64",
        ),
        (b"[[peers.route]]\nname = \"n2\"", "peers.route: address is missing; accepted: at most 1000 tables"),
        (
            b"[[peers.route]]\nname = \"n\"\naddress = \"x\"",
            "peers.route: address: \"x\" is not an IP address with a port",
        ),
        (
            b"[[peers.control]]\nname = \"c1\"\naddress = \"127.0.0.1:1\"",
            "peers.control: region is missing; accepted: at most 64 tables, each of name and region",
        ),
        (
            b"[peers]\ncontrol = [{ name = \"c1\", region = \"r\", address = \"127.0.0.1:1\", port = 3 }]",
            "line 2, column 11: peers.control: unknown key port",
        ),
        (b"[peers]\ncontrol_group = 7", "peers.control_group: 7 is out of range"),
        (b"[limits]\nsockets = 3.5", "a number with a point"),
        (b"[limits]\nkeepalive_s = nan", "limits.keepalive_s: NaN is out of range"),
        (b"[limits]\nkeepalive_s = inf", "inf is out of range"),
        (b"listen = \"shop:1\"", "names are not resolved"),
        (
            b"[log]\nlevel = \"loud\"",
            "\"loud\" is not one of the choices; accepted: one of error, warn, info, debug",
        ),
        (b"[control]\nsocket = \"here\"", "\"here\" is not absolute"),
        (b"[member.s-1]\nzone = \"a\"", "member.s-1.address: is missing"),
        (b"class = 3", "class: not a table; accepted: a table of any name"),
        (b"[override]\n\"a b\" = \"drain\"", "not a name"),
        (b"a = 1\na = 2", "duplicate key"),
        (b"ab\ncd\xff", "line 2, column 3: the byte 0xff is not UTF-8"),
        (b"[limits", "line 1, column 8"),
    ];
    for (text, part) in cases {
        let message = parse(text).unwrap_err().to_string();
        assert!(message.contains(part), "'{part}' is not in: {message}");
    }
    let both = parse(b"[limits]\nmemory_mb = 1\nsockets = 1").unwrap_err();
    assert_eq!(both.list.len(), 2);
}

#[test]
fn files_that_are_too_large_or_too_deeply_nested_are_rejected() {
    assert!(parse(&vec![b'#'; MAX_FILE_BYTES + 1]).unwrap_err().to_string().contains("at most"));
    assert!(parse(b"a = [").is_err());
    let deep = format!("a = {}{}", "[".repeat(100_000), "]".repeat(100_000));
    assert!(parse(deep.as_bytes()).is_err());
    let many: String = (0..1000).map(|n| format!("[class.c{n}]\n")).collect();
    assert!(parse(many.as_bytes()).unwrap_err().to_string().contains("at most 256"));
    let wrong: String = (0..100).map(|n| format!("k{n} = 1\n")).collect();
    assert!(parse(wrong.as_bytes()).unwrap_err().to_string().ends_with("and 80 more"));
}

#[test]
fn the_digest_depends_on_the_settings_and_not_on_their_notation() {
    let one = parse(b"[limits]\nsockets = 100\nmemory_mb = 20").unwrap();
    let other = parse(b"limits = { memory_mb = 2e1, sockets = 1_00 } # the same").unwrap();
    assert_eq!(one.digest(), other.digest());
    assert_ne!(one.digest(), Document::default().digest());
    assert_eq!(parse(one.canonical_toml().as_bytes()), Ok(one));
}

#[test]
fn a_document_overrides_the_platforms_configuration() {
    let document = parse(
        b"[class.browse]\naim_s = 0.5\n[class.report]\nreads = \"bounded\"\nbound_s = 3\n[class.order]\nretired = true
        [tenant.other]\nquota_per_s = 5\n[tenant.acme]\nretired = true",
    )
    .unwrap();
    let old = EffectiveConfig::new(&platform(), Document::default()).unwrap();
    let new = EffectiveConfig::new(&platform(), document).unwrap();
    assert_eq!(new.classes, ["browse", "report"]);
    assert_eq!((new.class("browse").unwrap().aim, new.tenants.as_slice()), (0.5, &["other".to_string()][..]));
    let differences = old.differences(&new);
    let find = |key: &str| differences.iter().find(|d| d.key == key).unwrap_or_else(|| panic!("no {key}"));
    assert_eq!(
        (find("class.browse.aim_s").from.as_deref(), find("class.browse.aim_s").to.as_deref()),
        (Some("1"), Some("0.5"))
    );
    assert_eq!(find("class.order.reads").to, None);
    assert_eq!(find("tenant.acme.quota_per_s").to, None);
    assert!(old.differences(&old).is_empty());
}

/// Returns `[peers]` with this number of control instances and more settings.
fn peers_with_control(count: usize, more: &str) -> String {
    let instance = |n| {
        format!("[[peers.control]]\nname = \"c{n}\"\nregion = \"r\"\naddress = \"127.0.0.1:{}\"\n", 7100 + n)
    };
    let instances: String = (0..count).map(instance).collect();
    format!("[peers]\nlisten = \"127.0.0.1:7000\"\nkeys = [\"/k\"]\n{more}\n{instances}")
}

#[test]
fn control_instances_are_optional_and_parsed() {
    let none = parse(b"[peers]\nlisten = \"127.0.0.1:7000\"\nkeys = [\"/k\"]").unwrap();
    assert!(none.peers.control.is_empty());
    let effective = EffectiveConfig::new(
        &platform(),
        parse(peers_with_control(3, "write_bound_s = 10").as_bytes()).unwrap(),
    )
    .unwrap();
    let peers = &effective.document.peers;
    assert_eq!((peers.control.len(), peers.control_group, peers.control[1].name.as_str()), (3, 3, "c1"));
}

#[test]
fn conflicts_with_the_platform_are_reported_with_their_figures() {
    for (text, key, part) in [
        ("[limits]\nmemory_mb = 100", "limits.memory_mb", "100 MB; the process may use 64"),
        ("[limits]\nsockets = 600", "limits.sockets", "600 descriptors; the process may use 512"),
        ("[class.new]\naim_s = 1", "class.new.reads", "missing"),
        ("[class.browse]\naim_s = 3", "class.browse", "aim_s 3 exceeds deadline_s 2"),
        ("[class.order]\nrepeats = \"keyed\"", "class.order.repeat_window_s", "0 for a class"),
        ("[class.order]\nretired = true\n[class.browse]\nretired = true", "class", "no class is left"),
        ("[change]\nrequire_signature = true", "change.keys", "empty"),
        ("[peers]\nlisten = \"127.0.0.1:7000\"", "peers.keys", "missing; required with peers.listen"),
        (
            "[peers]\nlisten = \"0.0.0.0:7000\"\nkeys = [\"/k\"]",
            "peers.listen",
            "not reachable for other instances",
        ),
        (
            "[peers]\nlisten = \"127.0.0.1:7000\"\nkeys = [\"/k\"]\n[daemon]\nhandover = \"/h\"",
            "peers.listen",
            "daemon.handover",
        ),
        (
            "[peers]\nlisten = \"127.0.0.1:7000\"\nkeys = [\"/k\"]\n[[peers.route]]\nname = \"n\"\n\
             address = \"127.0.0.1:1\"\n[[peers.route]]\nname = \"n\"\naddress = \"127.0.0.1:2\"",
            "peers.route",
            "is given twice",
        ),
        (
            "[[peers.control]]\nname = \"c1\"\nregion = \"r\"\naddress = \"127.0.0.1:1\"",
            "peers.control",
            "without peers.listen",
        ),
        (
            &peers_with_control(1, ""),
            "peers.control",
            "1 control instances for groups of 3; accepted: 3 or more",
        ),
        (
            &peers_with_control(3, "control_group = 2"),
            "peers.control_group",
            "2 is even; accepted: 1, 3 or 5",
        ),
        (
            &peers_with_control(3, "seeds = [\"127.0.0.1:9\"]"),
            "peers.seeds",
            "cannot be combined with peers.control",
        ),
        (&peers_with_control(3, "dir = \"/d\""), "peers.dir", "cannot be combined with peers.control"),
        (&peers_with_control(3, "write_bound_s = 0.5"), "peers.write_bound_s", "0.5 is less than the"),
        (
            &format!(
                "{}[[peers.control]]\nname = \"c1\"\nregion = \"r\"\naddress = \"127.0.0.1:99\"",
                peers_with_control(3, "")
            ),
            "peers.control",
            "\"c1\" has the name or address of \"c1\"",
        ),
        (
            "[member.a]\naddress = \"127.0.0.1:9\"\n[member.b]\naddress = \"127.0.0.1:9\"",
            "member.b.address",
            "another",
        ),
    ] {
        let conflicts = EffectiveConfig::new(&platform(), parse(text.as_bytes()).unwrap()).unwrap_err();
        let found = conflicts.iter().any(|c| c.key == key && c.message.contains(part));
        assert!(found, "{key}: '{part}' is not in {conflicts:?}");
    }
}
