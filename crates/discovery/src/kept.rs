//! The list as discovery told it, with every target that it ever named.

use settings::list::{Entry, List, State};
use std::collections::BTreeMap;

/// Targets that are kept; beyond them the first that are gone are forgotten.
const MOST: usize = 4_096;

/// The list, its changes taken in.
#[derive(Debug, Default)]
pub struct Kept {
    version: u64,
    entries: BTreeMap<String, Entry>,
}

impl Kept {
    /// Takes in a whole list, or changes.
    pub fn take(&mut self, list: &List) {
        self.version = list.version;
        if list.full {
            self.entries.values_mut().for_each(|entry| entry.state = State::Gone);
        }
        for entry in &list.servers {
            self.entries.insert(entry.id.clone(), entry.clone());
        }
        let mut surplus = self.entries.len().saturating_sub(MOST);
        self.entries.retain(|_, entry| {
            let drop = surplus > 0 && entry.state == State::Gone;
            surplus -= usize::from(drop);
            !drop
        });
    }

    /// The whole list; those that are gone are named as such.
    pub fn list(&self) -> List {
        List { version: self.version, full: true, servers: self.entries.values().cloned().collect() }
    }
}

#[cfg(test)]
mod tests {
    use super::Kept;
    use settings::list::{List, State};

    #[test]
    fn what_was_ever_named_stays_known_as_gone() {
        let list = |version, full, states: &[(&str, &str)]| {
            let server = |(id, state): &(&str, &str)| {
                format!(r#"{{"id":"{id}","addr":"127.0.0.1:1","state":"{state}"}}"#)
            };
            let servers: Vec<String> = states.iter().map(server).collect();
            let text = format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, servers.join(","));
            serde_json::from_str::<List>(&text).unwrap()
        };
        let mut kept = Kept::default();
        kept.take(&list(1, true, &[("a", "ready"), ("b", "ready")]));
        kept.take(&list(2, false, &[("b", "draining"), ("c", "ready")]));
        kept.take(&list(3, true, &[("b", "ready")]));
        let states: Vec<_> = kept.list().servers.into_iter().map(|e| (e.id, e.state)).collect();
        let expected = [("a", State::Gone), ("b", State::Ready), ("c", State::Gone)];
        assert_eq!((kept.list().version, states), (3, expected.map(|(n, s)| (n.to_owned(), s)).to_vec()));
    }
}
