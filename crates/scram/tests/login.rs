//! Logins of client and server, with the RFC's example values, and their failures.

use std::net::IpAddr;

use proptest::prelude::*;
use rstest::rstest;
use scram::{ChannelBinding, Client, FailedLogins, ScramError, Server, Users, Verifier};

/// The example of RFC 7677.
const SALT: &[u8] = b"\x5b\x6d\x99\x68\x9d\x12\x35\x8e\xec\xa0\x4b\x14\x12\x36\xfa\x81";
const FIRST: &str = "n,,n=user,r=rOprNGfwEbeRWgbNEkqO";
const NONCE: &str = "%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0";
const SERVER_FIRST: &str =
    "r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096";
const FINAL: &str = "c=biws,r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,\
    p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=";
const SERVER_FINAL: &str = "v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4=";

fn verifier() -> Verifier {
    Verifier::new("pencil", SALT, 4_096)
}

fn begin(first: &str) -> Result<(Server, String), ScramError> {
    Server::begin(first, "user", Some(&verifier()), NONCE, b"secret", ChannelBinding::Unsupported)
}

#[test]
fn the_example_of_the_rfc_succeeds() {
    let (server, first) = begin(FIRST).unwrap();
    assert_eq!(first, SERVER_FIRST);
    assert_eq!(server.finish(FINAL).unwrap(), SERVER_FINAL);
    let again: Verifier = verifier().to_string().parse().unwrap();
    assert_eq!(again, verifier());
}

/// Runs a complete login; returns the results of the server and the client.
fn login(password: &str, known: Option<&Verifier>) -> (Result<(), ScramError>, Result<(), ScramError>) {
    let (mut client, first) = Client::begin("mine", ChannelBinding::Unsupported);
    let (server, server_first) =
        Server::begin(&first, "user", known, "theirs", b"secret", ChannelBinding::Unsupported).unwrap();
    let last = client.answer(&server_first, password).unwrap();
    match server.finish(&last) {
        Ok(server_final) => (Ok(()), client.finish(&server_final)),
        Err(error) => (Err(error), client.finish("e=no")),
    }
}

#[test]
fn only_the_right_password_is_accepted() {
    let short = Verifier::new("pencil", SALT, 2);
    assert_eq!(login("pencil", Some(&short)), (Ok(()), Ok(())));
    assert_eq!(login("pencils", Some(&short)).0, Err(ScramError::WrongPassword));
    assert_eq!(login("pencil", None).0, Err(ScramError::WrongPassword));
}

/// Returns the result of a login with these channel bindings of the client and the server.
fn login_with_binding(of_client: ChannelBinding, of_server: ChannelBinding) -> Result<(), ScramError> {
    let short = Verifier::new("pencil", SALT, 2);
    let (mut client, first) = Client::begin("mine", of_client);
    let (server, server_first) = Server::begin(&first, "user", Some(&short), "theirs", b"secret", of_server)?;
    let server_final = server.finish(&client.answer(&server_first, "pencil").unwrap())?;
    client.finish(&server_final)
}

#[rstest]
#[case::the_same_certificate(ChannelBinding::Bound(b"one"), ChannelBinding::Bound(b"one"), Ok(()))]
#[case::man_in_the_middle(
    ChannelBinding::Bound(b"one"),
    ChannelBinding::Bound(b"other"),
    Err(ScramError::BindingMismatch)
)]
#[case::offer_removed_in_transit(
    ChannelBinding::NotUsed,
    ChannelBinding::NotUsed,
    Err(ScramError::BindingMismatch)
)]
#[case::not_offered(ChannelBinding::NotUsed, ChannelBinding::Unsupported, Ok(()))]
#[case::not_supported_by_the_client(ChannelBinding::Unsupported, ChannelBinding::NotUsed, Ok(()))]
#[case::mechanism_chosen_but_not_bound(
    ChannelBinding::Unsupported,
    ChannelBinding::Bound(b"one"),
    Err(ScramError::BindingMismatch)
)]
#[case::bound_but_mechanism_not_chosen(
    ChannelBinding::Bound(b"one"),
    ChannelBinding::NotUsed,
    Err(ScramError::BindingMismatch)
)]
#[case::bound_without_tls(
    ChannelBinding::Bound(b"one"),
    ChannelBinding::Unsupported,
    Err(ScramError::BindingMismatch)
)]
fn a_login_is_bound_to_its_connection(
    #[case] of_client: ChannelBinding,
    #[case] of_server: ChannelBinding,
    #[case] expected: Result<(), ScramError>,
) {
    assert_eq!(login_with_binding(of_client, of_server), expected);
}

#[test]
fn the_answer_does_not_reveal_whether_a_user_exists() {
    let server_first =
        |user| Server::begin(FIRST, user, None, NONCE, b"secret", ChannelBinding::Unsupported).unwrap().1;
    assert_eq!(server_first("x"), server_first("x"), "the same salt each time");
    assert_ne!(server_first("x"), server_first("y"));
    assert!(server_first("x").ends_with(",i=4096"));
    assert_eq!(server_first("x").len(), SERVER_FIRST.len());
}

#[rstest]
#[case("p=tls-server-end-point,,n=,r=x", ScramError::BindingMismatch)]
#[case("n,a=other,n=,r=x", ScramError::Malformed)]
#[case("n,,r=x", ScramError::Malformed)]
#[case("n,,n=,r=", ScramError::Malformed)]
#[case("n,,n=,r=a b", ScramError::Malformed)]
#[case("", ScramError::Malformed)]
fn an_invalid_first_message_is_rejected(#[case] first: &str, #[case] error: ScramError) {
    assert_eq!(begin(first).err(), Some(error));
}

#[rstest]
#[case::wrong_nonce(FINAL.replace("hNlF", "hNlG"), ScramError::Malformed)]
#[case::wrong_channel(FINAL.replace("biws", "eSws"), ScramError::BindingMismatch)]
#[case::wrong_proof(FINAL.replace("dHzb", "dHzc"), ScramError::WrongPassword)]
#[case::truncated_proof(FINAL.replace("ndVQ=", ""), ScramError::Malformed)]
#[case::no_proof("c=biws".into(), ScramError::Malformed)]
fn an_invalid_final_message_is_rejected(#[case] last: String, #[case] error: ScramError) {
    assert_eq!(begin(FIRST).unwrap().0.finish(&last).err(), Some(error));
}

#[rstest]
#[case("r=other,s=W22Z,i=1")]
#[case("r=mine,s=W22Z,i=1")]
#[case("r=mine1,s=W22Z,i=0")]
#[case("r=mine1,s=W22Z,i=2000000000")]
#[case("r=mine1,s=?,i=1")]
fn an_invalid_message_of_the_server_is_rejected(#[case] server_first: &str) {
    let (mut client, _) = Client::begin("mine", ChannelBinding::Unsupported);
    assert_eq!(client.answer(server_first, "pencil"), Err(ScramError::Malformed));
}

#[test]
fn a_server_that_does_not_know_the_password_is_rejected() {
    let (mut client, _) = Client::begin("rOprNGfwEbeRWgbNEkqO", ChannelBinding::Unsupported);
    client.answer(SERVER_FIRST, "pencil").unwrap();
    assert_eq!(
        client.finish(SERVER_FINAL),
        Err(ScramError::WrongPassword),
        "signed for another first message"
    );
}

#[test]
fn a_users_file_is_parsed_and_written() {
    let mut users = Users::parse("# people\n\n").unwrap();
    assert!(users.insert("clerk of the shop", verifier()) && users.insert("b", verifier()));
    assert!(
        !users.insert("#c", verifier()) && !users.insert("", verifier()) && !users.insert("a\nb", verifier())
    );
    let again = Users::parse(&users.to_text()).unwrap();
    assert_eq!(again, users);
    assert!(again.get("clerk of the shop").is_some());
    assert!(users.remove("b") && !users.remove("b"));
    let line = users.to_text();
    for (text, words) in [
        (format!("{line}{line}"), "line 2: duplicate user clerk of the shop"),
        ("a b".into(), "line 1: not a verifier"),
    ] {
        let error = Users::parse(&text).unwrap_err();
        assert!(error.starts_with(words), "{error}");
    }
}

#[test]
fn repeated_failures_delay_only_their_own_address() {
    let mut failed_logins = FailedLogins::default();
    let [guesser, other]: [IpAddr; 2] = [[10, 0, 0, 1].into(), [10, 0, 0, 2].into()];
    let mut waited = 0.0;
    for _ in 0..1_000 {
        waited += failed_logins.record_failure(waited, guesser);
    }
    assert!(waited > 4_900.0, "a thousand guesses take {waited} s");
    assert_eq!(failed_logins.record_failure(waited, other), 0.1);
    failed_logins.record_success(guesser);
    assert_eq!(failed_logins.record_failure(waited, guesser), 0.1);
    assert_eq!(failed_logins.record_failure(waited + 61.0, guesser), 0.1, "forgotten");
    for n in 0..10_000u32 {
        failed_logins.record_failure(waited, IpAddr::from(n.to_be_bytes()));
    }
    assert!(failed_logins.len() <= 4_096);
}

proptest! {
    #[test]
    fn arbitrary_text_causes_no_panic(first in "\\PC{0,40}", last in "\\PC{0,60}", server_first in "(r=mine)?\\PC{0,40}") {
        let _ = begin(&first);
        let _ = begin(FIRST).unwrap().0.finish(&last);
        let (mut client, _) = Client::begin("mine", ChannelBinding::Unsupported);
        let _ = client.answer(&server_first, "x");
        let _ = client.finish(&last);
        let _ = Users::parse(&first);
        let _ = last.parse::<Verifier>();
    }
}
