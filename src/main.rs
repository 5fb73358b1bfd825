//! The command line of the border controller.

mod commands;

use argh::{EarlyExit, FromArgs};
use commands::audit::Audit;
use commands::check::Check;
use commands::fleet_audit::FleetAudit;
use commands::lab::Lab;
use commands::plan::Plan;
use commands::serve::Serve;
use commands::version::Version;
use std::process::ExitCode;

/// The program's name, as it stands before what it says is wrong.
const PROGRAM: &str = "corkreach";

/// A border controller for call set-ups towards a few call servers.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Audit(Audit),
    Serve(Serve),
    Check(Check),
    Fleet(Fleet),
    Lab(Lab),
    Plan(Plan),
    Version(Version),
}

/// Look after a fleet of border controllers.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
struct Fleet {
    #[argh(subcommand)]
    command: FleetCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum FleetCommand {
    Audit(FleetAudit),
}

impl Command {
    fn run(self) -> Result<(), String> {
        match self {
            Command::Audit(audit) => audit.run(),
            Command::Serve(serve) => serve.run(),
            Command::Check(check) => check.run(),
            Command::Fleet(Fleet { command: FleetCommand::Audit(audit) }) => audit.run(),
            Command::Lab(lab) => lab.run(),
            Command::Plan(plan) => plan.run(),
            Command::Version(version) => {
                version.run();
                Ok(())
            }
        }
    }
}

/// Reads the command line and does what it says; help that is asked for is printed.
fn run(arguments: &[&str]) -> Result<(), String> {
    match Args::from_args(&[PROGRAM], arguments) {
        Ok(args) => args.command.run(),
        Err(EarlyExit { output, status: Ok(()) }) => {
            println!("{output}");
            Ok(())
        }
        Err(EarlyExit { output, .. }) => Err(complaint(&output)),
    }
}

/// What is wrong with a command line, in one line. The first line of argh's text says it; the rest is the usage.
fn complaint(output: &str) -> String {
    let lines = output.lines().map(str::trim).filter(|line| !line.is_empty());
    let lines: Vec<&str> = lines.take_while(|line| !line.starts_with("Run ")).collect();
    lines.join(" ")
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{PROGRAM}: {message}");
            ExitCode::FAILURE
        }
    }
}
