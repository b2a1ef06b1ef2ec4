//! Ports for programs under test, which open them later than they are told.

use std::{
    net::TcpListener,
    sync::atomic::{AtomicU16, Ordering},
};

/// Ports that are given out: from the first, so many. The system gives clients
/// and listeners without a port of their own higher ones (from 32,768 on), so
/// none of these is taken between being told and being opened.
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u16 = 16_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns a port of the loopback address that is free, and that nothing else
/// takes while the program to which it is told is down.
///
/// # Examples
///
/// ```
/// use celerylead_stand_ins::ports::free_port;
///
/// assert_ne!(free_port(), free_port());
/// ```
pub fn free_port() -> u16 {
    // Processes side by side begin at different places.
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
