//! Rounds of benchmark runs on an external bench.
//!
//! A bench is a program that builds the system in a directory, runs one day of
//! a deployment and writes a report. A round consists of many runs: a
//! [`TroubleRound`] runs one day for each trouble of a deployment, that is,
//! each fault or planned operation, and a [`PairRound`] runs one day at
//! several seeds with two builds. This crate decides nothing about the system;
//! it starts the bench and reads its reports.

mod pairs;
mod run;
mod troubles;

pub use self::{
    pairs::{PairFigures, PairRound},
    run::{BenchRun, BenchSetup, DayReport, run_all},
    troubles::{TroubleRound, TroubleRow, day_text},
};
