//! Stand-ins and checks of the cases 11 to 15: the platform's store, runners, callers, and the
//! handling of daemons. It uses the standard library alone, so that `rustc` builds it without
//! packages.
//!
//! `kit SCENARIO FOLDER` plays one case, writes `record.txt` into the folder, and exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment it leaves out the disruption.

use std::{
    collections::{BTreeMap, BTreeSet},
    env, fs,
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio, exit},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

mod last_tenant;
mod late_part;
mod lost_record;
mod stray_entry;

/// Time after which a case ends all that it started, whatever happens.
const MAX_TIME: Duration = Duration::from_secs(112);

type Failure = Box<dyn std::error::Error + Send + Sync>;

fn main() {
    let args: Vec<_> = env::args().collect();
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let (Some(scenario), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: kit SCENARIO FOLDER");
        exit(2);
    };
    let case = match Case::new(Path::new(folder), trouble) {
        Ok(case) => case,
        Err(e) => {
            eprintln!("the case can't run: {e}");
            exit(2);
        }
    };
    let case = Arc::new(case);
    let watched = case.clone();
    thread::spawn(move || {
        thread::sleep(MAX_TIME);
        watched.note("the case took too long");
        watched.end_daemons();
        exit(2);
    });
    let result = match scenario.as_str() {
        "last-tenant" => last_tenant::play(&case),
        "late-part" => late_part::play(&case),
        "lost-record" => lost_record::play(&case),
        "stray-entry" => stray_entry::play(&case),
        other => Err(format!("no scenario {other}").into()),
    };
    let code = match result {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(e) => {
            case.note(&format!("the case can't run: {e}"));
            2
        }
    };
    case.note(&format!("exit code {code}"));
    case.end_daemons();
    exit(code);
}

// ---------------------------------------------------------------------------------------------
// The case: record, temporary folder, daemons.

/// One play of a case.
struct Case {
    started: Instant,
    trouble: bool,
    record: Mutex<fs::File>,
    temp: PathBuf,
    daemons: Mutex<Vec<Child>>,
}

impl Case {
    fn new(folder: &Path, trouble: bool) -> Result<Self, Failure> {
        let unique = SystemTime::now().duration_since(UNIX_EPOCH)?.as_nanos();
        let temp = env::temp_dir().join(format!("review-3-{}-{unique}", std::process::id()));
        fs::create_dir_all(&temp)?;
        let record = Mutex::new(fs::File::create(folder.join("record.txt"))?);
        let daemons = Mutex::new(Vec::new());
        Ok(Self { started: Instant::now(), trouble, record, temp, daemons })
    }

    /// Writes a line to the record.
    fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.started.elapsed().as_secs_f64());
        print!("{line}");
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }

    /// Starts a host as the deploy file does, with the rendered template as its settings.
    fn start_host(&self, host: &Host, store: SocketAddr) -> Result<(), Failure> {
        let settings = self.temp.join(format!("{}.ini", host.name));
        let template = fs::read_to_string("platform/settings.ini")?;
        fs::write(&settings, render(&template, &host.fields(store)))?;
        let log = self.temp.join(format!("{}.log", host.name));
        let log = fs::File::options().create(true).append(true).open(log)?;
        let child = Command::new("target/release/comfreywayd")
            .arg("--config")
            .arg(&settings)
            .env_clear()
            .env("COMFREYWAY_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.note(&format!("started host {} as process {}", host.name, child.id()));
        self.daemons.lock().unwrap().push(child);
        Ok(())
    }

    /// Waits until all hosts say that they are ready.
    fn wait_ready(&self, hosts: &[Host]) -> Result<(), Failure> {
        let until = Instant::now() + Duration::from_secs(15);
        for host in hosts {
            loop {
                let ready = Call::new("GET", "/ready").send(host.operators);
                if ready.is_ok_and(|res| res.status == 200) {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("host {} is not ready", host.name).into());
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.note("all hosts are ready");
        Ok(())
    }

    /// Ends all daemons by SIGKILL, each by its id, as a loss of power does.
    fn end_daemons(&self) {
        for mut child in self.daemons.lock().unwrap().drain(..) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Case {
    fn drop(&mut self) {
        self.end_daemons();
    }
}

/// Settings of the machines of a site, and its bounds, as far as the template names them.
type Site = [(&'static str, &'static str)];

/// `sites/ayaq-exit.toml`.
const AYAQ_EXIT: &Site = &[
    ("limits.cpuShare", "0.25"),
    ("limits.memoryMb", "260"),
    ("limits.maxFds", "4100"),
    ("bounds.revokeMs", "5000"),
    ("bounds.ackMs", "4000"),
    ("bounds.retryBudgetRatio", "0.2"),
    ("bounds.retryBudgetSlack", "56"),
    ("bounds.budgetWindowS", "10"),
    ("bounds.quotaWindowS", "8"),
    ("bounds.quotaOverage", "0.1"),
    ("bounds.quotaSlack", "190000"),
    ("bounds.graceS", "8"),
];

/// Addresses of one host.
struct Host {
    name: String,
    site: &'static Site,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    forward: SocketAddr,
}

impl Host {
    fn new(name: &str, site: &'static Site) -> Result<Self, Failure> {
        let ip = next_loopback_ip();
        let (callers, operators) = (free_address(ip)?, free_address(ip)?);
        let (peers, forward) = (free_address(ip)?, free_address(ip)?);
        Ok(Self { name: name.to_owned(), site, callers, operators, peers, forward })
    }

    /// The fields of the platform's settings.
    fn fields(&self, store: SocketAddr) -> BTreeMap<&'static str, String> {
        let fixed = [("zone", "alatau"), ("region", "almaty"), ("limits.cores", "1")];
        let fixed = fixed.into_iter().chain(self.site.iter().copied());
        let mut fields: BTreeMap<_, _> =
            fixed.map(|(name, value)| (name, value.to_owned())).collect();
        fields.insert("nodeName", self.name.clone());
        fields.insert("listen.front", self.callers.to_string());
        fields.insert("listen.readiness", self.operators.to_string());
        fields.insert("ip", self.peers.ip().to_string());
        fields.insert("internalPorts.0", self.peers.port().to_string());
        fields.insert("internalPorts.1", self.forward.port().to_string());
        fields.insert("platform.address", store.to_string());
        fields
    }
}

/// Fills in the template as the platform does. Sections of absent values are left out.
fn render(template: &str, fields: &BTreeMap<&'static str, String>) -> String {
    let mut text = String::new();
    let mut absent = false;
    for line in template.lines() {
        if line.starts_with("{{#") {
            absent = !fields.contains_key(line.trim_matches(|c| "{#}".contains(c)));
        } else if line.starts_with("{{/") {
            absent = false;
        } else if !absent {
            let mut line = line.to_owned();
            for (name, value) in fields {
                line = line.replace(&format!("{{{{{name}}}}}"), value);
            }
            text.push_str(&line);
            text.push('\n');
        }
    }
    text
}

/// Returns a loopback address of this process for its next host: connections of other processes
/// and of other hosts can't have its ports.
fn next_loopback_ip() -> Ipv4Addr {
    static HOSTS: AtomicUsize = AtomicUsize::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = HOSTS.fetch_add(1, Ordering::SeqCst);
    Ipv4Addr::new(127, 64 + high % 128, low, 10 + host as u8)
}

/// Returns an address with a port that no process listens on. Ports are not given twice.
fn free_address(ip: Ipv4Addr) -> Result<SocketAddr, Failure> {
    static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    loop {
        let address = TcpListener::bind((ip, 0))?.local_addr()?;
        if GIVEN.lock().unwrap().insert(address.port()) {
            return Ok(address);
        }
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP/1.1, as far as the stand-ins need it.

/// A request that a stand-in has received.
struct Request {
    method: String,
    target: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Request {
    /// Reads a request. Returns none at the end of the connection.
    fn read(reader: &mut impl BufRead) -> Option<Self> {
        let line = read_line(reader)?;
        let mut words = line.split(' ');
        let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
        let headers = read_headers(reader)?;
        let length = header(&headers, "content-length").and_then(|value| value.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body).ok()?;
        Some(Self { method, target, headers, body })
    }

    fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a value of the query.
    fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| percent_decode(value))
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let read = reader.read_line(&mut line).ok()?;
    (read > 0).then(|| line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits: String = rest.by_ref().take(2).map(char::from).collect();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(if byte == b'+' { b' ' } else { byte });
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A request of a caller.
struct Call {
    method: &'static str,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
}

/// A response as a caller received it.
#[derive(Clone, Debug, Default)]
struct Reply {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    /// True if the length or the last chunk says that nothing is missing.
    whole: bool,
}

impl Reply {
    fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

impl Call {
    fn new(method: &'static str, path: &str) -> Self {
        Self { method, path: path.to_owned(), headers: Vec::new(), body: String::new() }
    }

    fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sends the request on a new connection and reads the response to its end.
    fn send(&self, to: SocketAddr) -> Result<Reply, Failure> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        self.write_to(&stream)?;
        read_reply(&mut BufReader::new(stream))
    }

    fn write_to(&self, mut stream: &TcpStream) -> Result<(), Failure> {
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("content-length: {}\r\n\r\n{}", self.body.len(), self.body));
        stream.write_all(head.as_bytes())?;
        Ok(())
    }
}

fn read_reply(reader: &mut impl BufRead) -> Result<Reply, Failure> {
    let line = read_line(reader).ok_or("no response")?;
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok()).ok_or("no status")?;
    let headers = read_headers(reader).ok_or("no end of the head")?;
    let mut reply = Reply { status, headers, body: Vec::new(), whole: false };
    if let Some(length) = reply.header("content-length").and_then(|value| value.parse().ok()) {
        let read = reader.take(length).read_to_end(&mut reply.body);
        reply.whole = read.is_ok() && reply.body.len() as u64 == length;
    } else if reply.header("transfer-encoding").is_some() {
        reply.whole = read_chunks(reader, &mut reply.body).is_some();
    } else {
        reply.whole = reader.read_to_end(&mut reply.body).is_ok();
    }
    Ok(reply)
}

/// Reads chunks up to the last one. Returns none if that is missing.
fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let size = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
        if size == 0 {
            return read_line(reader).map(drop);
        }
        let start = body.len();
        body.resize(start + size, 0);
        if reader.read_exact(&mut body[start..]).is_err() {
            body.truncate(start);
            return None;
        }
        read_line(reader)?;
    }
}

// ---------------------------------------------------------------------------------------------
// The platform's store.

#[derive(Clone)]
struct Item {
    /// In base64, as on the wire.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// The keys of the store and their history.
#[derive(Clone, Default)]
struct Keys {
    items: BTreeMap<String, Item>,
    /// Changes by revision; none is a deletion.
    history: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

impl Keys {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<_> =
            self.leases.iter().filter(|(_, (_, end))| *end < now).map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.end_lease(id));
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<_> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        keys.iter().for_each(|key| self.delete(key));
    }
}

struct StoreState {
    keys: Mutex<Keys>,
    changed: Condvar,
    era: AtomicU64,
    next_lease: AtomicU64,
    is_away: AtomicBool,
}

/// A running store.
#[derive(Clone)]
struct Store {
    address: SocketAddr,
    state: Arc<StoreState>,
}

impl Store {
    fn start() -> Result<Self, Failure> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = Arc::new(StoreState {
            keys: Mutex::new(Keys { revision: 10, ..Keys::default() }),
            changed: Condvar::new(),
            era: AtomicU64::new(1),
            next_lease: AtomicU64::new(7_000),
            is_away: AtomicBool::new(false),
        });
        let store = Self { address: listener.local_addr()?, state };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                let mut keys = expiring.state.keys.lock().unwrap();
                let before = keys.revision;
                keys.expire_leases();
                if keys.revision > before {
                    expiring.state.changed.notify_all();
                }
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator or a runner does.
    fn put(&self, key: &str, value: &str) {
        self.state.keys.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        self.state.changed.notify_all();
    }

    /// Writes a key if its value changes and the store isn't away.
    fn put_if_other(&self, key: &str, value: &str) {
        let value = base64(value.as_bytes());
        let mut keys = self.state.keys.lock().unwrap();
        let is_same = keys.items.get(key).is_some_and(|item| item.value == value);
        if !is_same && !self.state.is_away.load(Ordering::SeqCst) {
            keys.put(key, value, 0);
            self.state.changed.notify_all();
        }
    }

    fn delete(&self, key: &str) {
        self.state.keys.lock().unwrap().delete(key);
        self.state.changed.notify_all();
    }

    fn has(&self, key: &str) -> bool {
        self.state.keys.lock().unwrap().items.contains_key(key)
    }

    fn copy(&self) -> Keys {
        self.state.keys.lock().unwrap().clone()
    }

    /// Is away for a moment and comes back from an older copy, in a new era.
    fn come_back_from(&self, copy: Keys, away: Duration) {
        self.state.is_away.store(true, Ordering::SeqCst);
        self.state.changed.notify_all();
        thread::sleep(away);
        *self.state.keys.lock().unwrap() = copy;
        self.state.era.fetch_add(1, Ordering::SeqCst);
        self.state.is_away.store(false, Ordering::SeqCst);
        self.state.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(req) = Request::read(&mut reader) {
            let before = self.state.era.load(Ordering::SeqCst);
            if self.state.is_away.load(Ordering::SeqCst) {
                return;
            }
            let (status, body) = self.respond(&req);
            let is_away = self.state.is_away.load(Ordering::SeqCst);
            if is_away || self.state.era.load(Ordering::SeqCst) != before {
                return;
            }
            let head = format!(
                "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\nstore-era: {before}\r\n\
                 content-length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, req: &Request) -> (u16, String) {
        let id = || req.path().rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
        match (req.method.as_str(), req.path()) {
            ("GET", "/kv-key") => self.read(&req.query("key").unwrap_or_default()),
            ("GET", "/kv-range") => {
                self.range(&req.query("prefix").unwrap_or_default(), req.query("after"))
            }
            ("GET", "/kv-watch") => self.watch(req),
            ("POST", "/kv-txn") => self.transact(&req.body),
            ("POST", "/kv-lease") => {
                let ttl = Json::parse(&req.body).number("ttlMs");
                let id = self.state.next_lease.fetch_add(1, Ordering::SeqCst);
                let time = Duration::from_millis(ttl);
                let mut keys = self.state.keys.lock().unwrap();
                keys.leases.insert(id, (time, Instant::now() + time));
                (200, format!(r#"{{"lease":{id},"ttlMs":{ttl}}}"#))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let mut keys = self.state.keys.lock().unwrap();
                match id().and_then(|id| keys.leases.get_mut(&id)) {
                    Some((time, end)) => {
                        *end = Instant::now() + *time;
                        (200, format!(r#"{{"ttlMs":{}}}"#, time.as_millis()))
                    }
                    None => (404, String::new()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                id().into_iter().for_each(|id| self.state.keys.lock().unwrap().end_lease(id));
                self.state.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, String::new()),
        }
    }

    fn read(&self, key: &str) -> (u16, String) {
        let keys = self.state.keys.lock().unwrap();
        match keys.items.get(key) {
            Some(item) => (200, item_json(key, item)),
            None => (404, String::new()),
        }
    }

    fn range(&self, prefix: &str, after: Option<String>) -> (u16, String) {
        let keys = self.state.keys.lock().unwrap();
        let after = after.unwrap_or_default();
        let found = keys.items.iter().filter(|(key, _)| key.starts_with(prefix) && **key > after);
        let items: Vec<_> = found.map(|(key, item)| item_json(key, item)).collect();
        let at = keys.revision;
        (200, format!(r#"{{"items":[{}],"hasMore":false,"at":{at}}}"#, items.join(",")))
    }

    fn watch(&self, req: &Request) -> (u16, String) {
        let number = |name| req.query(name).and_then(|value| value.parse::<u64>().ok());
        let prefix = req.query("prefix").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let era = self.state.era.load(Ordering::SeqCst);
        let mut keys = self.state.keys.lock().unwrap();
        loop {
            if after > keys.revision {
                return (410, String::new());
            }
            let new = keys
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
            let events: Vec<_> = new
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#),
                })
                .collect();
            let now = Instant::now();
            let ends = self.state.is_away.load(Ordering::SeqCst)
                || self.state.era.load(Ordering::SeqCst) != era;
            if !events.is_empty() || now >= until || ends {
                let at = keys.revision;
                return (200, format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(",")));
            }
            keys = self.state.changed.wait_timeout(keys, until - now).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let call = Json::parse(body);
        let mut keys = self.state.keys.lock().unwrap();
        let expected = call.list("expectRev");
        let met = expected.iter().all(|row| {
            let present = keys.items.get(&row.text("key")).map_or(0, |item| item.revision);
            present == row.number("revision")
        });
        if !met {
            return (412, r#"{"items":[]}"#.to_owned());
        }
        let puts = call.list("puts");
        let has_lease = |put: &Json| {
            let lease = put.number("lease");
            lease == 0 || keys.leases.contains_key(&lease)
        };
        if !puts.iter().all(has_lease) {
            return (404, String::new());
        }
        for put in puts {
            keys.put(&put.text("key"), put.text("value"), put.number("lease"));
        }
        for key in call.list("deletes") {
            if let Json::Text(key) = key {
                keys.delete(&key);
            }
        }
        let revision = keys.revision;
        drop(keys);
        self.state.changed.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at) & 63) as usize];
            text.push(if at <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------
// JSON that the store receives.

#[derive(Clone, Debug)]
enum Json {
    Object(BTreeMap<String, Json>),
    List(Vec<Json>),
    Text(String),
    Other(String),
}

impl Json {
    fn parse(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes).into_owned();
        parse_json(&mut text.chars().peekable()).unwrap_or(Self::Other(String::new()))
    }

    fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    fn list(&self, name: &str) -> Vec<Self> {
        match self.get(name) {
            Some(Self::List(items)) => items.clone(),
            _ => Vec::new(),
        }
    }

    fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Self::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Self::Other(text)) => text.parse().unwrap_or(0),
            _ => 0,
        }
    }
}

fn parse_json(chars: &mut std::iter::Peekable<std::str::Chars<'_>>) -> Option<Json> {
    let skip = |chars: &mut std::iter::Peekable<std::str::Chars<'_>>| {
        while chars.next_if(|c| c.is_whitespace() || ",:".contains(*c)).is_some() {}
    };
    skip(chars);
    match chars.peek()? {
        '{' => {
            chars.next();
            let mut fields = BTreeMap::new();
            loop {
                skip(chars);
                if chars.next_if_eq(&'}').is_some() {
                    return Some(Json::Object(fields));
                }
                let Json::Text(name) = parse_json(chars)? else { return None };
                fields.insert(name, parse_json(chars)?);
            }
        }
        '[' => {
            chars.next();
            let mut items = Vec::new();
            loop {
                skip(chars);
                if chars.next_if_eq(&']').is_some() {
                    return Some(Json::List(items));
                }
                items.push(parse_json(chars)?);
            }
        }
        '"' => {
            chars.next();
            let mut text = String::new();
            loop {
                match chars.next()? {
                    '"' => return Some(Json::Text(text)),
                    '\\' => text.push(chars.next()?),
                    c => text.push(c),
                }
            }
        }
        _ => {
            let mut text = String::new();
            while let Some(c) = chars.next_if(|c| !",]} \n".contains(*c)) {
                text.push(c);
            }
            Some(Json::Other(text))
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Runners.

/// `heartbeatMs`: time between two writes of a runner's entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a runner is and how it answers.
#[derive(Clone, Debug)]
struct RunnerSettings {
    name: String,
    service: &'static str,
    /// Version of its software.
    version: &'static str,
    /// Version of its weights.
    weights: u32,
    events: u64,
    /// Time between two events, or until a plain answer.
    gap: Duration,
    /// Text of each event.
    text: &'static str,
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}

/// A running runner.
#[derive(Clone)]
struct Runner {
    settings: RunnerSettings,
    address: SocketAddr,
    /// Ids of the requests that it began to run.
    runs: Arc<Mutex<Vec<String>>>,
    arrivals: Arc<AtomicUsize>,
    is_down: Arc<AtomicBool>,
    has_left: Arc<AtomicBool>,
    /// Unix millisecond of its start.
    born: Arc<AtomicU64>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Runner {
    fn start(settings: RunnerSettings) -> Result<Self, Failure> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let runner = Self {
            settings,
            address: listener.local_addr()?,
            runs: Arc::default(),
            arrivals: Arc::default(),
            is_down: Arc::default(),
            has_left: Arc::default(),
            born: Arc::new(AtomicU64::new(unix_ms())),
            connections: Arc::default(),
        };
        let serving = runner.clone();
        thread::spawn(move || serving.accept(listener));
        Ok(runner)
    }

    /// Accepts connections. While the runner is down its port is closed.
    fn accept(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let is_down = self.is_down.load(Ordering::SeqCst);
            if is_down {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let accepted = listener.as_ref().and_then(|listener| {
                listener.set_nonblocking(true).ok()?;
                listener.accept().ok()
            });
            let Some((stream, _)) = accepted else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            self.connections.lock().unwrap().extend(stream.try_clone());
            let runner = self.clone();
            thread::spawn(move || runner.serve(stream));
        }
    }

    /// Writes its entry, and again with each heartbeat, until it leaves. While it is down it
    /// writes nothing.
    fn register(&self, store: &Store) {
        store.put(&self.key(), &self.entry("ready"));
        let (runner, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if runner.has_left.load(Ordering::SeqCst) {
                    return;
                }
                if !runner.is_down.load(Ordering::SeqCst) {
                    store.put_if_other(&runner.key(), &runner.entry("ready"));
                }
            }
        });
    }

    /// Leaves without a report: its entry is removed, and it goes on serving.
    fn leave(&self, store: &Store) {
        self.has_left.store(true, Ordering::SeqCst);
        store.delete(&self.key());
    }

    /// Starts again under the same id, as a new run.
    fn start_again(&self) {
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.is_down.store(false, Ordering::SeqCst);
    }

    /// Its entry in the store.
    fn entry(&self, state: &str) -> String {
        let RunnerSettings { service, version, .. } = &self.settings;
        let (address, born) = (self.address, self.born.load(Ordering::SeqCst));
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"alatau","version":"{version}","slots":5,"state":"{state}","coldLeftMs":0,"seq":1,"born":{born}}}"#
        )
    }

    fn key(&self) -> String {
        format!("servers/{}", self.settings.name)
    }

    /// Crashes: all connections end, and new ones are refused.
    fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(req) = Request::read(&mut reader) {
            if self.respond(&req, &mut out).is_err() {
                return;
            }
        }
    }

    fn respond(&self, req: &Request, out: &mut TcpStream) -> std::io::Result<()> {
        let settings = &self.settings;
        self.arrivals.fetch_add(1, Ordering::SeqCst);
        let id = req.header("x-comfreyway-request-id").unwrap_or_default().to_owned();
        let common = format!(
            "x-comfreyway-request-id: {id}\r\nx-comfreyway-runner-id: {}\r\n\
             x-comfreyway-weight-versions: {}\r\n",
            settings.name, settings.weights
        );
        let other_runner =
            req.header("x-comfreyway-expect-runner").is_some_and(|name| name != settings.name);
        let other_weights = req
            .header("x-comfreyway-expect-version")
            .is_some_and(|version| version.trim() != settings.weights.to_string());
        if other_runner || other_weights {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\n{common}x-comfreyway-not-executed: 1\r\n\
                 content-length: 0\r\n\r\n"
            );
            return out.write_all(head.as_bytes());
        }
        self.runs.lock().unwrap().push(id.clone());
        let signature = format!("x-comfreyway-runner-signature: {}.{id}\r\n", settings.name);
        if settings.events == 0 {
            thread::sleep(settings.gap);
            let body = format!("answer of {} to {id}", settings.name);
            let length = body.len();
            let head = format!(
                "HTTP/1.1 200 OK\r\n{common}{signature}content-length: {length}\r\n\r\n{body}"
            );
            return out.write_all(head.as_bytes());
        }
        let after = req.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let event = |number: u64| format!("id: {number}\ndata: {} {number}\n\n", settings.text);
        let numbers = after + 1..=settings.events;
        let head = format!(
            "HTTP/1.1 200 OK\r\n{common}{signature}content-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n"
        );
        out.write_all(head.as_bytes())?;
        for number in numbers {
            thread::sleep(settings.gap);
            let event = event(number);
            out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        out.write_all(b"0\r\n\r\n")
    }
}

// ---------------------------------------------------------------------------------------------
// The operator's configuration.

/// A route of the configuration.
struct Route {
    prefix: &'static str,
    kind: &'static str,
    service: &'static str,
    resumable: bool,
}

/// Returns a configuration with these routes and one tenant.
fn configuration(version: u32, routes: &[Route]) -> String {
    let routes: Vec<_> = routes
        .iter()
        .map(|route| {
            let Route { prefix, kind, service, resumable } = route;
            let name = format!("r{}", prefix.trim_matches('/'));
            format!(
                r#"{{"name":"{name}","host":"desk.example","prefix":"{prefix}","kind":"{kind}","timeoutMs":15000,"sloMs":1500,"priority":1,"service":"{service}","attempts":2,"public":false,"sticky":false,"resumable":{resumable},"gapTargetMs":250}}"#
            )
        })
        .collect();
    let engine = r#"{"slots":5,"kvCapacity":546689,"stride":3,"models":[{"name":"m"}]}"#;
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"llm","healthCheck":"/health","maxConns":370,"engine":{engine}}},{{"name":"api","healthCheck":"/health","maxConns":110}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"desk","apiKeys":["k-desk"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":0,"burst":0}}]}}"#,
        routes.join(",")
    )
}

/// A caller's request with an id of its own.
fn call(path: &str, number: usize, deadline_ms: u64) -> (String, Call) {
    let id = format!("{number:016x}");
    let call = Call::new("POST", path)
        .with("Host", "desk.example")
        .with("X-Comfreyway-Request-Id", &id)
        .with("X-Comfreyway-Request-Deadline-Ms", &deadline_ms.to_string())
        .with("X-Api-Key", "k-desk");
    (id, call)
}

/// Returns the events of a stream: the ids and the texts.
fn events(body: &[u8]) -> Vec<(u64, String)> {
    let text = String::from_utf8_lossy(body);
    let complete = text.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n"));
    complete
        .filter_map(|event| {
            let id = event.lines().find_map(|line| line.strip_prefix("id: "))?.parse().ok()?;
            let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
            Some((id, data.to_owned()))
        })
        .collect()
}
