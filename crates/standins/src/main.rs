//! The `standins` program, which runs one simulated component per subcommand.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use standins::{engine, load, platform, service};

/// Simulated model engine, platform and plain service, and a load generator.
#[derive(Debug, Parser)]
#[command(name = "standins", version, about)]
struct Cli {
    /// Exit when standard input closes, so that no process outlives its test.
    #[arg(long, global = true)]
    exit_with_stdin: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a simulated model engine.
    Engine(engine::EngineArgs),
    /// Run a simulated platform: objects, watches and the instance list.
    Platform(platform::PlatformArgs),
    /// Run a plain service that records each run in a ledger.
    Service(service::ServiceArgs),
    /// Generate an open-loop load and print a report of the outcomes.
    Load(load::LoadArgs),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if cli.exit_with_stdin {
        std::thread::spawn(exit_with_stdin);
    }
    let result = async_global_executor::block_on(async {
        match cli.command {
            Command::Engine(args) => engine::run(args).await,
            Command::Platform(args) => platform::run(args).await,
            Command::Service(args) => service::run(args).await,
            Command::Load(args) => load::run_from_args(args).await,
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standins: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Exits when standard input closes, which happens when the parent process
/// ends or drops its end of the pipe.
fn exit_with_stdin() {
    let mut sink = std::io::sink();
    // A read error also means that the other end of the pipe is closed.
    let _ = std::io::copy(&mut std::io::stdin(), &mut sink);
    std::process::exit(0);
}
