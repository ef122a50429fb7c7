use super::*;

/// Takes all replies that can be written.
fn written(pipeline: &mut Pipeline) -> Vec<Vec<u8>> {
    std::iter::from_fn(|| pipeline.next_reply()).map(|reply| reply.bytes).collect()
}

#[test]
fn replies_wait_for_those_of_earlier_commands() {
    let mut pipeline = Pipeline::default();
    let (first, second) = (pipeline.begin(), pipeline.begin());
    pipeline.reply(b"available at once".to_vec());
    assert!(pipeline.finish(second, b"second".to_vec(), None));
    assert_eq!(written(&mut pipeline), Vec::<Vec<u8>>::new());
    assert!(pipeline.finish(first, b"first".to_vec(), None));
    assert_eq!(written(&mut pipeline), [&b"first"[..], b"second", b"available at once"]);
    assert!(pipeline.is_empty());
}

#[test]
fn a_command_is_finished_once() {
    let mut pipeline = Pipeline::default();
    let (first, second) = (pipeline.begin(), pipeline.begin());
    assert!(pipeline.finish(second, b"second".to_vec(), None));
    assert!(!pipeline.finish(second, b"again".to_vec(), None));
    pipeline.finish_running(b"cancelled");
    assert!(!pipeline.finish(first, b"first".to_vec(), None));
    assert_eq!(written(&mut pipeline), [&b"cancelled"[..], b"second"]);
    assert!(!pipeline.finish(first, b"first".to_vec(), None));
}

#[test]
fn no_command_is_read_beyond_the_limit_or_after_the_last_reply() {
    let mut pipeline = Pipeline::default();
    let numbers: Vec<CommandNumber> = (0..MAX_COMMANDS).map(|_| pipeline.begin()).collect();
    assert!(!pipeline.takes_commands());
    assert!(pipeline.finish(numbers[0], Vec::new(), None));
    assert!(!pipeline.takes_commands(), "a reply that is not written counts towards the limit");
    assert!(pipeline.next_reply().is_some());
    assert!(pipeline.takes_commands());
    pipeline.reply_last(Vec::new(), AfterReply::Close);
    assert!(!pipeline.takes_commands());
    pipeline.finish_running(b"");
    written(&mut pipeline);
    assert!(pipeline.is_empty() && !pipeline.takes_commands());
}

#[test]
fn an_empty_query_waits_until_the_pooler_serves() {
    let mut pipeline = Pipeline::default();
    pipeline.begin_unready();
    assert!(pipeline.is_waiting() && pipeline.is_unready() && !pipeline.is_running());
    pipeline.finish_unready(b"empty");
    assert_eq!(written(&mut pipeline), [b"empty"]);
}
