//! Free ports for programs under test, which open a port some time after it
//! has been chosen for them.

use std::{
    net::TcpListener,
    sync::atomic::{AtomicU16, Ordering},
};

/// First port that is handed out.
///
/// The range of [`PORT_COUNT`] ports lies below the ephemeral ports, which the
/// operating system assigns from 32,768 on to clients and to listeners that
/// ask for any port. So nothing else takes a port after it is handed out and
/// before the program under test opens it.
const FIRST_PORT: u16 = 12_000;
/// Number of ports that are handed out before they repeat.
const PORT_COUNT: u16 = 16_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns a free port of the loopback address.
///
/// The port lies below the ephemeral ports, so the operating system doesn't
/// assign it to another program while the program under test is down.
///
/// # Examples
///
/// ```
/// use celerylead_stand_ins::ports::free_port;
///
/// assert_ne!(free_port(), free_port());
/// ```
pub fn free_port() -> u16 {
    // Test processes that run in parallel start at different offsets.
    let process = u16::try_from(std::process::id() % u32::from(PORT_COUNT));
    let offset = process.unwrap_or(0).wrapping_mul(97);
    loop {
        let next = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + offset.wrapping_add(next) % PORT_COUNT;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}
