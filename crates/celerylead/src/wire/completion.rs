//! Completion requests from callers, in the format of the OpenAI API.

use anyhow::Context as _;
use serde_json::{Map, Value, json};

use super::headers;
use crate::{customer::CallerKey, model::ModelName};

/// Tokens counted for each message or prompt in addition to its text, for the
/// delimiters that engines put around it.
const DELIMITER_TOKENS_PER_MESSAGE: u64 = 8;
/// Fields that could carry a caller's credential; they aren't forwarded.
const CREDENTIAL_FIELDS: &[&str] =
    &["api_key", "apikey", "authorization", "key", "user_token"];

/// A completion request as received from a caller.
#[derive(Debug)]
pub(crate) struct CompletionRequest {
    pub(crate) model: ModelName,
    pub(crate) stream: bool,
    /// Limit on output tokens, if the caller set one.
    pub(crate) max_tokens: Option<u64>,
    /// Whether the caller asked for a usage chunk in the stream.
    pub(crate) wants_usage: bool,
    /// Upper bound on the bytes of text in the prompt.
    prompt_bytes: u64,
    /// Number of messages or prompts.
    parts: u64,
    /// Number of completions that the engine generates: the larger of `n`
    /// and `best_of`.
    choices: u64,
    fields: Map<String, Value>,
}

impl CompletionRequest {
    /// Parses a request body.
    pub(crate) fn parse(body: &[u8]) -> anyhow::Result<CompletionRequest> {
        let value: Value =
            serde_json::from_slice(body).context("body is not JSON")?;
        let Value::Object(mut fields) = value else {
            anyhow::bail!("body is not a JSON object");
        };
        for field in CREDENTIAL_FIELDS {
            fields.remove(*field);
        }
        let model = fields
            .get("model")
            .and_then(Value::as_str)
            .context("field model is missing or not a string")?
            .parse()?;
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => anyhow::bail!("field stream is not true or false"),
        };
        let max_tokens = match fields.get("max_completion_tokens") {
            Some(Value::Null) | None => integer_field(&fields, "max_tokens")?,
            Some(_) => integer_field(&fields, "max_completion_tokens")?,
        };
        let choices = integer_field(&fields, "n")?.unwrap_or(1).max(1);
        let best_of = integer_field(&fields, "best_of")?.unwrap_or(1).max(1);
        let prompt = fields.get("messages").or(fields.get("prompt"));
        let prompt = prompt.context("field messages or prompt is missing")?;
        let parts = match prompt {
            Value::Array(parts) => parts.len() as u64,
            _ => 1,
        };
        let prompt_bytes = text_bytes(&fields);
        let wants_usage = fields
            .get("stream_options")
            .and_then(|options| options.get("include_usage"))
            .is_some_and(|wanted| wanted == &Value::Bool(true));
        Ok(CompletionRequest {
            model,
            stream,
            max_tokens,
            wants_usage,
            prompt_bytes,
            parts,
            choices: choices.max(best_of),
            fields,
        })
    }

    /// Returns an upper bound on the tokens that the request can use.
    pub(crate) fn max_total_tokens(
        &self,
        bytes_per_token: u64,
        max_tokens: u64,
    ) -> u64 {
        let prompt = self.prompt_bytes.div_ceil(bytes_per_token.max(1));
        let delimiters =
            self.parts.saturating_mul(DELIMITER_TOKENS_PER_MESSAGE);
        let output = max_tokens.saturating_mul(self.choices);
        prompt.saturating_add(delimiters).saturating_add(output)
    }

    /// Returns whether the caller's key occurs anywhere in the body.
    pub(crate) fn contains_caller_key(&self, key: &CallerKey) -> bool {
        any_text_in_object(&self.fields, &mut |text| {
            headers::contains_caller_key(text.as_bytes(), key)
        })
    }

    /// Serializes the body for the engine. It always states the limit on
    /// output tokens, and a streaming request always asks for the usage.
    pub(crate) fn engine_body(&self, max_tokens: u64) -> Vec<u8> {
        let mut fields = self.fields.clone();
        fields.remove("max_completion_tokens");
        fields.insert("max_tokens".to_owned(), json!(max_tokens));
        if self.stream {
            let options = json!({"include_usage": true});
            fields.insert("stream_options".to_owned(), options);
        }
        Value::Object(fields).to_string().into_bytes()
    }
}

/// Returns a non-negative integer field; `None` if it is absent or null.
fn integer_field(
    fields: &Map<String, Value>,
    name: &str,
) -> anyhow::Result<Option<u64>> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => {
            let number = value.as_u64().with_context(|| {
                format!("field {name} is {value}, accepted are whole numbers")
            })?;
            Ok(Some(number))
        }
    }
}

/// Returns the total bytes of all strings and names. Whichever of them become
/// part of the prompt, the prompt has no more tokens than bytes. Token ids in
/// arrays count as one byte each.
fn text_bytes(fields: &Map<String, Value>) -> u64 {
    fields
        .iter()
        .map(|(name, value)| name.len() as u64 + value_text_bytes(value))
        .sum()
}

/// Returns the bytes of all strings and names in a value. Any other scalar
/// counts as one byte.
fn value_text_bytes(value: &Value) -> u64 {
    match value {
        Value::String(text) => text.len() as u64,
        Value::Array(items) => items.iter().map(value_text_bytes).sum(),
        Value::Object(fields) => text_bytes(fields),
        Value::Null | Value::Bool(_) | Value::Number(_) => 1,
    }
}

/// Returns whether `test` holds for any name or string in an object, at any
/// depth.
fn any_text_in_object(
    fields: &Map<String, Value>,
    test: &mut impl FnMut(&str) -> bool,
) -> bool {
    fields
        .iter()
        .any(|(name, value)| test(name) || any_text_in_value(value, test))
}

/// Returns whether `test` holds for any name or string in a value, at any
/// depth.
fn any_text_in_value(
    value: &Value,
    test: &mut impl FnMut(&str) -> bool,
) -> bool {
    match value {
        Value::String(text) => test(text),
        Value::Array(items) => {
            items.iter().any(|item| any_text_in_value(item, test))
        }
        Value::Object(fields) => any_text_in_object(fields, test),
        Value::Null | Value::Bool(_) | Value::Number(_) => false,
    }
}
