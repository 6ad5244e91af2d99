//! Cases 11 to 15 of the review: clients, backend servers, the platform's store and a proxy as stand-ins around real `relay` processes.
//!
//! Usage: `cases CASE FOLDER`. Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

#[path = "cases_3/backend.rs"]
mod backend;
#[path = "cases_3/case_11.rs"]
mod case_11;
#[path = "cases_3/case_12.rs"]
mod case_12;
#[path = "cases_3/case_13.rs"]
mod case_13;
#[path = "cases_3/case_14.rs"]
mod case_14;
#[path = "cases_3/case_15.rs"]
mod case_15;
#[path = "cases_3/client.rs"]
mod client;
#[path = "cases_3/http.rs"]
mod http;
#[path = "cases_3/json.rs"]
mod json;
#[path = "cases_3/proxy.rs"]
mod proxy;
#[path = "cases_3/record.rs"]
mod record;
#[path = "cases_3/relay.rs"]
mod relay;
#[path = "cases_3/store.rs"]
mod store;

use std::{path::PathBuf, process::exit, time::Duration};

use record::Record;

/// Result of a case.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case couldn't run, for this reason.
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: cases CASE FOLDER");
        exit(2);
    };
    // A case that hangs must not outlive its time.
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(118));
        relay::kill_all();
        eprintln!("the case took too long");
        exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    record.line(&format!("case {case}, trouble: {has_trouble}"));
    let run = match case.as_str() {
        "11" => case_11::run,
        "12" => case_12::run,
        "13" => case_13::run,
        "14" => case_14::run,
        "15" => case_15::run,
        _ => {
            eprintln!("no such case");
            exit(2);
        }
    };
    let trial = record.clone();
    let verdict = std::panic::catch_unwind(move || run(&trial, has_trouble));
    relay::kill_all();
    // Settings and logs of the processes.
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(relay::temporary_folder());
    }
    let verdict = verdict.unwrap_or_else(|_| Verdict::NotRun("a stand-in panicked".to_owned()));
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(reason) => (format!("the case couldn't run: {reason}"), 2),
    };
    record.line(&format!("result: {text}"));
    println!("case {case}: {text}");
    exit(code);
}
