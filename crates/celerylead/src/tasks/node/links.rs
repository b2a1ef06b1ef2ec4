//! Idle connections to runners.
//!
//! A runner closes a connection that has been idle for the time it announces.
//! A request that is sent while the runner closes the connection may or may
//! not have run. Each connection is therefore kept with two times: until the
//! first it is certain to be open, and until the second it should be, which is
//! enough for a call that may run again.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    port::{HttpLink, LinkReuse},
    sorted::SortedTable,
};

/// Most idle connections that are kept to one runner.
const MAX_IDLE_LINKS: usize = 8;
/// Longest idle time after which a connection is certain to be open. Runners
/// announce their idle timeout in whole seconds.
const MAX_CERTAIN_IDLE: Duration = Duration::from_millis(500);
/// Time before a runner's idle timeout from which a connection may be closing.
const CERTAIN_MARGIN: Duration = Duration::from_millis(700);
/// Time before a runner's idle timeout from which a connection isn't used at
/// all: the request has to arrive before the timeout.
const CLOSE_MARGIN: Duration = Duration::from_millis(150);

/// Idle time for which a connection is used if the runner states no timeout.
const UNSTATED_IDLE: Duration = Duration::from_millis(300);

/// Until when an idle connection may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LinkTerm {
    /// Time until which the connection is certain to be open.
    pub(super) certain_until: Instant,
    /// Time until which the connection should be open.
    pub(super) open_until: Instant,
}

impl LinkTerm {
    /// Returns the term of a connection that becomes idle at `now`; `None` if
    /// it may not be used again.
    pub(super) fn begin(reuse: LinkReuse, now: Instant) -> Option<LinkTerm> {
        let (certain, open) = match reuse {
            LinkReuse::Never => return None,
            LinkReuse::Within(span) => {
                let certain = span.saturating_sub(CERTAIN_MARGIN);
                (certain, span.saturating_sub(CLOSE_MARGIN))
            }
            LinkReuse::Unstated => (UNSTATED_IDLE, UNSTATED_IDLE),
        };
        Some(LinkTerm {
            certain_until: now + certain.min(MAX_CERTAIN_IDLE),
            open_until: now + open,
        })
    }
}

/// Idle connections by runner, the most recently used one last.
#[derive(Debug, Default)]
pub(super) struct IdleLinks {
    runners: SortedTable<String, Vec<(LinkTerm, HttpLink)>>,
}

impl IdleLinks {
    /// Keeps a connection for its term. If the runner already has the maximum,
    /// closes its least recently used one.
    pub(super) fn keep(
        &mut self,
        runner: &str,
        link: HttpLink,
        term: LinkTerm,
    ) {
        let links = self.runners.entry(runner.to_owned(), Vec::new);
        if MAX_IDLE_LINKS <= links.len() {
            links.remove(0);
        }
        links.push((term, link));
    }

    /// Takes a connection for a call that may not run again: the most recently
    /// used one that is certain to be open, if there is one.
    pub(super) fn take_certain(&mut self, runner: &str) -> Option<HttpLink> {
        let links = self.open_links(runner)?;
        let now = Instant::now();
        let certain =
            |(term, _): &(LinkTerm, HttpLink)| now < term.certain_until;
        let last = links.iter().rposition(certain)?;
        Some(links.remove(last).1)
    }

    /// Takes a connection for a call that may run again: the least recently
    /// used one that should be open, if there is one, and whether it is certain
    /// to be. The others stay for calls that need a certain one.
    pub(super) fn take_any(
        &mut self,
        runner: &str,
    ) -> Option<(HttpLink, bool)> {
        let links = self.open_links(runner)?;
        if links.is_empty() {
            return None;
        }
        let (term, link) = links.remove(0);
        Some((link, Instant::now() < term.certain_until))
    }

    /// Returns the connections to a runner, after closing those whose term has
    /// ended.
    fn open_links(
        &mut self,
        runner: &str,
    ) -> Option<&mut Vec<(LinkTerm, HttpLink)>> {
        let links = self.runners.get_mut(runner)?;
        let now = Instant::now();
        links.retain(|(term, link)| now < term.open_until && link.is_ready());
        Some(links)
    }

    /// Closes the connections to runners for which `takes_calls` is false.
    pub(super) fn retain(&mut self, takes_calls: impl Fn(&str) -> bool) {
        self.runners.retain(|runner, _| takes_calls(runner));
    }
}
