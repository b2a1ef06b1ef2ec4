//! System tests: hosts and the operators' command line run as real processes,
//! external systems are stand-ins, and proxies and signals inject faults.

mod bounds;
mod client;
mod configuration;
mod fleet;
mod keys;
mod load;
mod memory;
mod once;
mod rates;
mod rounds;
mod session;
mod shutdown;
mod usage;
mod zones;
