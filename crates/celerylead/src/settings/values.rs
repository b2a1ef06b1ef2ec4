//! Inheritable setting values, each with its unit and range.

use serde::{Deserialize, Serialize};
use toml::Spanned;

/// Name, unit, range and meaning of one inheritable value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ValueRule {
    /// Name of the value in the settings file.
    pub name: &'static str,
    /// Unit, or `bool`.
    pub unit: &'static str,
    /// Value if no branch sets one; booleans are 0 or 1.
    pub default: u64,
    /// Smallest accepted value.
    pub low: u64,
    /// Largest accepted value.
    pub high: u64,
    /// Description of the value.
    pub meaning: &'static str,
}

macro_rules! setting_values {
    ($($(#[doc = $doc:literal])+ $name:ident: $kind:ty = $default:expr,
        $low:literal..=$high:literal $unit:literal;)+) => {
        /// Values set at one branch; absent values are inherited.
        #[derive(Clone, Debug, Default, Deserialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct SettingValues {
            $($(#[doc = $doc])+ pub $name: Option<Spanned<$kind>>,)+
        }

        /// Values of a branch after inheritance.
        #[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub struct ResolvedValues {
            $($(#[doc = $doc])+ pub $name: $kind,)+
        }

        impl Default for ResolvedValues {
            fn default() -> Self {
                ResolvedValues { $($name: $default,)+ }
            }
        }

        /// The rules of all inheritable values, in the order of their
        /// declaration.
        pub const VALUE_RULES: &[ValueRule] = &[$(ValueRule {
            name: stringify!($name),
            unit: $unit,
            default: $default as u64,
            low: $low,
            high: $high,
            meaning: concat!($($doc),+),
        },)+];

        impl ResolvedValues {
            /// Replaces inherited values by those that `branch` sets, and
            /// calls `note` with the name of each.
            pub(crate) fn overlay(
                &mut self,
                branch: &SettingValues,
                mut note: impl FnMut(&'static str),
            ) {
                $(if let Some(value) = &branch.$name {
                    self.$name = *value.get_ref();
                    note(stringify!($name));
                })+
            }

            /// Returns the name and number of each value; booleans are 0 or
            /// 1.
            pub fn entries(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), u64::from(self.$name)),)+]
            }
        }

        impl SettingValues {
            /// Returns the rule, number and byte offset of each value that
            /// this branch sets.
            pub(crate) fn explicit_values(
                &self,
            ) -> Vec<(&'static ValueRule, u64, usize)> {
                let mut explicit = Vec::new();
                let mut rules = VALUE_RULES.iter();
                $(
                    let rule = rules.next();
                    if let (Some(rule), Some(value)) = (rule, &self.$name) {
                        let number = u64::from(*value.get_ref());
                        explicit.push((rule, number, value.span().start));
                    }
                )+
                explicit
            }
        }
    };
}

setting_values! {
    /// Tokens a customer may use over all hosts together.
    rate: u64 = 0, 0..=1_000_000_000 "tokens/s";
    /// Tokens a customer may use at once after a pause.
    burst: u64 = 0, 0..=1_000_000_000 "tokens";
    /// Largest rate that one customer may be given.
    rate_limit: u64 = 1_000_000_000, 1..=1_000_000_000 "tokens/s";
    /// Largest burst that one customer may be given.
    burst_limit: u64 = 1_000_000_000, 1..=1_000_000_000 "tokens";
    /// Part of a rate that stays with each zone when it is cut off.
    standing_percent: u64 = 50, 0..=100 "percent";
    /// How long a zone cut off from the platform keeps its standing part.
    standing_hold_s: u64 = 3_600, 0..=86_400 "s";
    /// How long a host that can't hear of withdrawals goes on trusting keys.
    key_trust_s: u64 = 3_600, 5..=86_400 "s";
    /// Output tokens of a request that names no maximum, and the largest.
    max_output_tokens: u64 = 512, 1..=1_000_000 "tokens";
    /// Smallest bytes of prompt per token; 1 never underestimates.
    prompt_bytes_per_token: u64 = 1, 1..=8 "bytes/token";
    /// Requests that a runner takes at once.
    slots: u64 = 8, 1..=10_000 "requests";
    /// Accelerator memory of a runner.
    memory_mb: u64 = 0, 0..=100_000_000 "MB";
    /// Models that a zone loads at once, by what the weight store allows.
    loads_at_once: u64 = 2, 1..=1_000 "loads";
    /// Longest wait for a runner before the request is refused as not run.
    queue_ms: u64 = 5_000, 0..=600_000 "ms";
    /// Longest wait for the head of a runner's answer.
    head_timeout_ms: u64 = 30_000, 10..=3_600_000 "ms";
    /// Longest pause within a runner's answer.
    idle_timeout_ms: u64 = 30_000, 10..=3_600_000 "ms";
    /// Largest body of a request.
    max_body_kb: u64 = 1_024, 1..=1_048_576 "KB";
    /// Whether a request may be run again when its outcome is unknown.
    idempotent: bool = false, 0..=1 "bool";
    /// Whether a route serves callers without a key.
    open: bool = false, 0..=1 "bool";
}
