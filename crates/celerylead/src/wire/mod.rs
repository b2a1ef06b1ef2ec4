//! Encoding of messages: the code that handles bytes, headers and addresses.
//!
//! The modules that make decisions don't depend on this one. Tasks use it to
//! decode bytes into events and to encode actions into bytes.

pub(crate) mod answer;
pub(crate) mod completion;
pub(crate) mod engine;
pub(crate) mod headers;
pub(crate) mod link;
pub(crate) mod order;
pub(crate) mod peer;
pub(crate) mod reply;
pub(crate) mod silence;
pub(crate) mod table;
#[cfg(test)]
mod tests;
