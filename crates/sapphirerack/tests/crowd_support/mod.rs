//! Crowds of clients that send much, end nothing and stay connected, and what a process holds
//! meanwhile.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]
#![allow(dead_code, reason = "each test file uses a part")]

use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Memory of the smallest machine of the deployments.
pub const MACHINE_MEMORY: usize = 160 << 20;

/// Largest body that the settings of these tests allow.
pub const BODY_LIMIT: usize = 4 << 20;

/// Clients of a crowd; what they send takes more than twice the machine's memory.
pub const CROWD: usize = 96;

/// Clients whose bodies come in small chunks; what they send takes more than the machine's memory.
pub const SMALL_CHUNK_CLIENTS: usize = 48;

/// Size of a large piece or chunk, in bytes.
pub const PIECE: usize = 64 << 10;

/// Size of a small chunk, in bytes.
pub const SMALL_CHUNK: usize = 64;

/// Time after which a client that can't send or gets nothing gives up.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which a client of a crowd stops sending to a process that doesn't read.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);

/// Time of a look at what a process does, and processor time that it may use in it while idle, in
/// ticks of 10 ms.
const LOOK_TIME: Duration = Duration::from_millis(500);
const IDLE_TICKS: u64 = 3;

/// Longest time for which a process may stay busy.
const BUSY_LIMIT: Duration = Duration::from_secs(60);

/// The tests of a file run one at a time.
pub fn lock_crowd() -> MutexGuard<'static, ()> {
    static CROWD: Mutex<()> = Mutex::new(());
    CROWD.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Connections of a crowd, which stay open.
pub struct Crowd {
    pub streams: Vec<TcpStream>,
}

impl Crowd {
    /// Connects `count` clients one after the other, which send nothing.
    pub fn connect(address: SocketAddr, count: usize) -> Self {
        Self { streams: (0..count).filter_map(|_| connect(address).ok()).collect() }
    }

    /// Connects `count` clients at the same time; each one sends until it ends, or the process
    /// refuses it or does not read on.
    pub fn gather(
        address: SocketAddr,
        count: usize,
        send: impl Fn(usize, &mut TcpStream) -> io::Result<()> + Sync,
    ) -> Self {
        let client = |n: usize| {
            let mut stream = connect(address)?;
            stream.set_write_timeout(Some(SEND_TIMEOUT))?;
            // A process may refuse a client that is sending.
            let _ = send(n, &mut stream);
            io::Result::Ok(stream)
        };
        let streams = thread::scope(|scope| {
            let clients: Vec<_> = (0..count).map(|n| scope.spawn(move || client(n))).collect();
            clients.into_iter().filter_map(|c| c.join().unwrap().ok()).collect()
        });
        Self { streams }
    }
}

pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, CLIENT_TIMEOUT)?;
    stream.set_read_timeout(Some(CLIENT_TIMEOUT))?;
    stream.set_write_timeout(Some(CLIENT_TIMEOUT))?;
    Ok(stream)
}

/// A body of which a client sends a part.
#[derive(Clone, Copy)]
pub enum Body {
    /// Announced with a size, sent in pieces of this size.
    Announced { size: usize, sent: usize, piece: usize },
    /// Sent in chunks of this size, without the last chunk.
    Chunked { sent: usize, chunk: usize },
}

impl Body {
    /// A body of the largest size allowed that lacks its last byte.
    pub fn short(piece: usize) -> Self {
        Self::Announced { size: BODY_LIMIT, sent: BODY_LIMIT - 1, piece }
    }

    /// Sends a request with the body; `head` adds a header line to the head.
    pub fn send(self, stream: &mut TcpStream, head: impl Fn(&str) -> String) -> io::Result<()> {
        match self {
            Self::Announced { size, sent, piece } => {
                let line = format!("Content-Length: {size}\r\n");
                stream.write_all(head(&line).as_bytes())?;
                send_bytes(stream, sent, piece)
            }
            Self::Chunked { sent, chunk } => {
                stream.write_all(head("Transfer-Encoding: chunked\r\n").as_bytes())?;
                send_chunks(stream, sent, chunk)
            }
        }
    }
}

/// Sends `size` bytes in pieces of `piece` bytes.
pub fn send_bytes(stream: &mut TcpStream, size: usize, piece: usize) -> io::Result<()> {
    let bytes = vec![b'x'; piece];
    let mut left = size;
    while left > 0 {
        let n = left.min(piece);
        stream.write_all(&bytes[..n])?;
        left -= n;
    }
    Ok(())
}

/// Sends `size` bytes of a body in chunks of `chunk` bytes, without the last chunk. Chunks are
/// written many at a time.
pub fn send_chunks(stream: &mut TcpStream, size: usize, chunk: usize) -> io::Result<()> {
    let one = [format!("{chunk:x}\r\n").as_bytes(), &vec![b'x'; chunk], b"\r\n"].concat();
    let per_write = (PIECE / chunk).max(1);
    let many = one.repeat(per_write);
    for _ in 0..size / (chunk * per_write) {
        stream.write_all(&many)?;
    }
    Ok(())
}

/// Status and headers of an answer, in lower case; `None` if the connection ends without one.
pub fn read_head(stream: &TcpStream) -> Option<(u16, String)> {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    loop {
        let before = head.len();
        reader.read_line(&mut head).ok().filter(|n| *n > 0)?;
        if head[before..].trim_end().is_empty() {
            break;
        }
    }
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, head.to_lowercase()))
}

/// Whether an answer or the end of the connection has come.
pub fn has_input(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let found = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    !matches!(found, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// Takes the beginning of an answer.
pub fn take_some(stream: &mut TcpStream) -> io::Result<()> {
    stream.read_exact(&mut [0; 64])
}

/// Bytes that were received at an address and not read there.
pub fn unread(address: SocketAddr) -> usize {
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    let port = format!(":{:04X}", address.port());
    let received = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (_, received) = fields[4].split_once(':')?;
        fields[1].ends_with(&port).then(|| usize::from_str_radix(received, 16).unwrap())
    };
    table.lines().skip(1).filter_map(received).sum()
}

/// What the operating system tells of a process.
#[derive(Clone, Copy)]
pub struct Process(pub u32);

impl Process {
    /// Most memory that the process has taken so far, in bytes.
    pub fn peak_memory(self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.0)).unwrap();
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches(" kB").parse::<usize>().unwrap() << 10
    }

    /// Open descriptors.
    pub fn descriptors(self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.0)).unwrap().count()
    }

    /// Waits until the process has nothing more to do.
    pub fn await_idle(self) {
        let limit = Instant::now() + BUSY_LIMIT;
        while self.is_busy() && Instant::now() < limit {}
    }

    /// Whether the process uses the processor for more than its regular work.
    fn is_busy(self) -> bool {
        let before = self.ticks();
        thread::sleep(LOOK_TIME);
        self.ticks() > before + IDLE_TICKS
    }

    /// Processor time used.
    fn ticks(self) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.0)).unwrap();
        // The program's name may contain spaces.
        let fields = stat.rsplit_once(')').unwrap().1.split_whitespace();
        fields.skip(11).take(2).map(|f| f.parse::<u64>().unwrap()).sum()
    }

    pub fn assert_within_machine(self) {
        let memory = self.peak_memory();
        assert!(memory < MACHINE_MEMORY, "{} MiB taken", memory >> 20);
    }
}
