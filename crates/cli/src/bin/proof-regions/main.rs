//! Proves what regions in common do over 160 real routers with a network between them: plays zones lost,
//! flapping and cut off, and ends on one line of measured figures; non-zero where one falls short, with its
//! name. A play that is void, because the machine was busy, is played once more.

use chalkhall_cli::fleet::{played, program};
use chalkhall_harness::play::{Play, read_text};
use chalkhall_harness::report;
use chalkhall_harness::run::{Setup, Shown};
use clap::Parser;
use std::process::ExitCode;

/// Proves where requests go when places are down, over 160 processes
#[derive(Parser)]
struct Arguments {
    /// Any seed must hold
    #[arg(long, env = "SEED", default_value_t = 1)]
    seed: u64,
    /// Only some plays, by name
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// Another operator's line for every router, to see a guard taken out fall short
    #[arg(long)]
    with: Vec<String>,
}

const FLEET: &str = include_str!("../../../../harness/plays/two-regions.fleet");

/// Name, rate, what breaks, and what must hold beside the rules.
const PLAYS: [(&str, f64, &str, &str); 7] = [
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

fn play_of(rate: f64, faults: &str, must: &str, more: &str) -> Result<Play, String> {
    let text = format!(
        "{FLEET}\n{more}\nwork {{\n seconds 19\n lead 5s\n rate {rate}\n uneven 6\n size 40\n}}\n\
         faults {{\n {faults}\n}}\nmust {{\n {must}\n}}\n"
    );
    let (play, faults) = read_text(&text);
    faults
        .first()
        .map_or(Ok(play), |fault| Err(fault.to_string()))
}

/// A line of every router's operator's file, in place of the one of its name.
fn with(play: &mut Play, line: &str) {
    let Some((section, rest)) = line.split_once(' ') else {
        return;
    };
    let name = rest.split(' ').next().unwrap_or_default().to_owned();
    play.fleet
        .directives
        .retain(|(s, l)| s != section || l.split(' ').next() != Some(&name));
    play.fleet
        .directives
        .push((section.to_owned(), rest.to_owned()));
}

fn once(
    name: &str,
    mut play: Play,
    arguments: &Arguments,
    voids: &mut usize,
) -> Result<Shown, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    arguments.with.iter().for_each(|line| with(&mut play, line));
    for again in [true, false] {
        let program = program(&own.with_file_name("chalkhall"), None);
        let setup = Setup {
            program,
            seed: arguments.seed,
            logs: None,
            progress: false,
        };
        let shown = played(&play, setup).map_err(|failure| format!("{name}: {}", failure.what))?;
        println!("{name}: {}", report::line(&shown));
        shown
            .words
            .iter()
            .for_each(|what| println!("{name}: rule: {what}"));
        match &shown.void {
            Some(what) if again => {
                *voids += 1;
                println!("{name}: void: {what}");
            }
            _ => return Ok(shown),
        }
    }
    Err(format!("{name}: void twice"))
}

fn prove(arguments: &Arguments) -> Result<(String, Vec<String>), String> {
    let (mut short, mut voids, mut all) = (Vec::new(), 0, Vec::new());
    let mut found = |name: &str, shown: &Shown, play: &Play| {
        short.extend(
            report::short(shown, &play.must)
                .into_iter()
                .map(|what| format!("{name}: {what}")),
        );
    };
    let wanted =
        |name: &str| arguments.only.is_empty() || arguments.only.iter().any(|only| only == name);
    for (name, rate, faults, must) in PLAYS.into_iter().filter(|(name, ..)| wanted(name)) {
        let play = play_of(rate, faults, must, "")?;
        let shown = once(name, play.clone(), arguments, &mut voids)?;
        found(name, &shown, &play);
        all.push((name, shown));
    }
    let of = |name: &str| all.iter().find(|(n, _)| *n == name).map(|(_, shown)| shown);
    let mut line = vec![format!(
        "routers={}",
        all.first().map_or(0, |(_, shown)| shown.routers)
    )];
    if let Some(lost) = of("lost") {
        let mut today = play_of(900.0, PLAYS[0].2, "", "")?;
        with(&mut today, "regions in-common off");
        let today = once(
            "today",
            today,
            &Arguments {
                with: Vec::new(),
                ..copy(arguments)
            },
            &mut voids,
        )?;
        let (service, limit) = (lost.of_places.lost_service, lost.of_places.lost_limit);
        let today = today.of_places.lost_service;
        if service < today + (limit - today) * 2.0 / 3.0 {
            short.push(format!(
                "service {service:.3}: today {today:.3}, limit {limit:.3}"
            ));
        }
        line.push(format!(
            "service={service:.3} service_today={today:.3} service_limit={limit:.3}"
        ));
        line.push(format!("abroad_needless={:.4}", lost.of_places.needless));
        let tenth = |name: &str, routers: usize, voids: &mut usize| {
            let more = format!("fleet {{\n routers {routers}\n}}\n");
            let fleet = FLEET.replace("    routers 160\n", "");
            let text = format!(
                "{fleet}\n{more}\nwork {{\n seconds 9\n lead 4s\n rate {}\n}}\n",
                5 * routers
            );
            let (play, faults) = read_text(&text);
            faults
                .first()
                .map_or(Ok(()), |fault| Err(fault.to_string()))?;
            once(name, play, arguments, voids)
        };
        let many = tenth("calm", 160, &mut voids)?.bytes_s();
        let few = tenth("tenth", 16, &mut voids)?.bytes_s();
        if many > 1.3 * few {
            short.push(format!("bytes_s {many:.0}: {few:.0} at a tenth"));
        }
        line.push(format!("bytes_s={many:.0} bytes_s_tenth={few:.0}"));
    }
    let plans = ["lost", "turns", "region", "ways"]
        .into_iter()
        .filter_map(of);
    let plan = plans
        .map(|s| s.of_places.plan.map_or(f64::INFINITY, |p| p.as_secs_f64()))
        .fold(0.0, f64::max);
    let toppled: u64 = all.iter().map(|(_, shown)| shown.of_places.toppled).sum();
    if toppled > 0 {
        short.push(format!("toppled {toppled}"));
    }
    let breaks =
        |of: &dyn Fn(&Shown) -> u64| -> u64 { all.iter().map(|(_, shown)| of(shown)).sum() };
    line.push(format!("plan_s={plan:.3} toppled={toppled}"));
    line.push(format!(
        "alone_service={:.3}",
        of("alone").map_or(0.0, |shown| shown.service)
    ));
    line.push(format!("double_runs={}", breaks(&|s| s.breaks.double_runs)));
    line.push(format!(
        "lost={}",
        breaks(&|s| s.breaks.lost + s.breaks.twice + s.breaks.strange)
    ));
    line.push(format!("drain_breaks={}", breaks(&|s| s.breaks.drain)));
    line.push(format!(
        "cold_falls={} stale={}",
        breaks(&|s| s.breaks.cold),
        breaks(&|s| s.breaks.stale)
    ));
    line.push(format!("plays={} void={voids}", all.len()));
    Ok((line.join(" "), short))
}

fn copy(arguments: &Arguments) -> Arguments {
    Arguments {
        seed: arguments.seed,
        only: arguments.only.clone(),
        with: arguments.with.clone(),
    }
}

fn main() -> ExitCode {
    match prove(&Arguments::parse()) {
        Ok((line, short)) if short.is_empty() => {
            println!("proof-regions: ok {line}");
            ExitCode::SUCCESS
        }
        Ok((line, short)) => {
            println!("proof-regions: falls short: {}: {line}", short.join("; "));
            ExitCode::FAILURE
        }
        Err(what) => {
            println!("proof-regions: could not be played: {what}");
            ExitCode::FAILURE
        }
    }
}
