//! The command line: one file for each command, which parses the arguments, calls the library and prints the result. The
//! exit code is 1 for a failure and 2 for a usage error. Doc comments on arguments are the help texts.

mod check;
mod config;
mod demo;
mod failure;
mod inventory;
mod ledger;
mod man;
mod run;

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use failure::Failure;
use std::io::{self, ErrorKind, Write};
use std::path::PathBuf;
use std::process::ExitCode;

/// A query aggregator: it sends the parts of each query to leaf servers and gives the client one answer.
#[derive(Parser)]
#[command(name = "sailmux", version, arg_required_else_help = false)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Run the aggregator; the default if no command is given
    #[command(
        after_help = "Environment: RELAY_CONFIG (required), RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY, \
                            RELAY_MANAGEMENT, SAILMUX_OPERATOR. See the README."
    )]
    Run,
    /// Check all files that the aggregator would read and print all of their problems
    Check(check::Check),
    /// Inspect and compare inventory files, and confirm an endpoint list that is held back
    #[command(subcommand)]
    Inventory(inventory::Command),
    /// Show and manage the usage of tenants: totals, corrections, billing periods, exports
    #[command(subcommand)]
    Ledger(ledger::Command),
    /// Print information on the operator file
    #[command(subcommand)]
    Config(config::Command),
    /// Start an aggregator with simulated leaf servers on loopback, send it a query and show the answer
    Demo(demo::Demo),
    /// Print the completion script for a shell
    Completions {
        /// The shell
        shell: Shell,
    },
    /// Print the man page, in roff
    Man,
}

impl Command {
    fn run(self) -> Result<(), Failure> {
        match self {
            Command::Run => run::run(),
            Command::Check(check) => check.run(),
            Command::Inventory(command) => command.run(),
            Command::Ledger(command) => command.run(),
            Command::Config(command) => command.run(),
            Command::Demo(demo) => demo.run(),
            Command::Completions { shell } => print_completions(shell),
            Command::Man => man::print(Cli::command()),
        }
    }
}

/// Parses the command line of the process and runs its command.
pub fn main() -> ExitCode {
    let command = Cli::parse().command.unwrap_or(Command::Run);
    match command.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            for line in failure.lines() {
                eprintln!("sailmux: {line}");
            }
            ExitCode::FAILURE
        }
    }
}

fn print_completions(shell: Shell) -> Result<(), Failure> {
    let mut text = Vec::new();
    clap_complete::generate(shell, &mut Cli::command(), "sailmux", &mut text);
    print(&String::from_utf8_lossy(&text))
}

/// Prints to standard output. It is not a failure if the reader, such as `head`, has closed the pipe.
fn print(text: &str) -> Result<(), Failure> {
    match io::stdout().lock().write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(error.into()),
        _ => Ok(()),
    }
}

/// The path in an environment variable; `None` if the variable is unset or empty.
fn path_in_environment(variable: &str) -> Option<PathBuf> {
    std::env::var_os(variable).filter(|value| !value.is_empty()).map(PathBuf::from)
}
