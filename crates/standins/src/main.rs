//! The `standins` program: each subcommand runs one stand-in.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use standins::{engine, load, platform, service};

/// Stand-ins for tests: model engine, platform, plain service and load.
#[derive(Debug, Parser)]
#[command(name = "standins", version, about)]
struct Cli {
    /// Exit when standard input closes, so that no stand-in outlives a test.
    #[arg(long, global = true)]
    exit_with_stdin: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a model engine.
    Engine(engine::EngineArgs),
    /// Run the platform: objects, watches and the instance list.
    Platform(platform::PlatformArgs),
    /// Run a plain service that keeps a ledger.
    Service(service::ServiceArgs),
    /// Send an open-loop load and report what became of it.
    Load(load::LoadArgs),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if cli.exit_with_stdin {
        std::thread::spawn(exit_with_stdin);
    }
    let ended = async_global_executor::block_on(async {
        match cli.command {
            Command::Engine(args) => engine::run(args).await,
            Command::Platform(args) => platform::run(args).await,
            Command::Service(args) => service::run(args).await,
            Command::Load(args) => load::run_tool(args).await,
        }
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standins: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Ends the process once whoever started it is gone.
fn exit_with_stdin() {
    let mut sink = std::io::sink();
    // Any error means that the other end is gone as well.
    let _ = std::io::copy(&mut std::io::stdin(), &mut sink);
    std::process::exit(0);
}
