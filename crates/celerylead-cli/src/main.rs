//! Operators' command line of celerylead.

mod commands;
mod flags;
mod print;

use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let flags = flags::operator_flags().run();
    match commands::run(&flags).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("celerylead: {error:#}");
            ExitCode::from(commands::EXIT_FAILED)
        }
    }
}
