//! Stand-in of a runner that responds before it has read a request's body, and ends the
//! connection while the body is still being written.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use socket2::SockRef;

const REQUEST_ID: &str = "x-comfreyway-request-id";
const SIGNATURE: &str = "x-comfreyway-runner-signature";
const CONTENT_LENGTH: &str = "content-length";

/// Receive buffer of a connection, so that a host can't write a long body at once.
const RECEIVE_BUFFER_BYTES: usize = 4 << 10;

/// How a runner ends a connection after its response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ConnectionEnd {
    /// Resets it after this time.
    Reset(Duration),
    /// Reads what has arrived, at most half of the body, and closes it, as the kernel does for
    /// a process that ends. What arrives later is answered with a reset.
    #[default]
    Close,
    /// Ends its own side, and resets the connection after this time.
    HalfClose(Duration),
    /// Reads the whole body and resets the connection.
    ResetAfterBody,
    /// Reads the whole body and closes the connection.
    CloseAfterBody,
}

/// The response, byte by byte.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EarlyResponse {
    /// Bytes before the status line, such as an interim response.
    pub interim: &'static str,
    /// Protocol and status, such as `HTTP/1.1 200`.
    pub status_line: &'static str,
    /// More lines of the head, each with its line end.
    pub head: String,
    /// Bytes of the body, with their framing.
    pub body: Vec<u8>,
    /// How the connection ends.
    pub end: ConnectionEnd,
}

/// A running stand-in.
#[derive(Debug)]
pub struct EarlyRunner {
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl EarlyRunner {
    /// Starts a runner at this address.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn start(address: SocketAddr, response: EarlyResponse) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        let address = listener.local_addr()?;
        let stopped = Arc::<AtomicBool>::default();
        let is_stopped = stopped.clone();
        thread::Builder::new().name("early-runner".to_owned()).spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let response = response.clone();
                // The host closes connections at any point.
                thread::spawn(move || drop(respond(&response, stream)));
            }
        })?;
        Ok(Self { address, stopped })
    }

    /// Address of the runner.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for EarlyRunner {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        // Wakes the accepting thread.
        let _ = TcpStream::connect(self.address);
    }
}

fn respond(response: &EarlyResponse, mut stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut head = String::new();
    while reader.read_line(&mut head)? > 2 {}
    head.make_ascii_lowercase();
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(found, _)| *found == name).map(|(_, value)| value)
    };
    let id = header(REQUEST_ID).unwrap_or_default();
    let length = header(CONTENT_LENGTH).and_then(|value| value.parse().ok()).unwrap_or(0);
    let EarlyResponse { interim, status_line, head: more, body, end } = response;
    write!(
        stream,
        "{interim}{status_line} -\r\n{REQUEST_ID}: {id}\r\n{SIGNATURE}: s\r\n{more}\r\n"
    )?;
    stream.write_all(body)?;
    match *end {
        ConnectionEnd::Reset(after) => {
            thread::sleep(after);
            reset(&stream)
        }
        ConnectionEnd::Close => {
            // What is unread would make it a reset.
            stream.set_nonblocking(true)?;
            // Reading ends with an error if no more has arrived.
            let _ = io::copy(&mut reader.take(length / 2), &mut io::sink());
            Ok(())
        }
        ConnectionEnd::HalfClose(after) => {
            stream.shutdown(std::net::Shutdown::Write)?;
            thread::sleep(after);
            reset(&stream)
        }
        ConnectionEnd::ResetAfterBody => {
            io::copy(&mut reader.take(length), &mut io::sink())?;
            reset(&stream)
        }
        ConnectionEnd::CloseAfterBody => {
            io::copy(&mut reader.take(length), &mut io::sink()).map(drop)
        }
    }
}

/// Makes the end of the connection a reset.
fn reset(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
