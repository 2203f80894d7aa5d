//! Stand-ins for the scripts of this review: store, runners, callers and the handling of
//! daemons. Only the standard library is used.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Obj(fields) => fields.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn str(&self, key: &str) -> &str {
        match self.get(key) {
            Some(Json::Str(s)) => s,
            _ => "",
        }
    }

    pub fn num(&self, key: &str) -> f64 {
        match self.get(key) {
            Some(Json::Num(n)) => *n,
            _ => 0.0,
        }
    }

    pub fn arr(&self, key: &str) -> &[Json] {
        match self.get(key) {
            Some(Json::Arr(items)) => items,
            _ => &[],
        }
    }
}

fn skip_space(b: &[u8], at: &mut usize) {
    while b.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(b: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(b, at);
                match *b.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Obj(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = parse_string(b, at)?;
                        skip_space(b, at);
                        if *b.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((key, parse_value(b, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::Arr(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(b, at)?),
                }
            }
        }
        b'"' => parse_string(b, at).map(Json::Str),
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while b.get(*at).is_some_and(|c| b"+-.eE0123456789".contains(c)) {
                *at += 1;
            }
            std::str::from_utf8(&b[start..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

fn parse_string(b: &[u8], at: &mut usize) -> Option<String> {
    if *b.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *b.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                *at += 1;
                match *b.get(*at)? {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(b.get(*at + 1..*at + 5)?).ok()?;
                        let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                        out.extend_from_slice(c.to_string().as_bytes());
                        *at += 4;
                    }
                    c => out.push(c),
                }
                *at += 1;
            }
            c => {
                out.push(c);
                *at += 1;
            }
        }
    }
}

const B64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64_encode(data: &[u8]) -> String {
    let mut out = String::new();
    for chunk in data.chunks(3) {
        let n = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(B64[(n >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn base64_decode(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for c in text.bytes().filter(|c| *c != b'=') {
        let Some(v) = B64.iter().position(|b| *b == c) else { continue };
        bits = bits << 6 | v as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
        }
    }
    out
}

// ---------------------------------------------------------------- record

/// Writes `record.txt`; each line begins with the seconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> Self {
        Self(Arc::new((Instant::now(), Mutex::new(File::create(path).expect("record")))))
    }

    pub fn now(&self) -> f64 {
        self.0 .0.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut f = self.0 .1.lock().unwrap();
        let _ = writeln!(f, "{:9.3} {text}", self.0 .0.elapsed().as_secs_f64());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:9.3} {text}", self.now());
    }
}

// ---------------------------------------------------------------- HTTP

/// A request as a server receives it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find_header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, q)| q);
        let found = query.split('&').find_map(|pair| {
            let (k, v) = pair.split_once('=')?;
            (k == name).then_some(v)
        });
        percent_decode(found.unwrap_or(""))
    }
}

fn percent_decode(text: &str) -> String {
    let b = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < b.len() {
        if b[i] == b'%' && i + 2 < b.len() {
            let hex = std::str::from_utf8(&b[i + 1..i + 3]).unwrap_or("20");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            i += 3;
        } else {
            out.push(if b[i] == b'+' { b' ' } else { b[i] });
            i += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(k, _)| k.eq_ignore_ascii_case(name));
    found.map_or("", |(_, v)| v.as_str())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((k, v)) = line.split_once(':') {
            headers.push((k.to_owned(), v.trim().to_owned()));
        }
    }
}

fn read_chunked(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Ok(body);
        }
    }
}

/// Reads a request; none at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_headers(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let body = if find_header(&headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        read_chunked(reader)?
    } else {
        let mut body = vec![0; find_header(&headers, "content-length").parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
        body
    };
    Ok(Some(Request { method, target, headers, body }))
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} -\r\n");
    for (k, v) in headers {
        out.push_str(&format!("{k}: {v}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// A server that can end as a process does: it refuses connections and closes those that
/// are open.
#[derive(Clone, Default)]
pub struct Server {
    has_ended: Arc<AtomicBool>,
    /// Open connections by number.
    open: Arc<Mutex<HashMap<usize, TcpStream>>>,
}

impl Server {
    /// Serves each connection on a thread of its own. The handler returns false to close the
    /// connection.
    pub fn start<F>(listener: TcpListener, handler: F) -> Self
    where
        F: Fn(Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
    {
        let server = Self::default();
        let (handler, serving) = (Arc::new(handler), server.clone());
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                if serving.has_ended() {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                let (Ok(mut out), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
                    continue;
                };
                serving.open.lock().unwrap().insert(number, kept);
                let (handler, open) = (handler.clone(), serving.open.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream);
                    while let Ok(Some(req)) = read_request(&mut reader) {
                        if !handler(req, &mut out).unwrap_or(false) {
                            break;
                        }
                    }
                    let _ = out.shutdown(Shutdown::Both);
                    open.lock().unwrap().remove(&number);
                });
            }
        });
        server
    }

    pub fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Acquire)
    }

    /// Ends the server that listens at `address`.
    pub fn end(&self, address: SocketAddr) {
        self.has_ended.store(true, Ordering::Release);
        for stream in self.open.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listening thread, which then drops its socket.
        drop(TcpStream::connect_timeout(&address, Duration::from_secs(1)));
    }
}

/// What a caller receives.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Zero if there was no complete answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        find_header(&self.headers, name)
    }
}

fn try_call(
    host: SocketAddr,
    request: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&host, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let (first, headers) =
        read_headers(&mut reader)?.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let body = if find_header(&headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        read_chunked(&mut reader)?
    } else {
        let mut body = vec![0; find_header(&headers, "content-length").parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
        body
    };
    Ok(Answer { status, headers, body: String::from_utf8_lossy(&body).into_owned() })
}

/// Sends a request on a new connection, as a client does.
pub fn call(
    host: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Answer {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: desk.example\r\n");
    for (k, v) in headers {
        head.push_str(&format!("{k}: {v}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("Connection: close\r\n\r\n");
    head.push_str(body);
    try_call(host, head.as_bytes(), limit).unwrap_or_default()
}

// ---------------------------------------------------------------- store

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Change {
    key: String,
    revision: u64,
    /// None for a deletion.
    item: Option<Item>,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    /// Ends of leases, and their lengths.
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
    /// Oldest revision from which the history is known.
    kept_from: u64,
}

impl StoreState {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change { key: key.to_owned(), revision: self.revision, item: Some(item) });
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push(Change { key: key.to_owned(), revision: self.revision, item: None });
        }
    }

    fn expire(&mut self) -> Vec<String> {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        let mut keys = Vec::new();
        for lease in ended {
            keys.extend(self.end_lease(lease));
        }
        keys
    }

    fn end_lease(&mut self, lease: u64) -> Vec<String> {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.delete(key));
        keys
    }
}

/// What the store does with a transaction instead of answering it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Answered,
    /// Done after this time, if its lease still exists then; never answered.
    LostAndLate(Duration),
}

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Cuts of waiting watches: of each two, the second one.
#[derive(Clone, Copy, Debug)]
pub struct Cuts {
    /// Time for which a watch that is cut has waited.
    after: Duration,
    last_was_cut: bool,
}

impl Cuts {
    pub fn new(after: Duration) -> Self {
        Self { after, last_was_cut: true }
    }
}

type Decide = Box<dyn Fn(&str) -> Fate + Send + Sync>;

struct StoreShared {
    state: Mutex<StoreState>,
    changed: Condvar,
    record: Record,
    /// Decides on the transaction that writes a key.
    decide: Mutex<Decide>,
}

/// Stand-in of the platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<StoreShared>,
    /// Which watches that wait at this address are cut; none if none is.
    cuts: Arc<Mutex<Option<Cuts>>>,
}

fn json_string(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        json_string(key),
        base64_encode(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind((own_ip(), 0)).expect("store port");
        let address = listener.local_addr().unwrap();
        let state = StoreState { revision: 100, next_lease: 7000, ..StoreState::default() };
        let shared = Arc::new(StoreShared {
            state: Mutex::new(state),
            changed: Condvar::new(),
            record: record.clone(),
            decide: Mutex::new(Box::new(|_| Fate::Answered)),
        });
        let store = Self { address, shared, cuts: Arc::default() };
        store.serve(listener);
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            let keys = expiring.shared.state.lock().unwrap().expire();
            for key in &keys {
                expiring.shared.record.line(&format!("store: lease ended, {key} removed"));
            }
            if !keys.is_empty() {
                expiring.shared.changed.notify_all();
            }
        });
        store
    }

    /// Opens another address of the same store, with cuts of its own.
    pub fn another_address(&self) -> Self {
        let listener = TcpListener::bind((own_ip(), 0)).expect("store port");
        let address = listener.local_addr().unwrap();
        let store = Self { address, shared: self.shared.clone(), cuts: Arc::default() };
        store.serve(listener);
        store
    }

    fn serve(&self, listener: TcpListener) {
        let serving = self.clone();
        Server::start(listener, move |req, out| serving.handle(&req, out));
    }

    pub fn set_decide<F>(&self, decide: F)
    where
        F: Fn(&str) -> Fate + Send + Sync + 'static,
    {
        *self.shared.decide.lock().unwrap() = Box::new(decide);
    }

    pub fn set_cuts(&self, cuts: Cuts) {
        *self.cuts.lock().unwrap() = Some(cuts);
    }

    /// Returns after which time the watch that begins now is cut, if it is.
    fn next_cut(&self) -> Option<Duration> {
        let mut cuts = self.cuts.lock().unwrap();
        let cuts = cuts.as_mut()?;
        cuts.last_was_cut = !cuts.last_was_cut;
        cuts.last_was_cut.then_some(cuts.after)
    }

    fn forget_cut(&self) {
        if let Some(cuts) = self.cuts.lock().unwrap().as_mut() {
            cuts.last_was_cut = false;
        }
    }

    /// Writes a key, as the operator or a runner does. Returns its revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.shared.state.lock().unwrap();
        state.put(key, value.as_bytes().to_vec(), 0);
        let revision = state.revision;
        drop(state);
        self.shared.changed.notify_all();
        revision
    }

    pub fn delete(&self, key: &str) {
        self.shared.state.lock().unwrap().delete(key);
        self.shared.changed.notify_all();
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.state.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn reply(&self, out: &mut TcpStream, status: u16, body: &str) -> io::Result<bool> {
        let json = [("Content-Type", "application/json")];
        out.write_all(&response(status, &json, body.as_bytes()))?;
        Ok(true)
    }

    fn handle(&self, req: &Request, out: &mut TcpStream) -> io::Result<bool> {
        thread::sleep(ANSWER_TIME);
        let path = req.path().to_owned();
        match (req.method.as_str(), path.as_str()) {
            ("GET", "/kv-key") => {
                let key = req.query("key");
                let state = self.shared.state.lock().unwrap();
                let found = state.items.get(&key).map(|item| item_json(&key, item));
                drop(state);
                match found {
                    Some(body) => self.reply(out, 200, &body),
                    None => self.reply(out, 404, "{}"),
                }
            }
            ("GET", "/kv-range") => {
                let (prefix, after) = (req.query("prefix"), req.query("after"));
                let state = self.shared.state.lock().unwrap();
                let all: Vec<_> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .collect();
                let items: Vec<_> =
                    all.iter().take(500).map(|(key, item)| item_json(key, item)).collect();
                let body = format!(
                    "{{\"items\":[{}],\"hasMore\":{},\"at\":{}}}",
                    items.join(","),
                    all.len() > 500,
                    state.revision
                );
                drop(state);
                self.reply(out, 200, &body)
            }
            ("GET", "/kv-watch") => self.watch(req, out),
            ("POST", "/kv-txn") => self.transact(req, out),
            ("POST", "/kv-lease") => {
                let call = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
                let ttl = Duration::from_millis(call.num("ttlMs") as u64);
                let mut state = self.shared.state.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                drop(state);
                self.reply(out, 200, &format!("{{\"lease\":{lease},\"ttlMs\":{}}}", ttl.as_millis()))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let id: u64 = path["/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.shared.state.lock().unwrap();
                let renewed = state.leases.get_mut(&id).map(|(end, ttl)| {
                    *end = Instant::now() + *ttl;
                    ttl.as_millis()
                });
                drop(state);
                match renewed {
                    Some(ttl) => self.reply(out, 200, &format!("{{\"ttlMs\":{ttl}}}")),
                    None => self.reply(out, 404, "{}"),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let id: u64 = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                let known = {
                    let mut state = self.shared.state.lock().unwrap();
                    let known = state.leases.contains_key(&id);
                    state.end_lease(id);
                    known
                };
                self.shared.changed.notify_all();
                self.reply(out, if known { 200 } else { 404 }, "{}")
            }
            _ => self.reply(out, 404, "{}"),
        }
    }

    fn watch(&self, req: &Request, out: &mut TcpStream) -> io::Result<bool> {
        let prefix = req.query("prefix");
        let after: u64 = req.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(req.query("waitMs").parse().unwrap_or(0));
        let started = Instant::now();
        let cut = self.next_cut();
        let mut state = self.shared.state.lock().unwrap();
        loop {
            if after < state.kept_from {
                drop(state);
                return self.reply(out, 410, "{}");
            }
            let events: Vec<_> = state
                .history
                .iter()
                .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                .map(|change| match &change.item {
                    Some(item) => item_json(&change.key, item),
                    None => format!(
                        "{{\"key\":{},\"revision\":{},\"tombstone\":true}}",
                        json_string(&change.key),
                        change.revision
                    ),
                })
                .collect();
            let elapsed = started.elapsed();
            if !events.is_empty() || elapsed >= wait {
                if cut.is_some() {
                    // It was not cut, so the next one may be.
                    self.forget_cut();
                }
                let at = state.revision;
                drop(state);
                let body = format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","));
                return self.reply(out, 200, &body);
            }
            if cut.is_some_and(|cut| elapsed >= cut) {
                drop(state);
                self.shared.record.line("store: a waiting watch is cut");
                return Ok(false);
            }
            let mut left = wait - elapsed;
            if let Some(cut) = cut {
                left = left.min(cut.saturating_sub(elapsed).max(Duration::from_millis(1)));
            }
            state = self.shared.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, req: &Request, out: &mut TcpStream) -> io::Result<bool> {
        let call = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        let key = call.arr("puts").first().map_or("", |put| put.str("key")).to_owned();
        let fate = (self.shared.decide.lock().unwrap())(&key);
        if let Fate::LostAndLate(time) = fate {
            let ms = time.as_millis();
            self.shared.record.line(&format!(
                "store: the write of {key} gets no answer and is done {ms} ms later"
            ));
            let store = self.clone();
            thread::spawn(move || {
                thread::sleep(time);
                let status = store.apply(&call).0;
                store.shared.record.line(&format!("store: late write of {key}: {status}"));
            });
            return Ok(false);
        }
        let (status, body) = self.apply(&call);
        self.reply(out, status, &body)
    }

    fn apply(&self, call: &Json) -> (u16, String) {
        let mut state = self.shared.state.lock().unwrap();
        state.expire();
        let met = call.arr("expectRev").iter().all(|row| {
            let revision = state.items.get(row.str("key")).map_or(0, |item| item.revision);
            revision as f64 == row.num("revision")
        });
        if !met {
            return (412, "{\"items\":[]}".to_owned());
        }
        let leases = call.arr("puts").iter().map(|put| put.num("lease") as u64);
        if leases.clone().any(|lease| lease != 0 && !state.leases.contains_key(&lease)) {
            return (404, "{}".to_owned());
        }
        for put in call.arr("puts") {
            state.put(put.str("key"), base64_decode(put.str("value")), put.num("lease") as u64);
        }
        for key in call.arr("deletes") {
            if let Json::Str(key) = key {
                state.delete(key);
            }
        }
        let revision = state.revision;
        drop(state);
        self.shared.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

// ---------------------------------------------------------------- links

/// A link from one machine to the store, which can be cut: its connections are reset, and new
/// ones are closed at once.
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind((own_ip(), 0)).expect("link port");
        let address = listener.local_addr().unwrap();
        let link = Self { address, is_cut: Arc::default(), open: Arc::default() };
        let (is_cut, open) = (link.is_cut.clone(), link.open.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(near) = stream else { continue };
                if is_cut.load(Ordering::Acquire) {
                    continue;
                }
                let Ok(far) = TcpStream::connect(to) else { continue };
                for stream in [&near, &far] {
                    let _ = stream.set_nodelay(true);
                    if let Ok(stream) = stream.try_clone() {
                        open.lock().unwrap().push(stream);
                    }
                }
                let (Ok(back), Ok(forth)) = (near.try_clone(), far.try_clone()) else { continue };
                thread::spawn(move || copy(near, forth));
                thread::spawn(move || copy(far, back));
            }
        });
        link
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::Release);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::Release);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let _ = io::copy(&mut from, &mut to);
    let _ = to.shutdown(Shutdown::Both);
}

// ---------------------------------------------------------------- runners

/// A request that a runner began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub id: String,
    pub runner: String,
    pub path: String,
    pub tokens: f64,
}

/// The runs of all runners.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn push(&self, run: Run) {
        self.0.lock().unwrap().push(run);
    }

    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }
}

/// Stand-in of a runner.
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    server: Server,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Settings of a runner.
#[derive(Clone)]
pub struct RunnerPlan {
    pub id: String,
    pub slots: usize,
    pub work: Duration,
    /// Version of its weights.
    pub weights: u64,
}

impl Runner {
    pub fn start(plan: &RunnerPlan, runs: &Runs, record: &Record) -> Self {
        let listener = TcpListener::bind((own_ip(), 0)).expect("runner port");
        let address = listener.local_addr().unwrap();
        let running = AtomicUsize::new(0);
        let (plan, runs, record) = (plan.clone(), runs.clone(), record.clone());
        let id = plan.id.clone();
        let server = Server::start(listener, move |req, out| {
            let request_id = req.header("x-comfreyway-request-id").to_owned();
            let (weights, runner) = (plan.weights.to_string(), plan.id.as_str());
            let of_request = ("X-Comfreyway-Request-Id", request_id.as_str());
            let named = ("X-Comfreyway-Runner-Id", runner);
            if req.path() == "/health" {
                out.write_all(&response(200, &[named], b""))?;
                return Ok(true);
            }
            let expected = req.header("x-comfreyway-expect-runner");
            if !expected.is_empty() && expected != runner {
                record.line(&format!("{runner}: 421 to {request_id}, which is for {expected}"));
                let not_run = ("X-Comfreyway-Not-Executed", "1");
                out.write_all(&response(421, &[of_request, named, not_run], b""))?;
                return Ok(true);
            }
            let version = req.header("x-comfreyway-expect-version");
            if !version.is_empty() && version != weights {
                record.line(&format!(
                    "{runner}: 421 to {request_id}, which expects weights {version}, not {weights}"
                ));
                let not_run = ("X-Comfreyway-Not-Executed", "1");
                out.write_all(&response(421, &[of_request, named, not_run], b""))?;
                return Ok(true);
            }
            if running.fetch_add(1, Ordering::AcqRel) >= plan.slots {
                running.fetch_sub(1, Ordering::AcqRel);
                let not_run = ("X-Comfreyway-Not-Executed", "1");
                out.write_all(&response(503, &[of_request, not_run], b""))?;
                return Ok(true);
            }
            let usage = req.header("x-comfreyway-token-usage");
            let tokens = usage.split(',').filter_map(|n| n.trim().parse::<f64>().ok()).sum();
            let run = Run {
                at: record.now(),
                id: request_id.clone(),
                runner: runner.to_owned(),
                path: req.path().to_owned(),
                tokens,
            };
            record.line(&format!("{runner}: runs {request_id} {} ({tokens} tokens)", run.path));
            runs.push(run);
            thread::sleep(plan.work);
            running.fetch_sub(1, Ordering::AcqRel);
            let is_stream = req.path().starts_with("/report/");
            let body = match is_stream {
                true => format!("id: 1\ndata: {request_id} at {runner}\n\n"),
                false => format!("{{\"ran\":\"{request_id}\",\"at\":\"{runner}\"}}"),
            };
            let headers = [
                ("Content-Type", if is_stream { "text/event-stream" } else { "application/json" }),
                of_request,
                ("X-Comfreyway-Runner-Signature", runner),
                ("X-Comfreyway-Weight-Versions", weights.as_str()),
            ];
            out.write_all(&response(200, &headers, body.as_bytes()))?;
            Ok(true)
        });
        Self { id, address, server }
    }

    /// True if its health check passes.
    pub fn is_healthy(&self) -> bool {
        call(self.address, "GET", "/health", &[], "", Duration::from_secs(1)).status == 200
    }

    /// Ends as a process does.
    pub fn end(&self) {
        self.server.end(self.address);
    }

    /// The entry that a runner writes of itself.
    pub fn entry(&self, service: &str, slots: usize, state: &str, born: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"alatau\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":1,\"born\":{born}}}",
            self.address
        )
    }
}

// ---------------------------------------------------------------- daemons

/// Address of this script alone, so that no other process takes a port between its choice and
/// its use.
pub fn own_ip() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 16 + (high & 7) * 16 + (middle >> 4), (middle << 4) | (low >> 4), 1 + (low & 15))
}

static PORTS: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// Returns a free port that no other call has returned.
pub fn free_port() -> u16 {
    loop {
        let listener = TcpListener::bind((own_ip(), 0)).expect("port");
        let port = listener.local_addr().unwrap().port();
        let mut known = PORTS.lock().unwrap();
        if !known.contains(&port) {
            known.push(port);
            return port;
        }
    }
}

/// A daemon, started as the deploy file says.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Bounds and limits of the smallest deployment's sheet.
const FIELDS: [(&str, &str); 12] = [
    ("zone", "alatau"),
    ("region", "almaty"),
    ("limits.cores", "1"),
    ("limits.cpuShare", "0.25"),
    ("limits.memoryMb", "260"),
    ("limits.maxFds", "4100"),
    ("bounds.revokeMs", "5000"),
    ("bounds.ackMs", "4000"),
    ("bounds.retryBudgetRatio", "0.2"),
    ("bounds.retryBudgetSlack", "56"),
    ("bounds.graceS", "8"),
    ("bounds.budgetWindowS", "10"),
];

const QUOTA_FIELDS: [(&str, &str); 3] =
    [("bounds.quotaWindowS", "8"), ("bounds.quotaOverage", "0.1"), ("bounds.quotaSlack", "190000")];

impl Daemon {
    /// Renders the settings as the platform does, and starts the daemon.
    pub fn start(root: &Path, dir: &Path, name: &str, store: SocketAddr) -> Self {
        let template = fs::read_to_string(root.join("platform/settings.ini")).expect("template");
        let address = || SocketAddr::from((own_ip(), free_port()));
        let (front, ready) = (address(), address());
        let (peers, forward) = (free_port(), free_port());
        let mut text = String::new();
        let mut in_section = false;
        for line in template.lines() {
            if line.starts_with("{{#") {
                in_section = true;
            } else if line.starts_with("{{/") {
                in_section = false;
            } else if !in_section {
                text.push_str(line);
                text.push('\n');
            }
        }
        let own = [
            ("nodeName", name.to_owned()),
            ("listen.front", front.to_string()),
            ("listen.readiness", ready.to_string()),
            ("ip", own_ip().to_string()),
            ("internalPorts.0", peers.to_string()),
            ("internalPorts.1", forward.to_string()),
            ("platform.address", store.to_string()),
        ];
        for (field, value) in own {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        for (field, value) in FIELDS.iter().chain(&QUOTA_FIELDS) {
            text = text.replace(&format!("{{{{{field}}}}}"), value);
        }
        assert!(!text.contains("{{"), "a field of the template is not filled in: {text}");
        let settings = dir.join(format!("{name}.ini"));
        fs::write(&settings, text).expect("settings");
        let log = dir.join(format!("{name}.log"));
        let mut daemon = Self { name: name.to_owned(), front, ready, settings, log, child: None };
        daemon.run(root);
        daemon
    }

    /// Starts the process, again if it has ended.
    pub fn run(&mut self, root: &Path) {
        let out = fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("log");
        let err = out.try_clone().expect("log");
        let child = Command::new(root.join("target/release/comfreywayd"))
            .arg("--config")
            .arg(&self.settings)
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .expect("target/release/comfreywayd");
        let dir = self.settings.parent().expect("a temporary folder");
        let mut pids = fs::OpenOptions::new().create(true).append(true).open(dir.join("pids")).expect("pids");
        let _ = writeln!(pids, "{}", child.id());
        self.child = Some(child);
    }

    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").arg(signal).arg(child.id().to_string()).status();
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// True while the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        call(self.ready, "GET", "/ready", &[], "", Duration::from_secs(1)).status == 200
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.signal("-CONT");
        self.kill();
    }
}

/// Root of the repository, folder of the case, temporary folder, and whether there is trouble.
pub fn arguments() -> (PathBuf, PathBuf, PathBuf, bool) {
    let args: Vec<String> = std::env::args().collect();
    if args.len() != 4 {
        eprintln!("usage: ROOT CASE TEMP");
        std::process::exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    (args[1].clone().into(), args[2].clone().into(), args[3].clone().into(), trouble)
}
