//! Kinds of run: what happens to a fleet, and which figures are measured.

mod change;
mod hold;
mod join;
mod lose;

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::error::ScaleError;
use crate::fleet::Fleet;
use crate::protocol::Coordination;
use crate::traffic::Traffic;

pub use join::run as join;

/// Significant digits of the values in a distribution.
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_SECOND: f64 = 1e6;

/// What happens to a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// All poolers start.
    Join,
    /// Nothing happens.
    Hold,
    /// A member is removed from the list, or put back.
    ChangeList,
    /// One pooler observes a new primary and reports it to the others. Only where poolers exchange state.
    ChangePrimary,
    /// One pooler is killed and restarted.
    LoseOne,
    /// A tenth of the poolers are killed and restarted.
    LoseTenth,
    /// The poolers of a zone are killed and restarted.
    LoseZone,
    /// The poolers of a region are cut off from all others and from discovery, and reconnected later.
    LoseRegion,
    /// A control instance is killed and restarted.
    LoseControl,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 9] = [
        Kind::Join,
        Kind::Hold,
        Kind::ChangeList,
        Kind::ChangePrimary,
        Kind::LoseOne,
        Kind::LoseTenth,
        Kind::LoseZone,
        Kind::LoseRegion,
        Kind::LoseControl,
    ];

    /// Returns the name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Join => "join",
            Kind::Hold => "hold",
            Kind::ChangeList => "change-list",
            Kind::ChangePrimary => "change-primary",
            Kind::LoseOne => "lose-one",
            Kind::LoseTenth => "lose-tenth",
            Kind::LoseZone => "lose-zone",
            Kind::LoseRegion => "lose-region",
            Kind::LoseControl => "lose-control",
        }
    }

    /// Returns the names of all kinds, separated by commas.
    pub fn all_names() -> String {
        Kind::ALL.map(Kind::name).join(", ")
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Kind, String> {
        let kind = Kind::ALL.into_iter().find(|kind| kind.name() == text);
        kind.ok_or_else(|| format!("'{text}' is no kind of run; accepted: {}", Kind::all_names()))
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Result of one kind of run on one fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    /// The kind of run.
    pub kind: Kind,
    /// How the poolers learn about writes made through other poolers.
    pub coordination: Coordination,
    /// Number of poolers of the fleet.
    pub size: usize,
    /// Number of the fleet among those of this size, from 0.
    pub repeat: usize,
    /// Figures by name. The name of a figure with a unit ends with the unit.
    pub figures: BTreeMap<String, f64>,
    /// Messages and bytes of one hollow pooler: per second, or in total for [`Kind::Join`].
    pub traffic: Traffic,
    /// Descriptions of failed safety checks.
    pub faults: Vec<String>,
}

impl Measurement {
    /// Returns a result without figures.
    pub fn new(kind: Kind, fleet: &Fleet, repeat: usize) -> Measurement {
        let (coordination, size) = (fleet.coordination, fleet.size);
        let (figures, traffic, faults) = (BTreeMap::new(), Traffic::default(), Vec::new());
        Measurement { kind, coordination, size, repeat, figures, traffic, faults }
    }

    /// Records a figure.
    pub fn record(&mut self, name: &str, value: f64) {
        self.figures.insert(name.to_string(), value);
    }

    /// Records the median, the 99th percentile and the maximum of times (seconds), with microsecond
    /// resolution.
    pub fn record_times(&mut self, name: &str, seconds: &[f64]) {
        let Ok(mut histogram) = Histogram::<u64>::new(SIGNIFICANT_DIGITS) else { return };
        for seconds in seconds {
            let _ = histogram.record((seconds.max(0.0) * MICROS_PER_SECOND) as u64);
        }
        let in_seconds = |value: u64| value as f64 / MICROS_PER_SECOND;
        if !histogram.is_empty() {
            self.record(&format!("{name}_p50_s"), in_seconds(histogram.value_at_quantile(0.5)));
            self.record(&format!("{name}_p99_s"), in_seconds(histogram.value_at_quantile(0.99)));
            self.record(&format!("{name}_max_s"), in_seconds(histogram.max()));
        }
    }

    /// Records a fault if a safety check failed.
    pub fn check(&mut self, passed: bool, fault: impl FnOnce() -> String) {
        if !passed {
            self.faults.push(fault());
        }
    }

    /// Checks that all running poolers have the latest list with the same members, and that no hollow pooler
    /// needed a stream, which hollow poolers do not support.
    pub fn check_lists(&mut self, fleet: &mut Fleet) -> Result<(), ScaleError> {
        let version = fleet.list_version()?;
        let state = fleet.state(true)?;
        let behind = state.hollow.lists.iter().filter(|(list_version, _)| *list_version != version).count();
        self.check(behind == 0, || format!("{behind} poolers do not have version {version} of the list"));
        let first_checksum = state.hollow.lists.first().map(|(_, checksum)| *checksum);
        let differing =
            state.hollow.lists.iter().filter(|(_, checksum)| Some(*checksum) != first_checksum).count();
        self.check(differing == 0, || {
            format!("the list of {differing} poolers differs from that of the first one")
        });
        let behind = state.real.iter().filter(|(_, list_version)| *list_version != Some(version)).count();
        self.check(behind == 0, || {
            format!("{behind} real poolers do not see all instances at version {version} of the list")
        });
        let wanted = state.hollow.streams_wanted;
        self.check(wanted == 0, || {
            format!(
                "logs were to be fetched over streams {wanted} times, which hollow poolers do not support"
            )
        });
        Ok(())
    }
}

/// Runs a kind on a fleet that has joined. Returns `None` if the kind does not apply to the fleet's
/// coordination, or is [`Kind::Join`].
pub fn run(kind: Kind, fleet: &mut Fleet, repeat: usize) -> Result<Option<Measurement>, ScaleError> {
    match kind {
        Kind::Join => Ok(None),
        Kind::Hold => hold::run(fleet, repeat).map(Some),
        Kind::ChangeList => change::list_changes(fleet, repeat).map(Some),
        Kind::ChangePrimary if fleet.coordination == Coordination::Peers => {
            change::primary_changes(fleet, repeat).map(Some)
        }
        Kind::ChangePrimary => Ok(None),
        Kind::LoseOne | Kind::LoseTenth | Kind::LoseZone => {
            lose::restart_poolers(kind, fleet, repeat).map(Some)
        }
        Kind::LoseRegion => lose::cut_off_region(fleet, repeat).map(Some),
        Kind::LoseControl if fleet.coordination == Coordination::Directory => {
            lose::restart_control(fleet, repeat).map(Some)
        }
        Kind::LoseControl => Ok(None),
    }
}
