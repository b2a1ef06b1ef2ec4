//! Which parts of scheduling use the targets of calls.

use serde::{Deserialize, Serialize};

/// How calls are given to runners and wait for them.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum CallScheduling {
    /// Runners are chosen by load, and calls wait in order of arrival.
    ByLoad,
    /// Runners are chosen by predicted lateness and learned capacity; calls
    /// wait in order of arrival.
    #[default]
    ByLateness,
    /// The same, and calls wait by class and customer.
    ByClass,
}

impl CallScheduling {
    /// Returns whether the choice of a runner uses the target of a call.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::request::CallScheduling;
    ///
    /// assert!(!CallScheduling::ByLoad.predicts_lateness());
    /// assert!(CallScheduling::ByLateness.predicts_lateness());
    /// ```
    pub fn predicts_lateness(self) -> bool {
        self != CallScheduling::ByLoad
    }

    /// Returns whether waiting calls are ordered and refused by their targets.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::request::CallScheduling;
    ///
    /// assert!(!CallScheduling::ByLateness.admits_by_class());
    /// assert!(CallScheduling::ByClass.admits_by_class());
    /// ```
    pub fn admits_by_class(self) -> bool {
        self == CallScheduling::ByClass
    }
}
