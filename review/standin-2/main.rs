//! The scripted cases of the second review. Each starts the project's programs as separate
//! processes on loopback addresses, and plays clients, runners and the operator.
//!
//! `rig CASE RECORD`; `TROUBLE=0` leaves the disruption out. Ends with 1 if the rule was broken, 0
//! if it held, 2 if the case could not run.

mod condemned;
mod http;
mod late_beat;
mod lots;
mod rig;
mod runner;
mod silence;

use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(&'static str),
}

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(record)) = (words.next(), words.next()) else {
        eprintln!("rig CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = rig::Record::create(&record);
    record.say(format!("{case}, disruption: {trouble}"));
    let verdict = match case.as_str() {
        "late-beat" => late_beat::play(&record, trouble),
        "condemned" => condemned::play(&record, trouble),
        "silence" => silence::play(&record, trouble),
        "route-name" => lots::play_items(&record, trouble, lots::Change::Name),
        "route-added" => lots::play_items(&record, trouble, lots::Change::Added),
        "route-removed" => lots::play_items(&record, trouble, lots::Change::Removed),
        "route-name-quota" => lots::play_quota(&record, trouble),
        _ => Verdict::CouldNotRun("no such case"),
    };
    match verdict {
        Verdict::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::CouldNotRun(why) => {
            record.say(format!("could not run: {why}"));
            ExitCode::from(2)
        }
    }
}
