//! What a flood of lines comes to.

#[test]
fn lines_of_one_origin_are_bounded_and_levels_change_while_it_runs() {
    let handle = logging::start(operator::LogLevel::Error, operator::LogFormat::Json);
    for n in 0..1_000 {
        logging::error!(event = "flood", n, "the same again");
    }
    assert_eq!(handle.suppressed_lines(), 800);
    logging::error!(event = "other", "another origin still passes");
    assert_eq!(handle.suppressed_lines(), 800);
    let flood = || (0..1_000).for_each(|n| logging::info!(event = "quiet", n, "said at this level only"));
    flood();
    assert_eq!(handle.suppressed_lines(), 800, "not logged at this level, so nothing is left out");
    handle.set_level(operator::LogLevel::Info);
    flood();
    assert_eq!(handle.suppressed_lines(), 1_600);
}
