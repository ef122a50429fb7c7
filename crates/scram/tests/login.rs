//! Logins from both sides, with the RFC's own figures, and what fails.

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
fn the_example_of_the_rfc() {
    let (server, first) = begin(FIRST).unwrap();
    assert_eq!(first, SERVER_FIRST);
    assert_eq!(server.finish(FINAL).unwrap(), SERVER_FINAL);
    let again: Verifier = verifier().to_string().parse().unwrap();
    assert_eq!(again, verifier());
}

/// A whole login; what each side makes of it.
fn login(password: &str, known: Option<&Verifier>) -> (Result<(), ScramError>, Result<(), ScramError>) {
    let (mut client, first) = Client::begin("mine", ChannelBinding::Unsupported);
    let (server, told) =
        Server::begin(&first, "user", known, "theirs", b"secret", ChannelBinding::Unsupported).unwrap();
    let last = client.answer(&told, password).unwrap();
    match server.finish(&last) {
        Ok(told) => (Ok(()), client.finish(&told)),
        Err(fault) => (Err(fault), client.finish("e=no")),
    }
}

#[test]
fn the_right_password_is_taken_and_no_other() {
    let short = Verifier::new("pencil", SALT, 2);
    assert_eq!(login("pencil", Some(&short)), (Ok(()), Ok(())));
    assert_eq!(login("pencils", Some(&short)).0, Err(ScramError::WrongPassword));
    assert_eq!(login("pencil", None).0, Err(ScramError::WrongPassword));
}

/// How a login ends whose sides see the channel like this; none where the server turns down the first message.
fn bound(near: ChannelBinding, far: ChannelBinding) -> Result<(), ScramError> {
    let short = Verifier::new("pencil", SALT, 2);
    let (mut client, first) = Client::begin("mine", near);
    let (server, told) = Server::begin(&first, "user", Some(&short), "theirs", b"secret", far)?;
    let told = server.finish(&client.answer(&told, "pencil").unwrap())?;
    client.finish(&told)
}

#[rstest]
#[case::the_same_certificate(ChannelBinding::Bound(b"one"), ChannelBinding::Bound(b"one"), Ok(()))]
#[case::somebody_in_between(
    ChannelBinding::Bound(b"one"),
    ChannelBinding::Bound(b"other"),
    Err(ScramError::BindingMismatch)
)]
#[case::the_offer_struck_out(
    ChannelBinding::NotUsed,
    ChannelBinding::NotUsed,
    Err(ScramError::BindingMismatch)
)]
#[case::nothing_offered(ChannelBinding::NotUsed, ChannelBinding::Unsupported, Ok(()))]
#[case::a_client_that_cannot(ChannelBinding::Unsupported, ChannelBinding::NotUsed, Ok(()))]
#[case::chosen_and_not_done(
    ChannelBinding::Unsupported,
    ChannelBinding::Bound(b"one"),
    Err(ScramError::BindingMismatch)
)]
#[case::done_and_not_chosen(
    ChannelBinding::Bound(b"one"),
    ChannelBinding::NotUsed,
    Err(ScramError::BindingMismatch)
)]
#[case::done_in_the_clear(
    ChannelBinding::Bound(b"one"),
    ChannelBinding::Unsupported,
    Err(ScramError::BindingMismatch)
)]
fn a_login_is_bound_to_its_connection(
    #[case] near: ChannelBinding,
    #[case] far: ChannelBinding,
    #[case] expected: Result<(), ScramError>,
) {
    assert_eq!(bound(near, far), expected);
}

#[test]
fn nobody_learns_who_there_is() {
    let ask =
        |user| Server::begin(FIRST, user, None, NONCE, b"secret", ChannelBinding::Unsupported).unwrap().1;
    assert_eq!(ask("x"), ask("x"), "the same salt each time");
    assert_ne!(ask("x"), ask("y"));
    assert!(ask("x").ends_with(",i=4096"));
    assert_eq!(ask("x").len(), SERVER_FIRST.len());
}

#[rstest]
#[case("p=tls-server-end-point,,n=,r=x", ScramError::BindingMismatch)]
#[case("n,a=other,n=,r=x", ScramError::Malformed)]
#[case("n,,r=x", ScramError::Malformed)]
#[case("n,,n=,r=", ScramError::Malformed)]
#[case("n,,n=,r=a b", ScramError::Malformed)]
#[case("", ScramError::Malformed)]
fn a_first_message_that_is_none(#[case] first: &str, #[case] fault: ScramError) {
    assert_eq!(begin(first).err(), Some(fault));
}

#[rstest]
#[case::another_nonce(FINAL.replace("hNlF", "hNlG"), ScramError::Malformed)]
#[case::another_channel(FINAL.replace("biws", "eSws"), ScramError::BindingMismatch)]
#[case::another_proof(FINAL.replace("dHzb", "dHzc"), ScramError::WrongPassword)]
#[case::half_a_proof(FINAL.replace("ndVQ=", ""), ScramError::Malformed)]
#[case::no_proof("c=biws".into(), ScramError::Malformed)]
fn a_last_message_that_is_wrong(#[case] last: String, #[case] fault: ScramError) {
    assert_eq!(begin(FIRST).unwrap().0.finish(&last).err(), Some(fault));
}

#[rstest]
#[case("r=other,s=W22Z,i=1")]
#[case("r=mine,s=W22Z,i=1")]
#[case("r=mine1,s=W22Z,i=0")]
#[case("r=mine1,s=W22Z,i=2000000000")]
#[case("r=mine1,s=?,i=1")]
fn a_server_that_is_none(#[case] told: &str) {
    let (mut client, _) = Client::begin("mine", ChannelBinding::Unsupported);
    assert_eq!(client.answer(told, "pencil"), Err(ScramError::Malformed));
}

#[test]
fn a_server_that_does_not_know_the_password_is_found_out() {
    let (mut client, _) = Client::begin("rOprNGfwEbeRWgbNEkqO", ChannelBinding::Unsupported);
    client.answer(SERVER_FIRST, "pencil").unwrap();
    assert_eq!(
        client.finish(SERVER_FINAL),
        Err(ScramError::WrongPassword),
        "signed for another first message"
    );
}

#[test]
fn a_file_of_users_is_read_and_written() {
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
        (format!("{line}{line}"), "line 2: clerk of the shop stands there twice"),
        ("a b".into(), "line 1: not a verifier"),
    ] {
        let fault = Users::parse(&text).unwrap_err();
        assert!(fault.starts_with(words), "{fault}");
    }
}

#[test]
fn a_guesser_waits_longer_each_time_and_others_do_not() {
    let mut guesses = FailedLogins::default();
    let [guesser, other]: [IpAddr; 2] = [[10, 0, 0, 1].into(), [10, 0, 0, 2].into()];
    let mut waited = 0.0;
    for _ in 0..1_000 {
        waited += guesses.record_failure(waited, guesser);
    }
    assert!(waited > 4_900.0, "a thousand guesses take {waited} s");
    assert_eq!(guesses.record_failure(waited, other), 0.1);
    guesses.record_success(guesser);
    assert_eq!(guesses.record_failure(waited, guesser), 0.1);
    assert_eq!(guesses.record_failure(waited + 61.0, guesser), 0.1, "forgotten");
    for n in 0..10_000u32 {
        guesses.record_failure(waited, IpAddr::from(n.to_be_bytes()));
    }
    assert!(guesses.len() <= 4_096);
}

proptest! {
    #[test]
    fn no_text_upsets_either_side(first in "\\PC{0,40}", last in "\\PC{0,60}", told in "(r=mine)?\\PC{0,40}") {
        let _ = begin(&first);
        let _ = begin(FIRST).unwrap().0.finish(&last);
        let (mut client, _) = Client::begin("mine", ChannelBinding::Unsupported);
        let _ = client.answer(&told, "x");
        let _ = client.finish(&last);
        let _ = Users::parse(&first);
        let _ = last.parse::<Verifier>();
    }
}
