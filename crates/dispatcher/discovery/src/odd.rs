//! What is odd about a list that can be read: it is taken as it is, since discovery alone knows the fleet, but said and
//! counted by name.

use crate::Places;
use dispatcher_settings::list::{List, State};
use dispatcher_state::Anomaly;
use std::collections::{BTreeMap, BTreeSet};

/// A whole list with less than this share of the targets that were listed before it is worth a word.
const SHRUNKEN: f64 = 0.5;

/// What lists are held against.
#[derive(Debug, Default)]
pub(crate) struct Lists {
    version: u64,
    /// Targets that are listed and not gone.
    listed: BTreeSet<String>,
}

/// How often something was odd about a list, and one example in words.
pub(crate) type Found = BTreeMap<Anomaly, (u64, String)>;

impl Lists {
    /// Looks at a list, which counts from then on.
    pub fn look(&mut self, list: &List, places: &Places) -> Found {
        let mut found = Found::new();
        let mut odd = |what, example: String| found.entry(what).or_insert((0, example)).0 += 1;
        if list.version < self.version {
            odd(
                Anomaly::OlderList,
                format!("version {} after {}", list.version, self.version),
            );
        }
        self.version = list.version;
        let mut ids = BTreeSet::new();
        let mut addrs = BTreeMap::new();
        for entry in &list.servers {
            if !ids.insert(&entry.id) {
                odd(
                    Anomaly::RepeatedTarget,
                    format!("{} is named twice", entry.id),
                );
            }
            if entry.state == State::Gone {
                continue;
            }
            if let Some(other) = addrs
                .insert(entry.addr, &entry.id)
                .filter(|other| **other != entry.id)
            {
                odd(
                    Anomaly::SharedAddress,
                    format!("{other} and {} are both at {}", entry.id, entry.addr),
                );
            }
            for (names, name) in [(&places.zones, &entry.zone), (&places.kinds, &entry.kind)] {
                if !names.is_empty() && !names.contains(name) {
                    odd(
                        Anomaly::UnknownLocation,
                        format!("{name:?} of {} is not in the settings", entry.id),
                    );
                }
            }
            if entry.weight.is_some_and(|w| {
                !(w.is_finite() && (0.0..=discovery_pacing::LARGEST_WEIGHT).contains(&w))
            }) {
                odd(
                    Anomaly::InvalidWeight,
                    format!("{:?} of {}", entry.weight, entry.id),
                );
            }
        }
        let before = self.listed.len();
        if list.full {
            self.listed.clear();
        }
        for entry in &list.servers {
            match entry.state {
                State::Gone => self.listed.remove(&entry.id),
                _ if self.listed.contains(&entry.id) => false,
                State::Ready | State::Draining => self.listed.insert(entry.id.clone()),
            };
        }
        let now = self.listed.len();
        if list.full && before > 0 && now == 0 {
            odd(
                Anomaly::EmptyList,
                format!("none of {before} targets is left"),
            );
        } else if list.full && (now as f64) < before as f64 * SHRUNKEN {
            odd(
                Anomaly::ShrunkenList,
                format!("{now} of {before} targets are left"),
            );
        }
        found
    }

    /// Another discovery tells the lists from now on, and counts its versions in its own way.
    pub fn moved(&mut self) {
        self.version = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn places() -> Places {
        let names = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
        Places {
            zones: names(&["a"]),
            kinds: names(&["k"]),
            clock: event_loop::Clock::start(),
            kept: None,
        }
    }

    fn list(version: u64, full: bool, lines: &[(&str, u16, &str, &str, f64)]) -> List {
        let line = |(id, port, zone, state, weight): &(&str, u16, &str, &str, f64)| {
            format!(
                r#"{{"id":"{id}","addr":"127.0.0.1:{port}","zone":"{zone}","kind":"k","state":"{state}","weight":{weight}}}"#
            )
        };
        let lines: Vec<String> = lines.iter().map(line).collect();
        let text = format!(
            r#"{{"version":{version},"full":{full},"servers":[{}]}}"#,
            lines.join(",")
        );
        serde_json::from_str(&text).unwrap()
    }

    #[test]
    fn each_oddity_of_a_list_is_named_once_with_its_count() {
        let (mut lists, places) = (Lists::default(), places());
        let lines: Vec<(String, u16)> = (0..2_000).map(|n| (format!("s-{n}"), 1_000 + n)).collect();
        let ready: Vec<_> = lines
            .iter()
            .map(|(id, port)| (id.as_str(), *port, "a", "ready", 1.0))
            .collect();
        assert_eq!(
            lists.look(&list(5, true, &ready), &places),
            Found::new(),
            "an ordinary list of thousands"
        );
        let odd = [
            ("s-1", 1, "a", "ready", 1.0),
            ("s-2", 1, "b", "draining", 1.0e300),
            ("s-2", 1, "b", "ready", -1.0),
        ];
        let found = lists.look(&list(4, true, &odd), &places);
        let counts: Vec<(Anomaly, u64)> = found
            .iter()
            .map(|(odd, (count, _))| (*odd, *count))
            .collect();
        let expected = [
            (Anomaly::ShrunkenList, 1),
            (Anomaly::OlderList, 1),
            (Anomaly::RepeatedTarget, 1),
            (Anomaly::SharedAddress, 1),
            (Anomaly::UnknownLocation, 2),
            (Anomaly::InvalidWeight, 2),
        ];
        assert_eq!(counts, expected);
        assert_eq!(
            found[&Anomaly::SharedAddress].1,
            "s-1 and s-2 are both at 127.0.0.1:1"
        );
        lists.moved();
        assert!(
            lists
                .look(&list(1, true, &[]), &places)
                .keys()
                .eq([&Anomaly::EmptyList]),
            "of a new discovery"
        );
    }

    proptest! {
        #[test]
        fn no_list_is_too_odd(ids in prop::collection::vec((0u8..4, 0u16..3, any::<f64>(), 0u8..3), 0..40), full: bool) {
            let mut lists = Lists::default();
            let servers = ids.into_iter().map(|(id, port, weight, state)| dispatcher_settings::list::Entry {
                id: id.to_string(),
                addr: ([127, 0, 0, 1], port).into(),
                zone: "a".into(),
                kind: String::new(),
                cell: 0,
                state: [State::Ready, State::Draining, State::Gone][usize::from(state)],
                started_ms: weight,
                weight: Some(weight),
            });
            let list = List { version: 1, full, servers: servers.collect() };
            lists.look(&list, &places());
            prop_assert!(!lists.look(&list, &places()).contains_key(&Anomaly::OlderList));
        }
    }
}
