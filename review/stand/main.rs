//! Runs one case of the review: `stand CASE FOLDER`. The case starts the project's programs, its
//! record is written to FOLDER/record.txt, and the exit code is 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run.

mod behind;
mod drain;
mod kit;
mod twice;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("behind") => kit::run_case(behind::run),
        Some("drain") => kit::run_case(drain::run),
        Some("twice") => kit::run_case(twice::run),
        _ => std::process::exit(2),
    }
}
