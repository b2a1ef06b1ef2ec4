//! Logs: one line of key=value pairs for each event.

use tracing_appender::non_blocking::{NonBlocking, WorkerGuard};
use tracing_subscriber::{
    EnvFilter, fmt::MakeWriter, layer::SubscriberExt as _,
    util::SubscriberInitExt as _,
};

/// Lines that wait for standard output before further ones are dropped.
const MAX_WAITING_LINES: usize = 8_192;

/// Writes the events of this process to standard error, one line each.
///
/// `filter` is a list of `target=level`, such as `info`. Fields of the span
/// around an event (host, zone) stand on its line.
///
/// # Errors
///
/// Returns an error where the filter can't be understood or logs are
/// written already.
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

/// Writes the events of this process to standard output, one line each,
/// without ever waiting for it: lines beyond a bound are dropped.
///
/// The guard writes what still waits when it is dropped.
///
/// # Errors
///
/// Returns an error where the filter can't be understood or logs are
/// written already.
pub fn start_stdout(filter: &str) -> anyhow::Result<WorkerGuard> {
    let (writer, guard): (NonBlocking, WorkerGuard) =
        tracing_appender::non_blocking::NonBlockingBuilder::default()
            .buffered_lines_limit(MAX_WAITING_LINES)
            .lossy(true)
            .finish(std::io::stdout());
    start_to(filter, writer)?;
    Ok(guard)
}

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
