//! Stand-in of a runner that sends a second copy of a response.
//!
//! It answers the first request of each connection as a test says and keeps the
//! connection. From the second request on it begins to run, sends the first response
//! once more, and then its own response.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::server::ANY_PORT;

const REQUEST_ID: &str = "x-comfreyway-request-id";
const SIGNATURE: &str = "x-comfreyway-runner-signature";
const CONTENT_LENGTH: &str = "content-length";

/// Time between the second copy and the response of the request that runs.
const RUN_TIME: Duration = Duration::from_millis(50);

/// A request that reached the runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Number of the connection, from zero on.
    pub connection: usize,
    /// Value of the request ID header, or empty.
    pub request_id: String,
    /// True if the runner began to run it.
    pub ran: bool,
}

#[derive(Debug, Default)]
struct Shared {
    name: String,
    /// Status line and own header lines of the first response of a connection.
    first: String,
    arrivals: Mutex<Vec<Arrival>>,
    connections: AtomicUsize,
    stopped: AtomicBool,
}

/// A running stand-in.
#[derive(Debug)]
pub struct RepeatingRunner {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl RepeatingRunner {
    /// Starts a runner with this name. `first` is the status, and the header lines with
    /// their line ends, of the first response of each connection.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn start(name: &str, first: (u16, &str)) -> io::Result<Self> {
        let listener = TcpListener::bind(ANY_PORT)?;
        let address = listener.local_addr()?;
        let (status, head) = first;
        let first = format!("HTTP/1.1 {status} -\r\n{head}");
        let shared = Arc::new(Shared { name: name.to_owned(), first, ..Shared::default() });
        let accepting = shared.clone();
        thread::Builder::new().name("repeating-runner".to_owned()).spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if accepting.stopped.load(Ordering::Relaxed) {
                    return;
                }
                let shared = accepting.clone();
                let connection = shared.connections.fetch_add(1, Ordering::Relaxed);
                // The host closes connections at any point.
                thread::spawn(move || drop(serve(&shared, connection, stream)));
            }
        })?;
        Ok(Self { shared, address })
    }

    /// Address of the runner.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All requests that reached it, in order.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.arrivals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for RepeatingRunner {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        // Wakes the accepting thread.
        let _ = TcpStream::connect(self.address);
    }
}

fn serve(shared: &Shared, connection: usize, mut stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut first_response = None;
    while let Some(id) = read_request(&mut reader)? {
        let ran = first_response.is_some();
        let arrival = Arrival { connection, request_id: id.clone(), ran };
        shared.arrivals.lock().unwrap_or_else(PoisonError::into_inner).push(arrival);
        let own = |head: &str, body: &str| {
            let (name, length) = (&shared.name, body.len());
            format!(
                "{head}{REQUEST_ID}: {id}\r\n{SIGNATURE}: {name}\r\n\
                 {CONTENT_LENGTH}: {length}\r\n\r\n{body}"
            )
        };
        let Some(copy) = &first_response else {
            let response = own(&shared.first, "");
            stream.write_all(response.as_bytes())?;
            first_response = Some(response);
            continue;
        };
        stream.write_all(copy.as_bytes())?;
        thread::sleep(RUN_TIME);
        stream.write_all(own("HTTP/1.1 200 -\r\n", "answer").as_bytes())?;
    }
    Ok(())
}

/// Reads a request and returns its id, or none at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut request = String::new();
    while reader.read_line(&mut request)? > 2 {}
    if request.is_empty() {
        return Ok(None);
    }
    request.make_ascii_lowercase();
    let header = |name| {
        let mut lines = request.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(found, _)| *found == name).map(|(_, value)| value.to_owned())
    };
    let length = header(CONTENT_LENGTH).and_then(|value| value.parse().ok()).unwrap_or(0);
    reader.read_exact(&mut vec![0; length])?;
    Ok(Some(header(REQUEST_ID).unwrap_or_default()))
}
