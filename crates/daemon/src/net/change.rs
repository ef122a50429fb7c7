//! Configuration changes, except for their effects on sockets: the transaction's state machine, the
//! configuration in force, the history on disk, and the answers to control calls. The pooler applies a
//! generation and reports the result.

use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use ::control::{Code, Response, Status};
use config::Config;
use operator::{Confirm, Conflict, Difference, Digest, Document, EffectiveConfig};
use transaction::{
    check, Finding, Health, HealthRules, History, Input, LiveState, Mode, Outcome, Proposal, RequestFailure,
    Roster, Severity, Stage, StartupPlan, StateMachine, Verdict, HEALTH_CHECK_INTERVAL,
};

use crate::counters::Counters;
use crate::files;
use crate::store::{Store, Writer};

/// Length of the period before a change that its probation is compared with (seconds): the default probation
/// length.
const HEALTH_WINDOW: f64 = 15.0;

/// The configuration that a daemon starts with.
pub(crate) struct StartupConfig {
    pub path: PathBuf,
    pub effective: EffectiveConfig,
    start: StartupPlan,
    history: History,
    store: Option<Store>,
    /// Digest of the operator's file, if the file is usable.
    accepted_digest: Option<Digest>,
    /// Stored view of a registry, encoded.
    stored_view: Option<Vec<u8>>,
}

/// Reads the operator's file and the history, and chooses the configuration to start with. Messages that the
/// log must show as errors are added to `alerts`. Fails if neither the file is usable nor the history has a
/// confirmed generation.
pub(crate) fn load_startup_config(
    path: &Path,
    (state, lock): (Option<PathBuf>, Option<std::fs::File>),
    platform: &Config,
    now: f64,
    alerts: &mut Vec<String>,
) -> Result<StartupConfig, String> {
    let read = files::read_document(path);
    let dir = state.or_else(|| read.as_ref().ok().and_then(|(_, document)| document.state.dir.clone()));
    let (mut store, history) = match &dir {
        None => (None, History::default()),
        Some(dir) => {
            let (store, history, truncation) = Store::open(dir, lock)?;
            alerts.extend(truncation);
            (Some(store), history)
        }
    };
    let confirmed = history.confirmed().map(|generation| generation.document.clone());
    let validate = |document: Document| -> Result<Document, String> {
        let conflicts = |c: Vec<Conflict>| describe_conflicts(&c);
        EffectiveConfig::new(platform, document.clone()).map(|_| document).map_err(conflicts)
    };
    // The file must be signed if the last confirmed document requires that; without one, if the file itself
    // does.
    let file = read.and_then(|(text, document)| {
        let policy = confirmed.as_ref().map_or(&document.change, |confirmed| &confirmed.change);
        files::check_signature(&text, policy).map_err(|fault| format!("{}: {fault}", path.display()))?;
        validate(document).map_err(|fault| format!("{}: {fault}", path.display()))
    });
    if let (Err(fault), None) = (&file, &confirmed) {
        return Err(fault.clone());
    }
    let accepted_digest = file.as_ref().ok().map(Document::digest);
    let start = history.plan_startup(file, now);
    alerts.extend(start.warning.clone());
    let effective = EffectiveConfig::new(platform, (*start.generation.document).clone());
    let effective = effective.map_err(|c| {
        format!(
            "generation {} conflicts with the platform's configuration: {}",
            start.generation.number,
            describe_conflicts(&c)
        )
    })?;
    if let Some(store) = &mut store {
        store.record(&start.records)?;
    }
    let mut history = history;
    start.records.iter().for_each(|record| history.apply(record));
    let stored_view = store.as_ref().and_then(Store::stored_view);
    Ok(StartupConfig {
        stored_view,
        path: path.to_path_buf(),
        effective,
        start,
        history,
        store,
        accepted_digest,
    })
}

/// Describes conflicts, one per line.
pub(crate) fn describe_conflicts(conflicts: &[Conflict]) -> String {
    conflicts.iter().map(Conflict::to_string).collect::<Vec<_>>().join("\n")
}

/// State of configuration changes.
pub(crate) struct Changes {
    pub transaction: StateMachine,
    pub health: Health,
    pub roster: Roster,
    /// Queued inputs of the state machine. Inputs that result from its actions are appended, except that the
    /// result of applying a generation goes first.
    pub inputs: VecDeque<Input>,
    pub effective: EffectiveConfig,
    pub platform: Config,
    pub path: PathBuf,
    /// Digest of the operator's file when it was last accepted: a SIGHUP that is meant for the platform's
    /// configuration must not bring back a document that a control call has replaced since.
    pub accepted_digest: Option<Digest>,
    /// Stored view of a registry, encoded, until it is used.
    pub stored_view: Option<Vec<u8>>,
    writer: Option<Writer>,
    /// When the current generation came into force (Unix seconds).
    pub in_force_since: f64,
}

/// Result of checking a document against the platform's configuration and the live state.
pub(crate) struct CheckedChange {
    differences: Vec<Difference>,
    findings: Vec<Finding>,
}

impl Changes {
    pub fn new(
        startup: StartupConfig,
        platform: Config,
        waker: impl FnOnce() -> std::io::Result<mio::Waker>,
        now: f64,
    ) -> std::io::Result<Changes> {
        let StartupConfig { path, effective, start, history, store, accepted_digest, stored_view } = startup;
        let max_log_bytes = effective.document.state.max_kb as usize * 1024;
        let writer = store.map(|store| store.spawn(waker()?, max_log_bytes)).transpose()?;
        Ok(Changes {
            transaction: StateMachine::new(history, start.generation),
            health: Health::new(now, HEALTH_WINDOW),
            roster: Roster::default(),
            inputs: VecDeque::new(),
            effective,
            platform,
            path,
            accepted_digest,
            stored_view,
            writer,
            in_force_since: now,
        })
    }

    /// Queues a step for writing to disk; without a state folder it counts as written at once.
    pub fn persist(&mut self, step: u64, record: &transaction::Record) {
        let result = match &mut self.writer {
            None => Ok(()),
            Some(writer) => match writer.append(step, record, self.transaction.history()) {
                // `collect_writes` reports the result.
                Ok(()) => return,
                Err(fault) => Err(fault),
            },
        };
        self.inputs.push_back(Input::Persisted { step, result });
    }

    /// Lock file of the history's folder, to be passed to a successor.
    pub fn state_lock(&self) -> Option<&std::fs::File> {
        self.writer.as_ref().and_then(|writer| writer.lock.as_ref())
    }

    /// Rewrites the history on disk after a successor has failed, which may have written there.
    pub fn rewrite_history(&mut self) {
        if let Some(writer) = &mut self.writer {
            writer.rewrite_history(self.transaction.history());
        }
    }

    /// Returns true if a registry's view can be stored now: there is a state folder, and no view is being
    /// written.
    pub fn can_store_view(&self) -> bool {
        self.writer.as_ref().is_some_and(|writer| !writer.is_storing_view())
    }

    /// Stores a registry's view, if there is a state folder.
    pub fn store_view(&mut self, bytes: Vec<u8>) {
        if let Some(writer) = &self.writer {
            writer.store_view(bytes);
        }
    }

    /// Passes the results of written steps to the state machine. Returns the errors of other write jobs.
    pub fn collect_writes(&mut self) -> Vec<String> {
        let mut faults = Vec::new();
        while let Some((step, result)) = self.writer.as_mut().and_then(Writer::next_result) {
            if step > 0 {
                self.inputs.push_back(Input::Persisted { step, result });
            } else if let Err(fault) = result {
                faults.push(fault);
            }
        }
        faults
    }

    /// Merges a document with the platform's configuration and checks the effects that it would have now.
    pub fn check_document(
        &self,
        document: Document,
        live_state: &LiveState,
    ) -> Result<CheckedChange, Vec<Finding>> {
        let effective = EffectiveConfig::new(&self.platform, document).map_err(|conflicts| {
            let finding =
                |c: &Conflict| Finding { code: "conflict", severity: Severity::Error, what: c.to_string() };
            conflicts.iter().map(finding).collect::<Vec<_>>()
        })?;
        let differences = self.effective.differences(&effective);
        let mut findings = check(&self.effective, &effective, &differences, live_state);
        let registry = &effective.document.registry;
        if *registry != self.effective.document.registry {
            // Errors that only reading the files reveals: a change must not leave the list without a usable
            // source.
            let unusable = |what: String| Finding { code: "registry-files", severity: Severity::Error, what };
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
            findings.extend(files::registry_tls(registry, now.as_secs_f64()).err().map(unusable));
            let password = registry.password_file.as_ref().map(|file| files::read_password(file));
            findings.extend(password.and_then(Result::err).map(unusable));
        }
        let pool = &effective.document.pool;
        if *pool != self.effective.document.pool {
            let unusable = |what: String| Finding { code: "pool-files", severity: Severity::Error, what };
            let users = pool.users.as_ref().map(|file| files::read_users(file));
            findings.extend(users.and_then(Result::err).map(unusable));
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
            findings.extend(files::pool_tls(pool, now.as_secs_f64()).err().map(unusable));
        }
        Ok(CheckedChange { differences, findings })
    }

    /// Describes the changes that a document would make.
    pub fn plan(&self, document: Document, live_state: &LiveState) -> Response {
        match self.check_document(document, live_state) {
            Err(findings) => Response::new(Code::Refused, "conflicts with the platform's configuration")
                .with_findings(&findings),
            Ok(checked) => {
                let refused = transaction::is_refused(&checked.findings, &[]);
                let code = if refused { Code::Refused } else { Code::Ok };
                let message = format!(
                    "{} values would change; {}",
                    checked.differences.len(),
                    if refused { "the check refuses the change" } else { "the check permits the change" }
                );
                Response::new(code, message)
                    .with_findings(&checked.findings)
                    .with_changes(&checked.differences)
            }
        }
    }

    /// Proposes a document to the transaction's state machine.
    pub fn propose(
        &mut self,
        caller: Option<u64>,
        document: Document,
        note: String,
        confirm_within: Option<f64>,
        allow: Vec<String>,
        live_state: &LiveState,
    ) {
        // The policy in force applies, not that of the document: a change cannot relax its own probation.
        let policy = &self.effective.document.change;
        let mode = match (confirm_within, policy.confirm) {
            (Some(within), _) => Mode::Manual(within),
            (None, Confirm::Manual) => Mode::Manual(policy.confirm_within_s),
            (None, Confirm::Auto) => Mode::Auto(policy.probation_s),
        };
        let findings = match self.check_document(document.clone(), live_state) {
            Ok(checked) => checked.findings,
            Err(findings) => findings,
        };
        let document = Arc::new(document);
        self.inputs.push_back(Input::Propose(Proposal { caller, document, note, mode, findings, allow }));
    }

    /// Records the result of a request for the health comparison.
    pub fn record_request(
        &mut self,
        now: f64,
        (class, group): (u16, u32),
        repeat: bool,
        failure: Option<RequestFailure>,
        elapsed: f64,
    ) {
        self.health.record(now, class, group, repeat, failure, elapsed);
    }

    /// Describes a regression since the change on probation was applied; none without one.
    pub fn find_regression(&self, now: f64, name: impl Fn(u16) -> String) -> Option<String> {
        if !matches!(self.transaction.stage(), Stage::Probation(_)) {
            return None;
        }
        let policy = &self.transaction.base().document.change;
        let rules = HealthRules {
            significance: policy.significance,
            min_increase: policy.worse_by,
            min_requests: policy.least_requests.into(),
            checks: (policy.probation_s.max(policy.confirm_within_s) / HEALTH_CHECK_INTERVAL).ceil() as u32,
        };
        match self.health.judge(now, &rules) {
            Verdict::Fine => None,
            Verdict::Worse(judged) => Some(judged.describe(&name(judged.class))),
        }
    }

    /// Returns the status of the daemon: the generation in force, the change in progress, and counters.
    pub fn status(
        &self,
        requests: usize,
        lifecycle_stage: lifecycle::Stage,
        counters: &Counters,
    ) -> Response {
        let current = self.transaction.current();
        let (stage, until) = match self.transaction.stage() {
            Stage::Idle => ("idle", None),
            Stage::Staging => ("staging", None),
            Stage::Applying => ("applying", None),
            Stage::Probation(until) => ("probation", Some(*until)),
            Stage::Confirming => ("confirming", None),
            Stage::Reverting(_) => ("reverting", None),
        };
        let status = Status {
            name: self.platform.name.clone(),
            version: env!("CARGO_PKG_VERSION").into(),
            generation: current.number,
            digest: current.digest.to_string(),
            note: current.note.clone(),
            since: self.in_force_since,
            confirmed: self.transaction.base().number,
            stage: stage.into(),
            until,
            life: lifecycle_stage.name().into(),
            pid: std::process::id(),
            served: counters.served,
            refused: counters.refused,
            failed: counters.failed,
            members: self.roster.listed().count(),
            requests,
            overrides: self.effective.document.overrides.len(),
            lasting: self.writer.is_some(),
            last: self.transaction.entries().next_back(),
        };
        Response { status: Some(status), ..Response::new(Code::Ok, format!("generation {}", current.number)) }
    }
}

/// Returns the answer to a control call for the outcome of a proposed change.
pub(crate) fn outcome_response(outcome: &Outcome) -> Response {
    let with_generation = |code, number: u64, message: String| Response {
        generation: Some(number),
        ..Response::new(code, message)
    };
    match outcome {
        Outcome::Refused(findings) => {
            Response::new(Code::Refused, "the check refuses the change; nothing has changed")
                .with_findings(findings)
        }
        Outcome::Busy(number) => with_generation(
            Code::Busy,
            *number,
            format!("generation {number} is not done with; nothing has changed"),
        ),
        Outcome::Unchanged(number) => {
            with_generation(Code::Unchanged, *number, format!("generation {number} says the same already"))
        }
        Outcome::Applied { number, until } => Response {
            until: Some(*until),
            ..with_generation(
                Code::Applied,
                *number,
                format!("generation {number} is in force, on probation"),
            )
        },
        Outcome::Confirmed(number) => {
            with_generation(Code::Confirmed, *number, format!("generation {number} is confirmed"))
        }
        Outcome::RolledBack { number, to, why } => {
            let message = format!("generation {number} was rolled back to {to}: {why}");
            with_generation(Code::RolledBack, *number, message)
        }
        Outcome::NotTaken(why) => Response::new(Code::NotTaken, format!("nothing has changed: {why}")),
        Outcome::Nothing => Response::new(Code::Nothing, "no change is on probation"),
    }
}
