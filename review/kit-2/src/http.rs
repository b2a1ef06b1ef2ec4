//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A head: the words of its first line, and its headers in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub words: Vec<String>,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn word(&self, index: usize) -> &str {
        self.words.get(index).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Buffered reading side of a connection.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buffer: Vec::new() }
    }

    pub fn open(address: &str, limit: Duration) -> io::Result<Conn> {
        let address: SocketAddr =
            address.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
        Ok(Conn::new(TcpStream::connect_timeout(&address, limit)?))
    }

    fn fill(&mut self, deadline: Instant) -> io::Result<()> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut piece = [0; 16 << 10];
        let read = match self.stream.read(&mut piece) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                return Err(io::ErrorKind::TimedOut.into());
            }
            read => read?,
        };
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&piece[..read]);
        Ok(())
    }

    /// Reads a head.
    pub fn head(&mut self, deadline: Instant) -> io::Result<Head> {
        loop {
            let end = self.buffer.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(end) = end {
                let bytes: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&bytes);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("");
                let words = first.splitn(3, ' ').map(str::to_owned);
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(key, value)| {
                    (key.to_ascii_lowercase(), value.trim().to_owned())
                });
                return Ok(Head {
                    words: words.collect(),
                    headers: headers.collect(),
                });
            }
            self.fill(deadline)?;
        }
    }

    /// Reads exactly this many bytes.
    pub fn exact(
        &mut self,
        count: usize,
        deadline: Instant,
    ) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill(deadline)?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self, deadline: Instant) -> io::Result<String> {
        loop {
            let end = self.buffer.windows(2).position(|w| w == b"\r\n");
            if let Some(end) = end {
                let bytes: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&bytes[..end]).into());
            }
            self.fill(deadline)?;
        }
    }

    /// Reads the body that follows a head.
    pub fn body(
        &mut self,
        head: &Head,
        deadline: Instant,
    ) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            let mut body = Vec::new();
            loop {
                let line = self.line(deadline)?;
                let digits = line.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(digits, 16)
                    .map_err(|_| io::ErrorKind::InvalidData)?;
                if size == 0 {
                    self.line(deadline)?;
                    return Ok(body);
                }
                body.extend(self.exact(size, deadline)?);
                self.line(deadline)?;
            }
        }
        let length = head.header("content-length").parse().unwrap_or(0);
        self.exact(length, deadline)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let limit = Some(Duration::from_secs(20));
        self.stream.set_write_timeout(limit)?;
        self.stream.write_all(bytes)
    }

    /// Returns whether the peer has closed the connection.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0];
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Starts a thread for each connection to a listener.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(Conn) + Clone + Send + 'static,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || handler(Conn::new(stream)));
        }
    });
}

/// Returns a listener on a free port, and its address.
pub fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}

/// Answer of a host to a caller.
#[derive(Debug)]
pub enum Answer {
    /// A head, whose whole body came.
    Whole(Head),
    /// A head whose body broke off.
    Cut(Head),
    /// No head came before the connection ended.
    Closed,
    /// No head came in time.
    Silent,
    /// No connection.
    Unreachable,
}

impl Answer {
    pub fn text(&self) -> String {
        match self {
            Answer::Whole(head) => head.status().to_string(),
            Answer::Cut(head) => format!("{} cut", head.status()),
            Answer::Closed => "closed".into(),
            Answer::Silent => "silent".into(),
            Answer::Unreachable => "unreachable".into(),
        }
    }

    pub fn status(&self) -> u16 {
        match self {
            Answer::Whole(head) => head.status(),
            _ => 0,
        }
    }
}

/// Reads the answer to a request that was written.
pub fn answer(conn: &mut Conn, deadline: Instant) -> Answer {
    match conn.head(deadline) {
        Ok(head) => match conn.body(&head, deadline) {
            Ok(_) => Answer::Whole(head),
            Err(_) => Answer::Cut(head),
        },
        Err(error) if error.kind() == io::ErrorKind::TimedOut => {
            Answer::Silent
        }
        Err(_) => Answer::Closed,
    }
}

/// Sends a request on a new connection and reads its answer.
pub fn call(address: &str, request: &[u8], limit: Duration) -> Answer {
    let deadline = Instant::now() + limit;
    let connect = limit.min(Duration::from_secs(1));
    let Ok(mut conn) = Conn::open(address, connect) else {
        return Answer::Unreachable;
    };
    if conn.write(request).is_err() {
        return Answer::Closed;
    }
    answer(&mut conn, deadline)
}
