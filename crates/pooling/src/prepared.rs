//! The statements that a session has prepared, and its portals, within bounds.

use std::collections::HashMap;
use std::rc::Rc;

use pgwire::sqlstate;

use crate::server_state::PreparedStatement;

/// Maximum number of statements that a session keeps prepared; also the maximum number of its portals.
const MAX_STATEMENTS: usize = 1_000;
/// Maximum size of the texts of a session's prepared statements (bytes).
const MAX_STATEMENT_BYTES: usize = 1024 * 1024;
/// Maximum memory of a session's prepared statements, and of its portals, with names and parameter types (bytes).
const MAX_STATEMENT_MEMORY: usize = 4 * 1024 * 1024;

/// Why a statement or a portal is not added.
pub(crate) struct PreparedError {
    pub code: &'static str,
    pub text: String,
}

/// The statements and portals of a session, by name.
#[derive(Default)]
pub(crate) struct PreparedObjects {
    statements: HashMap<String, Rc<PreparedStatement>>,
    /// Total size of the statements' texts, and all memory that the statements take (bytes).
    statement_bytes: usize,
    statement_memory: usize,
    portals: HashMap<String, Rc<PreparedStatement>>,
    /// The memory that the portals take, with their statements (bytes).
    portal_memory: usize,
}

impl PreparedObjects {
    /// Returns the memory that all of them take (bytes).
    pub fn memory(&self) -> usize {
        self.statement_memory + self.portal_memory
    }

    pub fn statement(&self, name: &str) -> Option<&Rc<PreparedStatement>> {
        self.statements.get(name)
    }

    pub fn portal(&self, name: &str) -> Option<&Rc<PreparedStatement>> {
        self.portals.get(name)
    }

    /// Checks that a statement may be prepared under this name. The unnamed one is replaced.
    pub fn check_name(&self, name: &str) -> Result<(), PreparedError> {
        if name.is_empty() || !self.statements.contains_key(name) {
            return Ok(());
        }
        let text = format!("prepared statement \"{name}\" already exists");
        Err(PreparedError { code: sqlstate::DUPLICATE_STATEMENT, text })
    }

    /// Adds a statement in the place of one of the same name.
    pub fn add_statement(
        &mut self,
        name: &str,
        prepared: &Rc<PreparedStatement>,
    ) -> Result<(), PreparedError> {
        self.remove_statement(name);
        let memory = memory_under(name, prepared);
        let too_many = self.statements.len() >= MAX_STATEMENTS
            || self.statement_bytes + prepared.text.len() > MAX_STATEMENT_BYTES
            || self.statement_memory + memory > MAX_STATEMENT_MEMORY;
        if too_many {
            let text =
                format!("over {MAX_STATEMENTS} prepared statements, or {MAX_STATEMENT_BYTES} bytes of them");
            return Err(PreparedError { code: sqlstate::CONFIGURATION_LIMIT_EXCEEDED, text });
        }
        self.statement_bytes += prepared.text.len();
        self.statement_memory += memory;
        self.statements.insert(name.to_string(), prepared.clone());
        Ok(())
    }

    /// Adds a portal in the place of one of the same name.
    pub fn add_portal(&mut self, name: &str, prepared: Rc<PreparedStatement>) -> Result<(), PreparedError> {
        self.remove_portal(name);
        let memory = memory_under(name, &prepared);
        if self.portals.len() >= MAX_STATEMENTS || self.portal_memory + memory > MAX_STATEMENT_MEMORY {
            let text = format!("over {MAX_STATEMENTS} portals, or {MAX_STATEMENT_MEMORY} bytes of them");
            return Err(PreparedError { code: sqlstate::CONFIGURATION_LIMIT_EXCEEDED, text });
        }
        self.portal_memory += memory;
        self.portals.insert(name.to_string(), prepared);
        Ok(())
    }

    pub fn remove_statement(&mut self, name: &str) {
        if let Some(known) = self.statements.remove(name) {
            self.statement_bytes -= known.text.len();
            self.statement_memory -= memory_under(name, &known);
        }
    }

    pub fn remove_portal(&mut self, name: &str) {
        if let Some(prepared) = self.portals.remove(name) {
            self.portal_memory -= memory_under(name, &prepared);
        }
    }

    pub fn clear_statements(&mut self) {
        self.statements.clear();
        (self.statement_bytes, self.statement_memory) = (0, 0);
    }

    pub fn clear_portals(&mut self) {
        self.portals.clear();
        self.portal_memory = 0;
    }
}

/// Returns the memory that a statement takes under this name, as a statement or as a portal (bytes).
fn memory_under(name: &str, prepared: &PreparedStatement) -> usize {
    name.len() + prepared.memory
}
