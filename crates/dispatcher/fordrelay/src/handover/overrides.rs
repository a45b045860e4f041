//! The overrides of operators, as the files of the processes carry them.

use dispatcher_state::{Input, State, TargetOverride};
use hot_restart::SavedOverride;
use std::collections::BTreeMap;

/// Overrides by the names of targets.
pub type Overrides = BTreeMap<String, SavedOverride>;

/// Takes over the overrides that were set later than those known.
pub fn keep_newest(known: &mut Overrides, overrides: Overrides) {
    for (name, candidate) in overrides {
        let newest = known.entry(name).or_insert(candidate);
        if candidate.set_at > newest.set_at {
            *newest = candidate;
        }
    }
}

/// Those of the overrides that were set later than the ones known.
pub fn newer_than(known: &Overrides, overrides: Overrides) -> Overrides {
    let is_newer = |(name, candidate): &(String, SavedOverride)| {
        let known = known.get(name);
        known.is_none_or(|known| candidate.set_at > known.set_at)
    };
    overrides.into_iter().filter(is_newer).collect()
}

/// The input that has the decisions follow them.
pub fn override_input(overrides: Overrides) -> Input {
    let to_input = |(name, saved): (String, SavedOverride)| {
        let target_override = TargetOverride {
            disabled: saved.disabled,
            set_at: saved.set_at,
            disabled_since: saved.disabled_since,
        };
        (name, target_override)
    };
    Input::OverridesChanged(overrides.into_iter().map(to_input).collect())
}

/// The overrides in force.
pub fn saved_overrides(state: &State) -> Overrides {
    let to_saved = |(name, current): (&str, TargetOverride)| {
        let saved = SavedOverride {
            disabled: current.disabled,
            set_at: current.set_at,
            disabled_since: current.disabled_since,
        };
        (name.to_owned(), saved)
    };
    state.overrides().map(to_saved).collect()
}
