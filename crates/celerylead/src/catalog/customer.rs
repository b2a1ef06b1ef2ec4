//! Customers and their rates.

use serde::{Deserialize, Serialize};

/// The unit in which a rate is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RateUnit {
    /// Each call counts as 1.
    Calls,
    /// A call counts as the number of tokens that it announces, or as
    /// `plain` if it announces none.
    Tokens {
        /// Tokens counted for a call that announces none.
        plain: u64,
    },
}

/// Rate and burst of a customer over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TokenRate {
    /// Units per second.
    pub per_second: u64,
    /// Largest number of units at once, available after a pause.
    pub burst: u64,
    /// Unit of the rate and the burst.
    pub unit: RateUnit,
}

impl TokenRate {
    /// Returns the number of units that a call announcing `tokens` costs.
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

/// A customer, to whom calls are billed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BilledCustomer {
    /// Name of the customer, as it is sent to runners.
    pub name: String,
    /// Priority, which overrides that of the route; 0 is the highest.
    pub priority: Option<u8>,
    /// Rate of the customer; without one the customer isn't limited.
    pub rate: Option<TokenRate>,
}
