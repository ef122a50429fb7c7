//! Channel binding: ties a login to its TLS connection by the hash of the server's certificate (RFC 5929,
//! `tls-server-end-point`). A man in the middle has another certificate, so the hashes differ and the login
//! fails.

/// GS2 header flag of the only supported type of channel binding.
const SERVER_END_POINT: &str = "p=tls-server-end-point";

/// The channel binding of a login, as one side sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChannelBinding<'a> {
    /// The connection does not support channel binding.
    Unsupported,
    /// This side supports channel binding but does not use it: the server offered it and the client did not
    /// choose it, or the client received no offer.
    NotUsed,
    /// The login is bound to the connection by these bytes.
    Bound(&'a [u8]),
}

impl ChannelBinding<'_> {
    /// Returns the GS2 header flag with which the client's first message begins.
    pub(crate) fn gs2_flag(&self) -> &'static str {
        match self {
            ChannelBinding::Unsupported => "n",
            ChannelBinding::NotUsed => "y",
            ChannelBinding::Bound(_) => SERVER_END_POINT,
        }
    }

    /// Returns the channel binding data that both sides sign after the GS2 header.
    pub(crate) fn bytes(&self) -> &[u8] {
        match self {
            ChannelBinding::Bound(bytes) => bytes,
            ChannelBinding::Unsupported | ChannelBinding::NotUsed => &[],
        }
    }
}
