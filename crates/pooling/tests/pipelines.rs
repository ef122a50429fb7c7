//! Drawn pipelines of a client, whose server connections are lost at drawn moments for every reason, in every mode.
//! Each query and each Sync gets its own answer in its place, or the client's connection ends; and what is answered
//! without an error was run.
//!
//! `PIPELINES=200000 cargo test --release -p pooling --test pipelines` plays that many of each mode;
//! `PIPELINE=mode,seed` plays one and prints it.

mod messages;
mod pipeline;

use std::collections::{BTreeMap, VecDeque};

use pgwire::session::Piece;
use pgwire::{error_response, Message};
use pipeline::client::{Form, Generator, Sent, FORMS};
use pipeline::judge::Judge;
use pipeline::server::Server;
use pooling::{Action, DetachReason, Disposition, Mode, ServerSessionState, Session};

const MODES: [Mode; 3] = [Mode::Transaction, Mode::Statement, Mode::Session];
/// Maximum number of losses in a play.
const MAX_LOSSES: u32 = 4;

/// How a server connection is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Loss {
    /// It ends.
    Ended,
    /// The server says that it ends, and it ends.
    Shutdown,
    /// The server answers what nobody has asked, and goes on.
    Violation,
    Drained,
    IdleInTransaction,
    StatementTimeout,
}

const LOSSES: [Loss; 6] = [
    Loss::Ended,
    Loss::Shutdown,
    Loss::Violation,
    Loss::Drained,
    Loss::IdleInTransaction,
    Loss::StatementTimeout,
];

/// When a connection is lost, as seen from one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Moment {
    Before,
    Within,
    After,
}

/// How often each form, moment and loss was played.
type Counts = BTreeMap<(Form, Moment, Loss), u64>;

struct Play {
    session: Session,
    /// The connection that the session has, and one that is free.
    server: Option<Server>,
    free: Option<(Server, ServerSessionState)>,
    waiting: bool,
    closed: bool,
    to_send: VecDeque<Sent>,
    judge: Judge,
    rng: fastrand::Rng,
    /// How often the client sends, of 20 times, where the server's reply may be read as well.
    haste: u32,
    losses: u32,
    last_answered: Option<Form>,
    verbose: bool,
}

impl Play {
    fn new(mode: Mode, seed: u64, verbose: bool) -> Play {
        let mut rng = fastrand::Rng::with_seed(seed);
        let requests = rng.usize(1..12);
        let mut generator = Generator::new(&mut rng);
        generator.draw(requests);
        let (messages, answers) = (generator.messages, generator.answers);
        let start = BTreeMap::from([("app.start".to_string(), "'start'".to_string())]);
        Play {
            session: Session::new(mode, start, BTreeMap::new()),
            server: None,
            free: None,
            waiting: false,
            closed: false,
            to_send: messages.into(),
            judge: Judge::new(answers),
            haste: rng.u32(1..20),
            rng,
            losses: 0,
            last_answered: None,
            verbose,
        }
    }

    fn run(mut self, counts: &mut Counts) -> Result<(), String> {
        while !self.closed {
            let can_send = !self.to_send.is_empty() && self.session.accepts_message();
            let can_read = self.server.as_ref().is_some_and(|server| !server.replies.is_empty());
            let can_lose = self.server.is_some() && self.losses < MAX_LOSSES;
            if !can_read && self.server.as_ref().is_some_and(|server| server.has_ended) {
                self.end_server(DetachReason::Lost);
                continue;
            }
            match self.rng.u32(..20) {
                0 if can_lose => self.lose(counts),
                1..=18 if can_send && (!can_read || self.rng.u32(..20) < self.haste) => self.send(),
                1..=18 if can_read => self.read(),
                _ if self.waiting => self.attach_or_refuse(),
                _ if !can_send && !can_read => break,
                _ => {}
            }
        }
        self.judge.finish(self.closed)
    }

    fn trace(&self, text: std::fmt::Arguments) {
        if self.verbose {
            println!("{text}");
        }
    }

    fn send(&mut self) {
        let Sent { message, answer } = self.to_send.pop_front().unwrap();
        self.trace(format_args!(
            "client: {} {:?}",
            message.kind as char,
            String::from_utf8_lossy(&message.body)
        ));
        self.judge.sent(message.kind, answer);
        let mut actions = Vec::new();
        self.session.handle_client_message(message, &mut actions);
        self.perform(actions);
    }

    fn read(&mut self) {
        let piece = self.server.as_mut().and_then(|server| server.replies.pop_front()).unwrap();
        self.trace(format_args!("server: {piece:?}"));
        let mut actions = Vec::new();
        self.session.handle_server_piece(piece, &mut actions);
        self.perform(actions);
    }

    fn attach_or_refuse(&mut self) {
        self.waiting = false;
        let mut actions = Vec::new();
        if self.rng.u32(..12) == 0 {
            self.trace(format_args!("refused"));
            self.session.server_refused("53300", "later", None, &mut actions);
        } else {
            let new = || (Server::new(), ServerSessionState::new(2));
            let (server, state) = self.free.take().unwrap_or_else(new);
            self.trace(format_args!("attached"));
            self.server = Some(server);
            self.session.attach(state, &mut actions);
        }
        self.perform(actions);
    }

    fn lose(&mut self, counts: &mut Counts) {
        let loss = LOSSES[self.rng.usize(..LOSSES.len())];
        self.trace(format_args!("lost: {loss:?}"));
        let mut moments: Vec<(Moment, Form)> =
            self.judge.all_owed().map(|form| (Moment::Within, form)).collect();
        moments.extend(self.judge.next().map(|form| (Moment::Before, form)));
        moments.extend(self.last_answered.map(|form| (Moment::After, form)));
        if matches!(loss, Loss::Violation | Loss::Shutdown) && self.session.is_within_message() {
            return;
        }
        let mut actions = Vec::new();
        match loss {
            Loss::Violation => {
                let replies = &mut self.server.as_mut().unwrap().replies;
                // What could be taken for an answer is none.
                if matches!(replies.front(), Some(Piece::Message(Message { kind: b'1' | b'E', .. }))) {
                    return;
                }
                let kind = if self.judge.owed().is_none() { b'I' } else { b'1' };
                let stray = Piece::Message(Message { kind, body: Vec::new() });
                let more = replies.len().min(self.rng.usize(..4));
                let pieces: Vec<Piece> = std::iter::once(stray).chain(replies.drain(..more)).collect();
                pieces.into_iter().for_each(|piece| self.session.handle_server_piece(piece, &mut actions));
            }
            Loss::Shutdown => {
                let error = error_response("FATAL", "57P01", "the server ends", None);
                let piece = Piece::Message(Message { kind: b'E', body: error[5..].to_vec() });
                self.session.handle_server_piece(piece, &mut actions);
                self.detach(DetachReason::Lost, &mut actions);
            }
            Loss::Ended => self.detach(DetachReason::Lost, &mut actions),
            Loss::Drained => self.detach(DetachReason::Drained, &mut actions),
            Loss::IdleInTransaction => self.detach(DetachReason::IdleInTransaction, &mut actions),
            Loss::StatementTimeout => self.detach(DetachReason::StatementTimeout, &mut actions),
        }
        self.losses += 1;
        for (moment, form) in moments {
            *counts.entry((form, moment, loss)).or_default() += 1;
        }
        self.perform(actions);
    }

    fn end_server(&mut self, reason: DetachReason) {
        let mut actions = Vec::new();
        self.detach(reason, &mut actions);
        self.perform(actions);
    }

    fn detach(&mut self, reason: DetachReason, actions: &mut Vec<Action>) {
        self.session.server_detached(reason, actions);
        actions.push(Action::ReleaseServer(Disposition::Close));
    }

    fn perform(&mut self, actions: Vec<Action>) {
        let owed = self.judge.owed();
        for action in actions {
            match action {
                Action::SendToClient(bytes) => {
                    self.trace(format_args!("    to the client: {:?}", String::from_utf8_lossy(&bytes)));
                    self.judge.receive(&bytes);
                }
                Action::SendToServer(bytes) => {
                    self.trace(format_args!("    to the server: {:?}", String::from_utf8_lossy(&bytes)));
                    let Some(server) = &mut self.server else {
                        self.judge.fault.get_or_insert("sent to no server".into());
                        continue;
                    };
                    server.receive(&bytes);
                    self.judge.executed(std::mem::take(&mut server.executed));
                }
                Action::RequestServer(_) => self.waiting = true,
                Action::ReleaseServer(disposition) => self.release(disposition),
                Action::CloseClient => self.closed = true,
            }
        }
        self.judge.event_ended(self.closed);
        if self.judge.owed() != owed {
            self.last_answered = owed.or(self.last_answered);
        }
    }

    fn release(&mut self, disposition: Disposition) {
        self.trace(format_args!("    released: {disposition:?}"));
        let Some(server) = self.server.take() else { return };
        let state = self.session.take_server_state();
        if disposition == Disposition::Reuse {
            if !server.is_at_rest() {
                self.judge.fault.get_or_insert("a connection is released with something open".into());
            }
            self.free = Some((server, state));
        }
    }
}

/// Guards against an answer that is missing, foreign or untrue after a loss.
#[test]
fn each_query_and_each_sync_gets_its_own_answer_or_the_connection_ends() {
    if let Ok(chosen) = std::env::var("PIPELINE") {
        let (mode, seed) = chosen.split_once(',').unwrap();
        let mode = MODES.into_iter().find(|known| format!("{known:?}") == mode).unwrap();
        let result = Play::new(mode, seed.parse().unwrap(), true).run(&mut Counts::new());
        return assert_eq!(result, Ok(()));
    }
    let plays = std::env::var("PIPELINES").ok().and_then(|count| count.parse().ok()).unwrap_or(8_000);
    let (mut faults, mut all_counts) = (Vec::new(), Vec::new());
    for mode in MODES {
        let mut counts = Counts::new();
        for seed in 0..plays {
            if let Err(text) = Play::new(mode, seed, false).run(&mut counts) {
                faults.push(format!("PIPELINE={mode:?},{seed}: {text}"));
            }
        }
        let requests: u64 = counts.values().sum();
        println!("{mode:?}: {plays} pipelines, {requests} requests before, within or after a loss");
        all_counts.push((mode, counts));
    }
    let first: Vec<&String> = faults.iter().take(20).collect();
    assert!(faults.is_empty(), "{} faults, among them {first:#?}", faults.len());
    for (mode, counts) in all_counts {
        assert_all_played(mode, &counts);
    }
}

/// Checks that each form was played before, within and after each loss.
fn assert_all_played(mode: Mode, counts: &Counts) {
    for form in FORMS {
        for moment in [Moment::Before, Moment::Within, Moment::After] {
            for loss in LOSSES {
                let count = counts.get(&(form, moment, loss));
                assert!(count.is_some(), "{mode:?}: never played: {form:?}, {moment:?}, {loss:?}");
            }
        }
    }
}
