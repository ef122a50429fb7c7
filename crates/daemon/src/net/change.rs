//! Changes of configuration, as far as they are not the sockets': the transaction's machine, what is in force,
//! the history on disk, and the answers to control calls. The pooler puts a generation in force and tells here.

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

/// How far back health is known when a change comes (seconds); as long as a probation of the default length.
const LOOK_BACK: f64 = 15.0;

/// What a daemon comes up on.
pub(crate) struct StartupConfig {
    pub path: PathBuf,
    pub effective: EffectiveConfig,
    start: StartupPlan,
    history: History,
    store: Option<Store>,
    /// The digest of the file, where it can be used.
    taken: Option<Digest>,
    /// The view of a registry that was kept, in bytes.
    kept: Option<Vec<u8>>,
}

/// Reads the operator's file and the history, and settles on what to come up on. What must be told loudly goes
/// to `loud`. Where there is neither a usable file nor a history, that is a fault.
pub(crate) fn open(
    path: &Path,
    (state, lock): (Option<PathBuf>, Option<std::fs::File>),
    platform: &Config,
    now: f64,
    loud: &mut Vec<String>,
) -> Result<StartupConfig, String> {
    let read = files::read_document(path);
    let dir = state.or_else(|| read.as_ref().ok().and_then(|(_, document)| document.state.dir.clone()));
    let (mut store, history) = match &dir {
        None => (None, History::default()),
        Some(dir) => {
            let (store, history, cut) = Store::open(dir, lock)?;
            loud.extend(cut);
            (Some(store), history)
        }
    };
    let confirmed = history.confirmed().map(|generation| generation.document.clone());
    let fits = |document: Document| -> Result<Document, String> {
        let conflicts = |c: Vec<Conflict>| describe_conflicts(&c);
        EffectiveConfig::new(platform, document.clone()).map(|_| document).map_err(conflicts)
    };
    // The file must be signed where the last confirmed one, or it itself, asks for that.
    let file = read.and_then(|(text, document)| {
        let policy = confirmed.as_ref().map_or(&document.change, |confirmed| &confirmed.change);
        files::check_signature(&text, policy).map_err(|fault| format!("{}: {fault}", path.display()))?;
        fits(document).map_err(|fault| format!("{}: {fault}", path.display()))
    });
    if let (Err(fault), None) = (&file, &confirmed) {
        return Err(fault.clone());
    }
    let taken = file.as_ref().ok().map(Document::digest);
    let start = history.plan_startup(file, now);
    loud.extend(start.warning.clone());
    let effective = EffectiveConfig::new(platform, (*start.generation.document).clone());
    let effective = effective.map_err(|c| {
        format!("generation {} no longer fits: {}", start.generation.number, describe_conflicts(&c))
    })?;
    if let Some(store) = &mut store {
        store.record(&start.records)?;
    }
    let mut history = history;
    start.records.iter().for_each(|record| history.apply(record));
    let kept = store.as_ref().and_then(Store::stored_view);
    Ok(StartupConfig { kept, path: path.to_path_buf(), effective, start, history, store, taken })
}

/// Conflicts in words, a line each.
pub(crate) fn describe_conflicts(conflicts: &[Conflict]) -> String {
    conflicts.iter().map(Conflict::to_string).collect::<Vec<_>>().join("\n")
}

/// All that changes have to do with.
pub(crate) struct Changes {
    pub transaction: StateMachine,
    pub health: Health,
    pub roster: Roster,
    /// Inputs that wait for the machine: what its actions bring about comes after them.
    pub inputs: VecDeque<Input>,
    pub effective: EffectiveConfig,
    pub platform: Config,
    pub path: PathBuf,
    /// What the operator's file said when it was last taken: a SIGHUP for the platform's sake must not bring
    /// back what a control call has replaced since.
    pub accepted_digest: Option<Digest>,
    /// The view of a registry that was kept, in bytes, until it is used.
    pub stored_view: Option<Vec<u8>>,
    writer: Option<Writer>,
    /// Since when the present generation is in force (Unix seconds).
    pub in_force_since: f64,
}

/// A change that has been read and laid over the platform's word.
pub(crate) struct CheckedChange {
    differences: Vec<Difference>,
    findings: Vec<Finding>,
}

impl Changes {
    pub fn new(
        opening: StartupConfig,
        platform: Config,
        waker: impl FnOnce() -> std::io::Result<mio::Waker>,
        now: f64,
    ) -> std::io::Result<Changes> {
        let StartupConfig { path, effective, start, history, store, taken, kept } = opening;
        let most = effective.document.state.max_kb as usize * 1024;
        let writer = store.map(|store| store.spawn(waker()?, most)).transpose()?;
        Ok(Changes {
            transaction: StateMachine::new(history, start.generation),
            health: Health::new(now, LOOK_BACK),
            roster: Roster::default(),
            inputs: VecDeque::new(),
            effective,
            platform,
            path,
            accepted_digest: taken,
            stored_view: kept,
            writer,
            in_force_since: now,
        })
    }

    /// Has a step written; without a folder it is done at once.
    pub fn persist(&mut self, step: u64, record: &transaction::Record) {
        let result = match &mut self.writer {
            None => Ok(()),
            Some(writer) => match writer.append(step, record, self.transaction.history()) {
                // Its end is told by the disk.
                Ok(()) => return,
                Err(fault) => Err(fault),
            },
        };
        self.inputs.push_back(Input::Persisted { step, result });
    }

    /// The lock of the history's folder, for a successor.
    pub fn lock(&self) -> Option<&std::fs::File> {
        self.writer.as_ref().and_then(|writer| writer.lock.as_ref())
    }

    /// A successor that may have written has failed: what is on disk is this daemon's again.
    pub fn rewrite_history(&mut self) {
        if let Some(writer) = &mut self.writer {
            writer.rewrite_history(self.transaction.history());
        }
    }

    /// Whether a registry's view can be kept now: there is a folder, and none is being written.
    pub fn can_store_view(&self) -> bool {
        self.writer.as_ref().is_some_and(|writer| !writer.is_storing_view())
    }

    /// Has a registry's view kept.
    pub fn store_view(&mut self, bytes: Vec<u8>) {
        if let Some(writer) = &self.writer {
            writer.store_view(bytes);
        }
    }

    /// Takes up what the disk has done; faults of the log as a whole.
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

    /// Lays a document over the platform's word and looks at what it would do now.
    pub fn check_document(
        &self,
        document: Document,
        view: &LiveState,
    ) -> Result<CheckedChange, Vec<Finding>> {
        let effective = EffectiveConfig::new(&self.platform, document).map_err(|conflicts| {
            let finding =
                |c: &Conflict| Finding { code: "conflict", severity: Severity::Error, what: c.to_string() };
            conflicts.iter().map(finding).collect::<Vec<_>>()
        })?;
        let differences = self.effective.differences(&effective);
        let mut findings = check(&self.effective, &effective, &differences, view);
        let registry = &effective.document.registry;
        if *registry != self.effective.document.registry {
            // What only the files show: a change must not leave the list without its source.
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

    /// What a file would do.
    pub fn plan(&self, document: Document, view: &LiveState) -> Response {
        match self.check_document(document, view) {
            Err(findings) => Response::new(Code::Refused, "does not fit").with_findings(&findings),
            Ok(read) => {
                let stands = transaction::is_refused(&read.findings, &[]);
                let code = if stands { Code::Refused } else { Code::Ok };
                let message = format!(
                    "{} values would change; {}",
                    read.differences.len(),
                    if stands { "the check stands in the way" } else { "nothing stands in the way" }
                );
                Response::new(code, message).with_findings(&read.findings).with_changes(&read.differences)
            }
        }
    }

    /// Puts a document before the machine.
    pub fn propose(
        &mut self,
        caller: Option<u64>,
        document: Document,
        note: String,
        confirm_within: Option<f64>,
        allow: Vec<String>,
        view: &LiveState,
    ) {
        // By the policy in force: a change cannot loosen its own probation.
        let policy = &self.effective.document.change;
        let mode = match (confirm_within, policy.confirm) {
            (Some(within), _) => Mode::Manual(within),
            (None, Confirm::Manual) => Mode::Manual(policy.confirm_within_s),
            (None, Confirm::Auto) => Mode::Auto(policy.probation_s),
        };
        let findings = match self.check_document(document.clone(), view) {
            Ok(read) => read.findings,
            Err(findings) => findings,
        };
        let document = Arc::new(document);
        self.inputs.push_back(Input::Propose(Proposal { caller, document, note, mode, findings, allow }));
    }

    /// Counts how a request ended.
    pub fn record_request(
        &mut self,
        now: f64,
        (class, group): (u16, u32),
        repeat: bool,
        bad: Option<RequestFailure>,
        took: f64,
    ) {
        self.health.record(now, class, group, repeat, bad, took);
    }

    /// What has become worse since the change on probation, if anything.
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

    /// What is in force and under way.
    pub fn status(&self, requests: usize, life: lifecycle::Stage, counters: &Counters) -> Response {
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
            life: life.name().into(),
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

/// What a caller is told of what became of its call.
pub(crate) fn response(outcome: &Outcome) -> Response {
    let about = |code, number: u64, message: String| Response {
        generation: Some(number),
        ..Response::new(code, message)
    };
    match outcome {
        Outcome::Refused(findings) => {
            Response::new(Code::Refused, "the check stands in the way; nothing has changed")
                .with_findings(findings)
        }
        Outcome::Busy(number) => {
            about(Code::Busy, *number, format!("generation {number} is not done with; nothing has changed"))
        }
        Outcome::Unchanged(number) => {
            about(Code::Unchanged, *number, format!("generation {number} says the same already"))
        }
        Outcome::Applied { number, until } => Response {
            until: Some(*until),
            ..about(Code::Applied, *number, format!("generation {number} is in force, on probation"))
        },
        Outcome::Confirmed(number) => about(Code::Confirmed, *number, format!("generation {number} stands")),
        Outcome::RolledBack { number, to, why } => {
            let message = format!("generation {number} was rolled back, {to} holds: {why}");
            about(Code::RolledBack, *number, message)
        }
        Outcome::NotTaken(why) => Response::new(Code::NotTaken, format!("nothing has changed: {why}")),
        Outcome::Nothing => Response::new(Code::Nothing, "no change is on probation"),
    }
}
