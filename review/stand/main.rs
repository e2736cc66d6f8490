//! Runs one case of the review: `stand CASE FOLDER`. The case starts the project's programs, its
//! record is written to FOLDER/record.txt, and the exit code is 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run.

mod drain;
mod kit;
mod stale;
mod twice;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("drain") => kit::run_case(drain::run),
        Some("stale") => kit::run_case(stale::run),
        Some("twice") => kit::run_case(twice::run),
        _ => std::process::exit(2),
    }
}
