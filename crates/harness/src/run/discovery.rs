//! Discovery: its events, and when each router is sent them.

use super::{DiscoveryChange, DiscoveryEvent, Runner, Timer};
use crate::server_model::{ListStatus, Tier};
use bytes::Bytes;
use serde_json::{Value, json};
use std::time::Duration;

impl Runner {
    pub(super) fn server_entry(
        &self,
        server: usize,
        status: ListStatus,
        started: Option<Duration>,
        group: usize,
    ) -> Value {
        let state = &self.model.servers[server];
        let (site, class) = match state.tier {
            Tier::Cache(zone) => (format!("z{zone}"), "cache"),
            Tier::Parent => ("hub".to_owned(), "parent"),
            Tier::Origin => ("hub".to_owned(), "origin"),
        };
        let health = match status {
            ListStatus::Active => "active",
            ListStatus::Draining => "leaving",
            ListStatus::Gone => "left",
        };
        json!({"host": state.name, "dial": self.listeners[server][group].address.to_string(),
            "site": site, "class": class,
            "block": server, "health": health, "share": state.capacity,
            "born_ms": started.map_or(0, |state| self.model.unix_ms_at(state))})
    }

    pub(super) fn event_json(&self, number: usize, group: usize) -> Value {
        let event = &self.discovery_events[number];
        let rev = number + 1;
        match &event.change {
            DiscoveryChange::Purge(object, ms) => {
                json!({"rev": rev, "flush": {"asset": format!("{object:016x}"), "ms": ms}})
            }
            DiscoveryChange::Servers(_) => {
                let hosts = event
                    .statuses
                    .iter()
                    .map(|(server, status, at)| self.server_entry(*server, *status, *at, group));
                let hosts: Vec<Value> = hosts.collect();
                json!({"rev": rev, "pool": {"seq": rev, "whole": number == 0, "hosts": hosts}})
            }
        }
    }

    /// Adds a discovery event and sends it to the routers.
    pub(super) fn announce(&mut self, change: DiscoveryChange) {
        let servers = if let DiscoveryChange::Servers(servers) = &change {
            servers.clone()
        } else {
            Vec::new()
        };
        let statuses = servers.into_iter().map(|s| {
            let server = &self.model.servers[s];
            (s, server.list_status, server.started_at)
        });
        let statuses = statuses.collect();
        let at = self.now();
        self.discovery_events.push(DiscoveryEvent {
            change,
            at,
            statuses,
        });
        for router in 0..self.routers.len() {
            let wait = self.discovery_delay.mul_f64(self.rng.f64());
            if wait.is_zero() {
                self.send_discovery_events(router);
            } else {
                self.schedule(at + wait, Timer::SendDiscovery(router));
            }
            if self.discovery_interrupted {
                self.routers[router].discovery = None;
            }
        }
    }

    /// Sends a router the events that it has not been sent yet.
    pub(super) fn send_discovery_events(&mut self, router: usize) {
        let (now, group) = (self.now(), self.routers[router].group);
        while self.routers[router].events_sent < self.discovery_events.len() {
            let Some(discovery) = self.routers[router].discovery.clone() else {
                return;
            };
            let number = self.routers[router].events_sent;
            let line = Bytes::from(format!("{}\n", self.event_json(number, group)));
            let copies = 1 + usize::from(self.discovery_duplicated);
            if (0..copies).any(|_| discovery.try_send(line.clone()).is_err()) {
                self.routers[router].discovery = None;
                return;
            }
            self.routers[router].events_sent += 1;
            self.record_announcement(now, router, number);
        }
    }

    /// From now on the checker expects the router to act on the event.
    pub(super) fn record_announcement(&mut self, now: Duration, router: usize, number: usize) {
        let event = &self.discovery_events[number];
        match &event.change {
            DiscoveryChange::Purge(object, ms) => self
                .model
                .invariants
                .record_purge(now, router, *object, *ms),
            DiscoveryChange::Servers(_) => {
                for (server, status, _) in &event.statuses {
                    match status {
                        ListStatus::Active => self.model.invariants.record_active(router, *server),
                        _ => self.model.invariants.record_drain(now, router, *server),
                    }
                }
            }
        }
    }
}
