//! The session of a host with its coordinator.

use crate::ids::HostId;

/// Whose client the host is.
#[derive(Clone, Debug)]
pub(super) enum Link<S> {
    /// Its own coordinator's.
    Own,
    /// Its own, while a session is being opened.
    Dialed(SessionId),
    /// Its own, until the other host responds on this session.
    Connected(SessionId, S),
    /// The other host's.
    Used(SessionId, S),
    /// The other host's if the session was used, but the session takes no messages any
    /// more. The host must end it.
    Failed(SessionId, bool),
}

#[derive(Clone, Debug)]
pub(super) struct SessionId {
    pub(super) number: u64,
    pub(super) host: HostId,
}

/// A session with a coordinator that has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedSession {
    /// The coordinator.
    pub host: HostId,
    /// True if it placed the requests of this host.
    pub was_used: bool,
}

impl<S> Link<S> {
    /// Returns the coordinator, if it is not the host's own.
    pub(super) fn coordinator(&self) -> Option<&HostId> {
        match self {
            Self::Used(id, _) | Self::Failed(id, true) => Some(&id.host),
            Self::Own | Self::Dialed(_) | Self::Connected(..) | Self::Failed(_, false) => None,
        }
    }

    pub(super) fn id(&self) -> Option<&SessionId> {
        match self {
            Self::Own => None,
            Self::Dialed(id) | Self::Connected(id, _) | Self::Used(id, _) | Self::Failed(id, _) => {
                Some(id)
            }
        }
    }
}
