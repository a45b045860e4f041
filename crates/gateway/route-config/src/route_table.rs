//! Which route a request takes: longest prefix match by host and path.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::config::Route;
use crate::host::normalize_host;

/// The prefixes of each host.
#[derive(Debug, Clone, Default)]
pub(crate) struct RouteTable {
    hosts: HashMap<CompactString, Vec<Prefix>>,
}

/// One prefix among those of its host, which are sorted by their bytes.
#[derive(Debug, Clone)]
struct Prefix {
    text: CompactString,
    route: usize,
    /// The position of the longest other prefix of the host that this one starts with.
    parent: Option<usize>,
}

impl RouteTable {
    pub fn new(routes: &[Route]) -> Self {
        let mut hosts: HashMap<CompactString, Vec<Prefix>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            let prefix = Prefix {
                text: route.prefix.clone(),
                route: index,
                parent: None,
            };
            hosts.entry(route.host.clone()).or_default().push(prefix);
        }
        hosts
            .values_mut()
            .for_each(|prefixes| link_parents(prefixes));
        RouteTable { hosts }
    }

    /// The index of the route with the longest prefix of the path.
    ///
    /// All prefixes sorted between it and the path start with it too, so it is the last one up to
    /// the path, or an ancestor of that one.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let prefixes = self.hosts.get(normalize_host(host).as_ref())?;
        let mut at = prefixes
            .partition_point(|prefix| prefix.text.as_str() <= path)
            .checked_sub(1);
        while let Some(prefix) = at.and_then(|at| prefixes.get(at)) {
            if path.starts_with(prefix.text.as_str()) {
                return Some(prefix.route);
            }
            at = prefix.parent;
        }
        None
    }
}

/// Sorts the prefixes of a host and links each to its parent.
fn link_parents(prefixes: &mut [Prefix]) {
    prefixes.sort_unstable_by(|a, b| a.text.cmp(&b.text));
    // The last prefix and its ancestors, the longest last.
    let mut ancestors: Vec<(usize, CompactString)> = Vec::new();
    for (at, prefix) in prefixes.iter_mut().enumerate() {
        while ancestors
            .last()
            .is_some_and(|(_, other)| !prefix.text.starts_with(other.as_str()))
        {
            ancestors.pop();
        }
        prefix.parent = ancestors.last().map(|(other, _)| *other);
        ancestors.push((at, prefix.text.clone()));
    }
}
