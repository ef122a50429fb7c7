//! What a flooding client sends.

use crate::wire::{cancel_request, push_message, query, startup};

/// Length of a statement of which a client sends only the first half (bytes).
const HALF_SENT_STATEMENT_BYTES: usize = 60 * 1024;
/// Number of fields in the comment of a query with very many.
const COMMENT_FIELDS: usize = 7_000;

/// What the messages of a flood refer to.
#[derive(Clone, Debug, Default)]
pub struct Target {
    /// The name of a class that the pooler serves.
    pub class: String,
    /// The number of a group that has members.
    pub group: u32,
    /// The beginning of the ids of requests.
    pub id_prefix: String,
}

/// The kind of messages that a flooding client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Empty queries.
    EmptyQueries,
    /// Queries of classes that the pooler does not know, each of another one.
    NewClasses,
    /// Sound queries, each with another tenant, session and id.
    NewTenants,
    /// Messages of the extended protocol, which the platform's front rejects: Parse and Sync.
    Unsupported,
    /// Queries whose comment is no request.
    Malformed,
    /// Connections, each with another user, that end after their startup.
    NewUsers,
    /// Cancel requests with keys that nobody has.
    Cancels,
    /// Connections that send half of a large query and stay.
    HalfQueries,
    /// Queries with very many short fields in their comment.
    ManyFields,
    /// Reads of an ordinary client.
    Reads,
    /// `SET` of one setting.
    SetOne,
    /// `SET`, each of another setting.
    SetNew,
    /// Parse of a new statement name, and Sync.
    NewStatements,
    /// Parse, Bind and Execute of a new name without Sync.
    EndlessBatch,
    /// Empty queries, unknown classes, unsound comments and unsupported messages in turn.
    Mixture,
}

impl Form {
    /// Returns true if a connection sends one batch only, and ends or stays after it.
    pub(crate) fn sends_once(self) -> bool {
        matches!(self, Form::NewUsers | Form::Cancels | Form::HalfQueries)
    }

    /// Returns true if a connection stays open after its only batch.
    pub(crate) fn stays(self) -> bool {
        self == Form::HalfQueries
    }

    /// Returns the first bytes of a connection; `number` is unique to it.
    pub(crate) fn opening(self, number: u64) -> Vec<u8> {
        match self {
            Form::NewUsers => startup(&format!("user-{number:x}")),
            Form::Cancels => cancel_request(number as u32, (number >> 7) as u32),
            _ => startup("app"),
        }
    }

    /// Appends the message with this number, which is unique to it.
    pub(crate) fn push(self, out: &mut Vec<u8>, number: u64, target: &Target) {
        let Target { class, group, id_prefix } = target;
        let request = |class: &str, tenant: &str| {
            format!(
                "/* id={id_prefix}{number:x},c={class},t={tenant},d=400,cluster={group} */ \
                 SELECT doc FROM items WHERE id = 'k{number:x}'"
            )
        };
        match self {
            Form::EmptyQueries => out.extend(query("")),
            Form::NewClasses => out.extend(query(&request(&format!("class-{number:x}"), "acme"))),
            Form::NewTenants => out.extend(query(&request(class, &format!("tenant-{number:x}")))),
            Form::Unsupported => {
                push_message(out, b'P', b"\0SELECT 1\0\0\0");
                push_message(out, b'S', b"");
            }
            Form::Malformed => out.extend(query("/* no request */ SELECT 1")),
            Form::NewUsers | Form::Cancels => {}
            Form::HalfQueries => {
                let statement = query(&"x".repeat(HALF_SENT_STATEMENT_BYTES));
                out.extend(&statement[..statement.len() / 2]);
            }
            Form::ManyFields => {
                let fields = ",a=b".repeat(COMMENT_FIELDS);
                out.extend(query(&format!("/* id={id_prefix}{number:x}{fields} */ SELECT 1")));
            }
            Form::Reads => out.extend(query("SELECT who")),
            Form::SetOne => out.extend(query("SET app.flood TO 'one'")),
            Form::SetNew => out.extend(query(&format!("SET app.flood_{number:x} TO 'one'"))),
            Form::NewStatements => {
                let body = format!("statement-{number:x}\0SELECT who\0\0\0");
                push_message(out, b'P', body.as_bytes());
                push_message(out, b'S', b"");
            }
            Form::EndlessBatch => {
                push_message(out, b'P', format!("s{number:x}\0SELECT who\0\0\0").as_bytes());
                push_message(out, b'B', format!("p{number:x}\0s{number:x}\0\0\0\0\0\0\0").as_bytes());
                push_message(out, b'E', format!("p{number:x}\0\0\0\0\0").as_bytes());
            }
            Form::Mixture => {
                let parts = [
                    Form::EmptyQueries,
                    Form::NewClasses,
                    Form::Malformed,
                    Form::Unsupported,
                    Form::NewTenants,
                ];
                parts[number as usize % parts.len()].push(out, number, target);
            }
        }
    }
}
