//! Measures failover between regions with 160 router processes and an emulated network between them. Runs
//! scenarios in which zones are lost, flap or are cut off, and prints one line of measured figures at the end.
//! Where a figure misses its bound, the line names it and the exit code is not zero. A run that is void because
//! the machine was too busy is repeated once.

use chalkhall_cli::fleet::{program, run_scenario};
use chalkhall_harness::report;
use chalkhall_harness::run::{RunOptions, RunResults};
use chalkhall_harness::scenario::{Scenario, read_text};
use clap::Parser;
use std::process::ExitCode;

/// Checks where 160 router processes send requests while zones are down
#[derive(Parser)]
struct Arguments {
    /// Seed of all random draws; the bounds must hold with any
    #[arg(long, env = "SEED", default_value_t = 1)]
    seed: u64,
    /// Run only these scenarios, by name
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// Replace a directive (section and line) of every router, to see which bound fails without a safeguard
    #[arg(long)]
    with: Vec<String>,
}

const FLEET_FILE: &str = include_str!("../../../../harness/plays/two-regions.fleet");

/// Name, request rate, injected faults, and bounds that hold beside the rules.
const SCENARIOS: [(&str, f64, &str, &str); 7] = [
    (
        "lost",
        900.0,
        "at 7s for 5s lose location 1",
        "needless 2%\n plan 2s\n after 3s\n service 90%",
    ),
    (
        "turns",
        900.0,
        "at 7s for 4s lose location 1\n at 9s for 4s lose location 6",
        "needless 4%\n plan 2s\n after 3s\n service 90%",
    ),
    (
        "region",
        900.0,
        "at 7s for 5s lose region 0",
        "plan 2s\n after 4s\n service 85%",
    ),
    (
        "flaps",
        900.0,
        "at 6s for 1s lose location 1\n at 8s for 1s lose location 1\n at 10s for 1s lose location 1\n \
         at 12s for 1s lose location 1",
        "service 90%",
    ),
    (
        "ways",
        900.0,
        "at 5s for 12s ways 1 2 cut\n at 5s for 12s ways 1 6 lose 30%\n at 5s for 12s ways 6 1 lose 30%\n \
         at 6s for 12s ways all 7 slow by 5\n at 7s for 5s lose location 1",
        "needless 4%\n plan 2s\n after 3s\n service 85%",
    ),
    (
        "full",
        1400.0,
        "at 7s for 5s lose location 1\n at 7s for 5s lose location 4\n at 7s for 5s lose location 8",
        "after 5s\n service 70%",
    ),
    (
        "alone",
        900.0,
        "at 0s for 18s datagrams lost 100%",
        "service 98%",
    ),
];

fn parse_scenario(
    rate: f64,
    faults: &str,
    bounds: &str,
    extra_section: &str,
) -> Result<Scenario, String> {
    let text = format!(
        "{FLEET_FILE}\n{extra_section}\nwork {{\n seconds 19\n lead 5s\n rate {rate}\n uneven 6\n size 40\n}}\n\
         faults {{\n {faults}\n}}\nmust {{\n {bounds}\n}}\n"
    );
    let (scenario, faults) = read_text(&text);
    faults
        .first()
        .map_or(Ok(scenario), |fault| Err(fault.to_string()))
}

/// Adds a directive, given as its section and line, to every router's operator's file. It replaces the directives
/// of the same name in that section.
fn replace_directive(scenario: &mut Scenario, directive: &str) {
    let Some((section, rest)) = directive.split_once(' ') else {
        return;
    };
    let name = rest.split(' ').next().unwrap_or_default().to_owned();
    scenario
        .fleet
        .directives
        .retain(|(s, l)| s != section || l.split(' ').next() != Some(&name));
    scenario
        .fleet
        .directives
        .push((section.to_owned(), rest.to_owned()));
}

fn run_with_retry(
    name: &str,
    mut scenario: Scenario,
    arguments: &Arguments,
    void_runs: &mut usize,
) -> Result<RunResults, String> {
    let executable = std::env::current_exe().map_err(|e| e.to_string())?;
    arguments
        .with
        .iter()
        .for_each(|directive| replace_directive(&mut scenario, directive));
    for may_repeat in [true, false] {
        let program = program(&executable.with_file_name("chalkhall"), None);
        let setup = RunOptions {
            program,
            seed: arguments.seed,
            logs: None,
            progress: false,
        };
        let outcome = run_scenario(&scenario, setup)
            .map_err(|failure| format!("{name}: {}", failure.reason))?;
        println!("{name}: {}", report::figures_line(&outcome));
        outcome
            .violation_descriptions
            .iter()
            .for_each(|reason| println!("{name}: rule violated: {reason}"));
        match &outcome.void {
            Some(reason) if may_repeat => {
                *void_runs += 1;
                println!("{name}: void: {reason}");
            }
            _ => return Ok(outcome),
        }
    }
    Err(format!("{name}: both runs were void"))
}

fn prove(arguments: &Arguments) -> Result<(String, Vec<String>), String> {
    let (mut shortfalls, mut void_runs, mut all) = (Vec::new(), 0, Vec::new());
    let mut add_shortfalls = |name: &str, outcome: &RunResults, scenario: &Scenario| {
        shortfalls.extend(
            report::unmet_requirements(outcome, &scenario.requirements)
                .into_iter()
                .map(|reason| format!("{name}: {reason}")),
        );
    };
    let is_selected =
        |name: &str| arguments.only.is_empty() || arguments.only.iter().any(|only| only == name);
    for (name, rate, faults, bounds) in SCENARIOS.into_iter().filter(|(name, ..)| is_selected(name))
    {
        let scenario = parse_scenario(rate, faults, bounds, "")?;
        let outcome = run_with_retry(name, scenario.clone(), arguments, &mut void_runs)?;
        add_shortfalls(name, &outcome, &scenario);
        all.push((name, outcome));
    }
    let outcome_of = |name: &str| {
        all.iter()
            .find(|(n, _)| *n == name)
            .map(|(_, outcome)| outcome)
    };
    let mut line = vec![format!(
        "routers={}",
        all.first().map_or(0, |(_, outcome)| outcome.routers)
    )];
    if let Some(lost) = outcome_of("lost") {
        // The baseline is the same scenario with `regions in-common off`. Of the service that lies between the
        // baseline and the limit, at least two thirds must be won back.
        let mut baseline = parse_scenario(900.0, SCENARIOS[0].2, "", "")?;
        replace_directive(&mut baseline, "regions in-common off");
        let baseline = run_with_retry(
            "today",
            baseline,
            &Arguments {
                with: Vec::new(),
                ..clone_arguments(arguments)
            },
            &mut void_runs,
        )?;
        let (service, limit) = (lost.zone_metrics.lost_service, lost.zone_metrics.lost_limit);
        let baseline = baseline.zone_metrics.lost_service;
        if service < baseline + (limit - baseline) * 2.0 / 3.0 {
            shortfalls.push(format!(
                "service is {service:.3}, with service_today {baseline:.3} and service_limit {limit:.3}"
            ));
        }
        line.push(format!(
            "service={service:.3} service_today={baseline:.3} service_limit={limit:.3}"
        ));
        line.push(format!(
            "abroad_needless={:.4}",
            lost.zone_metrics.needless_redirects
        ));
        // With ten times the routers, each may send at most 1.3 times as many bytes of datagrams a second.
        let run_with_routers = |name: &str, routers: usize, void_runs: &mut usize| {
            let extra_section = format!("fleet {{\n routers {routers}\n}}\n");
            let fleet = FLEET_FILE.replace("    routers 160\n", "");
            let text = format!(
                "{fleet}\n{extra_section}\nwork {{\n seconds 9\n lead 4s\n rate {}\n}}\n",
                5 * routers
            );
            let (scenario, faults) = read_text(&text);
            faults
                .first()
                .map_or(Ok(()), |fault| Err(fault.to_string()))?;
            run_with_retry(name, scenario, arguments, void_runs)
        };
        let bytes_s = run_with_routers("calm", 160, &mut void_runs)?.datagram_bytes_per_s();
        let bytes_s_tenth = run_with_routers("tenth", 16, &mut void_runs)?.datagram_bytes_per_s();
        if bytes_s > 1.3 * bytes_s_tenth {
            shortfalls.push(format!(
                "bytes_s is {bytes_s:.0}, with {bytes_s_tenth:.0} for a tenth of the routers"
            ));
        }
        line.push(format!(
            "bytes_s={bytes_s:.0} bytes_s_tenth={bytes_s_tenth:.0}"
        ));
    }
    let plans = ["lost", "turns", "region", "ways"]
        .into_iter()
        .filter_map(outcome_of);
    let slowest_plan_s = plans
        .map(|s| {
            s.zone_metrics
                .time_to_redirect
                .map_or(f64::INFINITY, |p| p.as_secs_f64())
        })
        .fold(0.0, f64::max);
    let toppled: u64 = all
        .iter()
        .map(|(_, outcome)| outcome.zone_metrics.overloaded_zone_seconds)
        .sum();
    if toppled > 0 {
        shortfalls.push(format!("toppled is {toppled}, at most 0"));
    }
    let total = |figure: &dyn Fn(&RunResults) -> u64| -> u64 {
        all.iter().map(|(_, outcome)| figure(outcome)).sum()
    };
    line.push(format!("plan_s={slowest_plan_s:.3} toppled={toppled}"));
    line.push(format!(
        "alone_service={:.3}",
        outcome_of("alone").map_or(0.0, |outcome| outcome.service)
    ));
    line.push(format!(
        "double_runs={}",
        total(&|s| s.violations.double_runs)
    ));
    line.push(format!(
        "lost={}",
        total(&|s| s.violations.lost + s.violations.twice + s.violations.strange)
    ));
    line.push(format!("drain_breaks={}", total(&|s| s.violations.drain)));
    line.push(format!(
        "cold_falls={} stale={}",
        total(&|s| s.violations.cold),
        total(&|s| s.violations.stale)
    ));
    line.push(format!("plays={} void={void_runs}", all.len()));
    Ok((line.join(" "), shortfalls))
}

fn clone_arguments(arguments: &Arguments) -> Arguments {
    Arguments {
        seed: arguments.seed,
        only: arguments.only.clone(),
        with: arguments.with.clone(),
    }
}

fn main() -> ExitCode {
    match prove(&Arguments::parse()) {
        Ok((line, shortfalls)) if shortfalls.is_empty() => {
            println!("proof-regions: ok {line}");
            ExitCode::SUCCESS
        }
        Ok((line, shortfalls)) => {
            println!(
                "proof-regions: falls short: {}: {line}",
                shortfalls.join("; ")
            );
            ExitCode::FAILURE
        }
        Err(reason) => {
            println!("proof-regions: could not run: {reason}");
            ExitCode::FAILURE
        }
    }
}
