//! Logs: one line of key=value pairs for each event.

use tracing_subscriber::{
    EnvFilter, layer::SubscriberExt as _, util::SubscriberInitExt as _,
};

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
    let filter = EnvFilter::builder().parse(filter)?;
    let lines = tracing_logfmt::builder()
        .with_target(false)
        .with_span_name(false)
        .with_span_path(false)
        .layer()
        .with_writer(std::io::stderr);
    tracing_subscriber::registry().with(filter).with(lines).try_init()?;
    Ok(())
}
