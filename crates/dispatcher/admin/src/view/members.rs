//! The other dispatchers as JSON.

use serde::{Deserialize, Serialize};

/// One line of `GET /members`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The dispatcher's number among `peers`.
    pub member: u16,
    /// `alive`, `suspect`, `dead` or `left`, as it is believed here.
    pub state: String,
    /// Of its process; 0 where nothing was ever heard of it.
    pub incarnation: u32,
    /// It was heard directly within the time in which each pings each about four times.
    #[serde(default)]
    pub heard: bool,
    /// It hears this one: it has not said again and again that this one is gone.
    #[serde(default)]
    pub heard_by: bool,
}
