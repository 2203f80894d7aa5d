//! Why a session ended.

use quick_error::quick_error;

quick_error! {
    /// Why a session ended or could not start.
    #[allow(unreachable_pub)]
    #[derive(Debug)]
    pub enum SessionError {
        Connect(cause: std::io::Error) {
            from()
            display("connection failed: {cause}")
        }
        Socket(cause: Box<tokio_tungstenite::tungstenite::Error>) {
            from(cause: tokio_tungstenite::tungstenite::Error) -> (Box::new(cause))
            display("WebSocket error: {cause}")
        }
        Codec(cause: comfreyway_proto::peer::CodecError) {
            from()
            display("{cause}")
        }
        InvalidRequest(cause: String) {
            display("invalid handshake request: {cause}")
        }
        Timeout {
            display("the peer did not respond in time")
        }
        HeartbeatTimeout {
            display("the peer's heartbeat timed out")
        }
        NoHello {
            display("the peer's first message was not a hello")
        }
        Closed {
            display("the session was closed")
        }
        SelfConnection {
            display("the address is this host's own")
        }
    }
}
