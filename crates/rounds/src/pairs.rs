//! Rounds that run one day at several seeds with two builds.

use std::path::{Path, PathBuf};

use anyhow::Context as _;
use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Circle, Color as _, IntoDrawingArea as _,
    IntoFont as _, PathElement, SVGBackend, WHITE,
};

use crate::{BenchRun, BenchSetup, DayReport, run_all};

/// Difference between consecutive seeds.
const SEED_STEP: u64 = 77;
/// First seed.
const FIRST_SEED: u64 = 1_077;
/// Size of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (640, 400);

/// A round that runs each seed with two builds.
#[derive(Clone, Debug)]
pub struct PairRound {
    /// The bench.
    pub bench: BenchSetup,
    /// Directory of the build to compare with.
    pub base: PathBuf,
    /// Directory of the build under test.
    pub trial: PathBuf,
    /// Name of the day, or its file.
    pub day: String,
    /// Number of seeds.
    pub seeds: u64,
    /// Number of runs at once.
    pub jobs: usize,
}

/// Results of a [`PairRound`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PairFigures {
    /// Worth with the base build and with the build under test, for each seed.
    pub worth: Vec<(f64, f64)>,
    /// Runs with either build that broke a rule or failed, with the verdict.
    pub broken: Vec<String>,
}

impl PairRound {
    /// Runs the round.
    ///
    /// # Errors
    ///
    /// Returns an error if a run fails.
    pub async fn run(&self) -> anyhow::Result<PairFigures> {
        let mut runs = Vec::new();
        for number in 0..self.seeds {
            for (name, system) in
                [("base", &self.base), ("trial", &self.trial)]
            {
                runs.push(BenchRun {
                    label: format!("pair-{number}-{name}"),
                    day: self.day.clone(),
                    system: system.clone(),
                    seed: Some(FIRST_SEED + SEED_STEP * number),
                });
            }
        }
        let reports = run_all(&self.bench, &runs, self.jobs).await?;
        Ok(PairFigures::from_reports(&runs, &reports))
    }
}

impl PairFigures {
    fn from_reports(runs: &[BenchRun], reports: &[DayReport]) -> PairFigures {
        let worth = reports.chunks_exact(2);
        let worth = worth.map(|pair| (pair[0].worth, pair[1].worth));
        let broken = runs.iter().zip(reports).filter_map(|(run, report)| {
            let rules_held =
                report.broken.is_empty() && report.fault.is_none();
            let seed = run.seed.unwrap_or_default();
            let verdict = report.verdict();
            (!rules_held)
                .then(|| format!("{} seed {seed}: {verdict}", run.label))
        });
        PairFigures { worth: worth.collect(), broken: broken.collect() }
    }

    /// Returns the mean worth with the base build and with the build under
    /// test, the mean of their differences, and its standard error.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead_rounds::PairFigures;
    ///
    /// let worth = vec![(0.5, 0.6), (0.7, 0.8)];
    /// let figures = PairFigures { worth, broken: Vec::new() };
    /// let [base, trial, gain, error] = figures.means();
    /// assert!((base - 0.6).abs() < 1e-9 && (trial - 0.7).abs() < 1e-9);
    /// assert!((gain - 0.1).abs() < 1e-9 && error < 1e-9);
    /// ```
    pub fn means(&self) -> [f64; 4] {
        let count = self.worth.len().max(1) as f64;
        let mean = |values: &dyn Fn(&(f64, f64)) -> f64| {
            self.worth.iter().map(values).sum::<f64>() / count
        };
        let gain = mean(&|(base, trial)| trial - base);
        let variance = mean(&|(base, trial)| (trial - base - gain).powi(2));
        let error = (variance / (count - 1.0).max(1.0)).sqrt();
        [mean(&|pair| pair.0), mean(&|pair| pair.1), gain, error]
    }

    /// Plots a point for each seed, with the worth of the base build on the
    /// x axis and that of the build under test on the y axis.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written.
    pub fn plot(&self, file: &Path) -> anyhow::Result<()> {
        let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .caption("worth by seed", ("sans-serif", 18).into_font())
            .x_label_area_size(36)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..1.0, 0.0..1.0)?;
        chart.configure_mesh().x_desc("base").y_desc("trial").draw()?;
        let diagonal = [(0.0, 0.0), (1.0, 1.0)];
        chart.draw_series([PathElement::new(diagonal, BLACK)])?;
        let points = self.worth.iter();
        chart.draw_series(
            points.map(|point| Circle::new(*point, 4, BLUE.filled())),
        )?;
        area.present().context("write the plot")
    }
}
