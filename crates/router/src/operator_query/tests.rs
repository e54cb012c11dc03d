use super::*;

#[test]
fn known_queries_are_parsed_regardless_of_whitespace() {
    let known = [
        ("store stat\n", Query::StoreStat),
        ("memory stat", Query::MemoryStat),
        ("  cells   stat\r\n", Query::CellsStat),
        ("peers stat", Query::PeersStat),
        ("regions stat", Query::ZoneFailover(ZoneFailoverQuery::Stat)),
        ("steer show", Query::ZoneFailover(ZoneFailoverQuery::Steer)),
    ];
    for (line, query) in known {
        assert_eq!(Query::parse(line), query, "{line:?}");
    }
}

#[test]
fn latency_observe_keeps_all_of_its_arguments() {
    let query = Query::parse("latency observe north z2 5 20");
    let arguments = ["north", "z2", "5", "20"].map(str::to_owned).to_vec();
    let observe = ZoneFailoverQuery::ObserveLatency(arguments);
    assert_eq!(query, Query::ZoneFailover(observe));
}

#[test]
fn unknown_queries_keep_their_words() {
    assert_eq!(
        Query::parse("make  tea\n"),
        Query::Unknown("make tea".into())
    );
    assert_eq!(Query::parse("store stat all"), {
        Query::Unknown("store stat all".into())
    });
    assert_eq!(Query::parse(""), Query::Unknown(String::new()));
    let unknown = ZoneFailoverQuery::Unknown("regions nonsense".into());
    assert_eq!(
        Query::parse("regions nonsense"),
        Query::ZoneFailover(unknown)
    );
}
