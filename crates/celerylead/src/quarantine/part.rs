//! The parts of a prompt.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// Most parts of one call that are taken into account before its last one, more
/// than a head of the usual size holds.
const MAX_SHARED: usize = 2_048;
/// Most parts that a text names.
const MAX_NAMED: usize = 24;

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

/// The parts of a call's prompt, in the order of the prompt. The last part
/// belongs to the call alone; it tells something where the same prompt is sent
/// again.
///
/// # Examples
///
/// ```
/// use celerylead::quarantine::{PartId, PromptParts};
///
/// let parts = PromptParts::of_prompt([0x5c, 0x91, 0xe4]);
/// assert!(parts.contains(PartId(0x91)));
/// assert_eq!(parts.shared().last(), Some(PartId(0x91)));
/// assert_eq!(parts.to_string(), "5c,91,e4");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PromptParts(Vec<PartId>);

impl PromptParts {
    /// Returns the parts of a prompt.
    pub fn of_prompt(ids: impl IntoIterator<Item = u64>) -> PromptParts {
        let mut ids = ids.into_iter().map(PartId);
        let mut parts: Vec<PartId> =
            ids.by_ref().take(MAX_SHARED + 1).collect();
        if let Some(last) = ids.last() {
            parts.truncate(MAX_SHARED);
            parts.push(last);
        }
        PromptParts(parts)
    }

    /// Iterates over the parts that other calls may share.
    pub fn shared(&self) -> impl Iterator<Item = PartId> {
        let (_, shared) = self.0.split_last().unwrap_or((&PartId(0), &[]));
        shared.iter().copied()
    }

    /// Returns whether the prompt has no part.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether a part is among them.
    pub fn contains(&self, part: PartId) -> bool {
        self.0.contains(&part)
    }

    /// Returns the number of parts.
    pub fn len(&self) -> usize {
        self.0.len()
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

impl fmt::Display for PromptParts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().take(MAX_NAMED).enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(formatter, "{separator}{part}")?;
        }
        match self.0.len().checked_sub(MAX_NAMED) {
            Some(more) if 0 < more => write!(formatter, ",and {more} more"),
            _ => Ok(()),
        }
    }
}
