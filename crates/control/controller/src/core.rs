//! A controller without I/O and clock: it takes frames, calls, synced writes and ticks, feeds the
//! state machines, and returns what is to be done as [`Effect`]s.
//!
//! It owns every table of the controller. It guarantees that nothing is acknowledged, and no vote
//! given, before [`ControllerCore::handle_synced`] reports that it is on disk.

mod calls;
mod contact;
mod disk;
mod effects;
mod fault_tolerance;
mod frames;
mod leader;
mod lifecycle;
mod membership;
mod pending;
mod publishing;
mod quorum_contact;
mod repair;
mod run_records;
mod version_rollouts;
mod work;

pub use effects::{Effect, WriteTicket};

use crate::bootstrap::Bootstrap;
use crate::control_state::ControlState;
use crate::dispatchers::DispatcherTracker;
use crate::heartbeat_homes::HeartbeatHomes;
use crate::journal::DiskUsage;
use crate::peers::{PeerControllers, HEARTBEAT_INTERVAL};
use crate::placement::StorePlanner;
use crate::rejections::Rejections;
use crate::startup::{RecoveredState, RecoveryError, Startup};
use crate::time::Time;
use batch::wire::PlacementMap;
use chain_replication::{Member, Millis, Replica};
use fault_tolerance::ReportedTolerance;
use leader::WithheldLeases;
use lifecycle::Shutdown;
use membership::PublishedControllers;
use pending::PendingCall;
use publishing::ConfigActivation;
use quorum_contact::QuorumContact;
use relay_tree::{Follow, Role, StateTable};
use repair::ViewPlan;
use run_records::RunRecordStorage;
use runner_registry::{Registry, RegistryConfig};
use slog::{info, warn, Logger};
use std::net::SocketAddr;
use tier_settings::Settings;
use version_rollouts::LedRollouts;
use view_agreement::{Agreement, ControllerView};
use write_ahead_log::DiskHealth;

/// How often [`ControllerCore::tick`] is to be called.
pub const TICK_INTERVAL: Millis = 100;
/// Without an answer of a majority for so long, the others may have installed a view without this
/// one. Not above [`FAILURE_TIMEOUT`](crate::peers::FAILURE_TIMEOUT), after which it would.
const QUORUM_CONTACT_TIMEOUT: Millis = 900;
/// A longer gap between ticks is a stall of this process: messages that did not arrive meanwhile
/// are no evidence of failures.
const STALL_THRESHOLD: Millis = 500;

/// The state of a controller. Times are steady milliseconds of this process.
pub struct ControllerCore {
    pub(crate) log: Logger,
    pub(crate) settings: Settings,
    /// Its peer address, and the identity of its disk.
    pub(crate) me: Member,
    /// Drawn at this start.
    pub(crate) incarnation: u64,
    pub(crate) agreement: Agreement,
    /// Until a view is known, if this is an initial member.
    bootstrap: Option<Bootstrap>,
    /// Its replica of the control state.
    pub(crate) chain: Replica<ControlState>,
    pub(crate) state_table: StateTable,
    registry: Registry,
    run_records: RunRecordStorage,
    heartbeat_homes: HeartbeatHomes,
    pub(crate) peers: PeerControllers,
    pub(crate) stores: StorePlanner,
    dispatchers: DispatcherTracker,
    pending_calls: Vec<PendingCall>,
    effects: Vec<Effect>,
    /// The time of day, as of the last input.
    unix_ms: u64,
    last_tick_at: Millis,
    /// None: heartbeats are due with the next tick.
    last_heartbeat_at: Option<Millis>,
    /// Since when it leads: as head, in contact with a majority, of a chain that commits.
    head_since: Option<Millis>,
    /// The configuration that is being put in place.
    config_activation: Option<ConfigActivation>,
    led_rollouts: LedRollouts,
    view_plan: ViewPlan,
    pub(crate) quorum_contact: QuorumContact,
    published_controllers: PublishedControllers,
    shutdown: Shutdown,
    reported_tolerance: ReportedTolerance,
    /// The placement map that is committed.
    pub(crate) placement: Option<PlacementMap>,
    withheld_leases: WithheldLeases,
    pub(crate) disk_usage: DiskUsage,
    disk_health: DiskHealth,
    /// More waits for the disk than is to be added to by anything.
    disk_backlogged: bool,
    pub(crate) rejections: Rejections,
}

impl ControllerCore {
    /// A controller that has just started, with what its disk holds, all of it synced, the first
    /// record of an initial member included.
    ///
    /// # Errors
    /// A record can't be decoded.
    pub fn new(
        startup: Startup,
        recovered: &RecoveredState,
        settings: Settings,
        log: Logger,
    ) -> Result<Self, RecoveryError> {
        let Startup {
            me,
            incarnation,
            initial_members,
            ..
        } = startup;
        let bootstrap = recover_bootstrap(&me, initial_members, recovered)?;
        let mut agreement = Agreement::new(me.clone(), None, recovered.view_agreement()?);
        agreement.set_disk_writable(false);
        let mut chain = Replica::new(me.clone(), ControlState::default(), recovered.chain()?);
        if let Some(current) = agreement.current_view() {
            chain.install_view(1, current.view.clone());
        }
        let config = RegistryConfig {
            heartbeat_ms: settings.heartbeat_ms,
            owner: incarnation,
        };
        let mut core = ControllerCore {
            state_table: StateTable::new(incarnation, me.addr, Follow::All, Role::Root),
            me,
            incarnation,
            agreement,
            bootstrap,
            chain,
            registry: Registry::new(config),
            run_records: RunRecordStorage::default(),
            heartbeat_homes: HeartbeatHomes::default(),
            peers: PeerControllers::default(),
            stores: StorePlanner::default(),
            dispatchers: DispatcherTracker::new(incarnation),
            pending_calls: Vec::new(),
            effects: Vec::new(),
            unix_ms: 0,
            last_tick_at: 1,
            last_heartbeat_at: None,
            head_since: None,
            config_activation: None,
            led_rollouts: LedRollouts::default(),
            view_plan: ViewPlan::default(),
            quorum_contact: QuorumContact::default(),
            published_controllers: PublishedControllers::default(),
            shutdown: Shutdown::default(),
            reported_tolerance: ReportedTolerance::default(),
            placement: None,
            withheld_leases: WithheldLeases::default(),
            disk_usage: DiskUsage::default(),
            disk_health: DiskHealth::default(),
            disk_backlogged: false,
            rejections: Rejections::default(),
            log,
            settings,
        };
        core.restore_run_records(recovered)?;
        Ok(core)
    }

    /// What is to be done, in this order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Time passes; to be called every [`TICK_INTERVAL`].
    pub fn tick(&mut self, time: Time) {
        let now = time.now;
        self.unix_ms = time.unix_ms;
        if now.saturating_sub(self.last_tick_at) > STALL_THRESHOLD {
            self.recover_from_stall(now);
        }
        self.last_tick_at = now;
        self.agreement.tick(now);
        if let Some(bootstrap) = &mut self.bootstrap {
            bootstrap.tick(now);
        }
        self.chain.tick(now);
        self.update_quorum_contact(now);
        self.state_table.tick(now);
        let due = |at: Millis| now.saturating_sub(at) >= HEARTBEAT_INTERVAL;
        if self.last_heartbeat_at.is_none_or(due) {
            self.last_heartbeat_at = Some(now);
            self.send_heartbeats(now);
        }
        self.follow_controllers(now);
        self.request_view(now);
        self.time_out_runners(now);
        self.tick_run_records(now);
        self.publish_dispatchers(time);
        self.repair_view(now);
        self.lead(now);
        self.work_off_effects(now);
        self.note_replaced(now);
        self.log_stale_messages(now);
    }

    fn recover_from_stall(&mut self, now: Millis) {
        warn!(self.log, "event loop stalled"; "ms" => now - self.last_tick_at);
        self.peers.reset_after_stall(now);
        self.stores.reset_after_stall(now);
        self.dispatchers.restart_timeouts(now);
        self.head_since = self.head_since.map(|_| now);
        self.view_plan.in_contact_since = None;
    }

    /// Runners and dispatchers are timed out only in contact with a majority. Out of contact their
    /// silence may be this controller's own: what is known is kept as it is, and its age shows that
    /// it is stale. When contact is back, each gets a whole period again.
    fn time_out_runners(&mut self, now: Millis) {
        if !self.quorum_contact.holds(now) {
            self.dispatchers.restart_timeouts(now);
            return;
        }
        let live = self.peers.live_incarnations(now);
        self.registry.set_live_owners(now, &live);
        for entry in self.registry.sweep(now) {
            info!(self.log, "runner heartbeat timed out"; "state_entry" => %entry.key);
            self.state_table
                .set(now, &entry.key, entry.stamp, entry.value);
        }
    }

    fn publish_dispatchers(&mut self, time: Time) {
        let now = time.now;
        let live = self
            .quorum_contact
            .holds(now)
            .then(|| self.peers.live_incarnations(now));
        let entries = self
            .dispatchers
            .entries_to_publish(time, &self.state_table, live.as_deref());
        for entry in entries {
            self.state_table
                .set(now, &entry.key, entry.stamp, entry.value);
        }
    }

    /// The settings that are in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The newest view that it knows.
    pub fn view(&self) -> Option<&ControllerView> {
        self.agreement.current_view()
    }

    /// Its replica of the control state.
    pub fn chain(&self) -> &Replica<ControlState> {
        &self.chain
    }
}

/// The bootstrap under way, if this is one of the initial members.
fn recover_bootstrap(
    me: &Member,
    initial_members: Vec<SocketAddr>,
    recovered: &RecoveredState,
) -> Result<Option<Bootstrap>, RecoveryError> {
    if initial_members.is_empty() {
        return Ok(None);
    }
    let votes = recovered.bootstrap()?;
    Ok(Some(Bootstrap::new(me.clone(), initial_members, votes)))
}
