//! `cells`: checks a cell map against a list of servers before a router uses it, and plans moves of tenants.

use crate::Failure;
use chalkhall::interface::Id;
use chalkhall_cells::plan::{CellCapacity, Reason, Tenant, plan as plan_of};
use chalkhall_router::cell_routing::read_cell_plan;
use chalkhall_settings as deployment;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::path::Path;

/// The active cache servers of the router's zone in its configuration, and the names of its classes.
fn servers_and_classes(config: &Path) -> Result<(BTreeSet<Id>, Vec<String>), Failure> {
    let fail = |what: &dyn std::fmt::Display| Failure::new(format!("{}: {what}", config.display()));
    let text = std::fs::read_to_string(config).map_err(|e| fail(&e))?;
    let file: Value = serde_json::from_str(&text).map_err(|e| fail(&e))?;
    let settings = file
        .get("settings")
        .and_then(Value::as_object)
        .ok_or_else(|| fail(&"settings is missing"))?;
    let names = deployment::names(settings).map_err(|e| fail(&e))?;
    let zone = deployment::unsigned(settings, "Locality").map_err(|e| fail(&e))? as usize;
    let not_caches = deployment::parent_and_origin(settings);
    let events = file["known"]["notices"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let mut servers = BTreeSet::new();
    for host in events
        .iter()
        .filter_map(|event| event["pool"]["hosts"].as_array())
        .flatten()
    {
        let at = |key: &str, among: &[String]| {
            among
                .iter()
                .position(|n| Some(n.as_str()) == host[key].as_str())
        };
        let kind = at("class", &names.kinds).map(|kind| kind as u64);
        let is_cache = kind.is_some() && !not_caches.contains(&kind);
        let Some(name) = host["host"].as_str() else {
            continue;
        };
        if is_cache
            && at("site", &names.zones) == Some(zone)
            && host["health"].as_str() == Some("active")
        {
            servers.insert(Id::from(name));
        } else {
            servers.remove(name);
        }
    }
    Ok((servers, names.classes))
}

/// Prints each cell with its servers, and every fault.
pub fn check(
    file: &Path,
    servers: &[String],
    config: Option<&Path>,
    as_json: bool,
) -> Result<(), Failure> {
    let (directives, faults) = chalkhall_config::read(file);
    if !faults.is_empty() {
        faults.iter().for_each(|fault| eprintln!("{fault}"));
        return Err(Failure::new(format!("{} faults", faults.len())));
    }
    let (mut caches, mut classes) = config
        .map(servers_and_classes)
        .transpose()?
        .unwrap_or_default();
    caches.extend(servers.iter().map(|name| Id::from(name.as_str())));
    if config.is_none() {
        // Without the settings, class names cannot be checked: all are accepted.
        classes = directives
            .cells
            .bindings
            .iter()
            .filter_map(|(bound, _)| match bound {
                chalkhall_config::Scope::Class(name) => Some(name.clone()),
                _ => None,
            })
            .collect();
        classes.dedup();
    }
    let mut map = read_cell_plan(&directives.cells, &classes)
        .map_err(|error| Failure::new(error.to_string()))?
        .map;
    map.assign(&caches);
    let faults = map.faults();
    if as_json {
        let cells: Vec<Value> = map
            .report()
            .into_iter()
            .map(|(name, servers)| {
                let servers: Vec<String> = servers.iter().map(|s| s.to_string()).collect();
                json!({"cell": name, "servers": servers})
            })
            .collect();
        println!(
            "{}",
            json!({"epoch": map.epoch(), "servers": caches.len(), "cells": cells, "faults": faults})
        );
    } else {
        println!("epoch {}, {} caches", map.epoch(), caches.len());
        for (name, servers) in map.report() {
            let share = servers.len() as f64 / caches.len().max(1) as f64 * 100.0;
            println!(
                "{name}: {} ({share:.0} %): {}",
                servers.len(),
                servers.join(" ")
            );
        }
        faults.iter().for_each(|fault| println!("fault: {fault}"));
    }
    match faults.len() {
        0 => Ok(()),
        n => Err(Failure::new(format!("{n} faults"))),
    }
}

/// Reads the cells and tenants in a fleet file.
fn read_fleet(file: &Path) -> Result<(Vec<Tenant>, Vec<CellCapacity>), String> {
    let text = std::fs::read_to_string(file).map_err(|e| e.to_string())?;
    let fleet: Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
    let rows = |name: &str| {
        fleet[name]
            .as_array()
            .cloned()
            .ok_or(format!("{name} is not an array"))
    };
    let text = |row: &Value, name: &str| {
        row[name]
            .as_str()
            .map(str::to_owned)
            .ok_or(format!("{name} of {row} is not a string"))
    };
    let number = |row: &Value, name: &str| {
        row[name]
            .as_f64()
            .ok_or(format!("{name} of {row} is not a number"))
    };
    let cell_capacity = |row: &Value| {
        Ok(CellCapacity {
            name: text(row, "name")?,
            capacity: number(row, "capacity")?,
            cold_share: number(row, "cold")?,
        })
    };
    let cells = rows("cells")?
        .iter()
        .map(cell_capacity)
        .collect::<Result<Vec<CellCapacity>, String>>()?;
    let tenant = |row: &Value| {
        let cell = text(row, "cell")?;
        let cell = cells
            .iter()
            .position(|p| p.name == cell)
            .ok_or(format!("{cell} is not a cell"))?;
        Ok(Tenant {
            name: text(row, "name")?,
            load: number(row, "load")?,
            fill_kb: number(row, "fill_kb")?,
            cell,
        })
    };
    let tenants = rows("tenants")?
        .iter()
        .map(tenant)
        .collect::<Result<Vec<Tenant>, String>>()?;
    Ok((tenants, cells))
}

/// Plans and prints moves, with `why` also the reason and the cost of each.
pub fn plan_moves(file: &Path, most: &str, why: bool, as_json: bool) -> Result<(), Failure> {
    let fail = |what: String| Failure::new(format!("{}: {what}", file.display()));
    let share = most
        .strip_suffix('%')
        .and_then(|p| p.parse::<f64>().ok())
        .map(|p| p / 100.0);
    let share = share.ok_or_else(|| Failure {
        code: 2,
        what: format!("{most:?} is not a percentage such as 80%"),
    })?;
    let (tenants, cells) = read_fleet(file).map_err(fail)?;
    let plan = plan_of(&tenants, &cells, share).map_err(fail)?;
    let explain = |reason: Reason| match reason {
        Reason::Overloaded(utilization) => format!(
            "its cell is at {:.0} % of its capacity",
            utilization * 100.0
        ),
        Reason::Closed => "its cell has no capacity".to_owned(),
    };
    let name = |cell: usize| cells[cell].name.as_str();
    if as_json {
        let moves: Vec<Value> = plan.moves
            .iter()
            .map(|s| {
                let tenant = &tenants[s.tenant];
                json!({"tenant": tenant.name, "from": name(s.from), "to": name(s.to), "why": explain(s.reason),
                    "fill_kb": tenant.fill_kb})
            })
            .collect();
        let unplaced: Vec<&str> = plan
            .unplaced
            .iter()
            .map(|n| tenants[*n].name.as_str())
            .collect();
        println!(
            "{}",
            json!({"moves": moves, "stuck": unplaced, "fill_kb": plan.fill_kb, "bound_kb": plan.lower_bound_kb,
            "fullest_before": plan.peak_utilization[0], "fullest_after": plan.peak_utilization[1]})
        );
    } else {
        for planned in &plan.moves {
            let tenant = &tenants[planned.tenant];
            let more = if why {
                format!(
                    ": {}; {:.0} KB to fill",
                    explain(planned.reason),
                    tenant.fill_kb
                )
            } else {
                String::new()
            };
            println!(
                "move {} from {} to {}{more}",
                tenant.name,
                name(planned.from),
                name(planned.to)
            );
        }
        plan.unplaced
            .iter()
            .for_each(|n| println!("no cell has room for {}", tenants[*n].name));
        println!(
            "{} moves, {:.0} KB to fill (lower bound {:.0}); peak utilization {:.0} % before, {:.0} % after",
            plan.moves.len(),
            plan.fill_kb,
            plan.lower_bound_kb,
            plan.peak_utilization[0] * 100.0,
            plan.peak_utilization[1] * 100.0
        );
    }
    match plan.unplaced.len() {
        0 => Ok(()),
        n => Err(Failure::new(format!("{n} tenants cannot be placed"))),
    }
}
