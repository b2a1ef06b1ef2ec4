//! Customers and what they may use.

use serde::{Deserialize, Serialize};

/// What a rate counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RateUnit {
    /// Each call counts 1.
    Calls,
    /// A call counts the tokens it announces, or `plain` without any.
    Tokens {
        /// Tokens of a call that announces none.
        plain: u64,
    },
}

/// Rate and burst of a customer over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TokenRate {
    /// Units a second.
    pub per_second: u64,
    /// Units at once after a pause.
    pub burst: u64,
    /// What is counted.
    pub unit: RateUnit,
}

impl TokenRate {
    /// Returns what a call costs that announces `tokens`.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::catalog::{RateUnit, TokenRate};
    ///
    /// let unit = RateUnit::Tokens { plain: 200 };
    /// let rate = TokenRate { per_second: 10, burst: 20, unit };
    /// assert_eq!(rate.cost(Some(1_540)), 1_540);
    /// assert_eq!(rate.cost(None), 200);
    /// ```
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            RateUnit::Calls => 1,
            RateUnit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BilledCustomer {
    /// Name, as runners see it.
    pub name: String,
    /// Rank that goes before the route's, 0 first.
    pub priority: Option<u8>,
    /// Its rate; without one it isn't limited.
    pub rate: Option<TokenRate>,
}
