//! Selects class, tenant and group for a statement or transaction of an ordinary client, whose statements do
//! not name them. The first matching rule of a table applies, and the defaults where none matches. A request
//! that may write never gets a class that a replica may serve, whatever a rule says.
#![warn(missing_docs)]

use std::collections::BTreeSet;

/// The conditions of a rule and the values that it assigns. An absent condition matches anything; an absent
/// value leaves the default.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rule {
    /// Name, for explanations.
    pub name: String,
    /// Rules are tried in ascending order of priority, and by name among equals.
    pub priority: u32,
    /// User; a `*` at the end matches any suffix.
    pub user: Option<String>,
    /// Database, with the same wildcard.
    pub database: Option<String>,
    /// `application_name`, with the same wildcard.
    pub application: Option<String>,
    /// Text that the leading comment must contain.
    pub comment: Option<String>,
    /// Whether the request must be read-only or must not be.
    pub read_only: Option<bool>,
    /// Assigned class.
    pub class: Option<String>,
    /// Assigned tenant.
    pub tenant: Option<String>,
    /// Assigned group.
    pub group: Option<u32>,
}

/// A request to be routed.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteRequest<'a> {
    /// User of the session.
    pub user: &'a str,
    /// Database of the session.
    pub database: &'a str,
    /// `application_name` of the session; empty if not set.
    pub application: &'a str,
    /// Leading comment of the statement.
    pub comment: Option<&'a str>,
    /// The class that the session selected with `SET dewferry.class`.
    pub class: Option<&'a str>,
    /// Whether the request is known to be read-only.
    pub read_only: bool,
}

/// The result of routing a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Class.
    pub class: String,
    /// Tenant; empty if there is none.
    pub tenant: String,
    /// Group.
    pub group: u32,
    /// Whether only the primary serves the class.
    pub primary_only: bool,
    /// Explanation of the result, one line for each step.
    pub reasons: Vec<String>,
}

/// The routing rules and the defaults.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rules: Vec<Rule>,
    /// All classes.
    classes: BTreeSet<String>,
    /// The classes that only the primary serves.
    primary_classes: BTreeSet<String>,
    /// Default class of read-only requests.
    read_class: String,
    /// Default class of requests that may write.
    write_class: String,
    tenant: String,
    group: u32,
}

impl Table {
    /// Creates a table of rules; `classes` lists all classes, each with whether only the primary serves it.
    pub fn new(
        mut rules: Vec<Rule>,
        classes: impl IntoIterator<Item = (String, bool)>,
        (read_class, write_class): (String, String),
        (tenant, group): (String, u32),
    ) -> Table {
        rules.sort_by(|a, b| (a.priority, &a.name).cmp(&(b.priority, &b.name)));
        let (mut all, mut primary_classes) = (BTreeSet::new(), BTreeSet::new());
        for (class, primary_only) in classes {
            if primary_only {
                primary_classes.insert(class.clone());
            }
            all.insert(class);
        }
        Table { rules, classes: all, primary_classes, read_class, write_class, tenant, group }
    }

    /// Routes a request.
    pub fn route(&self, request: &RouteRequest) -> Route {
        let mut reasons = Vec::new();
        let rule = self.rules.iter().find(|rule| rule.matches(request));
        let (default_class, kind) = if request.read_only {
            (&self.read_class, "read-only request")
        } else {
            (&self.write_class, "request that may write")
        };
        let mut class = default_class;
        match rule {
            Some(rule) => {
                reasons.push(format!("route.{} matches", rule.name));
                class = rule.class.as_ref().unwrap_or(default_class);
            }
            None => reasons.push(format!("no route matches; {kind}")),
        }
        let selected = request.class.and_then(|name| self.classes.get(name));
        if let Some(selected) = selected {
            reasons.push(format!("the session selects class {selected}"));
            class = selected;
        } else if let Some(unknown) = request.class {
            reasons.push(format!("the session selects class {unknown}, which does not exist"));
        }
        if !request.read_only && !self.primary_classes.contains(class) {
            reasons.push(format!(
                "class {class} may be served by a replica, but the request may write; using class {}",
                self.write_class
            ));
            class = &self.write_class;
        }
        Route {
            class: class.clone(),
            primary_only: self.primary_classes.contains(class),
            tenant: rule.and_then(|rule| rule.tenant.clone()).unwrap_or_else(|| self.tenant.clone()),
            group: rule.and_then(|rule| rule.group).unwrap_or(self.group),
            reasons,
        }
    }
}

impl Rule {
    fn matches(&self, request: &RouteRequest) -> bool {
        let matches_pattern = |pattern: &Option<String>, text: &str| match pattern {
            None => true,
            Some(pattern) => match pattern.strip_suffix('*') {
                Some(prefix) => text.starts_with(prefix),
                None => text == pattern,
            },
        };
        matches_pattern(&self.user, request.user)
            && matches_pattern(&self.database, request.database)
            && matches_pattern(&self.application, request.application)
            && self
                .comment
                .as_ref()
                .is_none_or(|text| request.comment.is_some_and(|comment| comment.contains(&**text)))
            && self.read_only.is_none_or(|read_only| read_only == request.read_only)
    }
}
