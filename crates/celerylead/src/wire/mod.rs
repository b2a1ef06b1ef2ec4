//! Encoding of messages: all that knows bytes, headers and addresses.
//!
//! Decisions know nothing of this folder. Tasks use it to turn bytes into
//! events and actions into bytes.

pub(crate) mod answer;
pub(crate) mod completion;
pub(crate) mod engine;
pub(crate) mod headers;
pub(crate) mod link;
pub(crate) mod order;
pub(crate) mod peer;
pub(crate) mod reply;
pub(crate) mod table;
