use super::NameMap;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::rc::Rc;

proptest! {
    /// Against a plain sorted map, through additions, removals and changes in any order.
    #[test]
    fn agrees_with_a_sorted_map(steps in prop::collection::vec((0u8..40, 0u8..4, any::<u16>()), 0..200)) {
        let (mut map, mut plain): (NameMap<u16>, BTreeMap<Rc<str>, u16>) = Default::default();
        for (name, step, value) in steps {
            let name: Rc<str> = format!("server-{name}").into();
            match step {
                0 | 1 => {
                    *map.get_or_default(&name) = value;
                    plain.insert(name, value);
                }
                2 => {
                    if let Some(found) = map.get_mut(&name) {
                        *found ^= 1;
                    }
                    plain.entry(name).and_modify(|found| *found ^= 1);
                }
                _ => {
                    let keep = |kept: &u16| kept % 5 != value % 5;
                    map.retain(keep);
                    plain.retain(|_, kept| keep(kept));
                    let ordered = plain.values().copied().collect::<Vec<_>>();
                    prop_assert_eq!(map.values().copied().collect::<Vec<_>>(), ordered);
                }
            }
            for (name, value) in &plain {
                prop_assert_eq!(map.get(name), Some(value));
            }
            prop_assert_eq!(map.values().count(), plain.len());
        }
    }
}
