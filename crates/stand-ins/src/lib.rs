//! Small stand-ins (fakes) of the systems around celerylead, for tests and the
//! playground.
//!
//! A stand-in is a task that owns its state. Hosts reach it over HTTP, as they
//! would the real system; a test also has a handle, through which it injects
//! faults and reads the requests that the stand-in received.
//!
//! Two proxies inject network faults between any two programs, one for TCP and
//! one for UDP. The crate also issues certificates and hands out free ports.

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
