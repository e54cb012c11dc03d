//! What a play has shown, when it is over.

use super::{LATE_MOST, Shown, World};
use crate::even::{self, Rule};
use crate::net::Carried;
use std::collections::BTreeMap;
use std::time::Duration;

impl World {
    pub(super) fn shown(self, datagrams: Carried) -> Shown {
        let (lead, lasts) = (self.play.work.lead, self.play.work.lasts);
        let again = self.play.measured_again();
        let served = |from: Duration, to: Duration| {
            let seconds = &self.seconds[from.as_secs() as usize..to.as_secs() as usize];
            let (asked, earned) = seconds
                .iter()
                .fold((0.0, 0.0), |(a, e), s| (a + s.asked, e + s.earned));
            if asked > 0.0 { earned / asked } else { 0.0 }
        };
        let five =
            Duration::from_secs(5).min(lasts.saturating_sub(again).max(Duration::from_secs(1)));
        let sent = &self.truth.sent;
        let mut even = BTreeMap::new();
        even.insert(
            "real",
            even::measure(sent, &self.places, again, lasts, five),
        );
        even.insert(
            "real_1s",
            even::measure(sent, &self.places, again, lasts, Duration::from_secs(1)),
        );
        for (name, rule) in [
            ("hash", Rule::Hash),
            ("two", Rule::LeastOfTwo),
            ("sees_all", Rule::SeesAll),
        ] {
            let dealt = even::deal(sent, &self.places, rule, again, five);
            even.insert(
                name,
                even::measure(&dealt, &self.places, again, lasts, five),
            );
        }
        let herds = self.joined.iter().filter_map(|(at, server)| {
            even::herd(sent, &self.places, self.places[*server].zone, *at)
        });
        let herds: Vec<f64> = herds.collect();
        let herd = if herds.is_empty() {
            1.0
        } else {
            herds.iter().sum::<f64>() / herds.len() as f64
        };
        let mut loads = vec![vec![0.0; lasts.as_secs() as usize]; self.places.len()];
        for one in sent.iter().filter(|s| s.at < lasts) {
            let could = self.places[one.server].present(one.at);
            loads[one.server][one.at.as_secs() as usize] += one.work / could.max(1e-9);
        }
        let late = Duration::from_millis(self.late.value_at_quantile(0.99));
        let void = (late > LATE_MOST).then(|| format!("its own turns came {late:?} late"));
        let asks = (self.truth.hits + self.truth.fills).max(1);
        let of_places = self.kept.measure(&self.play, sent, &self.places);
        Shown {
            of_places,
            lasted: lasts,
            seed: self.setup.seed,
            routers: self.routers.len(),
            servers: self.truth.servers.len(),
            service: served(lead, lasts),
            service_after: served(again, lasts),
            even,
            herd,
            breaks: self.truth.watch.breaks,
            words: self.truth.watch.words.clone(),
            loads,
            strain: self.strain,
            hit_share: self.truth.hits as f64 / asks as f64,
            answers_ms: self.answers,
            late_ms: self.late,
            void,
            crashed: self.crashed,
            datagrams,
            events: self.told,
            retries: self.retries,
            measured_from: again,
            places: self.places,
            seconds: self.seconds,
        }
    }
}
