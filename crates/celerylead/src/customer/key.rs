//! API keys of callers, and the hashes that are stored in place of the keys.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

/// Number of random bytes in a key that this system generates.
const KEY_BYTES: usize = 24;
/// Prefix that distinguishes a key of this system from other secrets.
const KEY_PREFIX: &str = "cl-";

/// A key in clear text, as a caller presents it.
///
/// The key is kept only while a request is checked, and is never printed.
#[derive(Clone)]
pub struct CallerKey {
    text: String,
}

impl CallerKey {
    /// Wraps a key that a caller presented.
    pub fn presented(text: &str) -> CallerKey {
        CallerKey { text: text.to_owned() }
    }

    /// Generates a random key.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::customer::CallerKey;
    ///
    /// let key = CallerKey::random();
    /// assert!(key.reveal().starts_with("cl-"));
    /// assert_eq!(format!("{key:?}"), "CallerKey(..)");
    /// ```
    pub fn random() -> CallerKey {
        let bytes: [u8; KEY_BYTES] = rand::random();
        let mut text = KEY_PREFIX.to_owned();
        for byte in bytes {
            text.push_str(&format!("{byte:02x}"));
        }
        CallerKey { text }
    }

    /// Returns the key in clear text, to show it to its customer once.
    pub fn reveal(&self) -> &str {
        &self.text
    }

    /// Returns the hash that is stored in place of the key.
    pub fn hash(&self) -> KeyHash {
        KeyHash(Sha256::digest(self.text.as_bytes()).into())
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("CallerKey(..)")
    }
}

/// SHA-256 hash of a key, written as 64 lower-case hexadecimal digits.
///
/// # Examples
///
/// ```
/// use celerylead::customer::{CallerKey, KeyHash};
///
/// let hash = CallerKey::presented("cl-example").hash();
/// let text = hash.to_string();
/// assert_eq!(text.parse::<KeyHash>().unwrap(), hash);
/// assert!("cl-example".parse::<KeyHash>().is_err());
/// ```
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Compares two hashes in constant time: the time doesn't depend on where
    /// they differ.
    pub fn matches(&self, other: &KeyHash) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    /// Returns the first 12 digits, which identify a key in logs and lists.
    pub fn short(&self) -> String {
        self.to_string()[..12].to_owned()
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyHash({})", self.short())
    }
}

impl std::str::FromStr for KeyHash {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<KeyHash, anyhow::Error> {
        let digits = text.as_bytes();
        let clean = digits.iter().all(u8::is_ascii_hexdigit);
        if digits.len() != 64 || !clean {
            anyhow::bail!(
                "a key hash is 64 hexadecimal digits of SHA-256; \
                 is this a key in clear?"
            );
        }
        let mut hash = [0; 32];
        for (byte, pair) in hash.iter_mut().zip(digits.chunks(2)) {
            *byte = u8::from_str_radix(std::str::from_utf8(pair)?, 16)?;
        }
        Ok(KeyHash(hash))
    }
}

impl TryFrom<String> for KeyHash {
    type Error = anyhow::Error;

    fn try_from(text: String) -> Result<KeyHash, anyhow::Error> {
        text.parse()
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> String {
        hash.to_string()
    }
}
