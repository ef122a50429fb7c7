//! Prints the answers to calls as text or JSON.

use control::{Found, Response, Session, Sessions, Status};
use transaction::Entry;

/// Prints an answer as one JSON object or as text.
pub(super) fn response(response: &Response, json: bool) {
    if json {
        print!("{}", String::from_utf8_lossy(&response.to_line()));
        return;
    }
    if let Some(sessions) = &response.sessions {
        return print_sessions(sessions);
    }
    match (&response.status, &response.history) {
        (Some(status), _) => print_status(status),
        (None, Some(history)) => print_history(history),
        (None, None) => println!("{}", response.message),
    }
    for Found { code, severity, what } in &response.findings {
        println!("  {severity:8} {code}: {what}");
    }
    if response.findings.iter().any(Found::is_guarded) {
        println!("  guarded findings can be allowed: --allow CODE");
    }
    for change in &response.changes {
        let value = |value: &Option<String>| value.clone().unwrap_or_else(|| "-".into());
        let restart = if change.needs_restart { "  (needs a restart)" } else { "" };
        println!("  {}: {} -> {}{restart}", change.key, value(&change.from), value(&change.to));
    }
    if response.more_changes > 0 {
        println!("  and {} more", response.more_changes);
    }
}

fn print_sessions(sessions: &Sessions) {
    let Sessions { list, more, servers, waiting } = sessions;
    println!("{} sessions, {servers} server connections, {waiting} wait for one", list.len() + more);
    println!(
        "{:16} {:16} {:22} {:12} {:>9}  {:16} bound by",
        "user", "database", "from", "state", "lasts s", "member"
    );
    for Session { user, database, from, state, lasts_s, member, bound_by } in list {
        let (member, bound_reasons) = (member.as_deref().unwrap_or("-"), bound_by.join(", "));
        println!("{user:16} {database:16} {from:22} {state:12} {lasts_s:>9.1}  {member:16} {bound_reasons}");
    }
    if *more > 0 {
        println!("and {more} more");
    }
}

fn print_status(status: &Status) {
    let Status { name, version, generation, digest, note, stage, confirmed, .. } = status;
    println!("{name}  dewferry {version}");
    println!("generation  {generation}  {}  {note}", digest.get(..12).unwrap_or(digest));
    println!("confirmed   {confirmed}");
    println!(
        "stage       {stage}{}",
        status.until.map(|until| format!(", until {}", format_time(until))).unwrap_or_default()
    );
    println!("since       {}", format_time(status.since));
    println!("members     {}, {} overridden", status.members, status.overrides);
    println!("in hand     {} requests", status.requests);
    println!("on disk     {}", if status.lasting { "yes" } else { "no" });
    if let Some(last) = status.last.as_ref().filter(|last| !last.why.is_empty()) {
        println!("last        {} was rolled back: {}", last.number, last.why);
    }
}

fn print_history(history: &[Entry]) {
    println!("{:>6}  {:12}  {:20}  {:12}  note", "number", "digest", "at (UTC)", "fate");
    for entry in history {
        let fate = format!("{:?}", entry.fate).to_lowercase();
        let digest = entry.digest.get(..12).unwrap_or(&entry.digest);
        let why = if entry.why.is_empty() { String::new() } else { format!("  [{}]", entry.why) };
        println!(
            "{:>6}  {digest:12}  {:20}  {fate:12}  {}{why}",
            entry.number,
            format_time(entry.at),
            entry.note
        );
    }
}

/// Formats a Unix time as date and time in UTC.
fn format_time(at: f64) -> String {
    let seconds = at.max(0.0) as u64;
    let (days, rest) = (seconds / 86_400, seconds % 86_400);
    // Gregorian date from days since 1970, computed in eras of 400 years that begin in March.
    let shifted = days + 719_468;
    let (era, day) = (shifted / 146_097, shifted % 146_097);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let in_year = day - (365 * year + year / 4 - year / 100);
    let month = (5 * in_year + 2) / 153;
    let (date, month) = (in_year - (153 * month + 2) / 5 + 1, if month < 10 { month + 3 } else { month - 9 });
    let year = year + era * 400 + u64::from(month <= 2);
    format!("{year:04}-{month:02}-{date:02}T{:02}:{:02}:{:02}", rest / 3_600, rest / 60 % 60, rest % 60)
}

#[cfg(test)]
mod tests {
    #[test]
    fn unix_times_are_formatted_as_dates() {
        for (at, text) in [
            (0.0, "1970-01-01T00:00:00"),
            (951_782_400.0, "2000-02-29T00:00:00"),
            (1_767_225_599.9, "2025-12-31T23:59:59"),
        ] {
            assert_eq!(super::format_time(at), text);
        }
    }
}
