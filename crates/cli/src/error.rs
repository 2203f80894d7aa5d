//! Errors of commands.

use std::net::SocketAddr;

use comfreyway_core::config::ChangeId;
use quick_error::quick_error;

use crate::Exit;

quick_error! {
    /// Error that made a command fail.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum CliError {
        /// The daemon can't be reached.
        Unreachable(server: SocketAddr, cause: String) {
            display("can't reach {server}: {cause}; name a running daemon's operators' port \
                     with --server")
        }
        /// The daemon rejected the call.
        Problem(status: u16, detail: String) {
            display("the daemon answered {status}: {detail}")
        }
        /// The response can't be read.
        Malformed(server: SocketAddr, cause: String) {
            display("the answer of {server} can't be read: {cause}; check that --server names an \
                     operators' port")
        }
        /// The connection failed after a change was sent.
        ChangeUnknown(id: ChangeId, cause: String) {
            display("{cause}; the change may have been accepted or not. Ask with: comfreyway \
                     change show {id}. The same command with --change-id {id} is safe: it never \
                     applies twice")
        }
        /// The connection failed after a request was sent.
        RequestUnknown(cause: String) {
            display("{cause}; the request may have run. Send it again with the same --key to get \
                     its answer")
        }
        /// A file can't be read.
        File(file: String, cause: String) {
            display("{file}: {cause}; give the path of a readable file")
        }
        /// The logs have no event of the request.
        NotLogged(id: String) {
            display("no line of the logs names request {id}; give the logs of all hosts and of \
                     the time of the request, each with --log")
        }
        /// An argument is invalid.
        Argument(text: String) {
            display("{text}")
        }
    }
}

impl CliError {
    /// Returns how the process exits after this error.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::ChangeUnknown(..) | Self::RequestUnknown(_) => Exit::Unknown,
            Self::Argument(_) => Exit::Usage,
            _ => Exit::Failed,
        }
    }
}
