//! Handles the calls on the control socket.

use ::control::{Call, Code, Response};
use transaction::Input;

use super::{Pooler, SuccessorHandover};
use crate::files;
use crate::net::event_loop::Slot;
use crate::net::Context;

impl Pooler {
    /// Handles a control call. Calls that change the configuration are answered later, by the transaction.
    pub(super) fn handle_control_call(&mut self, caller: Slot, call: Call, context: &mut Context) {
        let handing_over = self.successor.as_ref().is_some_and(SuccessorHandover::is_busy);
        let Some(changes) = &mut self.changes else { return };
        if handing_over && matches!(call, Call::Apply { .. } | Call::Confirm { .. } | Call::Rollback { .. }) {
            let busy = Response::new(
                Code::Busy,
                "a handover to a successor is in progress: try again once it has ended",
            );
            return self.control.iter_mut().for_each(|control| control.answer(caller, &busy, context));
        }
        let unreadable = |fault: String| Response::new(Code::Unreadable, fault);
        let parse = |text: &str| {
            let policy = &changes.effective.document.change;
            files::check_signature(text, policy)?;
            operator::parse(text.as_bytes()).map_err(|faults| faults.to_string())
        };
        let response = match call {
            Call::Plan { text } => match parse(&text) {
                Ok(document) => {
                    let live_state = self.live_state();
                    self.changes
                        .as_ref()
                        .map_or_else(|| unreadable(String::new()), |c| c.plan(document, &live_state))
                }
                Err(fault) => unreadable(fault),
            },
            Call::Apply { text, note, confirm_within_s, allow } => match parse(&text) {
                Ok(_) if confirm_within_s.is_some_and(|s| !(0.1..=86_400.0).contains(&s)) => {
                    Response::new(Code::Malformed, "confirm_within_s: accepted: 0.1 to 86400")
                }
                Ok(document) => {
                    return self.propose(Some(caller), document, note, confirm_within_s, allow, context);
                }
                Err(fault) => unreadable(fault),
            },
            Call::Confirm { generation } => {
                changes
                    .inputs
                    .push_back(Input::Confirm { caller: Some(caller.number()), number: generation });
                return self.advance_change(context);
            }
            Call::Rollback { to, allow } => {
                let probation = matches!(changes.transaction.stage(), transaction::Stage::Probation(_));
                if probation && to.is_none_or(|to| to == changes.transaction.base().number) {
                    changes.inputs.push_back(Input::Rollback { caller: Some(caller.number()) });
                    return self.advance_change(context);
                }
                match changes.transaction.history().rollback_target(to).cloned() {
                    Some(earlier) => {
                        let (document, note) =
                            ((*earlier.document).clone(), format!("back to {}", earlier.number));
                        return self.propose(Some(caller), document, note, None, allow, context);
                    }
                    None => Response::new(Code::Nothing, "the history has no such confirmed generation"),
                }
            }
            Call::Status {} => changes.status(self.requests.len(), self.lifecycle.stage(), &context.counters),
            Call::History {} => {
                let entries = changes.transaction.entries().collect();
                Response { history: Some(entries), ..Response::new(Code::Ok, "newest last") }
            }
            Call::Peers { what } => match &mut self.coordination {
                Some(coordination) => coordination.answer(context.reactor.now(), &what),
                None => Response::new(
                    Code::Nothing,
                    "this instance exchanges no state with others: peers.listen is not set",
                ),
            },
            Call::Sessions {} => match &self.sessions {
                Some(sessions) => {
                    let report = sessions.report(context.reactor.now());
                    Response { sessions: Some(report), ..Response::new(Code::Ok, "longest first") }
                }
                None => {
                    Response::new(Code::Nothing, "ordinary clients are not served: pool.listen is not set")
                }
            },
            Call::Show {} => {
                let current = changes.transaction.current();
                let (text, number) = (Some(current.document.canonical_toml()), current.number);
                Response {
                    text,
                    generation: Some(number),
                    ..Response::new(Code::Ok, format!("generation {number}"))
                }
            }
        };
        if let Some(control) = &mut self.control {
            control.answer(caller, &response, context);
        }
    }
}
