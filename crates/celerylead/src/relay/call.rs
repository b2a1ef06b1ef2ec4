//! What routing knows about a call.

use serde::{Deserialize, Serialize};

use crate::{
    clock::EpochMillis, customer::CallerKey, model::ModelName,
    quarantine::PromptParts, request::RequestId,
};

/// A part of a prompt that calls may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PromptPart {
    /// Identifier of the content of the part.
    pub id: u64,
    /// Length, in tokens.
    pub tokens: u64,
}

/// The head of a call, parsed once by the platform adapter.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// Request id that the caller chose.
    pub id: RequestId,
    /// Host name in the request, without a port.
    pub host: String,
    /// Longest time that the caller waits, in milliseconds.
    pub max_wait_ms: Option<u64>,
    /// API key that the caller presented.
    pub key: Option<CallerKey>,
    /// Model and adapter, for a model engine.
    pub model: Option<ModelName>,
    /// Number of prompt tokens, and maximum number of output tokens.
    pub tokens: Option<(u64, u64)>,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

impl CallHead {
    /// Returns the sum of the call's prompt tokens and its maximum output
    /// tokens.
    pub fn total_tokens(&self) -> Option<u64> {
        let (prompt, output) = self.tokens?;
        Some(prompt.saturating_add(output))
    }

    /// Returns the parts of the prompt that other calls may share.
    pub fn shared_parts(&self) -> PromptParts {
        PromptParts::of_prompt(self.parts.iter().map(|part| part.id))
    }
}

/// How large a call is, and how urgent.
///
/// A default profile has no target and no size, so that decisions that use
/// them treat its call like any other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct CallProfile {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens.
    pub output_tokens: u64,
    /// Length of the body, which is kept until the call has ended.
    pub body_bytes: u64,
    /// Time by which the first event, or the whole answer of a plain call, is
    /// in time; `None` without a target.
    pub target: Option<EpochMillis>,
    /// Longest gap between two events that is in time, in milliseconds; 0
    /// without a limit.
    pub gap_ms: u64,
    /// Priority of the customer or else of the route; 0 is the highest.
    pub priority: u8,
    /// Name of the customer; empty without one.
    pub customer: String,
    /// Whether the call may run more than once.
    pub idempotent: bool,
}

/// What a call requires of the runner that gets it.
#[derive(Clone, Debug)]
pub struct CallRequirements {
    /// Request id of the call.
    pub id: RequestId,
    /// Service that runs it.
    pub service: String,
    /// Model and adapter, for a model engine.
    pub model: Option<ModelName>,
    /// Memory that the call takes on a runner, in tokens.
    pub tokens: u64,
    /// Runners that were already tried for this call.
    pub tried: Vec<String>,
    /// Whether the call was sent to one of the tried runners. Sending it
    /// again then draws on the retry budget; a connection that couldn't be
    /// opened doesn't count as a send.
    pub sent: bool,
    /// Time after which the caller has no use for an answer.
    pub deadline: EpochMillis,
    /// Parts of its prompt that other calls may share.
    pub parts: PromptParts,
    /// Size and urgency.
    pub profile: CallProfile,
}
