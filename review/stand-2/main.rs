//! Stand-ins and judges of the cases 4 to 8. `stand CASE FOLDER` plays a case and writes its record.

mod cases;
mod fleet;
mod http;
mod names;
mod record;
mod server;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some(name) = arguments.first() else {
        eprintln!("stand CASE FOLDER");
        std::process::exit(2);
    };
    if name == "server" {
        server::run(&arguments[1..]);
    }
    let record = record::Record::create(&fleet::case_folder());
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(if is_troubled {
        "with the disruption"
    } else {
        "without the disruption"
    });
    let verdict = cases::play(name, &record, is_troubled);
    let text = match verdict {
        cases::Verdict::Held => "the rule held",
        cases::Verdict::Broken => "the rule was broken",
        cases::Verdict::NotRun => "the case could not run",
    };
    record.line(text);
    println!("{text}");
    std::process::exit(verdict as i32);
}
