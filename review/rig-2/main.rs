//! Stand-ins and scenarios for the cases of the second review.
//!
//! `rig CASE FOLDER` plays one case: the platform's store, engines, clients and the
//! platform's process control are threads of this program; gateways are processes
//! started with the command of the deploy file. It writes `record.txt` into FOLDER
//! and exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
//! `TROUBLE=0` leaves out the disruption. `rig crowd PORT COUNT HOLD_MS` is the
//! helper process that holds many connections.

mod crowd;
mod descriptors;
mod engine;
mod foreign_entry;
mod gateway;
mod http;
mod memory;
mod ranks;
mod record;
mod store;

use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match words.as_slice() {
        ["crowd", port, count, hold_ms] => crowd::hold(port, count, hold_ms),
        ["foreign-entry", folder] => foreign_entry::play(folder, trouble),
        ["bodies", folder] => memory::play(folder, trouble, memory::Crowd::Bodies),
        ["fields", folder] => memory::play(folder, trouble, memory::Crowd::Fields),
        ["descriptors", folder] => descriptors::play(folder, trouble),
        ["ranks", folder] => ranks::play(folder, trouble),
        _ => {
            eprintln!("usage: rig CASE FOLDER");
            2
        }
    };
    exit(code);
}
