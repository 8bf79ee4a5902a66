//! A client that keeps its connection open for many requests.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::{
    fleet::HOST,
    http::{Message, Reader},
    record::Record,
};

/// Time for which the client waits for an interim response before it sends the
/// body anyway.
const CONTINUE_WAIT: Duration = Duration::from_secs(1);

/// One request of a client.
pub struct ClientRequest<'a> {
    pub path: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline: Duration,
    pub body: &'a [u8],
    /// Whether the body is sent only after the interim response.
    pub expects_continue: bool,
}

pub struct Client {
    stream: TcpStream,
    reader: Reader,
    record: Record,
}

impl Client {
    pub fn connect(addr: SocketAddr, record: &Record) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: Reader::new(stream.try_clone()?),
            stream,
            record: record.clone(),
        })
    }

    /// Sends a request and waits for its answer until its deadline.
    pub fn call(&mut self, request: &ClientRequest<'_>) -> io::Result<Message> {
        let id = request.id;
        self.record
            .line(&format!("client sends {id} to {}", request.path));
        let answer = self.exchange(request);
        match &answer {
            Ok(answer) => {
                let body = String::from_utf8_lossy(&answer.body);
                let text: String = body.replace('\n', " ").chars().take(200).collect();
                self.record
                    .line(&format!("client gets {} for {id}: {text}", answer.status()));
            }
            Err(error) => self
                .record
                .line(&format!("client gets no answer for {id}: {error}")),
        }
        answer
    }

    fn exchange(&mut self, request: &ClientRequest<'_>) -> io::Result<Message> {
        let expect = match request.expects_continue {
            true => "Expect: 100-continue\r\n",
            false => "",
        };
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: {HOST}\r\nX-Limpetgw-Request-Id: {}\r\n\
             X-Limpetgw-Deadline-Ms: {}\r\nX-Limpetgw-Key: {}\r\n{expect}\
             Content-Length: {}\r\n\r\n",
            request.path,
            request.id,
            request.deadline.as_millis(),
            request.key,
            request.body.len()
        );
        self.stream.write_all(head.as_bytes())?;
        if request.expects_continue {
            self.stream.set_read_timeout(Some(CONTINUE_WAIT))?;
            match self.reader.read() {
                Ok(Some(answer)) if answer.status() == 100 => {}
                Ok(Some(answer)) => return Ok(answer),
                Ok(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        self.stream.write_all(request.body)?;
        self.stream.set_read_timeout(Some(request.deadline))?;
        match self.reader.read()? {
            Some(answer) => Ok(answer),
            None => Err(io::Error::other("the connection was closed")),
        }
    }
}
