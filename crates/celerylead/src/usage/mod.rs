//! Usage records: the answers billed to a customer, each recorded once.
//!
//! The name of a batch consists of the host, a random number of its process
//! and a sequence number, so that a repeated write of a batch is recognized.
//! Only complete answers are recorded, with the token counts that the engine
//! reported.

use serde::{Deserialize, Serialize};

use crate::clock::EpochMillis;

/// The usage of one answered request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UsageRecord {
    /// Unique id of the request.
    pub request_id: String,
    /// Customer who is billed.
    pub customer: String,
    /// Model and adapter that answered, or the service.
    pub target: String,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens generated.
    pub completion_tokens: u64,
    /// Time at which the answer ended, by the host's clock.
    pub at: EpochMillis,
}

/// Usage records that are written as one object, under one name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UsageBatch {
    /// Host that relayed the answers.
    pub host: String,
    /// Random number of the host's process.
    pub nonce: u64,
    /// Number of the batch within the process, from 1.
    pub sequence: u64,
    /// The records.
    pub records: Vec<UsageRecord>,
}

impl UsageBatch {
    /// Returns the name of the object, which is the same for each attempt to
    /// write the batch.
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
