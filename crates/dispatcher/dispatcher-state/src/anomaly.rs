//! Unusual input from outside, by name.

/// What is unusual about something from outside. The program goes on with what it can use of it, or
/// drops it, and counts it under this name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Anomaly {
    /// A full list leaves no target.
    EmptyList,
    /// A full list leaves less than half of the targets.
    ShrunkenList,
    /// A list has a lower version than the one before.
    OlderList,
    /// A list names a target twice; the last line counts.
    RepeatedTarget,
    /// Two targets of a list have one address.
    SharedAddress,
    /// A zone or kind that the settings do not name; it counts as one of its own.
    UnknownLocation,
    /// A weight that is not a usable number; it counts as none.
    InvalidWeight,
    /// A datagram longer than dispatchers send; dropped.
    LongDatagram,
    /// A malformed datagram; complete entries before the cut count.
    MalformedDatagram,
    /// A datagram from an address that is not a dispatcher's; dropped.
    UnknownSender,
}

impl Anomaly {
    /// All of them, in the order of their numbers.
    pub const ALL: [Anomaly; 10] = [
        Anomaly::EmptyList,
        Anomaly::ShrunkenList,
        Anomaly::OlderList,
        Anomaly::RepeatedTarget,
        Anomaly::SharedAddress,
        Anomaly::UnknownLocation,
        Anomaly::InvalidWeight,
        Anomaly::LongDatagram,
        Anomaly::MalformedDatagram,
        Anomaly::UnknownSender,
    ];

    /// Its name in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Anomaly::EmptyList => "empty-list",
            Anomaly::ShrunkenList => "shrunken-list",
            Anomaly::OlderList => "older-list",
            Anomaly::RepeatedTarget => "repeated-target",
            Anomaly::SharedAddress => "shared-address",
            Anomaly::UnknownLocation => "unknown-place",
            Anomaly::InvalidWeight => "weight",
            Anomaly::LongDatagram => "long-datagram",
            Anomaly::MalformedDatagram => "cut-datagram",
            Anomaly::UnknownSender => "stranger",
        }
    }
}
