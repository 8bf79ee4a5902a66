//! HTTP/1.1 messages over blocking sockets.

use std::{
    io::{self, Read},
    net::TcpStream,
};

/// A request or a response with its complete body.
pub struct Message {
    pub start_line: String,
    /// Header fields with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }

    /// Word `index` of the start line.
    pub fn word(&self, index: usize) -> &str {
        self.start_line.split(' ').nth(index).unwrap_or_default()
    }

    /// Status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads messages from one connection and keeps the bytes beyond each of them.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads one message; `None` if the peer closed the connection before it.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let head_end = loop {
            let found = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(position) = found {
                break position + 4;
            }
            if !self.fill()? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head: Vec<u8> = self.buffer.drain(..head_end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.trim_end().split("\r\n");
        let start_line = lines.next().unwrap_or_default().to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message {
            start_line,
            headers,
            body: Vec::new(),
        };
        let is_interim = message.status() == 100;
        if is_interim {
            return Ok(Some(message));
        }
        message.body = match message.header("transfer-encoding") {
            Some(_) => self.read_chunks()?,
            None => {
                let length = message.header("content-length");
                let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
                self.take(length)?
            }
        };
        Ok(Some(message))
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                if let Some(at) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                    break at;
                }
                self.fill_or_fail()?;
            };
            let line = self.take(line_end + 2)?;
            let text = String::from_utf8_lossy(&line).trim().to_owned();
            let length = usize::from_str_radix(&text, 16)
                .map_err(|_| io::Error::other("invalid chunk size"))?;
            let chunk = self.take(length + 2)?;
            if length == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill_or_fail()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn fill_or_fail(&mut self) -> io::Result<()> {
        match self.fill()? {
            true => Ok(()),
            false => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }

    /// Reads more bytes; returns `false` at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }
}
