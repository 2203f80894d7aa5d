//! Stand-in of a runner whose bytes a test writes itself.
//!
//! It reads whole requests, calls the script of the test for each, and logs those that
//! the script began to run.

use std::{
    fmt,
    io::{self, BufRead, BufReader, Read},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
};

use crate::server::ANY_PORT;

const REQUEST_ID: &str = "x-comfreyway-request-id";
const SIGNATURE: &str = "x-comfreyway-runner-signature";
const CONTENT_LENGTH: &str = "content-length";

/// A request, or its first byte, that reached the runner.
#[derive(Debug)]
pub struct Exchange<'a> {
    /// Socket to the host.
    pub stream: &'a mut TcpStream,
    /// Number of requests before it on the same connection.
    pub index: usize,
    /// Value of the request ID header; empty as long as only the first byte was read.
    pub request_id: &'a str,
    /// Value of the request ID header of the request before it, or empty.
    pub previous_id: &'a str,
    runs: &'a Mutex<Vec<String>>,
}

impl Exchange<'_> {
    /// Records that the runner begins to run the request.
    pub fn run(&self) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(self.request_id.to_owned());
    }
}

/// Returns a response with its length, the signature and this request ID. `head` consists
/// of more lines with their line ends.
#[must_use]
pub fn response(request_id: &str, status: u16, head: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} -\r\n{REQUEST_ID}: {request_id}\r\n{SIGNATURE}: s\r\n{head}\
         {CONTENT_LENGTH}: {length}\r\n\r\n{body}"
    )
}

/// What a test does with a request. An error ends the connection.
pub type Script = fn(&mut Exchange<'_>) -> io::Result<()>;

struct Shared {
    script: Script,
    first_byte: Script,
    runs: Mutex<Vec<String>>,
    arrivals: AtomicUsize,
    stopped: AtomicBool,
}

/// A running stand-in.
pub struct ScriptedRunner {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl fmt::Debug for ScriptedRunner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ScriptedRunner").field("address", &self.address).finish_non_exhaustive()
    }
}

impl ScriptedRunner {
    /// Starts a runner that calls `script` for each request, and `first_byte` as soon as
    /// its first byte was read.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn start(script: Script, first_byte: Script) -> io::Result<Self> {
        let listener = TcpListener::bind(ANY_PORT)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            script,
            first_byte,
            runs: Mutex::default(),
            arrivals: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
        });
        let accepting = shared.clone();
        thread::Builder::new().name("scripted-runner".to_owned()).spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if accepting.stopped.load(Ordering::Relaxed) {
                    return;
                }
                let shared = accepting.clone();
                // The host closes connections at any point.
                thread::spawn(move || drop(serve(&shared, stream)));
            }
        })?;
        Ok(Self { shared, address })
    }

    /// Address of the runner.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// IDs of the requests that began to run, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<String> {
        self.shared.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Number of requests that were read.
    #[must_use]
    pub fn arrivals(&self) -> usize {
        self.shared.arrivals.load(Ordering::Relaxed)
    }
}

impl Drop for ScriptedRunner {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        // Wakes the accepting thread.
        let _ = TcpStream::connect(self.address);
    }
}

fn serve(shared: &Shared, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut previous_id = String::new();
    for index in 0.. {
        if reader.fill_buf()?.is_empty() {
            break;
        }
        let runs = &shared.runs;
        let (stream, previous) = (&mut stream, previous_id.as_str());
        let mut exchange = Exchange { stream, index, request_id: "", previous_id: previous, runs };
        (shared.first_byte)(&mut exchange)?;
        let id = read_request(&mut reader)?;
        shared.arrivals.fetch_add(1, Ordering::Relaxed);
        exchange.request_id = &id;
        (shared.script)(&mut exchange)?;
        previous_id = id;
    }
    Ok(())
}

/// Reads a request and returns its id.
fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut request = String::new();
    while reader.read_line(&mut request)? > 2 {}
    request.make_ascii_lowercase();
    let header = |name| {
        let mut lines = request.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(found, _)| *found == name).map(|(_, value)| value.to_owned())
    };
    let length = header(CONTENT_LENGTH).and_then(|value| value.parse().ok()).unwrap_or(0);
    reader.read_exact(&mut vec![0; length])?;
    Ok(header(REQUEST_ID).unwrap_or_default())
}
