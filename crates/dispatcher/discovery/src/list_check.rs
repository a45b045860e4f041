//! What is unusual about a list that can be read. Nothing is dropped for it: it is found, with an
//! example, and counted by name.

use crate::EndpointMapper;
use discovery_pacing::LARGEST_WEIGHT;
use dispatcher_settings::list::{ListedTarget, TargetList, TargetState};
use dispatcher_state::Anomaly;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A full list with less than this share of the targets before it is unusual.
const SHRUNKEN_SHARE: f64 = 0.5;

/// How often an anomaly occurs in a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// How often; at least 1.
    pub count: u64,
    /// The first of them, in words.
    pub example: String,
}

/// What is unusual about one list.
pub type Findings = BTreeMap<Anomaly, Finding>;

/// Checks each list against the one before.
#[derive(Debug, Default)]
pub struct ListCheck {
    version: u64,
    /// Targets that are in the list and not removed.
    listed: BTreeSet<String>,
}

impl ListCheck {
    /// Checks a list, which counts as the one before from then on.
    pub fn check(&mut self, list: &TargetList, mapper: &EndpointMapper) -> Findings {
        let mut findings = Findings::new();
        if list.version < self.version {
            let example = format!("version {} after {}", list.version, self.version);
            add(&mut findings, Anomaly::OlderList, example);
        }
        self.version = list.version;
        let mut ids = BTreeSet::new();
        let mut addrs: BTreeMap<SocketAddr, &str> = BTreeMap::new();
        for entry in &list.servers {
            if !ids.insert(&entry.id) {
                let example = format!("{} is named twice", entry.id);
                add(&mut findings, Anomaly::RepeatedTarget, example);
            }
            if entry.state == TargetState::Gone {
                continue;
            }
            let other = addrs.insert(entry.addr, &entry.id);
            if let Some(other) = other.filter(|other| **other != entry.id) {
                let example = format!("{other} and {} are both at {}", entry.id, entry.addr);
                add(&mut findings, Anomaly::SharedAddress, example);
            }
            check_entry(entry, mapper, &mut findings);
        }
        self.check_size(list, &mut findings);
        findings
    }

    fn check_size(&mut self, list: &TargetList, findings: &mut Findings) {
        let before = self.listed.len();
        if list.full {
            self.listed.clear();
        }
        for entry in &list.servers {
            match entry.state {
                TargetState::Gone => drop(self.listed.remove(&entry.id)),
                TargetState::Ready | TargetState::Draining if self.listed.contains(&entry.id) => {}
                TargetState::Ready | TargetState::Draining => {
                    self.listed.insert(entry.id.clone());
                }
            }
        }
        let now = self.listed.len();
        if list.full && before > 0 && now == 0 {
            let example = format!("none of {before} targets is left");
            add(findings, Anomaly::EmptyList, example);
        } else if list.full && (now as f64) < before as f64 * SHRUNKEN_SHARE {
            let example = format!("{now} of {before} targets are left");
            add(findings, Anomaly::ShrunkenList, example);
        }
    }

    /// Another discovery sends the lists from now on, and counts its versions in its own way.
    pub fn discovery_moved(&mut self) {
        self.version = 0;
    }
}

fn check_entry(entry: &ListedTarget, mapper: &EndpointMapper, findings: &mut Findings) {
    for (names, name) in [(&mapper.zones, &entry.zone), (&mapper.kinds, &entry.kind)] {
        if !names.is_empty() && !names.contains(name) {
            let example = format!("{name:?} of {} is not in the settings", entry.id);
            add(findings, Anomaly::UnknownLocation, example);
        }
    }
    let plausible = |w: f64| w.is_finite() && (0.0..=LARGEST_WEIGHT).contains(&w);
    if entry.weight.is_some_and(|w| !plausible(w)) {
        let example = format!("{:?} of {}", entry.weight, entry.id);
        add(findings, Anomaly::InvalidWeight, example);
    }
}

fn add(findings: &mut Findings, anomaly: Anomaly, example: String) {
    let finding = Finding { count: 0, example };
    findings.entry(anomaly).or_insert(finding).count += 1;
}
