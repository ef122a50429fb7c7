//! The only place that decides whether a read may be written to its member now, and whether its answer may be
//! passed on. Both are judged by what the read must reflect at its last byte. The policy's choice of a member is an
//! estimate: until the last byte is written, connections come up late, bounds move with the clock, sessions write
//! and members change roles.

use crate::interface::Conclusion;
use crate::permission::Denial;

/// Positions are stated in whole milliseconds, rounded down (seconds).
const POSITION_RESOLUTION: f64 = 0.001;

/// What a read must reflect if its last byte is written at a given time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Requirement {
    /// Lowest position of the data; infinite if only the primary has it.
    pub position: f64,
    /// The part of it that members do not know, and so cannot check: what the session wrote elsewhere.
    pub unchecked_position: f64,
}

/// What is known of the member of a read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Knowledge {
    /// It is the primary of its group, as far as is known.
    pub primary: bool,
    /// The highest position that it is known to have reached.
    pub position: f64,
    /// It checks positions itself, and may have reached the required one since it was last heard.
    pub may_be_fresh: bool,
}

/// A read at its last byte; until that is written, at the decision to send it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadAtWrite {
    /// When that was (seconds).
    pub at: f64,
    pub requirement: Requirement,
    /// The member was the primary, as far as was known.
    pub primary: bool,
    /// The highest position that the member was known to have reached.
    pub position: f64,
}

/// What an answer states of the member that gave it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Stated {
    pub position: Option<f64>,
    pub primary: Option<bool>,
}

impl Requirement {
    /// Checks whether a read may be written to a member.
    pub(crate) fn may_write(&self, member: Knowledge) -> Result<(), Denial> {
        if member.primary || member.position >= self.position || member.may_be_fresh {
            return Ok(());
        }
        Err(Denial::Behind)
    }
}

impl ReadAtWrite {
    /// Assesses an answer that came `elapsed` seconds after the last byte. `is_checked` tells whether members check
    /// positions, and `primary` whether the member is the primary as far as is known now.
    pub(crate) fn assess(&self, stated: Stated, elapsed: f64, is_checked: bool, primary: bool) -> Conclusion {
        let required = self.requirement.position;
        let reached = self.position >= required;
        let nothing_stated = stated.position.is_none() && stated.primary.is_none();
        let is_checked = is_checked && self.position >= self.requirement.unchecked_position;
        // Positions never decrease, so this member has lost data, or is another under the same name.
        let contradicts = stated.position.is_some_and(|position| position + POSITION_RESOLUTION < required);
        let is_fresh = match stated.primary {
            // One that was a replica may have become the primary after it read.
            Some(true) if self.primary || is_checked => true,
            _ if reached => !contradicts,
            // Of a primary that does not state its role, what is known by now counts.
            None if self.primary && primary => {
                nothing_stated || stated_position_reaches(stated.position, required, elapsed)
            }
            _ if nothing_stated => is_checked && !self.primary,
            // What a member states may be newer than what it read, unless it has compared the two itself.
            _ => is_checked && stated_position_reaches(stated.position, required, elapsed),
        };
        if is_fresh {
            Conclusion::AsReceived
        } else {
            Conclusion::TooOld
        }
    }
}

/// Returns true if an answer's position proves that its data has the required one: the answer was begun `elapsed`
/// seconds ago, and the data may be older by that time.
fn stated_position_reaches(position: Option<f64>, required: f64, elapsed: f64) -> bool {
    position.is_some_and(|position| position - elapsed >= required)
}

#[cfg(test)]
mod tests;
