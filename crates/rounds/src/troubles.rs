//! Rounds that run each trouble of a deployment on a day of its own.

use std::path::{Path, PathBuf};

use anyhow::Context as _;

use crate::{BenchRun, BenchSetup, DayReport, run_all};

/// Times at which a trouble occurs, in seconds from the start of traffic.
const TROUBLE_TIMES_S: [f64; 2] = [6.0, 20.0];
/// Length of the day, in seconds; the second occurrence has time to end.
const DAY_LENGTH_S: f64 = 36.0;
/// Kinds of troubles that the bench's file format lists as planned work.
const PLANNED_KINDS: [&str; 10] = [
    "add_nodes",
    "config_change",
    "config_storm",
    "hup",
    "model_shift",
    "release",
    "revoke",
    "roll_term",
    "scale_in",
    "scale_out",
];

/// A round of days with one trouble each.
#[derive(Clone, Debug)]
pub struct TroubleRound {
    /// The bench.
    pub bench: BenchSetup,
    /// Directory of the system.
    pub system: PathBuf,
    /// Files with lists of troubles: deployments' files or separate lists.
    pub lists: Vec<PathBuf>,
    /// Number of runs at once.
    pub jobs: usize,
}

/// A trouble and the report of its day.
#[derive(Clone, Debug, PartialEq)]
pub struct TroubleRow {
    /// The trouble's entry in its list, on one line.
    pub trouble: String,
    /// Report of the day.
    pub report: DayReport,
}

impl TroubleRound {
    /// Runs the round.
    ///
    /// # Errors
    ///
    /// Returns an error if a list can't be read or a run fails.
    pub async fn run(&self) -> anyhow::Result<Vec<TroubleRow>> {
        let mut troubles = Vec::new();
        for list in &self.lists {
            troubles.extend(read_troubles(list)?);
        }
        let mut runs = Vec::new();
        for (index, trouble) in troubles.iter().enumerate() {
            let label = format!("trouble-{index}");
            let day = self.bench.reports.join(format!("{label}.toml"));
            std::fs::write(&day, day_text(trouble))?;
            runs.push(BenchRun {
                label,
                day: day.display().to_string(),
                system: self.system.clone(),
                seed: None,
            });
        }
        let reports = run_all(&self.bench, &runs, self.jobs).await?;
        let rows = troubles.iter().zip(reports).map(|(trouble, report)| {
            TroubleRow { trouble: one_line(trouble), report }
        });
        Ok(rows.collect())
    }
}

/// Reads the list `troubles` of a file.
fn read_troubles(file: &Path) -> anyhow::Result<Vec<toml::Table>> {
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("read {}", file.display()))?;
    let table: toml::Table = toml::from_str(&text)
        .with_context(|| format!("read {}", file.display()))?;
    let list = table.get("troubles").and_then(toml::Value::as_array);
    let list = list.context("the file has no list `troubles`")?;
    let entries = list.iter().map(|entry| {
        entry.as_table().cloned().context("a trouble isn't a table")
    });
    entries.collect()
}

/// Returns the file of a day on which a trouble occurs twice.
///
/// # Examples
///
/// ```
/// use celerylead_rounds::day_text;
///
/// let trouble = toml::from_str("kind = \"hup\"\nshare = 0.5").unwrap();
/// let day = day_text(&trouble);
/// assert!(day.contains("[[plan]]"));
/// assert_eq!(day.matches("kind = \"hup\"").count(), 2);
/// ```
pub fn day_text(trouble: &toml::Table) -> String {
    let kind = trouble.get("kind").and_then(toml::Value::as_str);
    let planned = kind.is_some_and(|kind| PLANNED_KINDS.contains(&kind));
    let entries = TROUBLE_TIMES_S.map(|at| {
        let mut entry = trouble.clone();
        entry.insert("at".to_owned(), at.into());
        toml::Value::Table(entry)
    });
    let mut day = toml::Table::new();
    day.insert("name".to_owned(), "alone".into());
    day.insert("length_s".to_owned(), DAY_LENGTH_S.into());
    let section = if planned { "plan" } else { "faults" };
    day.insert(section.to_owned(), entries.to_vec().into());
    day.to_string()
}

/// Formats a trouble on one line: its kind, then its other fields.
fn one_line(trouble: &toml::Table) -> String {
    let kind = trouble.get("kind").and_then(toml::Value::as_str);
    let rest = trouble.iter().filter(|(name, _)| *name != "kind");
    let rest: Vec<String> =
        rest.map(|(name, value)| format!("{name} {value}")).collect();
    format!("{} {}", kind.unwrap_or("?"), rest.join(", "))
}
