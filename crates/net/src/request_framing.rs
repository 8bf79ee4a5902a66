//! Finds the end of each request in the bytes that a caller sends.
//!
//! The HTTP library parses requests too, but does not report where it stands. As
//! soon as two parsers disagree on the end of a request, a body can be run as a
//! request of its own. Framing that could be read in two ways is therefore an
//! error here (RFC 9112, section 6.3).

use std::mem;

use memchr::memmem;

/// Terminator of a request head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Maximum size of a request head in bytes. Request handlers reject smaller heads
/// that exceed a configured limit.
pub(crate) const HEAD_MAX_BYTES: usize = 48 << 10;

/// Maximum length of a line with a chunk size, in bytes.
const CHUNK_LINE_MAX_BYTES: usize = 256;

/// Maximum size of the trailer section of a chunked body, in bytes. The HTTP library keeps
/// the section until it ends and reads it again at each step, and no trailer is used.
const TRAILERS_MAX_BYTES: usize = 4 << 10;

/// Maximum number of digits of a chunk size; more could overflow 64 bits.
const CHUNK_SIZE_DIGITS_MAX: u8 = 15;

/// Error in the framing of a request, after which its end is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum FramingError {
    /// The head exceeds [`HEAD_MAX_BYTES`].
    #[error("the head is larger than {HEAD_MAX_BYTES} bytes")]
    HeadTooLarge,
    /// The length of the body is missing, ambiguous or invalid.
    #[error("{0}")]
    Malformed(&'static str),
}

/// Position within the bytes of one request.
///
/// # Invariants
///
/// Bytes after the end of the request are never consumed.
#[derive(Debug)]
pub(crate) struct RequestFramer {
    state: State,
    expects_continue: bool,
    /// Whether a byte of the body was consumed.
    body_begun: bool,
    /// Fields of the head, once it is complete.
    fields: usize,
    /// Bytes of the trailer section.
    trailer_bytes: usize,
}

#[derive(Debug)]
enum State {
    /// The head is incomplete.
    Head {
        /// Bytes so far, without leading empty lines.
        bytes: Vec<u8>,
    },
    /// The body has a known length.
    Length {
        /// Bytes of the body that are still missing, above zero.
        remaining: u64,
    },
    Chunked(Chunk),
    Complete,
}

/// Position within a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Chunk {
    /// In the line with the size of a chunk.
    SizeLine {
        size: u64,
        digits: u8,
        length: usize,
        /// Whether the size is complete and an extension follows.
        in_extension: bool,
    },
    /// After the carriage return of a size line.
    SizeLineEnd { size: u64 },
    /// In the data of a chunk.
    Data { remaining: u64 },
    /// In the line end after the data.
    DataEnd { seen_cr: bool },
    /// At the start of a line of the trailer section.
    TrailerStart,
    /// Within a line of the trailer section.
    TrailerLine { seen_cr: bool },
    /// After the carriage return of the empty line at the end.
    LastLineEnd,
}

const SIZE_LINE_START: Chunk = Chunk::SizeLine {
    size: 0,
    digits: 0,
    length: 0,
    in_extension: false,
};

/// Framing of a body.
#[derive(Debug, PartialEq, Eq)]
struct BodyFraming {
    chunked: bool,
    length: u64,
    expects_continue: bool,
    /// Fields of the head.
    fields: usize,
}

impl RequestFramer {
    /// Creates a framer at the start of a request.
    pub(crate) fn new() -> Self {
        Self {
            state: State::Head { bytes: Vec::new() },
            expects_continue: false,
            body_begun: false,
            fields: 0,
            trailer_bytes: 0,
        }
    }

    /// Returns whether no byte of the request was consumed.
    pub(crate) fn is_unstarted(&self) -> bool {
        matches!(&self.state, State::Head { bytes } if bytes.is_empty())
    }

    /// Returns whether the head is incomplete.
    pub(crate) fn is_in_head(&self) -> bool {
        matches!(self.state, State::Head { .. })
    }

    /// Returns whether the request was consumed to its end.
    pub(crate) fn is_complete(&self) -> bool {
        matches!(self.state, State::Complete)
    }

    /// Returns the number of bytes of an incomplete head, 0 once it is complete.
    pub(crate) fn head_bytes(&self) -> usize {
        match &self.state {
            State::Head { bytes } => bytes.len(),
            _ => 0,
        }
    }

    /// Returns the number of fields of a complete head.
    pub(crate) fn fields(&self) -> usize {
        self.fields
    }

    /// Returns the bytes of the body that are still missing, `None` if its length is
    /// not known.
    pub(crate) fn remaining_bytes(&self) -> Option<u64> {
        match self.state {
            State::Length { remaining } => Some(remaining),
            State::Complete => Some(0),
            State::Head { .. } | State::Chunked(_) => None,
        }
    }

    /// Returns whether the caller may wait for an interim response before it sends
    /// the body, and no byte of the body was consumed.
    pub(crate) fn withholds_body(&self) -> bool {
        self.expects_continue && !self.body_begun && !self.is_complete() && !self.is_in_head()
    }

    /// Consumes the bytes that belong to the request and returns their number. The
    /// head is consumed on its own if the caller may withhold the body.
    ///
    /// # Errors
    ///
    /// [`FramingError`] if the end of the request can't be determined; the framer
    /// is not usable after it.
    pub(crate) fn consume(&mut self, bytes: &[u8]) -> Result<usize, FramingError> {
        let mut consumed = 0;
        if let State::Head { bytes: head } = &mut self.state {
            let taken = mem::take(head);
            consumed = self.consume_head(taken, bytes)?;
            if self.withholds_body() {
                return Ok(consumed);
            }
        }
        let rest = &bytes[consumed..];
        let consumed_of_body = match &mut self.state {
            State::Head { .. } | State::Complete => 0,
            State::Length { remaining } => {
                let taken = rest
                    .len()
                    .min(usize::try_from(*remaining).unwrap_or(usize::MAX));
                *remaining -= taken as u64;
                if *remaining == 0 {
                    self.state = State::Complete;
                }
                taken
            }
            State::Chunked(_) => self.consume_chunks(rest)?,
        };
        self.body_begun |= consumed_of_body > 0;
        Ok(consumed + consumed_of_body)
    }

    /// Consumes bytes of the head, of which `head` was received before.
    fn consume_head(&mut self, mut head: Vec<u8>, bytes: &[u8]) -> Result<usize, FramingError> {
        let before = head.len();
        let mut skipped = 0;
        if before == 0 {
            // A head that arrives in one read is not copied.
            skipped = leading_line_ends(bytes);
            if let Some(end) = memmem::find(&bytes[skipped..], HEAD_END) {
                let end = skipped + end + HEAD_END.len();
                self.begin_body(&bytes[skipped..end])?;
                return Ok(end);
            }
        }
        head.extend_from_slice(&bytes[skipped..]);
        if before > 0 {
            skipped = leading_line_ends(&head);
            head.drain(..skipped);
        }
        let search_from = before.saturating_sub(skipped + HEAD_END.len() - 1);
        let Some(end) = memmem::find(&head[search_from..], HEAD_END) else {
            if head.len() > HEAD_MAX_BYTES {
                return Err(FramingError::HeadTooLarge);
            }
            self.state = State::Head { bytes: head };
            return Ok(bytes.len());
        };
        let end = search_from + end + HEAD_END.len();
        let surplus = head.len() - end;
        self.begin_body(&head[..end])?;
        Ok(bytes.len() - surplus)
    }

    /// Determines the framing of the body from a complete head.
    fn begin_body(&mut self, head: &[u8]) -> Result<(), FramingError> {
        if head.len() > HEAD_MAX_BYTES {
            return Err(FramingError::HeadTooLarge);
        }
        let framing = body_framing(head)?;
        self.expects_continue = framing.expects_continue;
        self.fields = framing.fields;
        self.state = match (framing.chunked, framing.length) {
            (true, _) => State::Chunked(SIZE_LINE_START),
            (false, 0) => State::Complete,
            (false, remaining) => State::Length { remaining },
        };
        Ok(())
    }

    /// Consumes bytes of a chunked body up to its end.
    fn consume_chunks(&mut self, bytes: &[u8]) -> Result<usize, FramingError> {
        let mut at = 0;
        while let State::Chunked(chunk) = self.state {
            let Some(byte) = bytes.get(at) else {
                break;
            };
            if let Chunk::Data { remaining } = chunk {
                let available = (bytes.len() - at) as u64;
                let taken = remaining.min(available);
                at += taken as usize;
                self.state = State::Chunked(match remaining - taken {
                    0 => Chunk::DataEnd { seen_cr: false },
                    remaining => Chunk::Data { remaining },
                });
                continue;
            }
            at += 1;
            if chunk.is_in_trailers() {
                self.trailer_bytes += 1;
                if self.trailer_bytes > TRAILERS_MAX_BYTES {
                    return Err(FramingError::Malformed("the trailer section is too long"));
                }
            }
            self.state = match chunk.after(*byte)? {
                Some(chunk) => State::Chunked(chunk),
                None => State::Complete,
            };
        }
        Ok(at)
    }
}

impl Chunk {
    fn is_in_trailers(self) -> bool {
        matches!(
            self,
            Self::TrailerStart | Self::TrailerLine { .. } | Self::LastLineEnd
        )
    }

    /// Returns the position after a byte that is not chunk data; `None` at the end
    /// of the body.
    fn after(self, byte: u8) -> Result<Option<Self>, FramingError> {
        let next = match (self, byte) {
            (
                Self::SizeLine {
                    size,
                    digits,
                    length,
                    in_extension,
                },
                _,
            ) => {
                return size_line_after(size, digits, length, in_extension, byte).map(Some);
            }
            (Self::SizeLineEnd { size: 0 }, b'\n') => Self::TrailerStart,
            (Self::SizeLineEnd { size }, b'\n') => Self::Data { remaining: size },
            (Self::DataEnd { seen_cr: false }, b'\r') => Self::DataEnd { seen_cr: true },
            (Self::DataEnd { seen_cr: true }, b'\n') => SIZE_LINE_START,
            (Self::TrailerStart, b'\r') => Self::LastLineEnd,
            (Self::LastLineEnd, b'\n') => return Ok(None),
            (Self::TrailerLine { seen_cr: true }, b'\n') => Self::TrailerStart,
            (Self::TrailerStart | Self::TrailerLine { seen_cr: false }, byte)
                if !matches!(byte, b'\n' | 0) =>
            {
                Self::TrailerLine {
                    seen_cr: byte == b'\r',
                }
            }
            _ => {
                return Err(FramingError::Malformed(
                    "a line of the chunked body is invalid",
                ))
            }
        };
        Ok(Some(next))
    }
}

/// Returns the position after one byte of the line with the size of a chunk.
fn size_line_after(
    size: u64,
    digits: u8,
    length: usize,
    in_extension: bool,
    byte: u8,
) -> Result<Chunk, FramingError> {
    const INVALID: FramingError = FramingError::Malformed("a chunk size is invalid");
    if length >= CHUNK_LINE_MAX_BYTES {
        return Err(FramingError::Malformed("a chunk size line is too long"));
    }
    let length = length + 1;
    match byte {
        b'\r' if digits > 0 => Ok(Chunk::SizeLineEnd { size }),
        b'\r' | b'\n' | 0 => Err(INVALID),
        _ if in_extension => Ok(Chunk::SizeLine {
            size,
            digits,
            length,
            in_extension,
        }),
        b';' if digits > 0 => Ok(Chunk::SizeLine {
            size,
            digits,
            length,
            in_extension: true,
        }),
        _ => {
            let digit = char::from(byte).to_digit(16).ok_or(INVALID)?;
            if digits == CHUNK_SIZE_DIGITS_MAX {
                return Err(INVALID);
            }
            Ok(Chunk::SizeLine {
                size: size << 4 | u64::from(digit),
                digits: digits + 1,
                length,
                in_extension,
            })
        }
    }
}

/// Returns the length of the line ends before the first line, which a recipient
/// ignores (RFC 9112, section 2.2).
fn leading_line_ends(bytes: &[u8]) -> usize {
    let lines = bytes.chunks_exact(2).take_while(|pair| *pair == b"\r\n");
    2 * lines.count()
}

/// Reads the framing of the body from a head with its terminator.
fn body_framing(head: &[u8]) -> Result<BodyFraming, FramingError> {
    let mut length: Option<u64> = None;
    let mut chunked = false;
    let mut expects_continue = false;
    let mut rest = head;
    let mut is_request_line = true;
    let mut fields = 0;
    while let Some(end) = memmem::find(rest, b"\r\n") {
        let line = &rest[..end];
        rest = &rest[end + 2..];
        if mem::take(&mut is_request_line) {
            continue;
        }
        fields += 1;
        let Some(colon) = memchr::memchr(b':', line) else {
            continue;
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.trim_ascii().eq_ignore_ascii_case(b"content-length") {
            let parsed = parse_length(value);
            if name.len() != b"content-length".len() || length.is_some() || parsed.is_none() {
                return Err(FramingError::Malformed(
                    "`content-length` is invalid or repeated",
                ));
            }
            length = parsed;
        } else if name.trim_ascii().eq_ignore_ascii_case(b"transfer-encoding") {
            let is_only_chunked = value.eq_ignore_ascii_case(b"chunked") && !chunked;
            if name.len() != b"transfer-encoding".len() || !is_only_chunked {
                return Err(FramingError::Malformed(
                    "`transfer-encoding` is not `chunked`",
                ));
            }
            chunked = true;
        } else if name.eq_ignore_ascii_case(b"expect") {
            expects_continue = true;
        }
    }
    if chunked && length.is_some() {
        return Err(FramingError::Malformed(
            "both `content-length` and `transfer-encoding` are present",
        ));
    }
    Ok(BodyFraming {
        chunked,
        length: length.unwrap_or(0),
        expects_continue,
        fields,
    })
}

/// Parses a length of digits only, without a sign.
fn parse_length(value: &[u8]) -> Option<u64> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}
