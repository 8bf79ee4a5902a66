//! Runs one case of the review against a real gateway process.
//!
//! Store, engines and clients are stand-ins on threads of this process, on
//! loopback addresses. Exits with 1 if the rule was broken, 0 if it held and 2
//! if the case could not run.

mod cases;
mod client;
mod engine;
mod fleet;
mod http;
mod record;
mod store;

use std::{path::PathBuf, process::ExitCode, thread, time::Duration};

use fleet::Result;
use record::Record;

/// Time after which a case that does not end is given up.
const CASE_TIMEOUT: Duration = Duration::from_secs(110);

/// What a case found.
pub enum Finding {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    thread::spawn(|| {
        thread::sleep(CASE_TIMEOUT);
        eprintln!("review: the case did not end in time");
        fleet::kill_gateways();
        std::process::exit(2);
    });
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let outcome = record.and_then(|record| run(&case, &record, with_trouble));
    match outcome {
        Ok(Finding::Held) => ExitCode::SUCCESS,
        Ok(Finding::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("review: the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, record: &Record, with_trouble: bool) -> Result<Finding> {
    let trouble = if with_trouble { "with" } else { "without" };
    record.line(&format!("case {case}, {trouble} the disruption"));
    let finding = match case {
        "leaving-engines" => cases::leaving_engines::run(record, with_trouble),
        "expect-continue" => cases::expect_continue::run(record, with_trouble),
        "failing-engines" => cases::failing_engines::run(record, with_trouble),
        "revoked-key" => cases::revoked_key::run(record, with_trouble),
        "frozen-gateway" => cases::frozen_gateway::run(record, with_trouble),
        _ => Err(format!("there is no case {case}").into()),
    };
    match &finding {
        Ok(Finding::Held) => record.line("result: the rule held"),
        Ok(Finding::Broken) => record.line("result: the rule was broken"),
        Err(error) => record.line(&format!("result: could not run: {error}")),
    }
    finding
}
