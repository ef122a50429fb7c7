//! Which class, tenant and group a statement or a transaction of an ordinary client has, whose statements say nothing
//! of it. A table of rules, the first that fits holds; what none fits has the defaults. What may write is never given
//! a class that a replica may serve, whatever a rule says.
#![warn(missing_docs)]

use std::collections::BTreeSet;

/// What a rule asks for and what it gives. What is absent fits anything, and gives the default.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rule {
    /// Its name, for people.
    pub name: String,
    /// Rules of a lower rank are looked at first; of one rank by name.
    pub priority: u32,
    /// The user; a `*` at the end stands for anything.
    pub user: Option<String>,
    /// The database; in the same way.
    pub database: Option<String>,
    /// The `application_name`; in the same way.
    pub application: Option<String>,
    /// A text that the leading comment holds.
    pub comment: Option<String>,
    /// Whether it only reads.
    pub read_only: Option<bool>,
    /// The class it gives.
    pub class: Option<String>,
    /// The tenant it gives.
    pub tenant: Option<String>,
    /// The group it gives.
    pub group: Option<u32>,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteRequest<'a> {
    /// Who asks.
    pub user: &'a str,
    /// Of which database.
    pub database: &'a str,
    /// By which application; empty where it does not say.
    pub application: &'a str,
    /// The leading comment.
    pub comment: Option<&'a str>,
    /// The class that the session has asked for by `SET dewferry.class`.
    pub class: Option<&'a str>,
    /// Whether it is known to read only.
    pub read_only: bool,
}

/// Where it is placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its class.
    pub class: String,
    /// Its tenant; empty without one.
    pub tenant: String,
    /// Its group.
    pub group: u32,
    /// Whether only the primary serves its class.
    pub primary_only: bool,
    /// Why, a line for each step.
    pub reasons: Vec<String>,
}

/// The rules and the defaults.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rules: Vec<Rule>,
    /// The classes that there are, and of them those that go to the primary.
    classes: BTreeSet<String>,
    primary: BTreeSet<String>,
    /// The class of what only reads, and of anything else.
    read: String,
    write: String,
    tenant: String,
    group: u32,
}

impl Table {
    /// A table of rules; `classes` are all classes, each with whether it goes to the primary alone.
    pub fn new(
        mut rules: Vec<Rule>,
        classes: impl IntoIterator<Item = (String, bool)>,
        (read, write): (String, String),
        (tenant, group): (String, u32),
    ) -> Table {
        rules.sort_by(|a, b| (a.priority, &a.name).cmp(&(b.priority, &b.name)));
        let (mut all, mut primary) = (BTreeSet::new(), BTreeSet::new());
        for (class, alone) in classes {
            if alone {
                primary.insert(class.clone());
            }
            all.insert(class);
        }
        Table { rules, classes: all, primary, read, write, tenant, group }
    }

    /// Places something.
    pub fn route(&self, ask: &RouteRequest) -> Route {
        let mut because = Vec::new();
        let rule = self.rules.iter().find(|rule| rule.fits(ask));
        let (fallback, what) =
            if ask.read_only { (&self.read, "it only reads") } else { (&self.write, "it may write") };
        let mut class = fallback;
        match rule {
            Some(rule) => {
                because.push(format!("route.{} fits", rule.name));
                class = rule.class.as_ref().unwrap_or(fallback);
            }
            None => because.push(format!("no route fits; {what}")),
        }
        let wished = ask.class.and_then(|wished| self.classes.get(wished));
        if let Some(wished) = wished {
            because.push(format!("the session asks for class {wished}"));
            class = wished;
        } else if let Some(unknown) = ask.class {
            because.push(format!("the session asks for class {unknown}, which there is not"));
        }
        if !ask.read_only && !self.primary.contains(class) {
            because
                .push(format!("class {class} may be served by a replica, and it may write: {}", self.write));
            class = &self.write;
        }
        Route {
            class: class.clone(),
            primary_only: self.primary.contains(class),
            tenant: rule.and_then(|rule| rule.tenant.clone()).unwrap_or_else(|| self.tenant.clone()),
            group: rule.and_then(|rule| rule.group).unwrap_or(self.group),
            reasons: because,
        }
    }
}

impl Rule {
    fn fits(&self, ask: &RouteRequest) -> bool {
        let like = |pattern: &Option<String>, text: &str| match pattern {
            None => true,
            Some(pattern) => match pattern.strip_suffix('*') {
                Some(start) => text.starts_with(start),
                None => text == pattern,
            },
        };
        like(&self.user, ask.user)
            && like(&self.database, ask.database)
            && like(&self.application, ask.application)
            && self
                .comment
                .as_ref()
                .is_none_or(|text| ask.comment.is_some_and(|comment| comment.contains(&**text)))
            && self.read_only.is_none_or(|reads| reads == ask.read_only)
    }
}
