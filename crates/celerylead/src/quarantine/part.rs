//! The parts of a prompt that other calls may share.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// Most parts of one call that are taken into account; the first ones, which
/// are the ones that most calls share.
const MAX_PARTS: usize = 16;

/// Identifier of the content of a part of a prompt, written in hexadecimal.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<PartId, ParseIntError> {
        u64::from_str_radix(text, 16).map(PartId)
    }
}

/// The parts of a call's prompt except the last one, in the order of the
/// prompt. The last part belongs to the call alone, so that nothing can be
/// learned from it for other calls.
///
/// # Examples
///
/// ```
/// use celerylead::quarantine::{PartId, SharedParts};
///
/// let parts = SharedParts::of_prompt([0x5c, 0x91, 0xe4]);
/// assert!(parts.contains(PartId(0x91)));
/// assert!(!parts.contains(PartId(0xe4)));
/// assert_eq!(parts.to_string(), "5c,91");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SharedParts(Vec<PartId>);

impl SharedParts {
    /// Returns the shared parts of a prompt with these parts.
    pub fn of_prompt(ids: impl IntoIterator<Item = u64>) -> SharedParts {
        let mut parts: Vec<PartId> =
            ids.into_iter().take(MAX_PARTS + 1).map(PartId).collect();
        parts.pop();
        SharedParts(parts)
    }

    /// Returns whether the prompt has no shared part.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether a part is among them.
    pub fn contains(&self, part: PartId) -> bool {
        self.0.contains(&part)
    }

    /// Iterates over the parts in the order of the prompt.
    pub fn iter(&self) -> impl Iterator<Item = PartId> {
        self.0.iter().copied()
    }

    /// Keeps only the parts for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(PartId) -> bool) {
        self.0.retain(|part| keep(*part));
    }
}

impl fmt::Display for SharedParts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(formatter, "{separator}{part}")?;
        }
        Ok(())
    }
}
