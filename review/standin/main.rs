//! Stand-ins and checks of the review: one case a run.

#![allow(dead_code)]

mod batch;
mod cluster;
mod drain;
mod net;
mod operator;
mod record;
mod retire;
mod runner;

use std::path::Path;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standin CASE RECORD FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(Path::new(record));
    let folder = Path::new(folder);
    let result = match case.as_str() {
        "drain" => drain::run(&record, folder, trouble),
        "retire" => retire::run(&record, folder, trouble),
        _ => 2,
    };
    record.say(match result {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    });
    exit(result);
}
