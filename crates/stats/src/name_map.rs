//! A map from names to values in which a value keeps its slot for as long as its name is present.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// Looking up a name takes constant time. A value can also be accessed by its slot, which is stable
/// until the name is removed; the slot of a removed name is reused. Adding or removing a name leaves
/// all other slots unchanged.
#[derive(Debug)]
pub struct NameMap<V> {
    slots: Vec<Option<V>>,
    free_slots: Vec<usize>,
    slot_of: HashMap<Rc<str>, usize>,
    /// The same mapping, for iteration in the order of the names.
    slots_by_name: BTreeMap<Rc<str>, usize>,
}

impl<V> Default for NameMap<V> {
    fn default() -> NameMap<V> {
        NameMap {
            slots: Vec::new(),
            free_slots: Vec::new(),
            slot_of: HashMap::new(),
            slots_by_name: BTreeMap::new(),
        }
    }
}

impl<V: Default> NameMap<V> {
    /// The value of a name, which is inserted with the default value if missing.
    pub fn get_or_default(&mut self, name: &Rc<str>) -> &mut V {
        let slot = match self.slot_of.get(name) {
            Some(slot) => *slot,
            None => self.add(name),
        };
        self.slots[slot].get_or_insert_default()
    }

    fn add(&mut self, name: &Rc<str>) -> usize {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slot_of.insert(name.clone(), slot);
        self.slots_by_name.insert(name.clone(), slot);
        slot
    }
}

impl<V> NameMap<V> {
    /// Removes a name and returns its value.
    pub fn remove(&mut self, name: &str) -> Option<V> {
        let slot = self.slot_of.remove(name)?;
        self.slots_by_name.remove(name);
        self.free_slots.push(slot);
        self.slots[slot].take()
    }

    /// Removes the values for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&V) -> bool) {
        let names = self.slots_by_name.iter();
        let dropped: Vec<Rc<str>> = names
            .filter(|(_, slot)| !self.slots[**slot].as_ref().is_some_and(&keep))
            .map(|(name, _)| name.clone())
            .collect();
        for name in dropped {
            self.remove(&name);
        }
    }

    pub fn get(&self, name: &str) -> Option<&V> {
        self.at(*self.slot_of.get(name)?)
    }

    pub fn get_mut(&mut self, name: &str) -> Option<&mut V> {
        self.slots[*self.slot_of.get(name)?].as_mut()
    }

    pub fn slot(&self, name: &str) -> Option<usize> {
        self.slot_of.get(name).copied()
    }

    /// The value in a slot.
    pub fn at(&self, slot: usize) -> Option<&V> {
        self.slots.get(slot)?.as_ref()
    }

    /// All values with their slots, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &V)> + Clone {
        let slots = self.slots_by_name.values();
        slots.filter_map(|slot| Some((*slot, self.at(*slot)?)))
    }

    /// All values, in the order of their names.
    pub fn values(&self) -> impl Iterator<Item = &V> + Clone {
        self.iter().map(|(_, value)| value)
    }

    /// All values, in no particular order.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.slots.iter_mut().flatten()
    }
}

#[cfg(test)]
mod tests;
