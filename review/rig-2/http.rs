//! Just enough of HTTP/1.1 for sound clients, engines and a store.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A message: start line, fields and the body that its length announces.
pub struct Message {
    pub start: String,
    fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    pub fn open(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 64 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.ahead.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Reads a message; `None` if the peer closed the connection before one.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(at) = find(&self.ahead, b"\r\n\r\n") {
                break at;
            }
            if !self.fill()? {
                return match self.ahead.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.ahead[..head_end]).into_owned();
        self.ahead.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let fields = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message {
            start,
            fields,
            body: Vec::new(),
        };
        if message.field("transfer-encoding").is_some() {
            message.body = self.read_chunks()?;
        } else {
            let length = message.field("content-length");
            let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
            while self.ahead.len() < length {
                if !self.fill()? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            message.body = self.ahead.drain(..length).collect();
        }
        Ok(Some(message))
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                if let Some(at) = find(&self.ahead, b"\r\n") {
                    break at;
                }
                if !self.fill()? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let line = String::from_utf8_lossy(&self.ahead[..line_end]).into_owned();
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let end = line_end + 2 + size + 2;
            while self.ahead.len() < end {
                if !self.fill()? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            body.extend_from_slice(&self.ahead[line_end + 2..line_end + 2 + size]);
            self.ahead.drain(..end);
            if size == 0 {
                return Ok(body);
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

/// The host and the API key that the cases use.
pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A client's request with a length.
pub fn request(path: &str, id: &str, deadline_ms: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Limpetgw-Request-Id: {id}\r\n\
         X-Limpetgw-Deadline-Ms: {deadline_ms}\r\nX-Limpetgw-Key: {KEY}\r\n{fields}\
         Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
