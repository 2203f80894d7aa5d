//! Stand-in of a runner that is a process of its own, so that signals freeze and kill it.
//!
//! It appends a line to its log before it works on a request. `RunnerProcess` in the
//! testkit starts it.

use std::{
    fs::{File, OpenOptions},
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bpaf::{OptionParser, Parser, construct, long};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{net::TcpSocket, runtime};

const REQUEST_ID: &str = "x-comfreyway-request-id";
const EXPECT_RUNNER: &str = "x-comfreyway-expect-runner";
const NOT_EXECUTED: &str = "x-comfreyway-not-executed: 1\r\n";

/// Longest head that is read.
const MAX_HEAD_BYTES: u64 = 64 << 10;

#[derive(Clone, Debug)]
struct Args {
    address: SocketAddr,
    name: String,
    log: PathBuf,
    seed: u64,
    work_ms: u64,
    slots: usize,
    backlog: u32,
    faults_per_mille: u32,
}

fn args() -> OptionParser<Args> {
    let address = long("address").argument("ADDRESS");
    let name = long("name").argument("NAME");
    let log = long("log").argument("FILE");
    let seed = long("seed").argument("NUMBER");
    let work_ms = long("work-ms").argument("NUMBER");
    let slots = long("slots").argument("NUMBER");
    let backlog = long("backlog").argument("NUMBER");
    let faults_per_mille = long("faults-per-mille").argument("NUMBER");
    construct!(Args { address, name, log, seed, work_ms, slots, backlog, faults_per_mille })
        .to_options()
}

/// What a runner does instead of a plain response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// Closes the connection after it has read the request.
    HangUp,
    /// The same once it has begun to run the request.
    HangUpRunning,
    /// Responds before it reads the body.
    EarlyResponse,
    /// Rejects the request.
    Reject,
    /// Rejects the request twice at once.
    RejectTwice,
    /// Rejects the request, and once more while it runs the next one of the connection.
    RejectLate,
    /// The process ends in the middle of a head.
    DieInHead,
    /// The process ends in the middle of a body.
    DieInBody,
    /// Closes the connection after its response.
    Close,
}

const FAULTS: [Fault; 9] = [
    Fault::HangUp,
    Fault::HangUpRunning,
    Fault::EarlyResponse,
    Fault::Reject,
    Fault::RejectTwice,
    Fault::RejectLate,
    Fault::DieInHead,
    Fault::DieInBody,
    Fault::Close,
];

struct Request {
    head: Vec<String>,
}

impl Request {
    /// Reads a head. Returns `None` at the end of the connection.
    fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut reader = reader.take(MAX_HEAD_BYTES);
        let mut head = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            if line == "\r\n" {
                return Ok(Some(Self { head }));
            }
            head.push(line.trim_end().to_owned());
        }
    }

    fn header(&self, name: &str) -> &str {
        let mut lines = self.head.iter().filter_map(|line| line.split_once(':'));
        let found = lines.find(|(found, _)| found.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.trim())
    }

    fn is_health_check(&self) -> bool {
        self.head.first().is_some_and(|line| line.starts_with("GET /health "))
    }

    fn skip_body(&self, reader: &mut impl BufRead) -> io::Result<()> {
        let mut skip = |bytes: u64| match io::copy(&mut reader.take(bytes), &mut io::sink())? {
            read if read == bytes => Ok(()),
            _ => Err(io::Error::from(io::ErrorKind::UnexpectedEof)),
        };
        if !self.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            return skip(self.header("content-length").parse().unwrap_or(0));
        }
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = u64::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut after = vec![0; usize::try_from(size).map_err(io::Error::other)? + 2];
            reader.read_exact(&mut after)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
}

struct Runner {
    args: Args,
    /// Every second fault of this process.
    habit: Fault,
    log: File,
    running: AtomicUsize,
}

impl Runner {
    /// Records that a request begins to run, in one write.
    fn begin(&self, id: &str) -> io::Result<()> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let line = format!("{id} {} {}\n", now.as_millis(), self.args.name);
        (&self.log).write_all(line.as_bytes())
    }

    fn take_slot(&self) -> bool {
        let next = |running| (running < self.args.slots).then_some(running + 1);
        self.running.fetch_update(Ordering::AcqRel, Ordering::Acquire, next).is_ok()
    }

    /// Serves the requests of a connection, one after the other.
    fn serve(&self, mut stream: TcpStream, mut rng: StdRng) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut late_copy = None;
        while let Some(request) = Request::read(&mut reader)? {
            let id = request.header(REQUEST_ID).to_owned();
            if request.is_health_check() {
                let name = format!("x-comfreyway-runner-id: {}\r\n", self.args.name);
                stream.write_all(response(200, &id, &name, "").as_bytes())?;
                continue;
            }
            let expected = request.header(EXPECT_RUNNER);
            if !expected.is_empty() && expected != self.args.name {
                request.skip_body(&mut reader)?;
                stream.write_all(response(421, &id, NOT_EXECUTED, "").as_bytes())?;
                continue;
            }
            let fault = rng.random_range(0..1_000) < self.args.faults_per_mille;
            let habitual = rng.random_bool(0.5);
            let other = FAULTS[rng.random_range(0..FAULTS.len())];
            let fault = fault.then_some(if habitual { self.habit } else { other });
            let rejection = response(503, &id, NOT_EXECUTED, "");
            if matches!(fault, Some(Fault::Reject | Fault::RejectTwice | Fault::RejectLate)) {
                request.skip_body(&mut reader)?;
                let copies = if fault == Some(Fault::RejectTwice) { 2 } else { 1 };
                stream.write_all(rejection.repeat(copies).as_bytes())?;
                late_copy = (fault == Some(Fault::RejectLate)).then_some(rejection);
                continue;
            }
            if fault == Some(Fault::HangUp) {
                return request.skip_body(&mut reader);
            }
            if !self.take_slot() {
                request.skip_body(&mut reader)?;
                stream.write_all(rejection.as_bytes())?;
                continue;
            }
            let work = Duration::from_millis(rng.random_range(0..=2 * self.args.work_ms));
            let copy = late_copy.take();
            let ran = self.run(&request, &mut reader, &mut stream, fault, copy, work);
            self.running.fetch_sub(1, Ordering::AcqRel);
            ran?;
            if matches!(fault, Some(Fault::HangUpRunning | Fault::Close)) {
                return Ok(());
            }
        }
        Ok(())
    }

    fn run(
        &self,
        request: &Request,
        reader: &mut impl BufRead,
        stream: &mut TcpStream,
        fault: Option<Fault>,
        late_copy: Option<String>,
        work: Duration,
    ) -> io::Result<()> {
        let id = request.header(REQUEST_ID);
        let early = fault == Some(Fault::EarlyResponse);
        if !early {
            request.skip_body(reader)?;
        }
        self.begin(id)?;
        if let Some(copy) = late_copy {
            stream.write_all(copy.as_bytes())?;
        }
        let close = if fault == Some(Fault::Close) { "connection: close\r\n" } else { "" };
        let head = format!("x-comfreyway-runner-signature: {}-{id}\r\n{close}", self.args.name);
        let whole = response(200, id, &head, &format!("response to {id}"));
        if !early {
            thread::sleep(work);
        }
        let written = match fault {
            Some(Fault::HangUpRunning) => 0,
            Some(Fault::DieInHead) => head.len() / 2,
            Some(Fault::DieInBody) => whole.len() - 3,
            _ => whole.len(),
        };
        stream.write_all(&whole.as_bytes()[..written])?;
        if matches!(fault, Some(Fault::DieInHead | Fault::DieInBody)) {
            process::exit(1);
        }
        if early { request.skip_body(reader) } else { Ok(()) }
    }
}

fn response(status: u16, id: &str, head: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} -\r\n{REQUEST_ID}: {id}\r\n{head}content-length: {length}\r\n\r\n{body}"
    )
}

/// Listens with a backlog, which the standard library doesn't set.
fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let rt = runtime::Builder::new_current_thread().enable_io().build()?;
    let _entered = rt.enter();
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let listener = socket.listen(backlog)?.into_std()?;
    listener.set_nonblocking(false)?;
    Ok(listener)
}

fn main() -> io::Result<()> {
    let args = args().run();
    let listener = listen(args.address, args.backlog)?;
    let log = OpenOptions::new().append(true).create(true).open(&args.log)?;
    let habit = FAULTS[StdRng::seed_from_u64(args.seed).random_range(0..FAULTS.len())];
    let runner = Arc::new(Runner { args, habit, log, running: AtomicUsize::new(0) });
    for (connection, stream) in listener.incoming().enumerate() {
        let Ok(stream) = stream else { continue };
        let rng = StdRng::seed_from_u64(runner.args.seed << 20 | connection as u64);
        let runner = runner.clone();
        // Hosts close connections at any point.
        thread::spawn(move || drop(runner.serve(stream, rng)));
    }
    Ok(())
}
