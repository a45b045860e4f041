//! Hot restart: what passes between this process and the other processes of its dispatcher.
//!
//! All of them share a [`directory`], which outlives each: the list of endpoints, what is known of them and the
//! overrides of operators pass through the files there. [`hot_restart`] decides; this module holds the files and the
//! clock.

pub mod directory;
mod monitor;
mod overrides;

use directory::{directory_path, HandoverDirectory};
use discovery::ListRecord;
use dispatch_api::PolicySnapshot;
use dispatcher_settings::list::{TargetList, TargetState};
use dispatcher_settings::platform::Config;
use dispatcher_state::{Input, State};
use event_loop::{Clock, SaveWhen};
use hot_restart::{Event, HandoverFile, ProcessRole};
use overrides::{keep_newest, override_input, saved_overrides, Overrides};
use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// How often this process's file is written while nothing calls for it at once, in microseconds.
const SAVE_INTERVAL: u64 = 1_000_000;
/// ... and while another process is alive that shares the limits.
const SAVE_INTERVAL_SHARED: u64 = 200_000;
/// The age up to which a list that another process left is believed, in microseconds.
const MAX_LIST_AGE: u64 = 20_000_000;
/// How often it is checked whether this process may serve.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What is known of the targets. It counts classes and kinds by position, so it names them.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Knowledge {
    classes: Vec<String>,
    kinds: Vec<String>,
    #[serde(rename = "known")]
    snapshot: PolicySnapshot,
    /// The plan of maintenance, and what this dispatcher has taken out by it.
    #[serde(default)]
    maintenance: Option<maintenance::SavedState>,
}

type ProcessFile = HandoverFile<TargetList, Knowledge>;

/// This process among those of its dispatcher.
pub struct Handover {
    directory: RefCell<HandoverDirectory>,
    role: Cell<ProcessRole>,
    list_record: Rc<RefCell<ListRecord>>,
    clock: Clock,
    started_at: u64,
    /// The address of discovery at the start.
    discovery: String,
    classes: Vec<String>,
    kinds: Vec<String>,
    /// The newest file that was found at the start, until its snapshot is taken.
    predecessor: RefCell<Option<ProcessFile>>,
    /// The newest overrides of all processes, as far as they are known.
    overrides: RefCell<Overrides>,
    /// Open connections of clients to this process.
    clients: Cell<usize>,
    /// ... and to the other one.
    other_clients: Cell<usize>,
    saved_at: Cell<u64>,
    /// The discovery that the file written last names.
    saved_discovery: RefCell<String>,
    /// Since when no other process is alive whose file is still there.
    alone_since: Cell<Option<u64>>,
    /// Whether this dispatcher takes part in maintenance.
    maintenance_enabled: Cell<bool>,
}

impl Handover {
    /// Enters the directory of this dispatcher below `base`. Where that can't be done the process goes on alone.
    pub fn join(base: &Path, config: &Config, clock: Clock) -> Option<Rc<Self>> {
        let path = directory_path(base, &config.name, &config.listen.to_string());
        let mut directory = match HandoverDirectory::enter(path.clone(), clock.now()) {
            Ok(directory) => directory,
            Err(e) => {
                warn!(folder = %path.display(), "nothing passes to other processes or comes from them: {e}");
                return None;
            }
        };
        let mut overrides = Overrides::new();
        let mut predecessor: Option<ProcessFile> = None;
        for mut file in directory.read_new_files() {
            keep_newest(&mut overrides, std::mem::take(&mut file.overrides));
            let is_newer = |known: &ProcessFile| known.written_at < file.written_at;
            if predecessor.as_ref().is_none_or(is_newer) {
                predecessor = Some(file);
            }
        }
        let others = directory.alive();
        info!(
            others,
            overrides = overrides.len(),
            list = predecessor.is_some(),
            "what other processes told was read"
        );
        Some(Rc::new(Handover {
            directory: RefCell::new(directory),
            role: Cell::new(ProcessRole::new(others)),
            list_record: Rc::default(),
            clock,
            started_at: clock.now(),
            discovery: config.discovery.to_string(),
            classes: config.classes.clone(),
            kinds: config.kinds.clone(),
            other_clients: Cell::new(predecessor.as_ref().map_or(0, |file| file.clients)),
            predecessor: RefCell::new(predecessor),
            overrides: RefCell::new(overrides),
            clients: Cell::new(0),
            saved_at: Cell::new(0),
            saved_discovery: RefCell::new(config.discovery.to_string()),
            alone_since: Cell::new(None),
            maintenance_enabled: Cell::new(false),
        }))
    }

    /// Other processes of this dispatcher that are alive.
    pub fn others(&self) -> usize {
        self.role.get().process_count() - 1
    }

    /// Where the watch of discovery keeps the list for a successor.
    pub fn list_record(&self) -> Rc<RefCell<ListRecord>> {
        Rc::clone(&self.list_record)
    }

    /// The list to begin with: the one that another process held, if it is young and of the same discovery; otherwise
    /// the configuration's, and then every endpoint that the other process ever named counts as gone.
    pub fn initial_list(&self, configured: Option<TargetList>) -> Option<TargetList> {
        let predecessor = self.predecessor.borrow().clone();
        let Some(HandoverFile {
            written_at,
            discovery,
            endpoints: Some(list),
            ..
        }) = predecessor
        else {
            return configured;
        };
        let is_young = self.clock.now().saturating_sub(written_at) <= MAX_LIST_AGE;
        if is_young && discovery.as_deref() == Some(&self.discovery) {
            // Whoever wrote it goes on watching the list.
            if self.others() > 0 {
                self.handle_event(Event::EndpointsKnown);
            }
            return Some(list);
        }
        configured.map(|configured| with_gone(list, configured))
    }

    /// What another process left of maintenance. To be asked before [`Handover::saved_snapshot`].
    pub fn saved_maintenance(&self) -> Option<Box<maintenance::SavedState>> {
        let predecessor = self.predecessor.borrow();
        let knowledge = predecessor.as_ref()?.known.as_ref()?;
        knowledge.maintenance.clone().map(Box::new)
    }

    /// What another process knew of these targets, if it counted classes and kinds alike.
    pub fn saved_snapshot(&self) -> Option<Input> {
        let knowledge = self.predecessor.borrow_mut().take()?.known?;
        let counts_alike = knowledge.classes == self.classes && knowledge.kinds == self.kinds;
        counts_alike.then(|| Input::SnapshotRecalled(Box::new(knowledge.snapshot)))
    }

    /// What operators have set at other processes.
    pub fn saved_overrides(&self) -> Input {
        override_input(self.overrides.borrow().clone())
    }

    /// From now on what other processes tell of maintenance counts.
    pub fn enable_maintenance(&self) {
        self.maintenance_enabled.set(true);
    }

    fn handle_event(&self, event: Event) {
        let mut role = self.role.get();
        role.handle_event(event);
        self.role.set(role);
    }

    /// Returns once this process may serve.
    pub async fn wait_until_ready(&self) {
        while !self.role.get().accepts_connections() {
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// This process was told to stop. Returns whether another process serves on.
    pub fn stop(&self) -> bool {
        self.handle_event(Event::Stop);
        !self.role.get().accepts_connections()
    }

    /// Writes this process's file, if it is time for it. Returns whether nothing failed.
    pub fn save(&self, state: &State, when: SaveWhen) -> bool {
        let now = self.clock.now();
        let discovery = self.list_discovery();
        if when == SaveWhen::Due && !self.save_is_due(&discovery, now) {
            return true;
        }
        let file = self.process_file(state, &discovery, now);
        keep_newest(&mut self.overrides.borrow_mut(), file.overrides.clone());
        let written = self.directory.borrow().write(&file);
        match &written {
            Ok(()) => {
                self.saved_at.set(now);
                *self.saved_discovery.borrow_mut() = discovery;
            }
            Err(e) => warn!("what is known can't be kept for a successor: {e}"),
        }
        written.is_ok()
    }

    /// The discovery that the list at hand came from. A reload may have moved it: a successor that is configured with
    /// the new one may believe the list.
    fn list_discovery(&self) -> String {
        let source = self.list_record.borrow().source();
        source.map_or_else(|| self.discovery.clone(), |addr| addr.to_string())
    }

    fn save_is_due(&self, discovery: &str, now: u64) -> bool {
        let interval = if self.others() > 0 {
            SAVE_INTERVAL_SHARED
        } else {
            SAVE_INTERVAL
        };
        *self.saved_discovery.borrow() != discovery || now >= self.saved_at.get() + interval
    }

    fn process_file(&self, state: &State, discovery: &str, now: u64) -> ProcessFile {
        HandoverFile {
            written_at: now,
            clients: self.clients.get(),
            overrides: saved_overrides(state),
            discovery: Some(discovery.to_owned()),
            endpoints: Some(self.list_record.borrow().list()),
            known: Some(Knowledge {
                classes: self.classes.clone(),
                kinds: self.kinds.clone(),
                snapshot: state.policy_snapshot(),
                maintenance: state.saved_maintenance(),
            }),
        }
    }
}

/// The configured list, with the endpoints that only the older list names as gone.
fn with_gone(older: TargetList, mut configured: TargetList) -> TargetList {
    let mut servers = older.servers;
    servers.retain(|old| configured.servers.iter().all(|entry| entry.id != old.id));
    for entry in &mut servers {
        entry.state = TargetState::Gone;
    }
    servers.append(&mut configured.servers);
    TargetList {
        servers,
        ..configured
    }
}
