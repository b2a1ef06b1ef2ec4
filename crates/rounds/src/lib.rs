//! Rounds of days on an outside bench.
//!
//! A bench is a program that builds the system in a directory, plays one day
//! of a deployment and writes a report. A round plays many: a
//! [`TroubleRound`] each trouble of a deployment by itself, a [`PairRound`]
//! one day at several seeds with two builds. Nothing here decides anything
//! about the system; it starts the bench and reads its reports.

mod pairs;
mod run;
mod troubles;

pub use self::{
    pairs::{PairFigures, PairRound},
    run::{BenchRun, BenchSetup, DayReport, run_all},
    troubles::{TroubleRound, TroubleRow, day_text},
};
