//! Stand-in of a runner that writes its responses byte by byte.
//!
//! It frames a response as a test says, breaks off at any byte, and may send
//! bytes without end, none of which an HTTP library does.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use crate::server::ANY_PORT;

const REQUEST_ID: &str = "x-comfreyway-request-id";
const SIGNATURE: &str = "x-comfreyway-runner-signature";
const CONTENT_LENGTH: &str = "content-length";

/// Least number of repeated bytes that are written at once.
const ENDLESS_BLOCK_BYTES: usize = 4 << 10;

/// What a runner writes after the head of its response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RawResponse {
    /// Status; 200 if none.
    pub status: Option<u16>,
    /// More lines of the head, each with its line end.
    pub head: String,
    /// Bytes of the body, with their framing.
    pub body: Vec<u8>,
    /// Leaves out the empty line after the head.
    pub unfinished_head: bool,
    /// Bytes that are repeated until the peer closes the connection. Without any,
    /// the runner closes it.
    pub endless: Vec<u8>,
}

#[derive(Debug, Default)]
struct Shared {
    name: String,
    response: Mutex<RawResponse>,
    /// Heads of the requests, with their lines in lower case.
    requests: Mutex<Vec<String>>,
    stopped: AtomicBool,
}

/// A running stand-in.
#[derive(Debug)]
pub struct RawRunner {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl RawRunner {
    /// Starts a runner with this name.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn start(name: &str, response: RawResponse) -> io::Result<Self> {
        let listener = TcpListener::bind(ANY_PORT)?;
        let address = listener.local_addr()?;
        let response = Mutex::new(response);
        let shared = Arc::new(Shared { name: name.to_owned(), response, ..Shared::default() });
        let accepting = shared.clone();
        thread::Builder::new().name("raw-runner".to_owned()).spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if accepting.stopped.load(Ordering::Relaxed) {
                    return;
                }
                let shared = accepting.clone();
                // The host closes connections at any point.
                thread::spawn(move || drop(respond(&shared, stream)));
            }
        })?;
        Ok(Self { shared, address })
    }

    /// Name of the runner.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.name
    }

    /// Address of the runner.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the response to new requests.
    pub fn set_response(&self, response: RawResponse) {
        *self.shared.response.lock().unwrap_or_else(PoisonError::into_inner) = response;
    }

    /// Heads of the requests so far, with their lines in lower case.
    #[must_use]
    pub fn requests(&self) -> Vec<String> {
        self.shared.requests.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for RawRunner {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        // Wakes the accepting thread.
        let _ = TcpStream::connect(self.address);
    }
}

/// Reads one request and writes the response.
fn respond(shared: &Shared, mut stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut request = String::new();
    while reader.read_line(&mut request)? > 2 {}
    request.make_ascii_lowercase();
    let length = header(&request, CONTENT_LENGTH).and_then(|value| value.parse().ok()).unwrap_or(0);
    reader.read_exact(&mut vec![0; length])?;
    let id = header(&request, REQUEST_ID).unwrap_or_default().to_owned();
    shared.requests.lock().unwrap_or_else(PoisonError::into_inner).push(request);
    let response = shared.response.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let name = &shared.name;
    let status = response.status.unwrap_or(200);
    let end = if response.unfinished_head { "" } else { "\r\n" };
    write!(
        stream,
        "HTTP/1.1 {status} -\r\n{REQUEST_ID}: {id}\r\n{SIGNATURE}: {name}\r\n{}{end}",
        response.head
    )?;
    stream.write_all(&response.body)?;
    let block =
        response.endless.repeat(ENDLESS_BLOCK_BYTES.div_ceil(response.endless.len().max(1)));
    while !block.is_empty() && !shared.stopped.load(Ordering::Relaxed) {
        stream.write_all(&block)?;
    }
    Ok(())
}

fn header<'a>(request: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = request.lines().filter_map(|line| line.split_once(": "));
    lines.find(|(found, _)| *found == name).map(|(_, value)| value)
}
