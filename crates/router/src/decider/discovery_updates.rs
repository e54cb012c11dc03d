//! Updates from discovery and from the operator's file at run time: server lists, purges, cell maps
//! and drained zones.

use super::servers::ListedServer;
use super::{Decider, MAX_CONNECTIONS_PER_SERVER};
use crate::cell_routing::CellPlan;
use crate::discovery_events::{DiscoveredServer, DiscoveryEvent};
use chalkhall::interface::{Id, ListKind, Member, ServerState};
use std::collections::HashSet;
use std::time::Duration;

impl Decider {
    /// Applies an event to the routing logic and the subsystems.
    pub fn apply_discovery_event(&mut self, event: DiscoveryEvent) {
        let now = self.dispatcher.clock.now();
        match event {
            DiscoveryEvent::DrainedZones(zones) => {
                if let Some(failover) = &mut self.zone_failover {
                    failover.drain_zones(&zones);
                }
            }
            DiscoveryEvent::CellMap(plan) => self.replace_cell_map(now, *plan),
            DiscoveryEvent::UpToDate { as_of } => self.confirm_discovery(as_of),
            DiscoveryEvent::Purge {
                object,
                group,
                purged_at_unix_ms,
            } => self.purge(now, object, group, purged_at_unix_ms),
            DiscoveryEvent::List {
                is_snapshot,
                servers,
            } => self.update_list(now, is_snapshot, servers),
        }
    }

    fn replace_cell_map(&mut self, now: Duration, plan: CellPlan) {
        let Some(cell_routing) = &mut self.cell_routing else {
            return;
        };
        let epoch = plan.epoch();
        let Some(moved) = cell_routing.replace_map(now, plan) else {
            let in_force = cell_routing.epoch();
            log::warn!(
                epoch = epoch, in_force = in_force;
                "cells: map ignored: its epoch is older than the current one"
            );
            return;
        };
        log::info!(epoch = epoch, moved = moved.len(); "cells: map replaced");
        self.router
            .update_list(now, ListKind::Changes, &moved, &mut self.dispatcher);
    }

    fn purge(&mut self, now: Duration, object: Option<Id>, group: u64, unix_ms: u64) {
        let age = now.saturating_sub(self.dispatcher.clock.at_unix_ms(unix_ms));
        if let Some(local_cache) = &mut self.dispatcher.local_cache {
            local_cache.purge(object.as_ref(), group, unix_ms);
        }
        self.router.record_purge(now, object, group, age);
    }

    /// Records that all events that discovery had at `as_of` have been received.
    fn confirm_discovery(&mut self, as_of: Duration) {
        self.router.confirm_discovery(as_of);
        if let Some(local_cache) = &mut self.dispatcher.local_cache {
            local_cache.confirm_discovery(as_of);
        }
    }

    fn update_list(&mut self, now: Duration, is_snapshot: bool, listed: Vec<DiscoveredServer>) {
        self.update_servers(is_snapshot, &listed);
        let mut members: Vec<Member> = listed.into_iter().map(|server| server.member).collect();
        if let Some(cell_routing) = &mut self.cell_routing {
            members = cell_routing.update_members(now, is_snapshot, members);
        }
        members.append(&mut self.unlisted_local_members);
        let kind = if is_snapshot {
            ListKind::Snapshot
        } else {
            ListKind::Changes
        };
        self.router
            .update_list(now, kind, &members, &mut self.dispatcher);
        self.is_gossip_list_stale = true;
        if is_snapshot {
            self.refresh_gossip_members();
        }
    }

    /// Updates the server handles from the list. All servers share a third of the descriptors.
    fn update_servers(&mut self, is_snapshot: bool, listed: &[DiscoveredServer]) {
        let servers = &mut self.dispatcher.servers;
        if is_snapshot {
            let names: HashSet<&Id> = listed.iter().map(|server| &server.member.server).collect();
            servers.retain(&names);
        }
        let server_count = listed.len().max(servers.len()).max(1);
        let share = self.limits.sockets / 3 / (2 * server_count);
        let max_connections = share.clamp(1, MAX_CONNECTIONS_PER_SERVER);
        for DiscoveredServer { member, address } in listed {
            if member.state == ServerState::Removed {
                servers.remove(&member.server);
                continue;
            }
            let started_instant = member.started.map(|at| self.dispatcher.clock.instant(at));
            let listed = ListedServer {
                address: *address,
                started_at: member.started,
                started_instant,
                max_connections,
            };
            servers.update(&member.server, listed);
        }
    }
}
