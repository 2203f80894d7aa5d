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
            display("can't reach {server}: {cause}; pass a running daemon's operators' port \
                     with --server")
        }
        /// The daemon rejected the call.
        Problem(status: u16, detail: String) {
            display("the daemon responded with {status}: {detail}")
        }
        /// The response can't be read.
        Malformed(server: SocketAddr, cause: String) {
            display("can't read the response of {server}: {cause}; check that --server is an \
                     operators' port")
        }
        /// The connection failed after a change was sent.
        ChangeUnknown(id: ChangeId, cause: String) {
            display("{cause}; the change may have been accepted. Check with: comfreyway change \
                     show {id}. Repeating the command with --change-id {id} is safe: a change is \
                     never applied twice")
        }
        /// The connection failed after a request was sent.
        RequestUnknown(cause: String) {
            display("{cause}; the request may have run. Send it again with the same --key to get \
                     its response")
        }
        /// A file can't be read.
        File(file: String, cause: String) {
            display("{file}: {cause}; give the path of a readable file")
        }
        /// The logs have no event of the request.
        NotLogged(id: String) {
            display("the logs do not contain request {id}; pass the logs of all hosts at the \
                     time of the request, each with --log")
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
