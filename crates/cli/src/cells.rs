//! `cells`: what a map of cells makes of a list of servers, before a router takes it over.

use crate::Failure;
use chalkhall::interface::Id;
use chalkhall_deployment as deployment;
use chalkhall_router::confined::plan;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::path::Path;

/// The caches of the router's location that its configuration knows, and the names of its categories.
fn known(config: &Path) -> Result<(BTreeSet<Id>, Vec<String>), Failure> {
    let fail = |what: &dyn std::fmt::Display| Failure::new(format!("{}: {what}", config.display()));
    let text = std::fs::read_to_string(config).map_err(|e| fail(&e))?;
    let file: Value = serde_json::from_str(&text).map_err(|e| fail(&e))?;
    let settings =
        file.get("settings").and_then(Value::as_object).ok_or_else(|| fail(&"settings is missing"))?;
    let names = deployment::names(settings).map_err(|e| fail(&e))?;
    let location = deployment::whole(settings, "Locality").map_err(|e| fail(&e))? as usize;
    let not_caches = deployment::parent_and_origin(settings);
    let events = file["known"]["notices"].as_array().cloned().unwrap_or_default();
    let mut servers = BTreeSet::new();
    for host in events.iter().filter_map(|event| event["pool"]["hosts"].as_array()).flatten() {
        let at =
            |key: &str, among: &[String]| among.iter().position(|n| Some(n.as_str()) == host[key].as_str());
        let kind = at("class", &names.kinds).map(|kind| kind as u64);
        let is_cache = kind.is_some() && !not_caches.contains(&kind);
        let Some(name) = host["host"].as_str() else { continue };
        if is_cache && at("site", &names.zones) == Some(location) && host["health"].as_str() == Some("active")
        {
            servers.insert(Id::from(name));
        } else {
            servers.remove(name);
        }
    }
    Ok((servers, names.categories))
}

/// Prints each cell with its servers, and every fault.
pub fn check(file: &Path, servers: &[String], config: Option<&Path>, as_json: bool) -> Result<(), Failure> {
    let (told, faults) = chalkhall_directives::read(file);
    if !faults.is_empty() {
        faults.iter().for_each(|fault| eprintln!("{fault}"));
        return Err(Failure::new(format!("{} faults", faults.len())));
    }
    let (mut caches, mut categories) = config.map(known).transpose()?.unwrap_or_default();
    caches.extend(servers.iter().map(|name| Id::from(name.as_str())));
    if config.is_none() {
        // Without the settings every category's name may be right.
        categories = told
            .cells
            .bindings
            .iter()
            .filter_map(|(bound, _)| match bound {
                chalkhall_directives::Bound::Category(name) => Some(name.clone()),
                _ => None,
            })
            .collect();
        categories.dedup();
    }
    let mut map = plan(&told.cells, &categories).map_err(Failure::new)?.map;
    map.place(&caches);
    let faults = map.faults();
    if as_json {
        let cells: Vec<Value> = map
            .report()
            .into_iter()
            .map(|(name, servers)| json!({"cell": name, "servers": servers.iter().map(|s| s.to_string()).collect::<Vec<_>>()}))
            .collect();
        println!(
            "{}",
            json!({"epoch": map.epoch(), "servers": caches.len(), "cells": cells, "faults": faults})
        );
    } else {
        println!("epoch {}, {} caches", map.epoch(), caches.len());
        for (name, servers) in map.report() {
            let share = servers.len() as f64 / caches.len().max(1) as f64 * 100.0;
            println!("{name}: {} ({share:.0} %): {}", servers.len(), servers.join(" "));
        }
        faults.iter().for_each(|fault| println!("fault: {fault}"));
    }
    match faults.len() {
        0 => Ok(()),
        n => Err(Failure::new(format!("{n} faults"))),
    }
}
