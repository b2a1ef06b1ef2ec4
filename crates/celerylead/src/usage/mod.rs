//! Usage: what a customer is billed for, recorded once.
//!
//! A batch is named by the host, its process and a sequence number, so
//! writing it again is recognised. Only a whole answer is recorded, with
//! the tokens that the engine stated.

use serde::{Deserialize, Serialize};

use crate::clock::EpochMillis;

/// One answered request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UsageRecord {
    /// Id of the request, which is unique.
    pub request_id: String,
    /// Customer billed.
    pub customer: String,
    /// Model and adapter, or service.
    pub target: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// When the answer ended, by the host's clock.
    pub at: EpochMillis,
}

/// Records that are written as one object, under one name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UsageBatch {
    /// Host that answered.
    pub host: String,
    /// Random number of its process.
    pub nonce: u64,
    /// Number of the batch within the process, from 1.
    pub sequence: u64,
    /// The records.
    pub records: Vec<UsageRecord>,
}

impl UsageBatch {
    /// Returns the name of the object, the same at each try.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::usage::UsageBatch;
    ///
    /// let batch = UsageBatch {
    ///     host: "kgn-1".to_owned(),
    ///     nonce: 3,
    ///     sequence: 7,
    ///     records: Vec::new(),
    /// };
    /// assert_eq!(batch.object_name(), "usage/kgn-1/3/7");
    /// ```
    pub fn object_name(&self) -> String {
        format!("usage/{}/{}/{}", self.host, self.nonce, self.sequence)
    }
}
