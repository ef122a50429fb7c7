//! Thresholds that several modules of the policy use. This module uses no other.

/// Suspicion at which a member is ejected: two failed requests, or one connection that is refused at once.
pub(crate) const EJECTION_THRESHOLD: f64 = 2.0;
/// Maximum ejection in multiples of the connect timeout: an ejected member is tried and probed at least this
/// often, so that its return is noticed within a few seconds.
pub(crate) const MAX_EJECTION_FACTOR: f64 = 12.0;
/// Maximum probe budget.
pub(crate) const MAX_PROBE_BUDGET: f64 = 20.0;
/// Interval between rounds of probes or trial writes while the primary is searched, in multiples of the
/// connect timeout.
pub(crate) const PRIMARY_SEARCH_INTERVAL_FACTOR: f64 = 0.8;
/// Number of requests of the whole fleet in flight at a member that one pooler's own are compared with.
pub(crate) const FLEET_MIN_IN_FLIGHT: f64 = 8.0;

/// Maximum retry budget: enough for the requests in flight at one member that fails.
pub(crate) const MAX_RETRY_BUDGET: f64 = 20.0;
