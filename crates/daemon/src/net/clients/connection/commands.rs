//! What a client's messages ask for.

use pgwire::{sqlstate, ClientQuery, Message, Startup};

use super::replies::{empty, ending, error};
use super::{AfterReply, CloseReason, Connection, Stage};
use crate::net::event_loop::Slot;
use crate::net::{Context, Event};

/// The memory charged for a command beside its statement, for the state that is stored until its end (bytes).
/// Guards against many small pipelined commands on many connections.
const COMMAND_MEMORY: usize = 1024;

impl Connection {
    /// Answers the first message.
    pub(super) fn startup(
        &mut self,
        first: Startup,
        slot: Slot,
        context: &mut Context,
    ) -> Result<(), CloseReason> {
        match first {
            Startup::Encryption => self.outbox.push(b"N")?,
            Startup::Session => {
                self.outbox
                    .push_over_budget(&pgwire::startup_response((slot.number() as u32, self.secret)))?;
                self.stage = Stage::Open;
            }
            Startup::Cancel(key) => {
                context.events.push_back(Event::CancelRequested(key));
                return Err(CloseReason::Peer);
            }
            Startup::Unknown => self.fatal(sqlstate::FEATURE_NOT_SUPPORTED, "unknown protocol", context)?,
        }
        Ok(())
    }

    /// Answers a message, or begins what it asks for.
    pub(super) fn message(
        &mut self,
        message: Message,
        slot: Slot,
        serving: bool,
        context: &mut Context,
    ) -> Result<(), CloseReason> {
        match message.kind {
            b'X' => self.pipeline.reply_last(Vec::new(), AfterReply::Close),
            b'S' => {
                self.skipping = false;
                self.pipeline.reply(pgwire::ready_for_query());
            }
            _ if self.skipping => {}
            b'Q' => self.query(&message.body, slot, serving, context),
            b'P' | b'B' | b'D' | b'E' | b'C' => {
                self.skipping = true;
                let text = "only simple queries are served";
                self.pipeline.reply(pgwire::error_response(
                    "ERROR",
                    sqlstate::FEATURE_NOT_SUPPORTED,
                    text,
                    None,
                ));
            }
            b'F' => self.pipeline.reply(error(
                sqlstate::FEATURE_NOT_SUPPORTED,
                "function calls are not served",
                None,
            )),
            // Flush needs no reply here; the other messages belong to exchanges that have ended or were never
            // begun.
            b'H' | b'p' | b'd' | b'c' | b'f' => {}
            _ => self.fatal(sqlstate::PROTOCOL_VIOLATION, "unknown message", context)?,
        }
        Ok(())
    }

    fn query(&mut self, body: &[u8], slot: Slot, serving: bool, context: &mut Context) {
        match pgwire::parse_client_query(body) {
            Ok(ClientQuery::Empty) if serving => {
                self.has_queried = true;
                self.pipeline.reply(empty());
            }
            Ok(ClientQuery::Empty) if self.drain_until.is_some() => self.pipeline.reply(ending()),
            Ok(ClientQuery::Empty) => self.pipeline.begin_unready(),
            Ok(ClientQuery::Query(mut query)) => {
                // Guards against many statements that are each within the limit and together exceed the
                // memory.
                let memory = query.statement.len() + query.name_bytes() + COMMAND_MEMORY;
                let Ok(charge) = self.inbox.charge(memory) else {
                    context.counters.refused += 1;
                    return self.pipeline.reply(error(sqlstate::TOO_MANY_CONNECTIONS, "no memory", None));
                };
                query.statement.set_charge(charge);
                self.has_queried = true;
                self.request_rate.record(self.active);
                context.counters.pipelined += u64::from(!self.pipeline.is_empty());
                context.events.push_back(Event::QueryReceived(slot, self.pipeline.begin(), query));
            }
            Err(text) => {
                context.counters.malformed += 1;
                self.pipeline.reply(error(sqlstate::SYNTAX_ERROR, text, None));
            }
        }
    }
}
