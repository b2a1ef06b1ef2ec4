//! Command line that runs rounds.

use std::path::PathBuf;

use anyhow::Context as _;
use bpaf::Bpaf;
use celerylead_rounds::{BenchSetup, PairRound, TroubleRound};

/// Runs days on an external bench in rounds.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum RoundCommand {
    /// Runs each trouble on a day of its own and prints a table.
    #[bpaf(command)]
    Troubles {
        #[bpaf(external)]
        bench_options: BenchOptions,
        /// File with a list `troubles`; the deployment's file by default.
        #[bpaf(long, argument("FILE"))]
        list: Vec<PathBuf>,
        /// Directory of the system.
        #[bpaf(long, argument("DIR"), fallback(PathBuf::from(".")))]
        system: PathBuf,
    },
    /// Runs one day at several seeds with two builds.
    #[bpaf(command)]
    Pairs {
        #[bpaf(external)]
        bench_options: BenchOptions,
        /// Directory of the build to compare with.
        #[bpaf(long, argument("DIR"))]
        base: PathBuf,
        /// Directory of the build under test.
        #[bpaf(long, argument("DIR"), fallback(PathBuf::from(".")))]
        trial: PathBuf,
        /// Number of seeds.
        #[bpaf(long, argument("N"), fallback(10))]
        seeds: u64,
        /// File for a plot (SVG).
        #[bpaf(long, argument("FILE"))]
        plot: Option<PathBuf>,
        /// Name of the day, or its file.
        #[bpaf(positional("DAY"))]
        day: String,
    },
}

#[derive(Clone, Debug, Bpaf)]
struct BenchOptions {
    /// Program of the bench.
    #[bpaf(long, argument("FILE"))]
    bench: PathBuf,
    /// File of the deployment.
    #[bpaf(long, argument("FILE"))]
    site: PathBuf,
    /// Why the round is run; the bench records it.
    #[bpaf(long, argument("TEXT"))]
    why: String,
    /// Number of runs at once.
    #[bpaf(long, argument("N"), fallback(3))]
    jobs: usize,
    /// Directory for reports.
    #[bpaf(long, argument("DIR"), fallback(std::env::temp_dir()))]
    reports: PathBuf,
}

impl BenchOptions {
    /// Returns the bench with absolute paths, as runs start in the system's
    /// directory. Creates the directory for reports.
    fn bench(&self) -> anyhow::Result<BenchSetup> {
        let canonical = |path: &PathBuf| {
            path.canonicalize().with_context(|| path.display().to_string())
        };
        std::fs::create_dir_all(&self.reports)?;
        Ok(BenchSetup {
            program: canonical(&self.bench)?,
            site: canonical(&self.site)?,
            why: self.why.clone(),
            reports: canonical(&self.reports)?,
        })
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    match round_command().run() {
        RoundCommand::Troubles { bench_options, mut list, system } => {
            let bench = bench_options.bench()?;
            if list.is_empty() {
                list.push(bench.site.clone());
            }
            let jobs = bench_options.jobs;
            let round = TroubleRound { bench, system, lists: list, jobs };
            println!("| trouble | rules | worth |");
            println!("|---|---|---|");
            for row in round.run().await? {
                let (verdict, worth) =
                    (row.report.verdict(), row.report.worth);
                println!("| {} | {verdict} | {worth:.3} |", row.trouble);
            }
        }
        RoundCommand::Pairs {
            bench_options,
            base,
            trial,
            seeds,
            plot,
            day,
        } => {
            let bench = bench_options.bench()?;
            let jobs = bench_options.jobs;
            let round = PairRound { bench, base, trial, day, seeds, jobs };
            let figures = round.run().await?;
            for (base, trial) in &figures.worth {
                println!("{base:.3} {trial:.3}");
            }
            let [base, trial, gain, error] = figures.means();
            println!("mean {base:.3} {trial:.3}, {gain:+.3} ± {error:.3}");
            figures.broken.iter().for_each(|day| println!("{day}"));
            if let Some(plot) = plot {
                figures.plot(&plot)?;
            }
        }
    }
    Ok(())
}
