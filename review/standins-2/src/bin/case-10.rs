//! A client sends several commands at once; the connection to the db machine ends while the first one runs.

use review_standins_2::client::{Answer, Client};
use review_standins_2::db::{Log, Machine};
use review_standins_2::discovery::{entry, Discovery};
use review_standins_2::pooler::{free_address, settings, Pooler};
use review_standins_2::{not_run, sleep_ms, wire, Case, BROKEN, HELD};

const ROUNDS: usize = 3;

fn main() {
    let case = Case::from_args();
    let code = run(&case);
    std::process::exit(code);
}

fn run(case: &Case) -> i32 {
    let log = Log::default();
    let work = |sql: &str| if sql.contains("slow") { 400 } else { 1 };
    let primary = Machine::start("s-1", (true, false), &log, &case.record, work);
    let replica = Machine::start("s-2", (false, false), &log, &case.record, work);
    let machines = [&primary, &replica];
    let entries =
        machines.map(|m| (m.name().to_string(), entry(m.name(), m.address(), "salt-lake", 2, "SERVING")));
    let discovery = Discovery::start(entries.to_vec(), &case.record);
    let (listen, pool) = (free_address(), free_address());
    let operator = format!(
        "[pool]\nlisten = \"{pool}\"\nwrite_class = \"order-write\"\nread_class = \"reports\"\ntenant = \"kolkata-shops\"\ngroup = 2\n"
    );
    let mut pooler = Pooler::start(
        case,
        "n1",
        (listen, discovery.address),
        (&discovery.list(), &settings(false)),
        &operator,
        "",
    );
    pooler.wait_for(pool);
    let mut first = Client::connect(pool, "app", "shop").unwrap_or_else(|e| not_run(&e.to_string()));
    let answer = first.query("INSERT INTO orders VALUES ('warm', '0')", 5_000);
    if !answer.is_ok() {
        not_run(&format!("the first write: {}", answer.text()));
    }
    let (mut missing, mut foreign) = (0, 0);
    for round in 0..ROUNDS {
        let mut client = Client::connect(pool, "app", "shop").unwrap_or_else(|e| not_run(&e.to_string()));
        let commands = [
            format!("SELECT 'first-{round}' AS slow FROM orders"),
            "SET dewferry.class = 'reports'".to_string(),
            format!("SELECT 'third-{round}' FROM orders"),
        ];
        let bytes: Vec<u8> = commands.iter().flat_map(|sql| wire::query(sql)).collect();
        commands.iter().for_each(|sql| case.record.line(format!("client {round} sends: {sql}")));
        if client.send(&bytes).is_err() {
            not_run("the client's connection ended");
        }
        if case.trouble {
            sleep_ms(150);
            machines.iter().for_each(|machine| machine.close_connections());
        }
        // Far longer than any deadline of the settings.
        let answers: Vec<Answer> = commands.iter().map(|_| client.answer(6_000)).collect();
        for (sql, answer) in commands.iter().zip(&answers) {
            case.record.line(format!("client {round} is told, in the place of {sql}: {}", answer.text()));
        }
        let ended = answers.iter().any(|answer| answer.ended);
        let silent = answers.iter().filter(|answer| answer.silent).count();
        if !ended && silent > 0 {
            missing += silent;
            // The client goes on, as one that does not count on time does.
            let sql = format!("SELECT 'fourth-{round}' FROM orders");
            let answer = client.query(&sql, 6_000);
            case.record.line(format!(
                "client {round} sends: {sql}; the next answer, owed to the third command, is: {}",
                answer.text()
            ));
            foreign += usize::from(answer.value.as_deref() == Some(&format!("fourth-{round}")));
        }
        if !case.trouble && answers.iter().any(|answer| !answer.is_ok()) {
            not_run("a command failed without trouble");
        }
    }
    let text = format!(
        "{ROUNDS} clients with 3 commands each: {missing} commands never answered, {foreign} times the answer to a later command came in their place"
    );
    case.end(if missing > 0 { BROKEN } else { HELD }, &text)
}
