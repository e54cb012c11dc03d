use super::NameMap;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::rc::Rc;

proptest! {
    /// Compares with a `BTreeMap` over random insertions, removals and changes.
    #[test]
    fn agrees_with_a_sorted_map(steps in prop::collection::vec((0u8..40, 0u8..5, any::<u16>()), 0..200)) {
        let (mut map, mut reference): (NameMap<u16>, BTreeMap<Rc<str>, u16>) = Default::default();
        for (name, step, value) in steps {
            let name: Rc<str> = format!("server-{name}").into();
            match step {
                0 | 1 => {
                    *map.get_or_default(&name) = value;
                    reference.insert(name, value);
                }
                2 => {
                    if let Some(found) = map.get_mut(&name) {
                        *found ^= 1;
                    }
                    reference.entry(name).and_modify(|found| *found ^= 1);
                }
                3 => prop_assert_eq!(map.remove(&name), reference.remove(&name)),
                _ => {
                    let keep = |kept: &u16| kept % 5 != value % 5;
                    map.retain(keep);
                    reference.retain(|_, kept| keep(kept));
                    let ordered = reference.values().copied().collect::<Vec<_>>();
                    prop_assert_eq!(map.values().copied().collect::<Vec<_>>(), ordered);
                }
            }
            for (name, value) in &reference {
                prop_assert_eq!(map.get(name), Some(value));
                prop_assert_eq!(map.slot(name).and_then(|slot| map.at(slot)), Some(value));
            }
            let ordered = reference.values().copied().collect::<Vec<_>>();
            prop_assert_eq!(map.values().copied().collect::<Vec<_>>(), ordered);
        }
    }
}

#[test]
fn a_value_keeps_its_slot_while_others_are_added_and_removed() {
    let name = |n: usize| -> Rc<str> { format!("server-{n:02}").into() };
    let mut map: NameMap<usize> = NameMap::default();
    for n in (0..10).rev() {
        *map.get_or_default(&name(n)) = n;
    }
    let slot = map.slot(&name(5));
    map.remove(&name(2));
    map.retain(|n| n % 4 != 0);
    *map.get_or_default(&name(0)) = 0;
    *map.get_or_default(&name(20)) = 20;
    assert_eq!(map.slot(&name(5)), slot);
    assert_eq!(
        map.values().copied().collect::<Vec<_>>(),
        [0, 1, 3, 5, 6, 7, 9, 20]
    );
}

#[test]
fn the_slots_of_removed_names_are_reused() {
    let mut map: NameMap<usize> = NameMap::default();
    for n in 0..1000 {
        map.get_or_default(&format!("server-{n}").as_str().into());
        map.remove(&format!("server-{n}"));
    }
    assert_eq!(map.slots.len(), 1);
}
