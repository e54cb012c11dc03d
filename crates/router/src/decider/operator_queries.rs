//! Answers to the queries of operators, as JSON objects.

use super::Decider;
use super::subsystems::Gossip;
use crate::local_cache::LocalCache;
use crate::operator_query::{Query, ZoneFailoverQuery};
use crate::zone_failover::ZoneFailover;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;

impl Decider {
    pub(super) fn answer_query(&mut self, query: Query) -> Value {
        let now = self.dispatcher.now;
        match query {
            Query::StoreStat => match &self.dispatcher.local_cache {
                Some(local_cache) => local_cache.report(),
                None => error("the local cache is off: neither memory nor disk is set"),
            },
            Query::MemoryStat => {
                let local_cache = self.dispatcher.local_cache.as_ref();
                let local_copies = local_cache.map_or(0, LocalCache::memory_bytes);
                self.dispatcher.memory.report(local_copies)
            }
            Query::CellsStat => match &self.cell_routing {
                Some(cell_routing) => cell_routing.report(),
                None => error("no cells are configured"),
            },
            Query::PeersStat => match &self.dispatcher.gossip {
                Some(gossip) => report_peers(gossip, now),
                None => error("gossip with other routers is off"),
            },
            Query::ZoneFailover(query) => match &mut self.zone_failover {
                Some(failover) => query_zone_failover(failover, now, query),
                None => error("regions: failover is off"),
            },
            Query::Unknown(words) => unknown(&words),
        }
    }
}

fn query_zone_failover(
    failover: &mut ZoneFailover,
    now: Duration,
    query: ZoneFailoverQuery,
) -> Value {
    match query {
        ZoneFailoverQuery::Stat => failover.report(now),
        ZoneFailoverQuery::Steer => failover.steer(now),
        ZoneFailoverQuery::ObserveLatency(arguments) => {
            let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
            failover.observe(now, &arguments)
        }
        ZoneFailoverQuery::Unknown(words) => unknown(&words),
    }
}

fn report_peers(gossip: &Gossip, now: Duration) -> Value {
    let (recent, known) = gossip.exchange.peers(now);
    let dropped = gossip.exchange.dropped();
    let weights: BTreeMap<&str, f64> = gossip
        .exchange
        .weights()
        .map(|(cache, weight)| (&**cache, weight))
        .collect();
    json!({
        "weights": weights,
        "mates": recent,
        "known": known,
        "strangers": dropped.unknown_senders,
        "faulty": dropped.malformed,
        "flood": dropped.over_quota,
        "untold": dropped.unsent,
    })
}

fn unknown(words: &str) -> Value {
    error(&format!("unknown words: {words}"))
}

fn error(text: &str) -> Value {
    json!({"error": text})
}
