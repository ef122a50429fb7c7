//! Translates the simulator's wire protocol to and from the interface of the routing policy. Makes no
//! decisions itself.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Arc;

use routing::interface::{
    Action, Arrival, AttemptEnded, Conclusion, Entry, Event, ListKind, Outcome, Phase, Report,
};
use routing::Policy;
use serde_json::{json, Value};

/// The policy instances of this process, and the replies of the current batch.
#[derive(Default)]
pub struct Host {
    now: f64,
    inventories: BTreeMap<u64, Vec<Entry>>,
    instances: BTreeMap<i64, (Policy, f64)>,
    replies: Vec<(i64, Action)>,
}

type ErrorText = String;

/// The values of one message with typed access. An absent value reads as null.
struct Fields<'a>(&'a [Value]);

impl<'a> Fields<'a> {
    fn at(&self, index: usize) -> &'a Value {
        self.0.get(index).unwrap_or(&Value::Null)
    }
    fn number(&self, index: usize, name: &str) -> Result<f64, ErrorText> {
        self.at(index).as_f64().ok_or_else(|| format!("'{name}' is not a number"))
    }
    fn number_or(&self, index: usize, name: &str, absent: f64) -> Result<f64, ErrorText> {
        match self.at(index) {
            Value::Null => Ok(absent),
            _ => self.number(index, name),
        }
    }
    fn integer(&self, index: usize, name: &str) -> Result<i64, ErrorText> {
        match self.at(index) {
            Value::Null => Ok(0),
            Value::Number(number) => number
                .as_i64()
                .or(number.as_f64().map(|f| f as i64))
                .ok_or_else(|| format!("'{name}' is too large")),
            _ => Err(format!("'{name}' is not a whole number")),
        }
    }
    fn text(&self, index: usize, name: &str) -> Result<&'a str, ErrorText> {
        self.at(index).as_str().ok_or_else(|| format!("'{name}' is not a text"))
    }
    fn flag(&self, index: usize) -> bool {
        self.at(index).as_bool().unwrap_or(false)
    }
}

impl Host {
    /// Handles one line. Returns true if it ended the batch and the replies were written.
    pub fn handle_line(&mut self, line: &[u8], output: &mut impl Write) -> Result<bool, ErrorText> {
        let value: Value = serde_json::from_slice(line).map_err(|error| format!("not JSON: {error}"))?;
        let parts = value.as_array().ok_or("not an array")?;
        let (name, rest) = parts.split_first().ok_or("an empty array")?;
        let name = name.as_str().ok_or("the first value is not a message name")?;
        let fields = Fields(rest);
        match name {
            "turn" => self.now = fields.number(0, "turn")?,
            "yourTurn" => {
                self.reply(output).map_err(|error| format!("cannot write the reply: {error}"))?;
                return Ok(true);
            }
            "inventory" => {
                let inventory = fields.integer(0, "bank")? as u64;
                let list = fields.at(1).as_array().ok_or("'membersList' is not an array")?;
                let entries = list.iter().map(entry).collect::<Result<_, _>>()?;
                self.inventories.insert(inventory, entries);
            }
            "openInstance" => {
                let info = fields.at(2);
                let settings = config::parse_settings(&info.to_string())
                    .map_err(|fault| format!("in 'info': {fault}"))?;
                let base = info["specifics"]["baseTime"].as_f64().unwrap_or(0.0);
                let seed = fields.at(1);
                let seed =
                    seed.as_u64().or(seed.as_i64().map(|s| s as u64)).ok_or("'seed' is not a number")?;
                let policy = Policy::new(settings, seed).map_err(|fault| format!("in 'info': {fault}"))?;
                self.instances.insert(instance_number(&fields)?, (policy, base));
            }
            "kill" => {
                let number = instance_number(&fields)?;
                self.instances.remove(&number);
                self.replies.retain(|(to, _)| *to != number);
            }
            "message" => {}
            _ => {
                let number = instance_number(&fields)?;
                let base = self.instances.get(&number).map_or(0.0, |(_, base)| *base);
                let event = self.event(name, &fields, base)?;
                if let (Some(event), Some((policy, _))) = (event, self.instances.get_mut(&number)) {
                    let mut actions = Vec::new();
                    policy.handle(self.now, event, &mut actions);
                    self.replies.extend(actions.into_iter().map(|action| (number, action)));
                }
            }
        }
        Ok(false)
    }

    fn event(&self, name: &str, fields: &Fields, base: f64) -> Result<Option<Event>, ErrorText> {
        Ok(Some(match name {
            "members" => {
                let kind = match fields.text(1, "kind")? {
                    "INCREMENTAL" => ListKind::Incremental,
                    "FULL" => ListKind::Full,
                    "SAVED" => ListKind::Saved,
                    "FAILED" => ListKind::Failed,
                    other => return Err(format!("unknown list kind '{other}'")),
                };
                let inventory = fields.integer(3, "bank")? as u64;
                let entries = match kind.carries_entries() {
                    false => Vec::new(),
                    true => self
                        .inventories
                        .get(&inventory)
                        .cloned()
                        .ok_or_else(|| format!("no inventory {inventory}"))?,
                };
                Event::Members { kind, entries }
            }
            "arrival" => {
                let options = fields.integer(6, "opts")?;
                Event::Arrival(Arrival {
                    id: fields.text(1, "corr")?.into(),
                    time_left: fields.number(2, "expiresIn")?,
                    required_position: Some(fields.number_or(3, "tokenAgeMs", 0.0)? / 1000.0)
                        .filter(|age| *age > 0.0)
                        .map(|age| self.now - age),
                    session: fields.at(4).as_str().map(Arc::from),
                    tenant: fields.integer(5, "realm")? as usize,
                    predicted_work: fields.at(7).as_f64().filter(|_| options & 1 != 0),
                    repeat: options & 2 != 0,
                    client_rate: 0.0,
                    class: fields.integer(8, "tierClass")? as usize,
                    group: fields.integer(9, "clusterNo")? as u32,
                    session_position: None,
                    streams_answer: false,
                })
            }
            "done" => {
                let position_role = fields.integer(2, "posRole")?;
                Event::AttemptEnded(AttemptEnded {
                    id: fields.text(1, "corr")?.into(),
                    member: fields.text(3, "member")?.into(),
                    finished: fields.flag(4),
                    elapsed: fields.number_or(5, "costTime", 0.0)?,
                    attempt: fields.integer(6, "sendNo")? as usize,
                    outcome: outcome(fields.integer(7, "result")?)?,
                    conclusion: Conclusion::AsReceived,
                    position: Some(position_role >> 2)
                        .filter(|ms| *ms > 0)
                        .map(|ms| base + ms as f64 / 1000.0),
                    primary: match position_role & 3 {
                        1 => Some(true),
                        2 => Some(false),
                        _ => None,
                    },
                    report: report(fields.at(8), base),
                })
            }
            "echo" => Event::ProbeEnded {
                member: fields.text(1, "member")?.into(),
                outcome: outcome(fields.integer(2, "result")?)?,
                report: report(fields.at(4), base),
            },
            "accepted" => Event::ResponseStarted { id: fields.text(1, "corr")?.into() },
            "cancelledByClient" => Event::ClientLeft { id: fields.text(1, "corr")?.into() },
            "timeoutFired" => Event::Timer { cookie: fields.integer(1, "cookie")? as u64 },
            other => return Err(format!("unknown message '{other}'")),
        }))
    }

    fn reply(&mut self, output: &mut impl Write) -> std::io::Result<()> {
        for (number, action) in self.replies.drain(..) {
            let line = match action {
                Action::Send { id, member, timeout } => json!(["forward", number, &*id, &*member, timeout]),
                Action::Cancel { id, attempt } => json!(["cancel", number, &*id, attempt]),
                Action::Refuse { id, backoff } => json!(["decline", number, &*id, backoff]),
                Action::Fail { id } => json!(["fail", number, &*id]),
                Action::Timer { at, cookie } => json!(["remind", number, at, cookie]),
                Action::Probe { member } => json!(["touch", number, &*member]),
                Action::CloseIdle { member } => json!(["letGo", number, &*member]),
                // The simulator receives every attempt at once, so there is none to cancel before it is sent.
                Action::CancelUnsent { .. } | Action::Explain(_) | Action::Denied { .. } => continue,
                Action::Subscribe => json!(["listen", number, true]),
                Action::Log(text) => json!(["journalLine", number, text]),
            };
            writeln!(output, "{line}")?;
        }
        writeln!(output, "[\"finished\"]")
    }
}

fn instance_number(fields: &Fields) -> Result<i64, ErrorText> {
    fields.at(0).as_i64().ok_or_else(|| "'proxy' is not a whole number".into())
}

fn outcome(code: i64) -> Result<Outcome, ErrorText> {
    Ok(match code {
        0 => Outcome::Error,
        1 => Outcome::Ok,
        2 => Outcome::Full,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        8 => Outcome::Miss,
        other => return Err(format!("unknown outcome {other}")),
    })
}

fn report(load: &Value, base: f64) -> Report {
    Report {
        position: load["x0"].as_f64().map(|x0| base + x0),
        primary: load["x1"].as_f64().map(|x1| x1 == 1.0),
    }
}

fn entry(value: &Value) -> Result<Entry, ErrorText> {
    let fields = Fields(value.as_array().ok_or("a list entry is not an array")?);
    Ok(Entry {
        member: fields.text(0, "member")?.into(),
        zone: fields.integer(1, "failureDomain")? as u32,
        group: fields.integer(3, "cell")? as u32,
        phase: match fields.text(4, "phase")? {
            "active" => Phase::Active,
            "leaving" => Phase::Leaving,
            "left" => Phase::Left,
            other => return Err(format!("unknown phase '{other}'")),
        },
        started_at: fields.number_or(6, "startedAt", 0.0)?,
        primary: fields.number_or(7, "isPrimary", 0.0)? == 1.0,
    })
}
