//! A small HTTP/1.1 server and a reader of requests.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
};

/// A request that was read whole.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let pair = query.split('&').filter_map(|pair| pair.split_once('='));
        pair.filter(|(key, _)| *key == name)
            .map(|(_, value)| unescape(value))
            .next()
            .unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        all.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

fn unescape(value: &str) -> String {
    let bytes = value.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[at], hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                at += 1;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads until the buffer holds a whole head. Returns the length of the head, or none at
/// the end of the connection.
pub fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<usize>> {
    let mut chunk = [0; 16 << 10];
    loop {
        if let Some(at) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            return Ok(Some(at + 4));
        }
        let read = stream.read(&mut chunk)?;
        if read == 0 {
            return Ok(None);
        }
        buf.extend_from_slice(&chunk[..read]);
    }
}

/// Reads the next request of a connection. Bodies have a length, as the programs under
/// test send them.
pub fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let Some(head_len) = read_head(stream, buf)? else { return Ok(None) };
    let head = String::from_utf8_lossy(&buf[..head_len]).into_owned();
    buf.drain(..head_len);
    let mut lines = head.split("\r\n");
    let mut first = lines.next().unwrap_or_default().split(' ');
    let (method, target) = (first.next().unwrap_or_default(), first.next().unwrap_or_default());
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(key, value)| (key.to_ascii_lowercase(), value.trim().to_owned()));
    let mut req = Request {
        method: method.to_owned(),
        target: target.to_owned(),
        headers: headers.collect(),
        body: Vec::new(),
    };
    let length = req.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut chunk = [0; 16 << 10];
    while buf.len() < length {
        let read = stream.read(&mut chunk)?;
        if read == 0 {
            return Ok(None);
        }
        buf.extend_from_slice(&chunk[..read]);
    }
    req.body = buf.drain(..length).collect();
    Ok(Some(req))
}

/// Serves each connection on a thread of its own. `handle` returns false to close the
/// connection.
pub fn serve<F>(handle: F) -> io::Result<SocketAddr>
where
    F: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buf = Vec::new();
                while let Ok(Some(req)) = read_request(&mut stream, &mut buf) {
                    if !handle(&req, &mut stream).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<bool> {
    let mut text = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    Ok(true)
}
