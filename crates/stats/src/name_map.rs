//! A map from names to values whose values lie next to each other, in the order of their names.

use std::collections::HashMap;
use std::rc::Rc;

/// Looking up a name takes the same time however many there are; a value can be found by its position, too,
/// until names are added or removed.
#[derive(Debug)]
pub struct NameMap<V> {
    entries: Vec<(Rc<str>, V)>,
    positions: HashMap<Rc<str>, usize>,
    added: bool,
}

impl<V> Default for NameMap<V> {
    fn default() -> NameMap<V> {
        NameMap {
            entries: Vec::new(),
            positions: HashMap::new(),
            added: false,
        }
    }
}

impl<V: Default> NameMap<V> {
    /// The value of a name, which is added if need be; in the order of names it stands after
    /// [`NameMap::retain`] only.
    pub fn get_or_default(&mut self, name: &Rc<str>) -> &mut V {
        let position = self.positions.get(name).copied().unwrap_or_else(|| {
            self.added = true;
            self.positions.insert(name.clone(), self.entries.len());
            self.entries.push((name.clone(), V::default()));
            self.entries.len() - 1
        });
        &mut self.entries[position].1
    }
}

impl<V> NameMap<V> {
    /// Removes the values that are not to be kept, and puts the others in the order of their names.
    pub fn retain(&mut self, keep: impl Fn(&V) -> bool) {
        let before = self.entries.len();
        self.entries.retain(|(_, value)| keep(value));
        if !std::mem::take(&mut self.added) && self.entries.len() == before {
            return;
        }
        self.entries.sort_by(|(a, _), (b, _)| a.cmp(b));
        let names = self.entries.iter().enumerate();
        self.positions = names
            .map(|(position, (name, _))| (name.clone(), position))
            .collect();
    }

    /// The value of a name.
    pub fn get(&self, name: &str) -> Option<&V> {
        self.positions
            .get(name)
            .map(|position| &self.entries[*position].1)
    }

    /// The value of a name, to be changed.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut V> {
        self.positions
            .get(name)
            .map(|position| &mut self.entries[*position].1)
    }

    /// The value at a position in the order of names.
    pub fn at(&self, position: usize) -> Option<&V> {
        self.entries.get(position).map(|(_, value)| value)
    }

    /// All values, in the order of their names.
    pub fn values(&self) -> impl Iterator<Item = &V> + Clone {
        self.entries.iter().map(|(_, value)| value)
    }

    /// All values, in the order of their names, to be changed.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.entries.iter_mut().map(|(_, value)| value)
    }
}

#[cfg(test)]
mod tests;
