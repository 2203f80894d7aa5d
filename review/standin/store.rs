//! Stand-in of the platform's store, as PROTOCOL.md describes it. Its only fault is the drill
//! of NEWS.md: it is away for a moment and comes back from an older copy.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Request, respond, serve},
    json::{Json, base64, quote},
};

const MAX_ITEMS: usize = 500;

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Clone, Debug, Default)]
struct State {
    era: u64,
    is_away: bool,
    revision: u64,
    items: BTreeMap<String, Item>,
    log: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.log.push((revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.log.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease && lease != 0);
        let keys: Vec<_> = of_lease.map(|(key, _)| key.clone()).collect();
        self.revision += u64::from(!keys.is_empty());
        keys.iter().for_each(|key| self.delete(key));
        known
    }
}

/// A copy of the store.
pub struct Copy(State);

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let state = State { revision: 100, era: 1, ..State::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let of_server = shared.clone();
        let address = serve(move |req, stream| handle(&of_server, req, stream))?;
        let of_clock = shared.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut state = of_clock.0.lock().unwrap();
                let now = Instant::now();
                let ended = state.leases.iter().filter(|(_, lease)| lease.ends < now);
                for lease in ended.map(|(id, _)| *id).collect::<Vec<_>>() {
                    state.end_lease(lease);
                    of_clock.1.notify_all();
                }
            }
        });
        Ok(Self { address, shared })
    }

    /// Writes a key, as the operator and the runners do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Copies the store.
    pub fn copy(&self) -> Copy {
        Copy(self.shared.0.lock().unwrap().clone())
    }

    /// Goes away: every call fails without an effect.
    pub fn go_away(&self) {
        self.shared.0.lock().unwrap().is_away = true;
        self.shared.1.notify_all();
    }

    /// Comes back from a copy. Its leases run from now on.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.shared.0.lock().unwrap();
        let era = state.era + 1;
        *state = State { era, is_away: false, ..copy.0 };
        for lease in state.leases.values_mut() {
            lease.ends = Instant::now() + lease.ttl;
        }
        self.shared.1.notify_all();
    }

    /// Removes a key.
    pub fn delete(&self, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.delete(key);
        self.shared.1.notify_all();
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":{},"value":"{}","revision":{},"created":{},"lease":{}}}"#,
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

fn reply(stream: &mut TcpStream, status: &str, era: u64, body: &str) -> io::Result<bool> {
    let era = era.to_string();
    let headers = [("content-type", "application/json"), ("store-era", era.as_str())];
    respond(stream, status, &headers, body.as_bytes())
}

fn handle(
    shared: &(Mutex<State>, Condvar),
    req: &Request,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let (lock, changed) = shared;
    let path = req.path();
    let mut state = lock.lock().unwrap();
    if state.is_away {
        return Ok(false);
    }
    let era = state.era;
    let (status, body) = match (req.method.as_str(), path) {
        ("GET", "/kv-key") => {
            let key = req.query("key");
            match state.items.get(&key) {
                Some(item) => ("200 OK", item_text(&key, item)),
                None => ("404 Not Found", "{}".to_owned()),
            }
        }
        ("GET", "/kv-range") => {
            let (prefix, after) = (req.query("prefix"), req.query("after"));
            let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix));
            let found = found.filter(|(key, _)| after.is_empty() || **key > after);
            let mut items: Vec<_> = found.map(|(key, item)| item_text(key, item)).collect();
            let more = items.len() > MAX_ITEMS;
            items.truncate(MAX_ITEMS);
            let items = items.join(",");
            ("200 OK", format!(r#"{{"items":[{items}],"hasMore":{more},"at":{}}}"#, state.revision))
        }
        ("GET", "/kv-watch") => {
            let (prefix, after) = (req.query("prefix"), req.query("after"));
            let after: u64 = after.parse().unwrap_or(0);
            let wait = Duration::from_millis(req.query("waitMs").parse().unwrap_or(0));
            let until = Instant::now() + wait;
            loop {
                if state.is_away || state.era != era {
                    return Ok(false);
                }
                if after > state.revision {
                    break ("410 Gone", "{}".to_owned());
                }
                let new = state
                    .log
                    .iter()
                    .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
                let events: Vec<_> = new
                    .map(|(revision, key, item)| match item {
                        Some(item) => item_text(key, item),
                        None => format!(
                            r#"{{"key":{},"revision":{revision},"tombstone":true}}"#,
                            quote(key)
                        ),
                    })
                    .collect();
                let left = until.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let text = events.join(",");
                    break ("200 OK", format!(r#"{{"events":[{text}],"at":{}}}"#, state.revision));
                }
                state = changed.wait_timeout(state, left).unwrap().0;
            }
        }
        ("POST", "/kv-txn") => {
            let call = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
            let met = call.get("expectRev").list().iter().all(|expected| {
                let item = state.items.get(expected.get("key").text());
                item.map_or(0, |item| item.revision) == expected.get("revision").number()
            });
            let leased = call.get("puts").list().iter().all(|put| {
                let lease = put.get("lease").number();
                lease == 0 || state.leases.contains_key(&lease)
            });
            if !met {
                ("412 Precondition Failed", r#"{"items":[]}"#.to_owned())
            } else if !leased {
                ("404 Not Found", "{}".to_owned())
            } else {
                state.revision += 1;
                for put in call.get("puts").list() {
                    let value = put.get("value").text().to_owned();
                    state.put(put.get("key").text(), value, put.get("lease").number());
                }
                for key in call.get("deletes").list() {
                    state.delete(key.text());
                }
                changed.notify_all();
                ("200 OK", format!(r#"{{"revision":{}}}"#, state.revision))
            }
        }
        ("POST", "/kv-lease") => {
            let call = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
            let ttl_ms = call.get("ttlMs").number().max(1_000);
            state.last_lease += 1;
            let id = state.last_lease;
            let ttl = Duration::from_millis(ttl_ms);
            state.leases.insert(id, Lease { ttl, ends: Instant::now() + ttl });
            ("200 OK", format!(r#"{{"lease":{id},"ttlMs":{ttl_ms}}}"#))
        }
        ("POST", _) if path.starts_with("/kv-keep/") => {
            let id = path["/kv-keep/".len()..].parse().unwrap_or(0);
            match state.leases.get_mut(&id) {
                Some(lease) => {
                    lease.ends = Instant::now() + lease.ttl;
                    ("200 OK", format!(r#"{{"ttlMs":{}}}"#, lease.ttl.as_millis()))
                }
                None => ("404 Not Found", "{}".to_owned()),
            }
        }
        ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
            let id = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
            let known = state.end_lease(id);
            changed.notify_all();
            (if known { "200 OK" } else { "404 Not Found" }, "{}".to_owned())
        }
        _ => ("404 Not Found", "{}".to_owned()),
    };
    drop(state);
    reply(stream, status, era, &body)
}
