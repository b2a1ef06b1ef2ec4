//! Answers of the raw runner, written as bytes.

use std::time::Duration;

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

use super::fault::RunnerFault;

/// Time between two events of a stream, and between two header lines of
/// [`RunnerFault::SlowHead`].
pub(super) const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// Time between two events of a stream during [`RunnerFault::Slow`].
const SLOW_EVENT_INTERVAL: Duration = Duration::from_millis(120);
/// Time between two events of a stream during [`RunnerFault::VerySlow`].
const VERY_SLOW_EVENT_INTERVAL: Duration = Duration::from_millis(900);
/// Time from the last byte of an answer without a length to its end.
const UNFRAMED_PAUSE: Duration = Duration::from_millis(200);
/// Number of events of a stream.
const STREAM_EVENT_COUNT: u32 = 4;

/// Writes an answer with a body of known length. `headers` holds complete
/// header lines.
pub(super) async fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> anyhow::Result<()> {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\
         keep-alive: timeout=5\r\n{headers}\r\n"
    );
    stream.write_all(&[head.as_bytes(), body].concat()).await?;
    Ok(())
}

/// Writes a status line, `start` and then `bytes` over and over, with a pause
/// after each write. Returns only if a write fails.
pub(super) async fn write_endless(
    stream: &mut TcpStream,
    start: &str,
    bytes: &[u8],
    pause: Duration,
) -> anyhow::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\n{start}");
    stream.write_all(head.as_bytes()).await?;
    loop {
        stream.write_all(bytes).await?;
        // Without a pause, yields so that the test's other tasks run too.
        if pause.is_zero() {
            tokio::task::yield_now().await;
        } else {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Writes an answer with neither a length nor chunks. Always returns an error,
/// which closes the connection.
pub(super) async fn write_unframed(
    stream: &mut TcpStream,
    headers: &str,
    is_stream: bool,
    fault: RunnerFault,
) -> anyhow::Result<()> {
    let (kind, body) = match (is_stream, fault) {
        (true, RunnerFault::UnframedEmpty) => ("text/event-stream", ""),
        (true, RunnerFault::UnframedCut) => {
            ("text/event-stream", "id: 1\ndata: x\n\nid: 2\nda")
        }
        (true, _) => {
            ("text/event-stream", "id: 1\ndata: x\n\nid: 2\ndata: y\n\n")
        }
        (false, _) => ("application/json", "{\"done\":true}"),
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: {kind}\r\n\
         connection: close\r\n{headers}\r\n{body}"
    );
    stream.write_all(head.as_bytes()).await?;
    // What was written is passed on before the end.
    tokio::time::sleep(UNFRAMED_PAUSE).await;
    if fault == RunnerFault::UnframedReset {
        // Without lingering, a close resets the connection.
        SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
    }
    anyhow::bail!("the connection ends with the answer")
}

/// Writes an answer that is a stream of events, in HTTP chunks.
pub(super) async fn write_stream(
    stream: &mut TcpStream,
    headers: &str,
    fault: RunnerFault,
) -> anyhow::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n{headers}\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let interval = match fault {
        RunnerFault::Slow => SLOW_EVENT_INTERVAL,
        RunnerFault::VerySlow => VERY_SLOW_EVENT_INTERVAL,
        _ => EVENT_INTERVAL,
    };
    for number in 1..=STREAM_EVENT_COUNT {
        let event = format!("id: {number}\ndata: x\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await?;
        if fault == RunnerFault::TruncatedBody && number == 2 {
            anyhow::bail!("simulated cut in the body");
        }
        // A read of zero bytes means that the caller closed the connection.
        let mut byte = [0];
        tokio::select! {
            read = stream.read(&mut byte) => {
                anyhow::ensure!(0 < read?, "the caller closed the connection");
            }
            () = tokio::time::sleep(interval) => {}
        }
    }
    if fault == RunnerFault::ChunkedCut {
        stream.write_all(b"5\r\nid: 9\r\n").await?;
    }
    stream.write_all(b"0\r\n\r\n").await?;
    Ok(())
}
