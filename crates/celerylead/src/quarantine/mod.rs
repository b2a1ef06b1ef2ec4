//! Quarantine of parts of prompts that crash runners.

mod part;

pub use self::part::{PartId, SharedParts};
