//! `dewferry route`: how a statement of an ordinary client is routed, and why.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use operator::EffectiveConfig;
use route::RouteRequest;
use serde_json::json;
use sql::{Kind, Scan};

use super::{fail, load};
use crate::files;

/// Explain the routing of ordinary clients.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "route",
    example = "dewferry route explain 'SELECT * FROM items' --user shop --operator dewferry.toml --config platform.json",
    error_code(0, "done"),
    error_code(2, "wrong usage, or a file that cannot be read")
)]
pub(super) struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Explain(Explain),
}

/// Show which class, tenant and group a statement gets, and why.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// one or several statements
    #[argh(positional)]
    sql: String,
    /// user of the session
    #[argh(option, default = "String::new()")]
    user: String,
    /// database of the session
    #[argh(option, default = "String::new()")]
    database: String,
    /// application_name of the session
    #[argh(option, default = "String::new()")]
    application: String,
    /// class that the session has set by SET dewferry.class
    #[argh(option)]
    class: Option<String>,
    /// the operator's file
    #[argh(option)]
    operator: PathBuf,
    /// the platform's configuration; default: the variable LB_CONFIG
    #[argh(option)]
    config: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Runs one of the commands.
pub(super) fn run(Args { command: Command::Explain(args) }: Args) -> ExitCode {
    explain(&args).map_or_else(|error| fail(&error), |()| ExitCode::SUCCESS)
}

fn explain(args: &Explain) -> Result<(), String> {
    let (_, platform) = load(args.config.clone())?;
    let document = files::read_document(&args.operator)?.1;
    let effective = EffectiveConfig::new(&platform, document)
        .map_err(|conflicts| crate::net::describe_conflicts(&conflicts))?;
    let scan = sql::scan(&args.sql);
    let reads = pooling::can_run_on_replica(&scan);
    let route = effective.route_table().route(&RouteRequest {
        user: &args.user,
        database: &args.database,
        application: &args.application,
        comment: scan.comment.as_deref(),
        class: args.class.as_deref(),
        read_only: reads,
    });
    let statements = describe_statements(&scan);
    if args.json {
        let object = json!({"statements": statements, "reads": reads, "class": route.class, "tenant": route.tenant,
            "group": route.group, "primary": route.primary_only, "because": route.reasons});
        println!("{object}");
        return Ok(());
    }
    statements.iter().for_each(|line| println!("statement: {line}"));
    route.reasons.iter().for_each(|line| println!("because:   {line}"));
    let tenant = if route.tenant.is_empty() { "no tenant" } else { &route.tenant };
    let target = if route.primary_only { "the primary" } else { "a replica, or the primary" };
    println!("class {}, {tenant}, group {}: {target}", route.class, route.group);
    Ok(())
}

/// Describes each statement.
fn describe_statements(scan: &Scan) -> Vec<String> {
    let describe = |statement: &sql::Statement| {
        let kind = match &statement.kind {
            Kind::Read => "a read".to_string(),
            Kind::Write => "a write".to_string(),
            Kind::Control(control) => format!("transaction control ({control:?})"),
            Kind::Session(change) => format!("session state ({change:?})"),
            Kind::Unknown(why) => format!("unknown ({why}), treated as a write"),
        };
        let pins = statement.pins.iter().map(|pin| pin.describe().to_string());
        let call = |name: &String| format!("{name}(), unless pool.stateless_functions names it");
        let reasons: Vec<String> = pins.chain(statement.unknown_functions.iter().map(call)).collect();
        match reasons.as_slice() {
            [] => kind,
            reasons => format!("{kind}; binds the session to its connection: {}", reasons.join(", ")),
        }
    };
    scan.statements.iter().map(describe).collect()
}
