//! Whole sessions: hosts and operators as processes of their own, the
//! outside systems as stand-ins, faults by proxies and signals.

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
