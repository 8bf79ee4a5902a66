//! Runs one case of this review: `case NAME`. Exits with 0 if the rule held, 1 if it was
//! broken, 2 if the case could not run.

use std::{env, fs, path::PathBuf, process::ExitCode, time::Duration};

use rig_3::{cases, scratch, Record, Verdict};

/// Time after which a case that has not ended counts as one that could not run.
const TIME_MAX: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let Some(name) = env::args().nth(1) else {
        eprintln!("usage: case NAME");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record_path = PathBuf::from(env::var("RECORD").unwrap_or_else(|_| "record.txt".into()));
    let record = Record::new();
    record.add(format!("case {name}, trouble: {has_trouble}"));
    let Ok(folder) = scratch() else {
        return ExitCode::from(2);
    };
    let (late_record, late_path) = (record.clone(), record_path.clone());
    std::thread::spawn(move || {
        std::thread::sleep(TIME_MAX);
        late_record.add("not ended in time");
        let _ = late_record.write(&late_path);
        rig_3::kill_started();
        std::process::exit(2);
    });
    let result = cases::run(&name, has_trouble, &record, &folder);
    let code = match &result {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(error) => {
            record.add(format!("could not run: {error}"));
            2
        }
    };
    record.add(match code {
        0 => "the rule held",
        1 => "THE RULE WAS BROKEN",
        _ => "no result",
    });
    if let Err(error) = record.write(&record_path) {
        eprintln!("{}: {error}", record_path.display());
    }
    let _ = fs::remove_dir_all(&folder);
    ExitCode::from(code)
}
