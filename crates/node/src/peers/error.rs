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
            display("session broke: {cause}")
        }
        Codec(cause: comfreyway_proto::peer::CodecError) {
            from()
            display("{cause}")
        }
        Request(cause: String) {
            display("the handshake can't be written: {cause}")
        }
        Timeout {
            display("the peer did not answer in time")
        }
        Silent {
            display("the peer's heartbeat stopped")
        }
        NoHello {
            display("the peer did not greet first")
        }
        Closed {
            display("the session was closed")
        }
        Myself {
            display("the address is this host's own")
        }
    }
}
