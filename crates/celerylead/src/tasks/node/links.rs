//! Idle connections to runners.
//!
//! A runner closes a connection that was idle for the time it announces, and
//! a request that crosses the close may have run or not. So each connection is
//! kept with the point until which it is surely open.

use tokio::time::Instant;

use crate::{port::HttpLink, sorted::SortedTable};

/// Idle connections kept to one runner.
const MAX_IDLE_LINKS: usize = 8;

/// Idle connections by runner, the one used last at the end.
#[derive(Debug, Default)]
pub(super) struct IdleLinks {
    runners: SortedTable<String, Vec<(Instant, HttpLink)>>,
}

impl IdleLinks {
    /// Keeps a connection that may be used until a point.
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

    /// Takes the connection that was used last, if one may be used again.
    pub(super) fn take(&mut self, runner: &str) -> Option<HttpLink> {
        let links = self.runners.get_mut(runner)?;
        let now = Instant::now();
        links.retain(|(until, link)| now < *until && link.is_ready());
        links.pop().map(|(_, link)| link)
    }

    /// Closes the connections to runners that take no calls.
    pub(super) fn retain(&mut self, takes_calls: impl Fn(&str) -> bool) {
        self.runners.retain(|runner, _| takes_calls(runner));
    }
}
