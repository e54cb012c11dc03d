//! Faults of the scenario: their targets, start, steps and end.

use super::{DiscoveryChange, FRONT_CHECK_INTERVAL, Runner, Timer};
use crate::processes::RouterProcess;
use crate::scenario::{Amount, Fault, FaultKind, Target};
use crate::server_model::{ListStatus, Tier};
use crate::workload;
use crate::zone_network::{self, ZoneNetwork};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

impl Runner {
    /// Draws the targets from the seed.
    pub(super) fn pick_targets(&mut self, target: Target) -> Vec<usize> {
        let servers = self
            .model
            .servers
            .iter()
            .enumerate()
            .filter(|(_, s)| s.list_status == ListStatus::Active && !s.is_down);
        let (all, amount): (Vec<usize>, Amount) = match target {
            Target::Caches(amount) => (
                servers
                    .filter(|(_, s)| matches!(s.tier, Tier::Cache(_)))
                    .map(|(n, _)| n)
                    .collect(),
                amount,
            ),
            Target::Parents(amount) => (
                servers
                    .filter(|(_, s)| s.tier == Tier::Parent)
                    .map(|(n, _)| n)
                    .collect(),
                amount,
            ),
            Target::Zone(at) => (
                servers
                    .filter(|(_, s)| s.tier == Tier::Cache(at))
                    .map(|(n, _)| n)
                    .collect(),
                Amount::Share(1.0),
            ),
            Target::Routers(amount) => (
                (0..self.routers.len())
                    .filter(|r| self.routers[*r].child.is_some())
                    .collect(),
                amount,
            ),
        };
        let mut all = all;
        self.rng.shuffle(&mut all);
        all.truncate(amount.of(all.len()));
        all
    }

    pub(super) fn start_fault(&mut self, n: usize) {
        let now = self.now();
        let Fault { duration, kind, .. } = self.scenario.faults[n];
        let targets = match kind {
            FaultKind::Slow(target, _)
            | FaultKind::Errors(target)
            | FaultKind::Silent(target)
            | FaultKind::Apart(target, _)
            | FaultKind::Resets(target, _)
            | FaultKind::Lose(target)
            | FaultKind::Drain(target)
            | FaultKind::Replace(target)
            | FaultKind::Kill(target)
            | FaultKind::Freeze(target)
            | FaultKind::Restart(target)
            | FaultKind::Reload(target)
            | FaultKind::Deaf(target)
            | FaultKind::Lie(target) => self.pick_targets(target),
            FaultKind::LoseRegion(region) => {
                let all = 0..self.scenario.fleet.zones;
                let of: Vec<usize> = all
                    .filter(|at| zone_network::region(*at, &self.scenario.fleet) == region)
                    .collect();
                of.into_iter()
                    .flat_map(|at| self.pick_targets(Target::Zone(at)))
                    .collect()
            }
            _ => Vec::new(),
        };
        self.log_event(format!("{kind:?}: {} targets", targets.len()));
        self.fault_targets.insert(n, targets.clone());
        match kind {
            FaultKind::Slow(_, by) => targets
                .iter()
                .for_each(|s| self.model.servers[*s].slow_factor = by),
            FaultKind::Errors(_) => targets
                .iter()
                .for_each(|s| self.model.servers[*s].returns_errors = true),
            FaultKind::Silent(_) => targets
                .iter()
                .for_each(|s| self.model.servers[*s].is_silent = true),
            FaultKind::Apart(_, of) => {
                let groups = of.of(self.scenario.fleet.address_groups());
                for server in targets {
                    self.model.servers[server].unreachable_from_group[..groups].fill(true);
                }
            }
            FaultKind::Resets(_, share) => targets
                .iter()
                .for_each(|s| self.model.servers[*s].reset_share = share),
            FaultKind::Lose(_) | FaultKind::LoseRegion(_) => {
                for server in &targets {
                    self.model.stop_server(now, *server);
                    self.set_listed(*server, false);
                    self.listeners[*server]
                        .iter()
                        .for_each(|listener| listener.close());
                }
                let lost: HashSet<usize> = targets.into_iter().collect();
                self.connections
                    .retain(|_, (server, _, _)| !lost.contains(server));
            }
            FaultKind::Drain(_) => {
                targets
                    .iter()
                    .for_each(|s| self.model.servers[*s].list_status = ListStatus::Draining);
                targets.iter().for_each(|s| self.set_listed(*s, false));
                self.announce(DiscoveryChange::Servers(targets));
            }
            FaultKind::Replace(_) | FaultKind::Restart(_) => return self.step_fault(n, targets),
            FaultKind::Join(count) => {
                let first = self.added_servers;
                let joined: Vec<usize> = (0..count)
                    .filter_map(|k| self.add_cache((first + k) % self.scenario.fleet.zones))
                    .collect();
                self.announce(DiscoveryChange::Servers(joined));
            }
            FaultKind::Kill(_) => {
                for router in targets {
                    if let Some(child) = self.routers[router].child.take() {
                        self.starter.kill(child);
                        self.model.invariants.router_stopped(router);
                        self.routers[router].stopped = Some((now, true));
                        self.routers[router].discovery = None;
                        self.schedule(now + duration, Timer::StartRouter(router));
                    }
                }
                return;
            }
            FaultKind::Freeze(_) => {
                for router in &targets {
                    self.routers[*router]
                        .child
                        .iter_mut()
                        .for_each(RouterProcess::freeze);
                    // Requests sent to it while it is frozen are excused.
                    self.routers[*router].receives_clients = false;
                    self.model.invariants.router_stopped(*router);
                }
            }
            FaultKind::Reload(_) => {
                targets.iter().for_each(|r| {
                    self.routers[*r]
                        .child
                        .iter()
                        .for_each(RouterProcess::reload)
                });
            }
            FaultKind::Purge(count) => {
                for popularity_rank in 0..count {
                    let object = workload::object_id(self.options.seed, popularity_rank);
                    let ms = self.model.purge(now, object);
                    self.announce(DiscoveryChange::Purge(object, ms));
                }
            }
            FaultKind::ListsLate(by) => self.discovery_delay = by,
            FaultKind::ListsDoubled => self.discovery_duplicated = true,
            FaultKind::ListsCut => self.discovery_interrupted = true,
            FaultKind::Lost(share) => self.datagram_faults.send_modify(|w| w.loss_share = share),
            FaultKind::Doubled(share) => self
                .datagram_faults
                .send_modify(|w| w.duplicate_share = share),
            FaultKind::Turned(share) => self
                .datagram_faults
                .send_modify(|w| w.reorder_share = share),
            FaultKind::Late(by) => self.datagram_faults.send_modify(|w| w.max_delay = by),
            FaultKind::Deaf(_) => self
                .datagram_faults
                .send_modify(|w| targets.iter().for_each(|r| w.is_deaf[*r] = true)),
            FaultKind::Lie(_) => self.schedule(now, Timer::SendForged(n)),
            FaultKind::Hot(_) | FaultKind::Shift(..) => {}
            FaultKind::WaysSlow(from, to, by) => {
                self.change_network(from, to, |network, a, b| network.slow_factor[a][b] = by)
            }
            FaultKind::WaysCut(from, to) => {
                self.change_network(from, to, |network, a, b| network.is_cut[a][b] = true)
            }
            FaultKind::WaysLose(from, to, share) => {
                self.change_network(from, to, |network, a, b| network.loss_share[a][b] = share)
            }
        }
        if !duration.is_zero() {
            self.schedule(now + duration, Timer::FaultEnd(n));
        }
    }

    /// Changes the network between zones, for connections and datagrams.
    pub(super) fn change_network(
        &mut self,
        from: Option<usize>,
        to: Option<usize>,
        change: impl FnMut(&mut ZoneNetwork, usize, usize),
    ) {
        let Some(network) = &mut self.network else {
            return;
        };
        network.for_each_pair(from, to, change);
        let changed = Rc::new(network.clone());
        self.datagram_faults
            .send_modify(|faults| faults.network = Some(changed));
    }

    /// Ends a fault and restores what it changed.
    pub(super) fn end_fault(&mut self, n: usize) {
        let now = self.now();
        let targets = self.fault_targets.get(&n).cloned().unwrap_or_default();
        let kind = self.scenario.faults[n].kind;
        self.log_event(format!("ended: {kind:?}"));
        match kind {
            FaultKind::Slow(..) => targets
                .iter()
                .for_each(|s| self.model.servers[*s].slow_factor = 1.0),
            FaultKind::Errors(_) => targets
                .iter()
                .for_each(|s| self.model.servers[*s].returns_errors = false),
            FaultKind::Silent(_) => targets
                .iter()
                .for_each(|s| self.model.servers[*s].is_silent = false),
            FaultKind::Apart(..) => targets
                .iter()
                .for_each(|s| self.model.servers[*s].unreachable_from_group.fill(false)),
            FaultKind::Resets(..) => targets
                .iter()
                .for_each(|s| self.model.servers[*s].reset_share = 0.0),
            FaultKind::Lose(_) | FaultKind::LoseRegion(_) => {
                for server in &targets {
                    self.model.start_server(now, *server);
                    self.set_listed(*server, true);
                    self.listeners[*server]
                        .iter()
                        .for_each(|listener| listener.reopen());
                    self.joins.push((now, *server));
                }
                self.announce(DiscoveryChange::Servers(targets));
            }
            FaultKind::Drain(_) => {
                targets
                    .iter()
                    .for_each(|s| self.model.servers[*s].list_status = ListStatus::Active);
                targets.iter().for_each(|s| self.set_listed(*s, true));
                self.announce(DiscoveryChange::Servers(targets));
            }
            FaultKind::Freeze(_) => {
                for router in targets {
                    self.routers[router]
                        .child
                        .iter_mut()
                        .for_each(RouterProcess::thaw);
                    self.schedule(now + FRONT_CHECK_INTERVAL, Timer::CheckRouter(router));
                }
            }
            FaultKind::ListsLate(_) => {
                self.discovery_delay = Duration::ZERO;
                (0..self.routers.len()).for_each(|router| self.send_discovery_events(router));
            }
            FaultKind::ListsDoubled => self.discovery_duplicated = false,
            FaultKind::ListsCut => self.discovery_interrupted = false,
            FaultKind::Lost(_) => self.datagram_faults.send_modify(|w| w.loss_share = 0.0),
            FaultKind::Doubled(_) => self
                .datagram_faults
                .send_modify(|w| w.duplicate_share = 0.0),
            FaultKind::Turned(_) => self.datagram_faults.send_modify(|w| w.reorder_share = 0.0),
            FaultKind::Late(_) => self
                .datagram_faults
                .send_modify(|w| w.max_delay = Duration::ZERO),
            FaultKind::Deaf(_) => self.datagram_faults.send_modify(|w| w.is_deaf.fill(false)),
            FaultKind::WaysSlow(from, to, _) => {
                self.change_network(from, to, |network, a, b| network.slow_factor[a][b] = 1.0)
            }
            FaultKind::WaysCut(from, to) => {
                self.change_network(from, to, |network, a, b| network.is_cut[a][b] = false)
            }
            FaultKind::WaysLose(from, to, _) => {
                self.change_network(from, to, |network, a, b| network.loss_share[a][b] = 0.0)
            }
            _ => {}
        }
    }

    pub(super) fn set_listed(&mut self, server: usize, is_listed: bool) {
        let now = self.now();
        let record = &mut self.server_records[server];
        if is_listed {
            record.listed_during.push((now, Duration::MAX));
            record.started_at = self.model.servers[server].started_at;
        } else if let Some(last) = record.listed_during.last_mut() {
            last.1 = last.1.min(now);
        }
    }

    /// Adds a cache to a zone, empty and cold.
    pub(super) fn add_cache(&mut self, zone: usize) -> Option<usize> {
        let now = self.now();
        self.added_servers += 1;
        let number = self
            .open_server(format!("s{}", self.added_servers), Tier::Cache(zone))
            .ok()?;
        self.model.start_server(now, number);
        let record = &mut self.server_records[number];
        (record.started_at, record.listed_during) = (Some(now), vec![(now, Duration::MAX)]);
        self.joins.push((now, number));
        Some(number)
    }

    /// Applies a stepwise fault to its next target, and schedules the following step.
    pub(super) fn step_fault(&mut self, n: usize, mut remaining: Vec<usize>) {
        let now = self.now();
        let Fault {
            start,
            duration,
            kind,
        } = self.scenario.faults[n];
        let Some(next) = remaining.pop() else { return };
        match kind {
            FaultKind::Replace(_) => {
                let Tier::Cache(zone) = self.model.servers[next].tier else {
                    return;
                };
                self.model.servers[next].list_status = ListStatus::Draining;
                self.set_listed(next, false);
                let changed = std::iter::once(next).chain(self.add_cache(zone)).collect();
                self.announce(DiscoveryChange::Servers(changed));
            }
            FaultKind::Restart(_) => {
                // It answers the requests it has received and ends; once its listener is closed it gets
                // no new ones.
                if let Some(mut child) = self.routers[next].child.take() {
                    child.terminate();
                    self.routers[next].receives_clients = false;
                    self.routers[next].stopped = Some((now, false));
                    self.routers[next].discovery = None;
                    let restart_delay = Duration::from_millis(900);
                    // It has ended or is killed before its successor starts.
                    self.kill_after_grace(child);
                    self.schedule(now + restart_delay, Timer::StartRouter(next));
                    self.schedule(
                        now + restart_delay + FRONT_CHECK_INTERVAL,
                        Timer::CheckRouter(next),
                    );
                }
            }
            _ => {}
        }
        if !remaining.is_empty() {
            let time_left = (start + duration).saturating_sub(now);
            self.schedule(
                now + time_left / (remaining.len() as u32 + 1),
                Timer::FaultStep(n, remaining),
            );
        }
    }

    /// Kills the router if it has not ended before its successor starts.
    pub(super) fn kill_after_grace(&mut self, child: RouterProcess) {
        let mut child = child;
        tokio::task::spawn_local(async move {
            let end = Instant::now() + Duration::from_millis(850);
            while child.exit_status().is_none() && Instant::now() < end {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            child.kill();
        });
    }
}
