//! How many losses the tier is to tolerate by its settings (`FaultBudget`), and how many it does.

use super::work::addresses;
use super::ControllerCore;
use crate::heartbeat::zone_hash;
use crate::placement::ChainLengths;
use chain_replication::{Member, Observation};
use slog::{info, warn};
use view_agreement::{ControllerView, Sizing};

/// What is tolerated, as last written to the log.
#[derive(Debug, Default)]
pub(super) struct ReportedTolerance {
    /// Losses of machines.
    machines: Option<usize>,
    /// Losses of whole zones, or regions.
    zones: Option<usize>,
}

impl ControllerCore {
    /// How many machines with a disk may be lost at once. Where zones or regions may be lost, as
    /// many machines are counted at least, and the rule of the next view spreads them
    /// ([`ControllerCore::zone_losses`]).
    fn machine_losses(&self) -> usize {
        let budget = &self.settings.fault_budget;
        budget.nodes.max(budget.zones).max(budget.regions) as usize
    }

    /// How many whole zones may be lost at once, or regions where the settings name these.
    fn zone_losses(&self) -> usize {
        let budget = &self.settings.fault_budget;
        if budget.regions > 0 {
            budget.regions as usize
        } else {
            budget.zones as usize
        }
    }

    /// What this controller may be lost together with: its region where regions may be lost, else
    /// its zone.
    pub(super) fn own_failure_domain(&self) -> u64 {
        let by_region = self.settings.fault_budget.regions > 0;
        zone_hash(if by_region {
            &self.settings.region
        } else {
            &self.settings.zone
        })
    }

    /// What the view is sized by.
    pub(super) fn view_sizing(&self) -> Sizing {
        Sizing::new(self.machine_losses(), self.settings.bounds.sync_ms)
            .with_zone_failures(self.zone_losses())
    }

    /// The lengths of the chains, of controllers and stores alike.
    pub(super) fn chain_lengths(&self) -> ChainLengths {
        let minimum = self.machine_losses() + 1;
        ChainLengths {
            target: minimum + 1,
            minimum,
        }
    }

    /// So many disks must hold what is acknowledged: one more than may be lost, or all where the
    /// tier has fewer.
    pub(super) fn required_replicas(&self) -> usize {
        let acceptors = self
            .agreement
            .current_view()
            .map_or(1, |v| v.acceptors.len());
        self.chain_lengths().minimum.min(acceptors)
    }

    /// The newest entry of the chain that may be acknowledged.
    pub(super) fn acknowledgeable(&self) -> u64 {
        self.chain.committed_with_members(self.required_replicas())
    }

    /// Whether what is proposed here is acknowledged by enough disks.
    pub(super) fn can_commit(&self) -> bool {
        let members = self.chain.view().map_or(0, |v| v.members.len());
        self.disk_health.is_writable()
            && self.chain.is_head()
            && self.chain.is_ready()
            && members >= self.required_replicas()
    }

    /// Logs whether as many losses are tolerated as the settings require; fewer are where there are
    /// too few machines with a disk.
    pub(super) fn log_tolerance(&mut self, next: &ControllerView) {
        let by_votes = Sizing::failures_tolerated(next.acceptors.len());
        let by_replicas = next.view.members.len().saturating_sub(1);
        let (tolerates, required) = (by_votes.min(by_replicas), self.machine_losses());
        if self.reported_tolerance.machines.replace(tolerates) == Some(tolerates) {
            return;
        }
        if tolerates < required {
            warn!(self.log, "fault tolerance too low: too few controllers with a disk"; "code" => 1340,
                "tolerates" => tolerates, "required" => required,
                "acceptors" => next.acceptors.len(), "replicas" => next.view.members.len());
        } else {
            info!(self.log, "fault tolerance reached"; "tolerates" => tolerates,
                "required" => required);
        }
    }

    /// Logs whether as many zones may be lost as the settings require; fewer may where controllers
    /// with a disk run in too few zones. Looked at while nothing is to change, by those who decide.
    pub(super) fn log_zone_tolerance(
        &mut self,
        current: &ControllerView,
        observed: &[Observation],
    ) {
        let required = self.zone_losses();
        let zone_of = |m: &Member| {
            observed
                .iter()
                .find(|s| s.member.addr == m.addr)
                .map(|s| s.zone)
        };
        let votes: Vec<u64> = current.acceptors.iter().filter_map(zone_of).collect();
        let mut replicas: Vec<u64> = current.view.members.iter().filter_map(zone_of).collect();
        // Not all zones are known yet.
        let all_known =
            votes.len() == current.acceptors.len() && replicas.len() == current.view.members.len();
        if required == 0 || !all_known {
            return;
        }
        replicas.sort_unstable();
        replicas.dedup();
        let by_replicas = replicas.len().saturating_sub(1);
        let tolerates = Sizing::zone_failures_tolerated(&votes).min(by_replicas);
        if self.reported_tolerance.zones.replace(tolerates) == Some(tolerates) {
            return;
        }
        if tolerates < required {
            warn!(self.log, "zone fault tolerance too low: controllers with a disk in too few zones";
                "code" => 1341, "tolerates" => tolerates, "required" => required,
                "acceptors" => addresses(&current.acceptors),
                "chain" => addresses(&current.view.members));
        } else {
            info!(self.log, "zone fault tolerance reached"; "tolerates" => tolerates,
                "required" => required);
        }
    }
}
