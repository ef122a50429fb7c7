//! Checks of the settings for the state exchange between instances (`[peers]`).

use routing::interface::{Consistency, Settings};

use crate::document::{Document, Peers};

/// Receives the key and the message of a conflict.
type ReportConflict<'a> = dyn FnMut(String, String) + 'a;

/// Reports each conflict within `[peers]` and of `[peers]` with the rest of the document.
pub(crate) fn check(document: &Document, settings: &Settings, conflict: &mut ReportConflict) {
    let peers = &document.peers;
    let Some(listen) = peers.listen else {
        if !peers.control.is_empty() {
            conflict("peers.control".into(), "given without peers.listen".into());
        }
        return;
    };
    if peers.keys.is_empty() {
        conflict("peers.keys".into(), "missing; required with peers.listen".into());
    }
    if listen.ip().is_unspecified() || listen.port() == 0 {
        let message = format!(
            "{listen} is not reachable for other instances; accepted: an address of this host, and a port"
        );
        conflict("peers.listen".into(), message);
    }
    if document.daemon.handover.is_some() {
        let message = "cannot be combined with daemon.handover: two processes would use one instance name";
        conflict("peers.listen".into(), message.into());
    }
    for (n, route) in peers.route.iter().enumerate() {
        if peers.route[..n].iter().any(|other| other.name == route.name) {
            conflict("peers.route".into(), format!("{:?} is given twice", route.name));
        }
    }
    if !peers.control.is_empty() {
        check_control(peers, settings, conflict);
    }
}

fn check_control(peers: &Peers, settings: &Settings, conflict: &mut ReportConflict) {
    let (count, group) = (peers.control.len(), peers.control_group);
    if group % 2 == 0 {
        conflict("peers.control_group".into(), format!("{group} is even; accepted: 1, 3 or 5"));
    }
    if count < group {
        let message = format!("{count} control instances for groups of {group}; accepted: {group} or more");
        conflict("peers.control".into(), message);
    }
    for (n, instance) in peers.control.iter().enumerate() {
        let clashes = |other: &&crate::ControlInstance| {
            other.name == instance.name || other.address == instance.address
        };
        if let Some(other) = peers.control[..n].iter().find(clashes) {
            let message = format!("{:?} has the name or address of {:?}", instance.name, other.name);
            conflict("peers.control".into(), message);
        }
    }
    // Guards against settings without effect: they apply only to the exchange among all instances.
    for (key, given) in [("peers.seeds", !peers.seeds.is_empty()), ("peers.dir", peers.dir.is_some())] {
        if given {
            conflict(
                key.into(),
                "cannot be combined with peers.control: instances then use only control instances".into(),
            );
        }
    }
    // Guards against reads that consider a write as ended while it may still be committed.
    let writes = settings.classes.iter().filter(|class| class.consistency == Consistency::Write);
    let longest = writes.map(|class| class.deadline).fold(0.0, f64::max);
    if longest > peers.write_bound_s {
        let message = format!(
            "{} is less than the {longest} s that a class of writes may take; accepted: {longest} or more",
            peers.write_bound_s
        );
        conflict("peers.write_bound_s".into(), message);
    }
}
