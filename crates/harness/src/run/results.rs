//! Results of a finished run.

use super::{MAX_TIMER_DELAY, RunResults, Runner};
use crate::datagram_relay::DatagramCounters;
use crate::load_balance::{self, Rule};
use std::collections::BTreeMap;
use std::time::Duration;

impl Runner {
    pub(super) fn into_results(self, datagrams: DatagramCounters) -> RunResults {
        let (warmup, duration) = (
            self.scenario.workload.warmup,
            self.scenario.workload.duration,
        );
        let second_start = self.scenario.second_measurement_start();
        let service = |from: Duration, to: Duration| {
            let seconds = &self.seconds[from.as_secs() as usize..to.as_secs() as usize];
            let (requested, earned) = seconds
                .iter()
                .fold((0.0, 0.0), |(a, e), s| (a + s.requested, e + s.earned));
            if requested > 0.0 {
                earned / requested
            } else {
                0.0
            }
        };
        let window = Duration::from_secs(5).min(
            duration
                .saturating_sub(second_start)
                .max(Duration::from_secs(1)),
        );
        let sent = &self.model.sent;
        let mut load_balance = BTreeMap::new();
        load_balance.insert(
            "real",
            load_balance::measure(sent, &self.server_records, second_start, duration, window),
        );
        load_balance.insert(
            "real_1s",
            load_balance::measure(
                sent,
                &self.server_records,
                second_start,
                duration,
                Duration::from_secs(1),
            ),
        );
        for (name, rule) in [
            ("hash", Rule::Hash),
            ("two", Rule::LeastOfTwo),
            ("sees_all", Rule::Omniscient),
        ] {
            let assigned =
                load_balance::assign(sent, &self.server_records, rule, second_start, window);
            load_balance.insert(
                name,
                load_balance::measure(
                    &assigned,
                    &self.server_records,
                    second_start,
                    duration,
                    window,
                ),
            );
        }
        let herds = self.joins.iter().filter_map(|(at, server)| {
            load_balance::herd(
                sent,
                &self.server_records,
                self.server_records[*server].zone,
                *at,
            )
        });
        let herds: Vec<f64> = herds.collect();
        let herd = if herds.is_empty() {
            1.0
        } else {
            herds.iter().sum::<f64>() / herds.len() as f64
        };
        let mut server_loads =
            vec![vec![0.0; duration.as_secs() as usize]; self.server_records.len()];
        for attempt in sent.iter().filter(|s| s.at < duration) {
            let capacity = self.server_records[attempt.server].capacity_at(attempt.at);
            server_loads[attempt.server][attempt.at.as_secs() as usize] +=
                attempt.work / capacity.max(1e-9);
        }
        let timer_delay = Duration::from_millis(self.timer_delays.value_at_quantile(0.99));
        let void = (timer_delay > MAX_TIMER_DELAY)
            .then(|| format!("timers of the harness fired {timer_delay:?} late"));
        let reads = (self.model.hits + self.model.fills).max(1);
        let zone_metrics = self
            .zone_value
            .measure(&self.scenario, sent, &self.server_records);
        RunResults {
            zone_metrics,
            elapsed: duration,
            seed: self.options.seed,
            routers: self.routers.len(),
            servers: self.model.servers.len(),
            service: service(warmup, duration),
            service_after_faults: service(second_start, duration),
            load_balance,
            herd,
            violations: self.model.invariants.violations,
            violation_descriptions: self.model.invariants.descriptions.clone(),
            server_loads,
            overload_ratio: self.overload_ratio,
            hit_share: self.model.hits as f64 / reads as f64,
            response_ms: self.response_times,
            timer_delay_ms: self.timer_delays,
            void,
            crashed: self.crashed,
            datagrams,
            events: self.event_log,
            retries: self.retries,
            measured_from: second_start,
            server_records: self.server_records,
            seconds: self.seconds,
        }
    }
}
