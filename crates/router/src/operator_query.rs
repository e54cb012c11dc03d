//! The queries of operators to a running router, parsed from the words of a line.

/// A query of an operator.
#[derive(Debug, PartialEq, Eq)]
pub enum Query {
    /// `store stat`: the state and counters of the local cache.
    StoreStat,
    /// `memory stat`: the memory held, by use.
    MemoryStat,
    /// `cells stat`: the cell map and its moves.
    CellsStat,
    /// `peers stat`: gossip with the routers of the zone.
    PeersStat,
    /// A query about zone failover.
    ZoneFailover(ZoneFailoverQuery),
    /// An unknown query.
    Unknown(String),
}

/// A query about zone failover.
#[derive(Debug, PartialEq, Eq)]
pub enum ZoneFailoverQuery {
    /// `regions stat`: the zones, and the plan between them.
    Stat,
    /// `steer show`: the edges to which this region's clients should be sent.
    Steer,
    /// `latency observe` and its arguments: a latency that a front measured.
    ObserveLatency(Vec<String>),
    /// An unknown query that begins like one about zone failover.
    Unknown(String),
}

impl Query {
    /// Parses a line. Unknown queries are returned as such, and are answered with an error.
    pub fn parse(line: &str) -> Query {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["store", "stat"] => Query::StoreStat,
            ["memory", "stat"] => Query::MemoryStat,
            ["cells", "stat"] => Query::CellsStat,
            ["peers", "stat"] => Query::PeersStat,
            ["regions" | "steer" | "latency", ..] => {
                Query::ZoneFailover(ZoneFailoverQuery::parse(&words))
            }
            _ => Query::Unknown(words.join(" ")),
        }
    }
}

impl ZoneFailoverQuery {
    fn parse(words: &[&str]) -> ZoneFailoverQuery {
        match words {
            ["regions", "stat"] => ZoneFailoverQuery::Stat,
            ["steer", "show"] => ZoneFailoverQuery::Steer,
            ["latency", "observe", arguments @ ..] => {
                let arguments = arguments.iter().map(|word| (*word).to_owned());
                ZoneFailoverQuery::ObserveLatency(arguments.collect())
            }
            _ => ZoneFailoverQuery::Unknown(words.join(" ")),
        }
    }
}

#[cfg(test)]
mod tests;
