//! What a login is bound to: the TLS connection that it goes over, by the hash of the server's certificate (RFC 5929,
//! `tls-server-end-point`). Somebody in between has another certificate, so another hash, so no login.

/// The name of the only kind of binding that is spoken here.
const KIND: &str = "p=tls-server-end-point";

/// What the connection beneath a login is, as one side sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel<'a> {
    /// Nothing that a login can be bound to.
    Open,
    /// It could be bound to this connection, and is not. A server has offered it; a client has been offered nothing.
    Unbound,
    /// It is bound to it by these bytes.
    Bound(&'a [u8]),
}

impl Channel<'_> {
    /// The word with which a client begins.
    pub(crate) fn word(&self) -> &'static str {
        match self {
            Channel::Open => "n",
            Channel::Unbound => "y",
            Channel::Bound(_) => KIND,
        }
    }

    /// What both sides sign of the channel, behind the header.
    pub(crate) fn bytes(&self) -> &[u8] {
        match self {
            Channel::Bound(bytes) => bytes,
            Channel::Open | Channel::Unbound => &[],
        }
    }
}
