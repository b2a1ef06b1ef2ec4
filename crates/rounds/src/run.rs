//! Runs of single days on the bench, several at once.

use std::{collections::BTreeMap, path::PathBuf, process::Stdio, sync::Arc};

use anyhow::Context as _;
use serde::Deserialize;
use tokio::{process::Command, sync::Semaphore, task::JoinSet};

/// The fields of a day's report that rounds need.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct DayReport {
    /// Worth of the day, after prices.
    #[serde(rename = "G")]
    pub worth: f64,
    /// Share of the possible credit that was earned, before prices.
    pub served: f64,
    /// Rules that were broken, and how often each was broken.
    #[serde(rename = "breaks")]
    pub broken: BTreeMap<String, serde_json::Value>,
    /// Why the day counts as zero, if it does.
    pub fault: Option<String>,
}

impl DayReport {
    /// Parses a report.
    ///
    /// # Errors
    ///
    /// Returns an error if the text isn't JSON or a field is missing.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead_rounds::DayReport;
    ///
    /// let text = r#"{"G": 0.7, "served": 0.8, "breaks": {}, "fault": null}"#;
    /// assert_eq!(DayReport::parse(text).unwrap().worth, 0.7);
    /// ```
    pub fn parse(text: &str) -> anyhow::Result<DayReport> {
        serde_json::from_str(text).context("the report can't be parsed")
    }

    /// Returns `held` if no rule was broken, else the fault or the rules that
    /// were broken.
    pub fn verdict(&self) -> String {
        if let Some(fault) = &self.fault {
            return format!("fault: {fault}");
        }
        if self.broken.is_empty() {
            return "held".to_owned();
        }
        let rules: Vec<&str> =
            self.broken.keys().map(String::as_str).collect();
        format!("broken: {}", rules.join(", "))
    }
}

/// The bench, and the arguments that all runs of a round share.
#[derive(Clone, Debug)]
pub struct BenchSetup {
    /// Program of the bench.
    pub program: PathBuf,
    /// File of the deployment.
    pub site: PathBuf,
    /// Why the round is run; the bench records it.
    pub why: String,
    /// Directory for reports.
    pub reports: PathBuf,
}

/// A day to run.
#[derive(Clone, Debug)]
pub struct BenchRun {
    /// Label, unique in its round; names the report's file.
    pub label: String,
    /// Name of the day, or its file.
    pub day: String,
    /// Directory of the system.
    pub system: PathBuf,
    /// Seed, if it differs from the day's own.
    pub seed: Option<u64>,
}

impl BenchSetup {
    /// Runs a day.
    ///
    /// # Errors
    ///
    /// Returns an error if the bench doesn't start or writes no valid report.
    pub async fn run(&self, run: &BenchRun) -> anyhow::Result<DayReport> {
        let report = self.reports.join(format!("{}.json", run.label));
        let mut command = Command::new(&self.program);
        command.current_dir(&run.system).arg("run");
        command.arg(&self.site).arg(&run.day);
        command.arg("--why").arg(&self.why);
        command.arg("--report").arg(&report);
        if let Some(seed) = run.seed {
            command.arg("--seed").arg(seed.to_string());
        }
        command.stdin(Stdio::null()).kill_on_drop(true);
        let output = command.output().await.context("start the bench")?;
        let text = tokio::fs::read_to_string(&report).await;
        let text = text.with_context(|| {
            let stderr = String::from_utf8_lossy(&output.stderr);
            format!(
                "day {}: no report; the bench printed: {stderr}",
                run.label
            )
        })?;
        DayReport::parse(&text)
    }
}

/// Runs days, at most `jobs` at once, and returns the reports in the order of
/// `runs`.
///
/// # Errors
///
/// Returns the first error of a run.
pub async fn run_all(
    bench: &BenchSetup,
    runs: &[BenchRun],
    jobs: usize,
) -> anyhow::Result<Vec<DayReport>> {
    let permits = Arc::new(Semaphore::new(jobs.max(1)));
    let mut running = JoinSet::new();
    for (index, run) in runs.iter().enumerate() {
        let (bench, run) = (bench.clone(), run.clone());
        let permits = Arc::clone(&permits);
        running.spawn(async move {
            let permit = permits.acquire().await?;
            let report = bench.run(&run).await;
            drop(permit);
            report.map(|report| (index, report))
        });
    }
    let mut reports = BTreeMap::new();
    while let Some(finished) = running.join_next().await {
        let (index, report) = finished??;
        reports.insert(index, report);
    }
    Ok(reports.into_values().collect())
}
