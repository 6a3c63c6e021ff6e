//! HTTP/1.1 messages, and a threaded server for them.

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// A request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let field = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        field.map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a message with a content length; `None` if the connection ends before it is complete.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    reader.read_line(&mut message.start_line).ok().filter(|n| *n > 0)?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let len = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    message.body = vec![0; len];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

pub fn encode_response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    [format!("{head}\r\n").as_bytes(), body].concat()
}

pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    listen_at("127.0.0.1:0".parse().unwrap(), serve)
}

pub fn listen_at(
    address: SocketAddr,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(address).unwrap();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

pub fn encode_request(method: &str, path: &str, attempt: &str, budget: u32, body: &str) -> String {
    let len = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: find.example\r\nAttempt-Id: {attempt}\r\n\
         Time-Budget: {budget}\r\ncontent-length: {len}\r\n\r\n{body}"
    )
}
