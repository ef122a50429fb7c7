//! Texts of the state transitions that the operator's log shows.

use crate::interface::ListKind;
use crate::state::{Member, Policy};
use crate::thresholds::EJECTION_THRESHOLD;

impl Member {
    /// Describes the ejection of the member, which has just begun.
    pub(crate) fn describe_ejection(&self, now: f64) -> String {
        let (id, suspicion, duration) = (&self.id, self.suspicion, self.ejected_until - now);
        format!(
            "member {id} suspected: suspicion {suspicion:.1} of {EJECTION_THRESHOLD:.1}, \
             ejected for {duration:.1} s"
        )
    }

    /// Describes the end of the member's ejection.
    pub(crate) fn describe_return(&self) -> String {
        format!("member {} is back: served a request, ejections in a row: {}", self.id, self.ejection_count)
    }
}

impl Policy {
    /// Describes the loss of the member list: the request failed, the subscription ended, or no answer came.
    pub(crate) fn describe_list_loss(&self, kind: ListKind) -> String {
        let cause = if kind == ListKind::Silent { "no answer" } else { "the request or the watch failed" };
        let known = self.by_id.len();
        format!("member list lost ({cause}): continuing with the last list, {known} members known")
    }

    /// Describes a change of the primary of a group.
    pub(crate) fn describe_primary(&self, group: u32, primary: Option<usize>) -> String {
        match primary {
            Some(m) => format!("group {group}: primary is now {}", self.members[m].id),
            None => format!("group {group} has no primary"),
        }
    }

    /// Describes the refusal of a request of a class.
    pub(crate) fn describe_refusal(&self, group: u32, class: usize) -> String {
        let aim = self.settings.classes[class].aim;
        format!("refusing requests: no member of group {group} can answer class {class} within {aim} s")
    }
}
