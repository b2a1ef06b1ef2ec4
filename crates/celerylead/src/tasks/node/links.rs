//! Idle connections to runners.
//!
//! A runner closes a connection that has been idle for the time it announces.
//! A request that is sent while the runner closes the connection may or may
//! not have run. Each connection is therefore kept with the time until which
//! it is certain to be open.

use tokio::time::Instant;

use crate::{port::HttpLink, sorted::SortedTable};

/// Most idle connections that are kept to one runner.
const MAX_IDLE_LINKS: usize = 8;

/// Idle connections by runner, the most recently used one last.
#[derive(Debug, Default)]
pub(super) struct IdleLinks {
    runners: SortedTable<String, Vec<(Instant, HttpLink)>>,
}

impl IdleLinks {
    /// Keeps a connection that may be used again before `until`. If the
    /// runner already has the maximum, closes its least recently used one.
    pub(super) fn keep(
        &mut self,
        runner: &str,
        link: HttpLink,
        until: Instant,
    ) {
        let links = self.runners.entry(runner.to_owned(), Vec::new);
        if MAX_IDLE_LINKS <= links.len() {
            links.remove(0);
        }
        links.push((until, link));
    }

    /// Takes the most recently used connection that may be used again, if
    /// there is one.
    pub(super) fn take(&mut self, runner: &str) -> Option<HttpLink> {
        let links = self.runners.get_mut(runner)?;
        let now = Instant::now();
        links.retain(|(until, link)| now < *until && link.is_ready());
        links.pop().map(|(_, link)| link)
    }

    /// Closes the connections to runners for which `takes_calls` is false.
    pub(super) fn retain(&mut self, takes_calls: impl Fn(&str) -> bool) {
        self.runners.retain(|runner, _| takes_calls(runner));
    }
}
