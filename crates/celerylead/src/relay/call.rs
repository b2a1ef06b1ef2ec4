//! A call as routing sees it.

use serde::{Deserialize, Serialize};

use crate::{
    clock::EpochMillis, customer::CallerKey, model::ModelName,
    request::RequestId,
};

/// A part of a prompt that calls may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PromptPart {
    /// Identity of its content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// What the head of a call says, read once by the adapter.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// Identity that the caller gave it.
    pub id: RequestId,
    /// Host name that was called, without a port.
    pub host: String,
    /// Time that the caller will wait, in milliseconds.
    pub max_wait_ms: Option<u64>,
    /// Key that was shown.
    pub key: Option<CallerKey>,
    /// Model and adapter, for a model engine.
    pub model: Option<ModelName>,
    /// Prompt tokens and most output tokens.
    pub tokens: Option<(u64, u64)>,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

impl CallHead {
    /// Returns the tokens that the call announces in all.
    pub fn total_tokens(&self) -> Option<u64> {
        let (prompt, output) = self.tokens?;
        Some(prompt.saturating_add(output))
    }
}

/// What a call needs of a runner.
#[derive(Clone, Debug)]
pub struct CallRequirements {
    /// Identity of the call.
    pub id: RequestId,
    /// Service that runs it.
    pub service: String,
    /// Model and adapter, for a model engine.
    pub model: Option<ModelName>,
    /// Memory that it takes on a runner, in tokens.
    pub tokens: u64,
    /// Customer and what the call counts against its rate; none once the
    /// call was charged.
    pub charge: Option<(String, u64)>,
    /// Runners that were tried already.
    pub tried: Vec<String>,
    /// Whether it was sent to one of them: a further send draws on the
    /// budget, a connection that failed doesn't.
    pub sent: bool,
    /// Point from which an answer is of no use.
    pub deadline: EpochMillis,
}
