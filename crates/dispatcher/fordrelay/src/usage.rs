//! How much of the program's own limits is in use.

use degradation::Usage;
use dispatcher_state::Input;
use event_loop::LoopHandle;
use std::rc::Rc;
use std::time::Duration;

/// How often the usage is reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes of a page, where `/proc` counts in pages.
const PAGE_BYTES: usize = 4_096;

/// The limits.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Bytes of memory.
    pub memory: usize,
    /// Descriptors.
    pub descriptors: usize,
}

/// Reports it, for as long as the program runs. What the system does not tell counts as none.
pub async fn watch(loop_handle: Rc<LoopHandle>, limits: Limits) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let share = |used: usize, of: usize| used as f64 / of.max(1) as f64;
        loop_handle.send_input(Input::ResourceUsage(Usage {
            flows: share(loop_handle.open_flows(), loop_handle.limits().flows),
            memory: share(resident().unwrap_or(0), limits.memory),
            descriptors: share(descriptors().unwrap_or(0), limits.descriptors),
        }));
    }
}

/// Bytes of memory in use.
fn resident() -> Option<usize> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: usize = text.split_ascii_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

/// Descriptors that are open.
fn descriptors() -> Option<usize> {
    Some(std::fs::read_dir("/proc/self/fd").ok()?.count())
}
