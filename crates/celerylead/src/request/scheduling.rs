//! Which parts of scheduling use the targets of calls.

use serde::{Deserialize, Serialize};

/// How calls are given to runners and wait for them.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum CallScheduling {
    /// [`ByLateness`](Self::ByLateness) where the models of a service are
    /// scarce, [`ByLoad`](Self::ByLoad) elsewhere.
    #[default]
    Auto,
    /// Runners are chosen by load, and calls wait in order of arrival.
    ByLoad,
    /// Runners are chosen by predicted lateness and learned capacity; calls
    /// wait in order of arrival.
    ByLateness,
    /// The same, and calls wait by class and customer.
    ByClass,
}

impl CallScheduling {
    /// Returns whether the choice of a runner uses the targets of calls.
    /// `is_scarce` says whether the models of a service are scarce.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::request::CallScheduling;
    ///
    /// assert!(CallScheduling::Auto.predicts_lateness(true));
    /// assert!(!CallScheduling::Auto.predicts_lateness(false));
    /// assert!(CallScheduling::ByLateness.predicts_lateness(false));
    /// ```
    pub fn predicts_lateness(self, is_scarce: bool) -> bool {
        match self {
            CallScheduling::Auto => is_scarce,
            CallScheduling::ByLoad => false,
            CallScheduling::ByLateness | CallScheduling::ByClass => true,
        }
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
