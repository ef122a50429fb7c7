//! What it means to carry a request out more than once.

/// What repeating a request can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat is harmless.
    Safe,
    /// Repeats are dropped inside a [`Dedup`] scope for a while.
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
