//! Crashes that parts of prompts cause.

use std::time::Duration;

use tokio::{io::AsyncWriteExt as _, net::TcpStream, time::Instant};

use super::{RawRunner, RecordedRequest};

/// Time from the begin of a call, or the head of its answer, to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(50);

/// Point of an answer on a deadly part at which the runner crashes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CrashPoint {
    /// Before a byte of the answer is written.
    BeforeHead,
    /// Between the head and the first event.
    #[default]
    AfterHead,
}

/// Begins a call and ends the runner at this point of the answer.
pub(super) async fn answer_and_crash(
    stream: &mut TcpStream,
    runner: &RawRunner,
    request: RecordedRequest,
    point: CrashPoint,
) -> anyhow::Result<()> {
    let id = request.header("x-request-id").unwrap_or("").to_owned();
    let run = (request, Instant::now());
    runner.state.with(move |state| state.deadly_runs.push(run)).await;
    if point == CrashPoint::AfterHead {
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\nx-request-id: {id}\r\n\
             x-response-signature: s\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
    }
    tokio::time::sleep(CRASH_DELAY).await;
    runner.crash();
    Ok(())
}
