//! Small stand-ins of the systems around celerylead, for tests and the
//! playground.
//!
//! Each is a task that owns its state, reached over HTTP as the real system
//! would be, and by a handle through which a test sets faults and reads what
//! the stand-in saw.

pub mod certificates;
pub mod datagram;
pub mod engine;
pub mod objects;
pub mod ports;
pub mod proxy;
pub mod raw_runner;
pub mod rows;
mod serve;
pub mod service;
pub mod table;
