//! `cells`: what a map of cells makes of a list of servers, before a router takes it over.

use crate::Failure;
use chalkhall::interface::Id;
use chalkhall_cells::plan::{Place, Tenant, Why, plan as plan_of};
use chalkhall_router::cell_routing::plan;
use chalkhall_settings as deployment;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::path::Path;

/// The caches of the router's zone that its configuration knows, and the names of its classes.
fn known(config: &Path) -> Result<(BTreeSet<Id>, Vec<String>), Failure> {
    let fail = |what: &dyn std::fmt::Display| Failure::new(format!("{}: {what}", config.display()));
    let text = std::fs::read_to_string(config).map_err(|e| fail(&e))?;
    let file: Value = serde_json::from_str(&text).map_err(|e| fail(&e))?;
    let settings = file
        .get("settings")
        .and_then(Value::as_object)
        .ok_or_else(|| fail(&"settings is missing"))?;
    let names = deployment::names(settings).map_err(|e| fail(&e))?;
    let zone = deployment::whole(settings, "Locality").map_err(|e| fail(&e))? as usize;
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
    let (told, faults) = chalkhall_config::read(file);
    if !faults.is_empty() {
        faults.iter().for_each(|fault| eprintln!("{fault}"));
        return Err(Failure::new(format!("{} faults", faults.len())));
    }
    let (mut caches, mut classes) = config.map(known).transpose()?.unwrap_or_default();
    caches.extend(servers.iter().map(|name| Id::from(name.as_str())));
    if config.is_none() {
        // Without the settings every class's name may be right.
        classes = told
            .cells
            .bindings
            .iter()
            .filter_map(|(bound, _)| match bound {
                chalkhall_config::Bound::Class(name) => Some(name.clone()),
                _ => None,
            })
            .collect();
        classes.dedup();
    }
    let mut map = plan(&told.cells, &classes)
        .map_err(|error| Failure::new(error.to_string()))?
        .map;
    map.place(&caches);
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

/// The fleet in a file: cells and tenants.
fn fleet(file: &Path) -> Result<(Vec<Tenant>, Vec<Place>), String> {
    let text = std::fs::read_to_string(file).map_err(|e| e.to_string())?;
    let told: Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
    let rows = |name: &str| {
        told[name]
            .as_array()
            .cloned()
            .ok_or(format!("{name} is not an array"))
    };
    let text = |row: &Value, name: &str| {
        row[name]
            .as_str()
            .map(str::to_owned)
            .ok_or(format!("{name} of {row} is no text"))
    };
    let number = |row: &Value, name: &str| {
        row[name]
            .as_f64()
            .ok_or(format!("{name} of {row} is no number"))
    };
    let place = |row: &Value| {
        Ok(Place {
            name: text(row, "name")?,
            capacity: number(row, "capacity")?,
            cold: number(row, "cold")?,
        })
    };
    let places = rows("cells")?
        .iter()
        .map(place)
        .collect::<Result<Vec<Place>, String>>()?;
    let tenant = |row: &Value| {
        let cell = text(row, "cell")?;
        let cell = places
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
    Ok((tenants, places))
}

/// Prints what moves, and with `why` the reason and the cost.
pub fn plan_moves(file: &Path, most: &str, why: bool, as_json: bool) -> Result<(), Failure> {
    let fail = |what: String| Failure::new(format!("{}: {what}", file.display()));
    let share = most
        .strip_suffix('%')
        .and_then(|p| p.parse::<f64>().ok())
        .map(|p| p / 100.0);
    let share = share.ok_or_else(|| Failure {
        code: 2,
        what: format!("{most:?} is not a share, such as 80%"),
    })?;
    let (tenants, places) = fleet(file).map_err(fail)?;
    let plan = plan_of(&tenants, &places, share).map_err(fail)?;
    let reason = |why: Why| match why {
        Why::Crowded(share) => format!(
            "its cell is asked for {:.0} % of what it bears",
            share * 100.0
        ),
        Why::Closed => "its cell bears nothing any more".to_owned(),
    };
    let name = |cell: usize| places[cell].name.as_str();
    if as_json {
        let steps: Vec<Value> = plan
            .steps
            .iter()
            .map(|s| {
                let tenant = &tenants[s.tenant];
                json!({"tenant": tenant.name, "from": name(s.from), "to": name(s.to), "why": reason(s.why),
                    "fill_kb": tenant.fill_kb})
            })
            .collect();
        let stuck: Vec<&str> = plan
            .stuck
            .iter()
            .map(|n| tenants[*n].name.as_str())
            .collect();
        println!(
            "{}",
            json!({"moves": steps, "stuck": stuck, "fill_kb": plan.fill_kb, "bound_kb": plan.bound_kb,
            "fullest_before": plan.fullest[0], "fullest_after": plan.fullest[1]})
        );
    } else {
        for step in &plan.steps {
            let tenant = &tenants[step.tenant];
            let more = if why {
                format!(": {}; {:.0} KB to fill", reason(step.why), tenant.fill_kb)
            } else {
                String::new()
            };
            println!(
                "move {} from {} to {}{more}",
                tenant.name,
                name(step.from),
                name(step.to)
            );
        }
        plan.stuck
            .iter()
            .for_each(|n| println!("no room now for {}", tenants[*n].name));
        println!(
            "{} moves, {:.0} KB to fill (no plan less than {:.0}); the fullest cell: {:.0} %, then {:.0} %",
            plan.steps.len(),
            plan.fill_kb,
            plan.bound_kb,
            plan.fullest[0] * 100.0,
            plan.fullest[1] * 100.0
        );
    }
    match plan.stuck.len() {
        0 => Ok(()),
        n => Err(Failure::new(format!("{n} find no room now"))),
    }
}
