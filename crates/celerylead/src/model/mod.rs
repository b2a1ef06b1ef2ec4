//! Names of models and adapters, as callers write them.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// The name of a model, or of an adapter of a model, written as `model` or
/// `model:adapter`.
///
/// # Examples
///
/// ```
/// use celerylead::model::ModelName;
///
/// let name: ModelName = "outline:court".parse().unwrap();
/// assert_eq!(name.model, "outline");
/// assert_eq!(name.adapter.as_deref(), Some("court"));
/// assert_eq!(name.to_string(), "outline:court");
/// assert!("outline:".parse::<ModelName>().is_err());
/// ```
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct ModelName {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if the caller asks for one.
    pub adapter: Option<String>,
}

impl FromStr for ModelName {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<ModelName, anyhow::Error> {
        let (model, adapter) = match text.split_once(':') {
            Some((model, adapter)) => (model, Some(adapter)),
            None => (text, None),
        };
        let is_valid = |part: &str| !part.is_empty() && !part.contains(':');
        if !is_valid(model) || !adapter.is_none_or(is_valid) {
            anyhow::bail!(
                "model is {text:?}, accepted are MODEL and MODEL:ADAPTER"
            );
        }
        Ok(ModelName {
            model: model.to_owned(),
            adapter: adapter.map(str::to_owned),
        })
    }
}

impl TryFrom<String> for ModelName {
    type Error = anyhow::Error;

    fn try_from(text: String) -> Result<ModelName, anyhow::Error> {
        text.parse()
    }
}

impl From<ModelName> for String {
    fn from(name: ModelName) -> String {
        name.to_string()
    }
}

impl fmt::Display for ModelName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(formatter, "{}:{adapter}", self.model),
            None => formatter.write_str(&self.model),
        }
    }
}
