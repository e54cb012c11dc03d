use super::*;
use proptest::prelude::*;

fn servers(range: std::ops::Range<u32>) -> BTreeSet<Id> {
    range.map(|n| Id::from(format!("s-{n:04}"))).collect()
}

fn definition(cells: Vec<(&str, Members)>) -> Definition {
    let bindings = cells
        .iter()
        .enumerate()
        .map(|(n, (name, _))| (Scope::Customer(n), (*name).to_owned()));
    Definition {
        bindings: bindings.collect(),
        cells: cells
            .into_iter()
            .map(|(name, members)| (name.to_owned(), members))
            .collect(),
        ..Definition::default()
    }
}

#[test]
fn the_most_specific_binding_decides_the_cell() {
    let cells = ["a", "b", "c", "d", "e"].map(|name| (name.to_owned(), Members::Shuffle(1)));
    let bind = |what, name: &str| (what, name.to_owned());
    let bindings = vec![
        bind(Scope::Prefix("7f".into()), "a"),
        bind(Scope::Prefix("7f3a".into()), "b"),
        bind(Scope::Groups(3..=5), "c"),
        bind(Scope::Customer(2), "d"),
        bind(Scope::Class(1), "e"),
    ];
    let default_cell = Some("a".to_owned());
    let map = Map::new(Definition {
        cells: cells.to_vec(),
        bindings,
        default_cell,
        ..Definition::default()
    })
    .unwrap();
    let cell = |object: &str, group, customer, class| {
        let arrival = IncomingRequest {
            object: object.into(),
            group,
            customer,
            class,
            ..IncomingRequest::default()
        };
        map.cell_of(&arrival)
            .map(|cell| map.name(cell).to_owned())
            .unwrap()
    };
    assert_eq!(cell("7f3a00", 4, 2, 1), "b");
    assert_eq!(cell("7f0000", 4, 2, 1), "a");
    assert_eq!(cell("000000", 4, 2, 1), "c");
    assert_eq!(cell("000000", 6, 2, 1), "d");
    assert_eq!(cell("000000", 6, 3, 1), "e");
    assert_eq!(cell("000000", 6, 3, 0), "a");
}

#[test]
fn all_faults_are_reported_at_once() {
    let mut definition = definition(vec![
        ("a", Members::List(vec![])),
        ("a", Members::Share(0.7)),
        ("b", Members::Share(0.7)),
        ("c", Members::Shuffle(0)),
    ]);
    definition.bindings = vec![
        (Scope::Groups(1..=9), "a".into()),
        (Scope::Groups(9..=9), "nowhere".into()),
    ];
    let faults = Map::new(definition).unwrap_err().join("\n");
    for part in [
        "cell a is defined twice",
        "cell a lists no server",
        "cell c draws no server",
        "add up to 140 %",
        "nowhere is not a cell",
        "is bound twice",
        "nothing belongs to cell c",
    ] {
        assert!(faults.contains(part), "{part} in {faults}");
    }
}

#[test]
fn shares_are_kept_and_removing_a_server_reassigns_no_other() {
    let mut map = Map::new(definition(vec![
        ("a", Members::Share(0.25)),
        ("b", Members::Share(0.5)),
    ]))
    .unwrap();
    let all = servers(0..2000);
    map.assign(&all);
    let before = map.report();
    let (a, b) = (before[0].1.len(), before[1].1.len());
    assert!(
        (420..580).contains(&a) && (900..1100).contains(&b),
        "{a} {b}"
    );
    let before_removal = map.cells_by_server.clone();
    map.assign(&servers(1..2000));
    assert!(
        map.cells_by_server
            .iter()
            .all(|(server, cells)| before_removal[server] == *cells)
    );
}

#[test]
fn a_cell_with_too_few_servers_is_reported() {
    let list = Members::List(vec!["s-0001".into(), "gone".into()]);
    let mut map = Map::new(definition(vec![("a", list), ("b", Members::Shuffle(30))])).unwrap();
    map.assign(&servers(0..10));
    assert_eq!(
        map.faults(),
        ["cell a has 1 of 2 servers", "cell b has 9 of 30 servers"]
    );
    assert_eq!(
        *map.cells_of(&"s-0001".into()),
        [0],
        "a listed server is in no other cell"
    );
}

proptest! {
    /// Assignments are deterministic, and the overlap of two shuffle-sharded cells is within the limit.
    #[test]
    fn shuffle_sharded_cells_overlap_within_the_limit(
        count in 8u32..60,
        cells in 1usize..12,
        k in 1usize..5,
        overlap in 0usize..3,
    ) {
        let names: Vec<String> = (0..cells).map(|n| format!("cell-{n}")).collect();
        let drawn = names.iter().map(|n| (n.as_str(), Members::Shuffle(k))).collect();
        let definition = Definition { max_overlap: Some(overlap), ..definition(drawn) };
        let mut map = Map::new(definition).unwrap();
        map.assign(&servers(0..count));
        let report = map.report().into_iter();
        let report: Vec<BTreeSet<Id>> = report.map(|(_, s)| s.into_iter().collect()).collect();
        for (n, one) in report.iter().enumerate() {
            prop_assert!(one.len() <= k);
            prop_assert!(report[..n].iter().all(|other| one.intersection(other).count() <= overlap));
        }
        let mut again = map.clone();
        again.assign(&servers(0..count));
        prop_assert_eq!(map.report(), again.report());
    }
}
