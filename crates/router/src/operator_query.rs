//! What an operator can ask a running router, parsed from the words of one line.

/// A query of an operator.
#[derive(Debug, PartialEq, Eq)]
pub enum Query {
    /// `store stat`: state and counters of the local cache.
    StoreStat,
    /// `cells stat`: the map of cells and its moves.
    CellsStat,
    /// `peers stat`: the gossip with the routers of the zone.
    PeersStat,
    /// About the failover between zones.
    ZoneFailover(ZoneFailoverQuery),
    /// Words that are no query.
    Unknown(String),
}

/// A query about the failover between zones.
#[derive(Debug, PartialEq, Eq)]
pub enum ZoneFailoverQuery {
    /// `regions stat`: the zones, and the plan between them.
    Stat,
    /// `steer show`: which edges are to take the clients of this region.
    Steer,
    /// `latency observe`, with its arguments: a latency that a front has measured.
    ObserveLatency(Vec<String>),
    /// Words that begin like such a query.
    Unknown(String),
}

impl Query {
    /// Parses a line. What is not known is a query too, which is answered with an error.
    pub fn parse(line: &str) -> Query {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["store", "stat"] => Query::StoreStat,
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
