//! Requests as the raw runner receives them.

use tokio::{io::AsyncReadExt as _, net::TcpStream};

/// A request as the runner received it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordedRequest {
    /// Request line, with method, target and protocol version.
    pub line: String,
    /// Header names, in lower case, and values, in the order received.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Vec<u8>,
}

impl RecordedRequest {
    /// Returns whether a part, named in hexadecimal, is in the prompt.
    pub fn has_part(&self, part: &str) -> bool {
        let prompt = self.header("x-prompt-prefix").unwrap_or("");
        let mut pairs = prompt.split(',');
        pairs.any(|pair| pair.split(':').next() == Some(part))
    }

    /// Returns the value of the first header that has this name, which must be
    /// in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(header, _)| header == name)?;
        Some(&found.1)
    }
}

/// Reads one request. Returns `None` if the connection ends before the end of
/// a request's head.
pub(super) async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> anyhow::Result<Option<RecordedRequest>> {
    let head_length = loop {
        let found = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        if let Some(found) = found {
            break found;
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8(buffer[..head_length].to_vec())?;
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or("").to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers
        .map(|(name, value)| {
            (name.to_ascii_lowercase(), value.trim().to_owned())
        })
        .collect();
    let mut request = RecordedRequest { line, headers, body: Vec::new() };
    let length = request.header("content-length").unwrap_or("0").parse()?;
    buffer.drain(..head_length + 4);
    while buffer.len() < length {
        anyhow::ensure!(
            0 < stream.read_buf(buffer).await?,
            "the request's body ended early"
        );
    }
    request.body = buffer.drain(..length).collect();
    Ok(Some(request))
}
