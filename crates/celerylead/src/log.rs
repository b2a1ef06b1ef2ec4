//! Logging: one line of `key=value` pairs per event.

use tracing_appender::non_blocking::{NonBlocking, WorkerGuard};
use tracing_subscriber::{
    EnvFilter, fmt::MakeWriter, layer::SubscriberExt as _,
    util::SubscriberInitExt as _,
};

/// Lines that are buffered for standard output; further lines are dropped.
const MAX_WAITING_LINES: usize = 8_192;

/// Writes the events of this process to standard error, one line each.
///
/// `filter` is a list of levels or `target=level` directives, such as `info`.
/// The line of an event includes the fields of the span around it (host,
/// zone).
///
/// # Errors
///
/// Returns an error if the filter is invalid or logging was started before.
///
/// # Examples
///
/// ```
/// celerylead::log::start("info").unwrap();
/// assert!(celerylead::log::start("info").is_err());
/// ```
pub fn start(filter: &str) -> anyhow::Result<()> {
    start_to(filter, std::io::stderr)
}

/// Writes the events of this process to standard output, one line each. Tasks
/// never wait for standard output: lines beyond a limit are dropped.
///
/// Dropping the guard writes the lines that are still buffered.
///
/// # Errors
///
/// Returns an error if the filter is invalid or logging was started before.
pub fn start_stdout(filter: &str) -> anyhow::Result<WorkerGuard> {
    let (writer, guard): (NonBlocking, WorkerGuard) =
        tracing_appender::non_blocking::NonBlockingBuilder::default()
            .buffered_lines_limit(MAX_WAITING_LINES)
            .lossy(true)
            .finish(std::io::stdout());
    start_to(filter, writer)?;
    Ok(guard)
}

/// Sends the events of this process that pass `filter` to `writer`, one line
/// each.
fn start_to<W>(filter: &str, writer: W) -> anyhow::Result<()>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = EnvFilter::builder().parse(filter)?;
    let lines = tracing_logfmt::builder()
        .with_target(false)
        .with_span_name(false)
        .with_span_path(false)
        .layer()
        .with_writer(writer);
    tracing_subscriber::registry().with(filter).with(lines).try_init()?;
    Ok(())
}
