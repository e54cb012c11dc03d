//! What discovery tells the routers: events, when each hears of them.

use super::{Noted, Notice, Timer, World};
use crate::truth::{Standing, Tier};
use bytes::Bytes;
use serde_json::{Value, json};
use std::time::Duration;

impl World {
    pub(super) fn entry(
        &self,
        server: usize,
        standing: Standing,
        started: Option<Duration>,
        group: usize,
    ) -> Value {
        let at = &self.truth.servers[server];
        let (site, class) = match at.tier {
            Tier::Cache(zone) => (format!("z{zone}"), "cache"),
            Tier::Parent => ("hub".to_owned(), "parent"),
            Tier::Origin => ("hub".to_owned(), "origin"),
        };
        let health = match standing {
            Standing::Active => "active",
            Standing::Draining => "leaving",
            Standing::Gone => "left",
        };
        json!({"host": at.name, "dial": self.doors[server][group].at.to_string(),
            "site": site, "class": class,
            "block": server, "health": health, "share": at.capacity,
            "born_ms": started.map_or(0, |at| self.truth.unix(at))})
    }

    pub(super) fn event(&self, number: usize, group: usize) -> Value {
        let noted = &self.noted[number];
        let rev = number + 1;
        match &noted.notice {
            Notice::Purge(object, ms) => {
                json!({"rev": rev, "flush": {"asset": format!("{object:016x}"), "ms": ms}})
            }
            Notice::Servers(_) => {
                let hosts = noted
                    .standings
                    .iter()
                    .map(|(server, standing, at)| self.entry(*server, *standing, *at, group));
                let hosts: Vec<Value> = hosts.collect();
                json!({"rev": rev, "pool": {"seq": rev, "whole": number == 0, "hosts": hosts}})
            }
        }
    }

    /// Discovery has something new.
    pub(super) fn note(&mut self, notice: Notice) {
        let servers = if let Notice::Servers(servers) = &notice {
            servers.clone()
        } else {
            Vec::new()
        };
        let standings = servers.into_iter().map(|s| {
            let server = &self.truth.servers[s];
            (s, server.standing, server.started)
        });
        let standings = standings.collect();
        let at = self.now();
        self.noted.push(Noted {
            notice,
            at,
            standings,
        });
        for router in 0..self.routers.len() {
            let wait = self.lists_late.mul_f64(self.chance.f64());
            if wait.is_zero() {
                self.tell_router(router);
            } else {
                self.after(at + wait, Timer::Tell(router));
            }
            if self.lists_cut {
                self.routers[router].discovery = None;
            }
        }
    }

    /// Tells a router's discovery connection what it has not told yet, as far as it is due.
    pub(super) fn tell_router(&mut self, router: usize) {
        let (now, group) = (self.now(), self.routers[router].group);
        while self.routers[router].told < self.noted.len() {
            let Some(discovery) = self.routers[router].discovery.clone() else {
                return;
            };
            let number = self.routers[router].told;
            let line = Bytes::from(format!("{}\n", self.event(number, group)));
            let copies = 1 + usize::from(self.lists_doubled);
            if (0..copies).any(|_| discovery.try_send(line.clone()).is_err()) {
                self.routers[router].discovery = None;
                return;
            }
            self.routers[router].told += 1;
            self.heard(now, router, number);
        }
    }

    /// From now on the router is held to it.
    pub(super) fn heard(&mut self, now: Duration, router: usize, number: usize) {
        let noted = &self.noted[number];
        match &noted.notice {
            Notice::Purge(object, ms) => self.truth.watch.told_purge(now, router, *object, *ms),
            Notice::Servers(_) => {
                for (server, standing, _) in &noted.standings {
                    match standing {
                        Standing::Active => self.truth.watch.told_active(router, *server),
                        _ => self.truth.watch.told_drain(now, router, *server),
                    }
                }
            }
        }
    }
}
