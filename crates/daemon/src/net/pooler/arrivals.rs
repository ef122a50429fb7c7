//! Requests that arrive: of platform clients, and of ordinary clients' sessions that need a server.

use std::rc::Rc;

use exchange::{Answer, Query, Statement};
use routing::interface::{self, Arrival, Consistency, Effect, RequestId};
use routing::permission::History;

use super::in_flight::Access;
use super::sharing::SharingState;
use super::{names, trace, Pooler, ReplyTarget, Request};
use crate::net::clients::CommandNumber;
use crate::net::event_loop::Slot;
use crate::net::sessions::RoutedServerRequest;
use crate::net::Context;
use crate::numbers::ActiveClass;

impl Pooler {
    pub(super) fn handle_query(
        &mut self,
        (client, command): (Slot, CommandNumber),
        query: Query,
        context: &mut Context,
    ) {
        let id = RequestId::from(query.id);
        let active_class = self.classes.iter().find(|class| class.name == query.class);
        let invalid = match active_class {
            None => Some("unknown class"),
            Some(class) if class.effect == Effect::Keyed && !query.has_idempotency_key => {
                Some("this class needs a key")
            }
            // Two requests with the same id could not be distinguished, and the member would take one for a
            // repeat of the other.
            Some(_) if self.requests.contains_key(&id) => Some("this id is in use"),
            Some(_) => None,
        };
        let (Some(&ActiveClass { number: class, stable_id: class_id, consistency, .. }), None) =
            (active_class, invalid)
        else {
            let answer = Answer::Invalid(invalid.unwrap_or_default());
            return self.clients.answer(client, command, answer, context);
        };
        context.counters.requests += 1;
        let now = context.reactor.now();
        if self.departed.contains(&id, now) {
            // It may have run for a client that has left.
            return self.clients.answer(client, command, Answer::Failed, context);
        }
        let uses_session = matches!(consistency, Consistency::Write | Consistency::Session);
        let tenant = self.tenants.iter().find(|(name, _)| *name == query.tenant).map(|(_, number)| *number);
        // An unknown tenant gets a number that the policy does not know.
        let tenant = tenant.unwrap_or(usize::MAX);
        let access = Access { group: query.group, key: query.session_key.clone(), consistency };
        let arrival = Arrival {
            id: id.clone(),
            class,
            group: query.group,
            time_left: query.timeout.min(self.kill_at - now).min(self.policy.class_deadline(class)),
            required_position: query.required_position,
            session: query.session_key.filter(|_| uses_session).map(names::session_name),
            tenant,
            predicted_work: None,
            repeat: query.repeat,
            client_rate: self.clients.request_rate(client, now),
            session_position: None,
            streams_answer: false,
        };
        let attempt_rules = self.policy.attempt_rules(class, now + arrival.time_left);
        let request = Request {
            reply_target: Some(ReplyTarget::Client(client)),
            client_left: false,
            statement: Rc::new(query.statement),
            history: History::new(attempt_rules),
            attempts_in_flight: Vec::new(),
            class_id,
            group: query.group,
            repeat: query.repeat,
            tenant,
            arrived_at: now,
            consistency,
            sharing: SharingState::default(),
        };
        self.requests.insert(id, request);
        match self.in_flight.insert((client, command), access, arrival, now) {
            Some(arrival) => self.begin_request(arrival, consistency, context),
            None => self.in_flight.set_timer(client, &mut context.reactor),
        }
    }

    /// Starts a request, unless it first has to wait for other instances.
    pub(super) fn begin_request(
        &mut self,
        arrival: Arrival,
        consistency: Consistency,
        context: &mut Context,
    ) {
        self.invalidate_writes_beside_predecessor(context);
        if let Some(arrival) = self.coordinate_arrival(arrival, consistency, context) {
            self.notify_policy(interface::Event::Arrival(arrival), context);
        }
    }

    /// Starts a request that no longer has to wait for earlier requests of its connection.
    pub(super) fn handle_release(&mut self, client: Slot, id: &RequestId, context: &mut Context) {
        let Some(mut arrival) = self.in_flight.release(client, id) else { return };
        let Some(request) = self.requests.get(id) else { return };
        let consistency = request.consistency;
        arrival.time_left -= context.reactor.now() - request.arrived_at;
        self.begin_request(arrival, consistency, context);
    }

    /// Refuses requests that have waited for earlier requests of their connection for the maximum time. They
    /// were not sent.
    pub(super) fn refuse_expired(&mut self, client: Slot, context: &mut Context) {
        self.in_flight.timer_fired(client);
        for id in self.in_flight.expired(client, context.reactor.now()) {
            let backoff = self.lifecycle.jittered_backoff(self.retry_after);
            trace::refused_unsent(&id, "waited too long for earlier requests of its connection");
            self.answer(&id, Answer::Refused(backoff), context);
        }
        self.in_flight.set_timer(client, &mut context.reactor);
    }

    /// An ordinary client's session requests a server. This counts as one request, whatever the session sends
    /// to the server.
    pub(super) fn handle_server_request(
        &mut self,
        slot: Slot,
        request: RoutedServerRequest,
        context: &mut Context,
    ) {
        let RoutedServerRequest { id, class, tenant, group } = request;
        let Some(&ActiveClass { number, stable_id: class_id, consistency, .. }) =
            self.classes.iter().find(|c| c.name == class)
        else {
            let answer = Answer::Invalid("unknown class");
            return self.sessions.iter_mut().for_each(|sessions| sessions.refuse(slot, &answer, context));
        };
        context.counters.requests += 1;
        let uses_session = matches!(consistency, Consistency::Write | Consistency::Session);
        let known = self.tenants.iter().find(|(name, _)| *name == tenant).map(|(_, number)| *number);
        let tenant = known.unwrap_or(usize::MAX);
        let arrival = Arrival {
            id: id.clone(),
            class: number,
            group,
            // The deadline of its class limits how long it waits.
            time_left: f64::MAX,
            required_position: None,
            session: uses_session.then(|| format!("session-{}", slot.number()).into()),
            tenant,
            predicted_work: None,
            repeat: false,
            client_rate: 0.0,
            session_position: None,
            streams_answer: true,
        };
        let request = Request {
            reply_target: Some(ReplyTarget::Session(slot)),
            client_left: false,
            statement: Rc::new(Statement::new("".into(), 0..0)),
            history: History::new(self.policy.attempt_rules(number, f64::INFINITY)),
            attempts_in_flight: Vec::new(),
            class_id,
            group,
            repeat: false,
            tenant,
            arrived_at: context.reactor.now(),
            consistency,
            sharing: SharingState::default(),
        };
        self.requests.insert(id, request);
        self.invalidate_writes_beside_predecessor(context);
        self.notify_policy(interface::Event::Arrival(arrival), context);
    }
}
