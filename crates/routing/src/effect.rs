//! Effect of running a request more than once.

/// Effect of a repeated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat is harmless.
    Safe,
    /// Repeats are dropped within a [`Dedup`] scope for a limited time.
    Keyed,
    /// A repeat may take effect twice.
    Unsafe,
}

/// The members among which repeats of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dedup {
    /// Any member.
    All,
    /// Members of the request's group.
    Group,
}
