//! What a login is bound to: the TLS connection that it goes over, by the hash of the server's certificate (RFC 5929,
//! `tls-server-end-point`). Somebody in between has another certificate, so another hash, so no login.

/// The name of the only kind of binding that is spoken here.
const KIND: &str = "p=tls-server-end-point";

/// What the connection beneath a login is, as one side sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChannelBinding<'a> {
    /// Nothing that a login can be bound to.
    Unsupported,
    /// It could be bound to this connection, and is not. A server has offered it; a client has been offered nothing.
    NotUsed,
    /// It is bound to it by these bytes.
    Bound(&'a [u8]),
}

impl ChannelBinding<'_> {
    /// The word with which a client begins.
    pub(crate) fn word(&self) -> &'static str {
        match self {
            ChannelBinding::Unsupported => "n",
            ChannelBinding::NotUsed => "y",
            ChannelBinding::Bound(_) => KIND,
        }
    }

    /// What both sides sign of the channel, behind the header.
    pub(crate) fn bytes(&self) -> &[u8] {
        match self {
            ChannelBinding::Bound(bytes) => bytes,
            ChannelBinding::Unsupported | ChannelBinding::NotUsed => &[],
        }
    }
}
