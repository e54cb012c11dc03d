//! Troubles of the play: whom they meet, how they begin, go on and end.

use super::{FRONT_LOOKS, Notice, Timer, World};
use crate::children::Router;
use crate::play::{Fault, Part, What, Whom};
use crate::truth::{Standing, Tier};
use crate::ways::{self, Ways};
use crate::work;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

impl World {
    /// Who is struck, drawn from the seed.
    pub(super) fn whom(&mut self, whom: Whom) -> Vec<usize> {
        let servers = self
            .truth
            .servers
            .iter()
            .enumerate()
            .filter(|(_, s)| s.standing == Standing::Active && !s.down);
        let (all, part): (Vec<usize>, Part) = match whom {
            Whom::Caches(part) => (
                servers
                    .filter(|(_, s)| matches!(s.tier, Tier::Cache(_)))
                    .map(|(n, _)| n)
                    .collect(),
                part,
            ),
            Whom::Parents(part) => (
                servers
                    .filter(|(_, s)| s.tier == Tier::Parent)
                    .map(|(n, _)| n)
                    .collect(),
                part,
            ),
            Whom::Zone(at) => (
                servers
                    .filter(|(_, s)| s.tier == Tier::Cache(at))
                    .map(|(n, _)| n)
                    .collect(),
                Part::Share(1.0),
            ),
            Whom::Routers(part) => (
                (0..self.routers.len())
                    .filter(|r| self.routers[*r].child.is_some())
                    .collect(),
                part,
            ),
        };
        let mut all = all;
        self.chance.shuffle(&mut all);
        all.truncate(part.of(all.len()));
        all
    }

    pub(super) fn begin(&mut self, n: usize) {
        let now = self.now();
        let Fault { lasts, what, .. } = self.play.faults[n];
        let struck = match what {
            What::Slow(whom, _)
            | What::Errors(whom)
            | What::Silent(whom)
            | What::Apart(whom, _)
            | What::Resets(whom, _)
            | What::Lose(whom)
            | What::Drain(whom)
            | What::Replace(whom)
            | What::Kill(whom)
            | What::Freeze(whom)
            | What::Restart(whom)
            | What::Reload(whom)
            | What::Deaf(whom)
            | What::Lie(whom) => self.whom(whom),
            What::LoseRegion(region) => {
                let all = 0..self.play.fleet.zones;
                let of: Vec<usize> = all
                    .filter(|at| ways::region(*at, &self.play.fleet) == region)
                    .collect();
                of.into_iter()
                    .flat_map(|at| self.whom(Whom::Zone(at)))
                    .collect()
            }
            _ => Vec::new(),
        };
        self.tell(format!("{what:?}: {} struck", struck.len()));
        self.struck.insert(n, struck.clone());
        match what {
            What::Slow(_, by) => struck.iter().for_each(|s| self.truth.servers[*s].slow = by),
            What::Errors(_) => struck
                .iter()
                .for_each(|s| self.truth.servers[*s].errors = true),
            What::Silent(_) => struck
                .iter()
                .for_each(|s| self.truth.servers[*s].silent = true),
            What::Apart(_, of) => {
                let groups = of.of(self.play.fleet.doors());
                for server in struck {
                    self.truth.servers[server].apart[..groups].fill(true);
                }
            }
            What::Resets(_, share) => struck
                .iter()
                .for_each(|s| self.truth.servers[*s].resets = share),
            What::Lose(_) | What::LoseRegion(_) => {
                for server in &struck {
                    self.truth.lose(now, *server);
                    self.there(*server, false);
                    self.doors[*server].iter().for_each(|door| door.shut());
                }
                let lost: HashSet<usize> = struck.into_iter().collect();
                self.connections
                    .retain(|_, (server, _, _)| !lost.contains(server));
            }
            What::Drain(_) => {
                struck
                    .iter()
                    .for_each(|s| self.truth.servers[*s].standing = Standing::Draining);
                struck.iter().for_each(|s| self.there(*s, false));
                self.note(Notice::Servers(struck));
            }
            What::Replace(_) | What::Restart(_) => return self.step(n, struck),
            What::Join(count) => {
                let first = self.spare;
                let joined: Vec<usize> = (0..count)
                    .filter_map(|k| self.fresh((first + k) % self.play.fleet.zones))
                    .collect();
                self.note(Notice::Servers(joined));
            }
            What::Kill(_) => {
                for router in struck {
                    if let Some(child) = self.routers[router].child.take() {
                        self.starter.kill(child);
                        self.truth.watch.killed(router);
                        self.routers[router].gone = Some((now, true));
                        self.routers[router].discovery = None;
                        self.after(now + lasts, Timer::Start(router));
                    }
                }
                return;
            }
            What::Freeze(_) => {
                for router in &struck {
                    self.routers[*router]
                        .child
                        .iter_mut()
                        .for_each(Router::freeze);
                    // What it is sent while it is frozen is not its fault.
                    self.routers[*router].up = false;
                    self.truth.watch.killed(*router);
                }
            }
            What::Reload(_) => {
                struck
                    .iter()
                    .for_each(|r| self.routers[*r].child.iter().for_each(Router::reload));
            }
            What::Purge(count) => {
                for place in 0..count {
                    let object = work::object(self.setup.seed, place);
                    let ms = self.truth.purge(now, object);
                    self.note(Notice::Purge(object, ms));
                }
            }
            What::ListsLate(by) => self.lists_late = by,
            What::ListsDoubled => self.lists_doubled = true,
            What::ListsCut => self.lists_cut = true,
            What::Lost(share) => self.weather.send_modify(|w| w.lost = share),
            What::Doubled(share) => self.weather.send_modify(|w| w.doubled = share),
            What::Turned(share) => self.weather.send_modify(|w| w.turned = share),
            What::Late(by) => self.weather.send_modify(|w| w.late = by),
            What::Deaf(_) => self
                .weather
                .send_modify(|w| struck.iter().for_each(|r| w.deaf[*r] = true)),
            What::Lie(_) => self.after(now, Timer::Lie(n)),
            What::Hot(_) | What::Shift(..) => {}
            What::WaysSlow(from, to, by) => self.ways(from, to, |ways, a, b| ways.slow[a][b] = by),
            What::WaysCut(from, to) => self.ways(from, to, |ways, a, b| ways.cut[a][b] = true),
            What::WaysLose(from, to, share) => {
                self.ways(from, to, |ways, a, b| ways.lost[a][b] = share)
            }
        }
        if !lasts.is_zero() {
            self.after(now + lasts, Timer::End(n));
        }
    }

    /// Changes ways, for bytes and datagrams.
    pub(super) fn ways(
        &mut self,
        from: Option<usize>,
        to: Option<usize>,
        of: impl FnMut(&mut Ways, usize, usize),
    ) {
        let Some(ways) = &mut self.ways else { return };
        ways.each(from, to, of);
        let changed = Rc::new(ways.clone());
        self.weather
            .send_modify(|weather| weather.ways = Some(changed));
    }

    /// What broke is whole again.
    pub(super) fn ends(&mut self, n: usize) {
        let now = self.now();
        let struck = self.struck.get(&n).cloned().unwrap_or_default();
        let what = self.play.faults[n].what;
        self.tell(format!("over: {what:?}"));
        match what {
            What::Slow(..) => struck
                .iter()
                .for_each(|s| self.truth.servers[*s].slow = 1.0),
            What::Errors(_) => struck
                .iter()
                .for_each(|s| self.truth.servers[*s].errors = false),
            What::Silent(_) => struck
                .iter()
                .for_each(|s| self.truth.servers[*s].silent = false),
            What::Apart(..) => struck
                .iter()
                .for_each(|s| self.truth.servers[*s].apart.fill(false)),
            What::Resets(..) => struck
                .iter()
                .for_each(|s| self.truth.servers[*s].resets = 0.0),
            What::Lose(_) | What::LoseRegion(_) => {
                for server in &struck {
                    self.truth.back(now, *server);
                    self.there(*server, true);
                    self.doors[*server]
                        .iter()
                        .for_each(|door| door.open_again());
                    self.joined.push((now, *server));
                }
                self.note(Notice::Servers(struck));
            }
            What::Drain(_) => {
                struck
                    .iter()
                    .for_each(|s| self.truth.servers[*s].standing = Standing::Active);
                struck.iter().for_each(|s| self.there(*s, true));
                self.note(Notice::Servers(struck));
            }
            What::Freeze(_) => {
                for router in struck {
                    self.routers[router].child.iter_mut().for_each(Router::thaw);
                    self.after(now + FRONT_LOOKS, Timer::Look(router));
                }
            }
            What::ListsLate(_) => {
                self.lists_late = Duration::ZERO;
                (0..self.routers.len()).for_each(|router| self.tell_router(router));
            }
            What::ListsDoubled => self.lists_doubled = false,
            What::ListsCut => self.lists_cut = false,
            What::Lost(_) => self.weather.send_modify(|w| w.lost = 0.0),
            What::Doubled(_) => self.weather.send_modify(|w| w.doubled = 0.0),
            What::Turned(_) => self.weather.send_modify(|w| w.turned = 0.0),
            What::Late(_) => self.weather.send_modify(|w| w.late = Duration::ZERO),
            What::Deaf(_) => self.weather.send_modify(|w| w.deaf.fill(false)),
            What::WaysSlow(from, to, _) => self.ways(from, to, |ways, a, b| ways.slow[a][b] = 1.0),
            What::WaysCut(from, to) => self.ways(from, to, |ways, a, b| ways.cut[a][b] = false),
            What::WaysLose(from, to, _) => self.ways(from, to, |ways, a, b| ways.lost[a][b] = 0.0),
            _ => {}
        }
    }

    pub(super) fn there(&mut self, server: usize, is: bool) {
        let now = self.now();
        let place = &mut self.places[server];
        if is {
            place.there.push((now, Duration::MAX));
            place.started = self.truth.servers[server].started;
        } else if let Some(last) = place.there.last_mut() {
            last.1 = last.1.min(now);
        }
    }

    /// A new cache of a zone, empty and cold.
    pub(super) fn fresh(&mut self, zone: usize) -> Option<usize> {
        let now = self.now();
        self.spare += 1;
        let number = self
            .server(format!("s{}", self.spare), Tier::Cache(zone))
            .ok()?;
        self.truth.back(now, number);
        let place = &mut self.places[number];
        (place.started, place.there) = (Some(now), vec![(now, Duration::MAX)]);
        self.joined.push((now, number));
        Some(number)
    }

    /// What goes step by step: the next of those that are left, and when the one after.
    pub(super) fn step(&mut self, n: usize, mut left: Vec<usize>) {
        let now = self.now();
        let Fault { at, lasts, what } = self.play.faults[n];
        let Some(next) = left.pop() else { return };
        match what {
            What::Replace(_) => {
                let Tier::Cache(zone) = self.truth.servers[next].tier else {
                    return;
                };
                self.truth.servers[next].standing = Standing::Draining;
                self.there(next, false);
                let changed = std::iter::once(next).chain(self.fresh(zone)).collect();
                self.note(Notice::Servers(changed));
            }
            What::Restart(_) => {
                // It answers what it has taken and ends; the front asks it no more once its door is closed.
                if let Some(mut child) = self.routers[next].child.take() {
                    child.terminate();
                    self.routers[next].up = false;
                    self.routers[next].gone = Some((now, false));
                    self.routers[next].discovery = None;
                    let waits = Duration::from_millis(900);
                    // Its process is waited for by being dropped when the next one starts.
                    self.ending(child);
                    self.after(now + waits, Timer::Start(next));
                    self.after(now + waits + FRONT_LOOKS, Timer::Look(next));
                }
            }
            _ => {}
        }
        if !left.is_empty() {
            let over = (at + lasts).saturating_sub(now);
            self.after(now + over / (left.len() as u32 + 1), Timer::Step(n, left));
        }
    }

    /// Killed if it has not ended by itself when its successor starts.
    pub(super) fn ending(&mut self, child: Router) {
        let mut child = child;
        tokio::task::spawn_local(async move {
            let end = Instant::now() + Duration::from_millis(850);
            while child.ended().is_none() && Instant::now() < end {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            child.kill();
        });
    }
}
