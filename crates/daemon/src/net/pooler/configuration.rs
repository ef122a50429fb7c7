//! Configuration changes: reloads the files, carries out the actions of the transaction, and checks its
//! probation.

use config::Config;
use mio::net::TcpListener;
use operator::EffectiveConfig;
use transaction::{buffer_bytes, Action, Input, Notice, RESERVED_DESCRIPTORS};

use super::{max_retry_after, process_lifecycle, session_sockets, Pooler, SuccessorHandover};
use crate::files;
use crate::net::change;
use crate::net::event_loop::{Slot, TimerKind};
use crate::net::sessions::Sessions;
use crate::net::Context;
use crate::numbers::NumberedSettings;

impl Pooler {
    /// Reloads the configuration. Of the platform's file only the address of discovery is applied: unfinished
    /// requests depend on the rest, which takes effect at the next start. The operator's file goes through a
    /// transaction. A file that is not usable changes nothing.
    pub(super) fn reload(&mut self, context: &mut Context) {
        match Config::load(&self.path) {
            Ok(config) => {
                context.counters.reloads += 1;
                let mut address = config.discovery;
                if let Some(changes) = &mut self.changes {
                    changes.platform.discovery = address;
                    address = changes.effective.document.discovery.unwrap_or(address);
                    changes.effective.discovery = address;
                }
                logging::info!(event = "config.reread", "configuration read again: discovery at {address}");
                if self.registry.is_none() {
                    self.discovery.set_address(address, context);
                }
            }
            Err(error) => {
                context.counters.reloads_failed += 1;
                logging::error!(event = "config.kept", "configuration kept as it was: {error}");
            }
        }
        self.sessions.iter_mut().for_each(Sessions::reload_users);
        let Some(changes) = &self.changes else { return };
        let document = files::read_document(&changes.path).and_then(|(text, document)| {
            files::check_signature(&text, &changes.effective.document.change).map(|()| document)
        });
        match document {
            Ok(document) if changes.accepted_digest == Some(document.digest()) => {
                logging::info!(event = "config.same", "operator file unchanged since it was last accepted");
            }
            Ok(_) if self.successor.as_ref().is_some_and(SuccessorHandover::is_busy) => {
                logging::warn!(
                    event = "config.kept",
                    "operator file not taken: a handover to a successor is in progress"
                );
            }
            Ok(document) => self.propose(None, document, "SIGHUP".into(), None, Vec::new(), context),
            Err(fault) => {
                context.counters.reloads_failed += 1;
                logging::error!(event = "config.kept", "operator file not taken: {fault}");
            }
        }
    }

    pub(super) fn propose(
        &mut self,
        caller: Option<Slot>,
        document: operator::Document,
        note: String,
        confirm_within: Option<f64>,
        allow: Vec<String>,
        context: &mut Context,
    ) {
        let live_state = self.live_state();
        let Some(changes) = &mut self.changes else { return };
        changes.propose(caller.map(Slot::number), document, note, confirm_within, allow, &live_state);
        self.advance_change(context);
    }

    /// Passes the queued inputs to the transaction and carries out its actions.
    pub(super) fn advance_change(&mut self, context: &mut Context) {
        while let Some(changes) = &mut self.changes {
            let Some(input) = changes.inputs.pop_front() else { return };
            let mut actions = Vec::new();
            changes.transaction.handle(context.reactor.now(), input, &mut actions);
            for action in actions {
                self.carry_out_change_action(action, context);
            }
        }
    }

    fn carry_out_change_action(&mut self, action: Action, context: &mut Context) {
        let now = context.reactor.now();
        let Some(changes) = &mut self.changes else { return };
        match action {
            Action::Persist { step, record } => changes.persist(step, &record),
            Action::Apply(generation) => {
                let started_at = std::time::Instant::now();
                let number = generation.number;
                let result = self.apply_document(&generation.document, context);
                let elapsed_us = started_at.elapsed().as_micros() as u64;
                logging::debug!(
                    event = "config.put",
                    generation = number,
                    took_us = elapsed_us,
                    "generation applied"
                );
                let Some(changes) = &mut self.changes else { return };
                changes.in_force_since = now;
                if result.is_ok() && generation.note == "SIGHUP" {
                    changes.accepted_digest = Some(generation.digest);
                }
                // Goes before the other queued inputs: the generation is in force now.
                changes.inputs.push_front(Input::Applied { number, result });
            }
            Action::Watch => changes.health.begin_comparison(now),
            Action::EndWatch => {
                changes.health.end_comparison();
                self.previous_listen = None;
                self.clients.close_previous_listener(context);
            }
            Action::Timer(at) => context.reactor.set_timer(at, TimerKind::ConfigChange),
            Action::Reply(caller, outcome) => {
                if let Some(control) = &mut self.control {
                    control.answer(Slot::from_number(caller), &change::outcome_response(&outcome), context);
                }
            }
            Action::Notice(notice) => log_notice(&notice),
        }
    }

    /// Applies a document completely or not at all: everything that can fail comes first.
    fn apply_document(&mut self, document: &operator::Document, context: &mut Context) -> Result<(), String> {
        let Some(changes) = &self.changes else { return Ok(()) };
        let effective = EffectiveConfig::new(&changes.platform, document.clone())
            .map_err(|conflicts| change::describe_conflicts(&conflicts))?;
        let mut listener = None;
        if effective.listen != self.listen && self.previous_listen != Some(effective.listen) {
            let bound = TcpListener::bind(effective.listen);
            listener = Some(bound.map_err(|error| format!("listen: {}: {error}", effective.listen))?);
        }
        let mut numbers = self.numbers.clone();
        let NumberedSettings { settings, classes, tenants } =
            numbers.assign(&effective, |number| self.policy.class_has_requests(number))?;
        let (connect_timeout, retry_after) = (settings.connect_timeout, max_retry_after(&settings));
        self.policy.reconfigure(settings).map_err(|fault| fault.to_string())?;
        (self.numbers, self.classes, self.tenants) = (numbers, classes, tenants);
        if let Some(listener) = listener {
            // This fails only if the kernel lacks memory; then clients can connect to the old address only.
            match self.clients.listen_on(listener, context) {
                Ok(()) => self.previous_listen = Some(std::mem::replace(&mut self.listen, effective.listen)),
                Err(error) => logging::error!(event = "listen.failed", "{}: {error}", effective.listen),
            }
        } else if self.previous_listen == Some(effective.listen) {
            self.clients.revert_listener();
            self.previous_listen = Some(std::mem::replace(&mut self.listen, effective.listen));
        }
        let sockets = effective.sockets.saturating_sub(RESERVED_DESCRIPTORS + session_sockets(&effective));
        self.clients.set_limit(sockets / 2, context);
        self.servers.set_limits(sockets - sockets / 2, effective.keepalive, connect_timeout);
        self.budget.resize(buffer_bytes(effective.memory, self.memory_at_start));
        (self.probe_timeout, self.retry_after) = (connect_timeout, retry_after);
        self.lifecycle.set_limits(process_lifecycle::lifecycle_limits(Some(&effective.document.daemon)));
        self.log.set_level(effective.document.log.level);
        if let Some(control) = &mut self.control {
            control.set_idle_timeout(effective.document.control.idle_s);
        }
        if self.registry.is_none() {
            self.discovery.set_address(effective.discovery, context);
        }
        let (pool, now) = (&effective.document.pool, context.reactor.now());
        self.sessions
            .iter_mut()
            .for_each(|sessions| sessions.reconfigure(pool, effective.route_table(), now));
        self.select_list_source(&effective, context);
        self.apply_overrides(&effective, context);
        // The document may no longer contain a list of its own.
        self.follow_pushed_list(context);
        if let Some(changes) = &mut self.changes {
            changes.effective = effective;
        }
        Ok(())
    }

    /// Handles the results of writes to disk.
    pub(super) fn collect_writes(&mut self, context: &mut Context) {
        let Some(changes) = &mut self.changes else { return };
        for fault in changes.collect_writes() {
            logging::error!(event = "state.unwritten", "{fault}");
        }
        self.advance_change(context);
    }

    /// Checks the health of a change on probation and advances the transaction.
    pub(super) fn check_probation(&mut self, context: &mut Context) {
        let (now, numbers) = (context.reactor.now(), &self.numbers);
        let Some(changes) = &mut self.changes else { return };
        let regression =
            changes.find_regression(now, |class| numbers.class_name_by_stable_id(class).to_string());
        changes.inputs.push_back(Input::Time(regression));
        self.advance_change(context);
    }
}

/// Logs the progress of a change.
fn log_notice(notice: &Notice) {
    match notice {
        Notice::Refused(codes) => {
            let codes = codes.join(", ");
            logging::warn!(event = "config.refused", codes, "change refused; nothing has changed");
        }
        Notice::Staged(number) => {
            logging::debug!(event = "config.staged", generation = number, "written to the history")
        }
        Notice::Applied(number) => {
            logging::info!(
                event = "config.applied",
                generation = number,
                "generation {number} is in force, on probation"
            );
        }
        Notice::Confirmed(number) => {
            logging::info!(
                event = "config.confirmed",
                generation = number,
                "generation {number} is confirmed"
            );
        }
        Notice::RolledBack(number, to, why) => {
            logging::warn!(
                event = "config.rolled_back",
                generation = number,
                to,
                "generation {number} is undone, {to} holds again: {why}"
            );
        }
        Notice::NotTaken(number, why) => {
            logging::error!(
                event = "config.not_taken",
                generation = number,
                "generation {number} was not applied: {why}"
            );
        }
    }
}
