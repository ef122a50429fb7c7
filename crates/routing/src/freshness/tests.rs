use super::*;

const REQUIRED: f64 = 50.0;
/// How long the answers take from the last byte on (seconds).
const ELAPSED: f64 = 0.2;

/// A read at a member that was known to have reached `position`, and taken for the primary or not.
fn read(position: f64, primary: bool) -> ReadAtWrite {
    let requirement = Requirement { position: REQUIRED, unchecked_position: f64::NEG_INFINITY };
    ReadAtWrite { at: 0.0, requirement, primary, position }
}

/// Assesses an answer of a member that is no primary by now.
fn assess(read: ReadAtWrite, is_checked: bool, primary: Option<bool>, position: Option<f64>) -> Conclusion {
    read.assess(Stated { position, primary }, ELAPSED, is_checked, false)
}

#[test]
fn an_answer_that_may_not_reflect_the_required_position_is_too_old() {
    let at = |primary, position| assess(read(REQUIRED - 1.0, false), true, primary, position);
    assert_eq!(at(Some(false), Some(50.1)), Conclusion::TooOld);
    assert_eq!(at(Some(false), Some(50.3)), Conclusion::AsReceived);
    assert_eq!(at(Some(true), None), Conclusion::AsReceived);
    let requirement = Requirement { position: REQUIRED, unchecked_position: REQUIRED };
    let elsewhere = ReadAtWrite { requirement, ..read(REQUIRED - 1.0, false) };
    for (primary, position) in [(None, None), (Some(false), Some(50.3)), (Some(true), None)] {
        let conclusion = assess(elsewhere, true, primary, position);
        assert_eq!(conclusion, Conclusion::TooOld, "members do not check what was written elsewhere");
    }
}

#[test]
fn where_members_do_not_check_positions_only_what_was_known_at_the_last_byte_counts() {
    for (primary, position) in
        [(None, None), (Some(false), Some(60.0)), (Some(true), Some(60.0)), (None, Some(60.0))]
    {
        let behind = assess(read(REQUIRED - 0.001, false), false, primary, position);
        assert_eq!(behind, Conclusion::TooOld, "{primary:?} {position:?}");
        let reached = assess(read(REQUIRED, false), false, primary, position);
        assert_eq!(reached, Conclusion::AsReceived, "{primary:?} {position:?}");
    }
}

#[test]
fn a_primary_is_taken_at_its_word_or_by_what_is_known_when_it_answers() {
    let at = |primary, position, is_primary| {
        read(REQUIRED - 1.0, true).assess(Stated { position, primary }, ELAPSED, false, is_primary)
    };
    assert_eq!(at(Some(true), None, false), Conclusion::AsReceived);
    assert_eq!(at(Some(false), Some(60.0), true), Conclusion::TooOld);
    assert_eq!(at(None, None, true), Conclusion::AsReceived);
    assert_eq!(at(None, None, false), Conclusion::TooOld);
    assert_eq!(at(None, Some(50.3), true), Conclusion::AsReceived);
    assert_eq!(at(None, Some(50.1), true), Conclusion::TooOld);
    assert_eq!(at(None, Some(50.3), false), Conclusion::TooOld);
}
