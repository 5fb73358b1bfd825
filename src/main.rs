//! The command line of the border controller.

use argh::{EarlyExit, FromArgs};
use corkreach::audit::{self, AuditSettings};
use corkreach::control::ControlSettings;
use corkreach::fleet_audit::peers::Peers;
use corkreach::fleet_audit::{Desired, Remedy};
use corkreach::fronts::Fronts;
use corkreach::limits::LimitSettings;
use corkreach::net::driver::Decisions;
use corkreach::net::startup::Inputs;
use corkreach::recovery::{self, SiteSettings};
use corkreach::version;
use corkreach::{config, fleet_audit, logger, net};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

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

/// Serve callers until SIGTERM.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// configuration file (else GW_CONFIG)
    #[argh(option)]
    config: Option<PathBuf>,
    /// address to listen on (else GW_LISTEN, else the configuration's)
    #[argh(option)]
    listen: Option<SocketAddr>,
    /// address for operators (else GW_MANAGEMENT, else the configuration's, else none)
    #[argh(option)]
    management: Option<SocketAddr>,
    /// the operator's file of further fronts, YAML (else GW_FRONTS, else none: only the platform's own)
    #[argh(option)]
    fronts: Option<PathBuf>,
    /// the operator's file of fleet limits, YAML (else GW_LIMITS, else none: no retry budget, fixed redials)
    #[argh(option)]
    limits: Option<PathBuf>,
    /// the operator's file of sites, YAML (else GW_SITES, else none: no plan for the loss of a site)
    #[argh(option)]
    sites: Option<PathBuf>,
    /// the operator's file for the audit record, YAML (else GW_AUDIT, else none: nothing is recorded)
    #[argh(option)]
    audit: Option<PathBuf>,
    /// the operator's file of the fleet's control plane, YAML (else GW_FLEET, else none: no budgets shared with others)
    #[argh(option)]
    fleet: Option<PathBuf>,
    /// least weighty log lines written: error, warn, info, debug or trace (info)
    #[argh(option, default = "log::LevelFilter::Info")]
    log: log::LevelFilter,
}

/// Read an audit log: its decisions, one a line, and what they add up to.
#[derive(FromArgs)]
#[argh(subcommand, name = "audit")]
struct Audit {
    /// the log's folder
    #[argh(positional)]
    folder: PathBuf,
    /// print each entry as JSON
    #[argh(switch)]
    json: bool,
    /// print the sums alone
    #[argh(switch)]
    sums: bool,
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

/// Ask every instance what it acts on, name the stragglers and the unreachable, and bring up or shut out the former.
#[derive(FromArgs)]
#[argh(subcommand, name = "audit")]
struct FleetAudit {
    /// the file of the fleet's instances, YAML (deploy/fleet.yaml)
    #[argh(option)]
    peers: PathBuf,
    /// tell stragglers whose configuration alone is old to read it again
    #[argh(switch)]
    bring_up: bool,
    /// take stragglers out of service, and wait until their calls are over
    #[argh(switch)]
    shut_out: bool,
    /// id of the version to hold the fleet to (else the most common one)
    #[argh(option)]
    desired: Option<String>,
    /// hold the fleet to this configuration, with the most common of all else
    #[argh(option)]
    desired_config: Option<PathBuf>,
    /// print JSON in place of a table
    #[argh(switch)]
    json: bool,
}

/// Read a configuration and say whether it will do.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// configuration file (else GW_CONFIG)
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Play a lab scenario: a fleet of this program's processes, stand-in call servers and faults between them,
/// once with fleet limits off and once on; tables, a summary and a chart are written to the results folder.
#[derive(FromArgs)]
#[argh(subcommand, name = "lab")]
struct Lab {
    /// the scenario, YAML (deploy/lab/crash.yaml is one)
    #[argh(positional)]
    scenario: PathBuf,
    /// folder for the results (results/lab)
    #[argh(option, default = "PathBuf::from(\"results/lab\")")]
    out: PathBuf,
    /// a seed in place of the scenario's
    #[argh(option)]
    seed: Option<u64>,
    /// border controllers in place of the scenario's; the load offered in all stays the same
    #[argh(option)]
    instances: Option<usize>,
}

/// Say what the plan for the loss of a site does once given sites are lost. Nothing is started or asked.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
struct Plan {
    /// the operator's file of sites, YAML
    #[argh(option)]
    sites: PathBuf,
    /// a site that is lost; may be given more than once
    #[argh(option)]
    lose: Vec<String>,
    /// a class of calls, its worth and its part of them, as verdict-set:3:0.3; may be given more than once
    #[argh(option)]
    class: Vec<String>,
    /// print JSON in place of a table
    #[argh(switch)]
    json: bool,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn source(
    path: Option<PathBuf>,
    listen: Option<SocketAddr>,
    management: Option<SocketAddr>,
) -> Result<config::Source, String> {
    let variable = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
    let path = path.or_else(|| variable("GW_CONFIG").map(PathBuf::from));
    let path = path.ok_or("no configuration: give --config or set GW_CONFIG")?;
    let address = |given: Option<SocketAddr>, name: &str| match (given, variable(name)) {
        (None, Some(text)) => text.parse().map(Some).map_err(|e| format!("{name} {text}: {e}")),
        (given, _) => Ok(given),
    };
    let (listen, management) = (address(listen, "GW_LISTEN")?, address(management, "GW_MANAGEMENT")?);
    Ok(config::Source { path, listen, management, name: variable("GW_NAME") })
}

/// A class as `--class` gives it.
fn mix(text: &str) -> Result<recovery::Mix, String> {
    let wrong = || format!("--class {text}: NAME:WORTH:PART is wanted, with a part above 0");
    let mut fields = text.split(':');
    let (Some(class), Some(worth), Some(part), None) =
        (fields.next(), fields.next(), fields.next(), fields.next())
    else {
        return Err(wrong());
    };
    let figure = |text: &str| text.parse::<f64>().ok().filter(|n| n.is_finite());
    match (figure(worth), figure(part).filter(|part| *part > 0.0)) {
        (Some(worth), Some(part)) if !class.is_empty() => {
            Ok(recovery::Mix { class: class.to_owned(), worth, part })
        }
        _ => Err(wrong()),
    }
}

fn read_audit(command: &Audit) -> Result<(), String> {
    let folder = command.folder.display();
    let files = audit::read_folder(&command.folder).map_err(|e| format!("{folder}: {e}"))?;
    let mut sums = std::collections::BTreeMap::new();
    let (mut finals, mut damaged) = (0u64, 0u64);
    for (path, read) in &files {
        let mut version = String::new();
        for entry in &read.entries {
            if let audit::Entry::Version { version: now, .. } = entry {
                version = now.id();
            }
            if let audit::Entry::Decision(r) = entry {
                *sums.entry(r.decision.name()).or_insert(0u64) += 1;
                finals += u64::from(r.decision.is_final());
            }
            if command.json {
                println!("{}", serde_json::to_string(entry).map_err(|e| e.to_string())?);
            } else if let (false, audit::Entry::Decision(r)) = (command.sums, entry) {
                println!("{} {:016x} version={version} {:?}", r.at_ms, r.call, r.decision);
            }
        }
        if read.torn > 0 {
            eprintln!("{}: {} bytes torn at its end are left out", path.display(), read.torn);
        }
        if let Some(at) = read.damaged_at {
            damaged += 1;
            eprintln!("{}: damaged at byte {at}; what follows is not read", path.display());
        }
    }
    if !command.json {
        for (name, n) in &sums {
            println!("{name:<12} {n}");
        }
        println!("{:<12} {finals}", "final");
    }
    if damaged > 0 { Err(format!("{damaged} of {} files are damaged", files.len())) } else { Ok(()) }
}

fn fleet_audit(command: &FleetAudit) -> Result<(), String> {
    let peers = Peers::read(&command.peers)?;
    let remedy = match (command.bring_up, command.shut_out) {
        (true, true) => return Err("--bring-up or --shut-out, not both".into()),
        (true, false) => Remedy::BringUp,
        (false, true) => Remedy::ShutOut,
        (false, false) => Remedy::Report,
    };
    let desired = match (&command.desired, &command.desired_config) {
        (Some(_), Some(_)) => return Err("--desired or --desired-config, not both".into()),
        (Some(id), None) => Desired::Id(id.clone()),
        (None, Some(path)) => {
            let told = |e: String| format!("{}: {e}", path.display());
            let text = std::fs::read(path).map_err(|e| told(e.to_string()))?;
            let (config, settings) = version::digests(&text).map_err(told)?;
            Desired::Config { config, settings }
        }
        (None, None) => Desired::Common,
    };
    let report = fleet_audit::run::run(&peers, remedy, desired);
    if command.json {
        println!("{}", serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?);
    } else {
        print!("{}", report.table());
    }
    let bad = report.rows.iter().filter(|r| !r.standing.good()).count();
    if report.clean() {
        Ok(())
    } else {
        Err(format!(
            "{bad} of {} instances are not on the desired version, or not known to be",
            report.rows.len()
        ))
    }
}

/// Reads everything that `serve` starts on, and starts the log.
fn read_inputs(serve: Serve) -> Result<Inputs, String> {
    let source = source(serve.config, serve.listen, serve.management)?;
    let config = source.read()?;
    let fronts = serve.fronts.or_else(|| std::env::var_os("GW_FRONTS").map(PathBuf::from));
    let fronts_read = fronts.as_deref().map_or_else(|| Ok(Fronts::default()), Fronts::read)?;
    let limits = serve.limits.or_else(|| std::env::var_os("GW_LIMITS").map(PathBuf::from));
    let limits_read = limits.as_deref().map(LimitSettings::read).transpose()?;
    let sites = serve.sites.or_else(|| std::env::var_os("GW_SITES").map(PathBuf::from));
    let sites_read = sites.as_deref().map(SiteSettings::read).transpose()?;
    let audit = serve.audit.or_else(|| std::env::var_os("GW_AUDIT").map(PathBuf::from));
    let audit = audit.as_deref().map(AuditSettings::read).transpose()?;
    let fleet = serve.fleet.or_else(|| std::env::var_os("GW_FLEET").map(PathBuf::from));
    let read = |path: &PathBuf| ControlSettings::read(path).map(|settings| (settings, path.clone()));
    let control = fleet.as_ref().map(read).transpose()?;
    let [fronts, limits, sites, fleet] = [&fronts, &limits, &sites, &fleet].map(|path| path.as_deref());
    let version = version::Version::new(config.digests.clone(), fronts, limits, sites, fleet)?;
    logger::start(&config.name, serve.log)?;
    let decisions = Decisions { limits: limits_read, sites: sites_read, control, audit, version };
    Ok(Inputs { config, source, fronts: fronts_read, decisions })
}

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Serve(serve) => net::startup::run(move || read_inputs(serve)),
        Command::Check(check) => {
            let config = source(check.config, None, None)?.read()?;
            println!(
                "{}: {} call servers known, listening on {}",
                config.name,
                config.known.len(),
                config.listen
            );
            Ok(())
        }
        Command::Lab(lab) => {
            let mut scenario = corkreach::lab::Scenario::read(&lab.scenario)?;
            scenario.seed = lab.seed.unwrap_or(scenario.seed);
            if let Some(n) = lab.instances {
                scenario.resize(n);
            }
            let program = std::env::current_exe().map_err(|e| format!("this program's path: {e}"))?;
            let figures = corkreach::lab::play(&scenario, &program, &lab.out)?;
            let summary = corkreach::lab::results::write(&figures, &lab.out)?;
            println!("{}", corkreach::lab::results::table(&summary));
            println!("results in {}", lab.out.display());
            Ok(())
        }
        Command::Plan(plan) => {
            let settings = SiteSettings::read(&plan.sites)?;
            if plan.lose.is_empty() {
                return Err("no site to lose: give --lose".into());
            }
            let mix = plan.class.iter().map(|text| mix(text)).collect::<Result<Vec<_>, _>>()?;
            let one = recovery::Mix { class: "all".into(), worth: 1.0, part: 1.0 };
            let mix = if mix.is_empty() { vec![one] } else { mix };
            let run = recovery::dry_run(&settings, &plan.lose, &mix)?;
            if plan.json {
                println!("{}", serde_json::to_string_pretty(&run).map_err(|e| e.to_string())?);
            } else {
                print!("{}", run.table());
            }
            Ok(())
        }
        Command::Audit(audit) => read_audit(&audit),
        Command::Fleet(Fleet { command: FleetCommand::Audit(audit) }) => fleet_audit(&audit),
        Command::Version(_) => {
            let commit = option_env!("CORKREACH_COMMIT").unwrap_or("unknown");
            println!("corkreach {} (commit {commit})", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let result = match Args::from_args(&["corkreach"], &arguments) {
        Ok(args) => run(args.command),
        Err(EarlyExit { output, status: Ok(()) }) => {
            println!("{output}");
            Ok(())
        }
        // The first line says what is wrong; the rest is the usage.
        Err(EarlyExit { output, .. }) => {
            let lines: Vec<&str> = output.lines().map(str::trim).filter(|l| !l.is_empty()).collect();
            Err(lines.iter().take_while(|l| !l.starts_with("Run ")).copied().collect::<Vec<_>>().join(" "))
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("corkreach: {message}");
            ExitCode::FAILURE
        }
    }
}
