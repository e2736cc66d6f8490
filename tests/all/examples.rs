//! Every file under examples/ loads, and each folder has the expected number of processes and
//! routes.

use std::path::{Path, PathBuf};

use hazeltiller_catalogue::{file, state};
use hazeltiller_daemon::settings;
use hazeltiller_units::ids;

fn files(folder: &str) -> Vec<PathBuf> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(folder);
    let entries = std::fs::read_dir(path).expect("the folder is committed");
    entries
        .map(|entry| entry.expect("the folder is readable").path())
        .collect()
}

#[test]
fn examples_load() {
    let expected_sizes = [
        ("first", 3, 2),
        ("register", 3 + 7 + 4, 3),
        ("credit-office", 3 + 6 + 4, 4),
    ];
    for (folder, processes, routes) in expected_sizes {
        let mut settings_files = 0;
        for path in files(folder) {
            let text = std::fs::read_to_string(&path).expect("the file is readable");
            if path.ends_with("catalogue.jsonc") {
                let set = file::parse_file(&text).expect("the catalogue parses");
                let empty = state::CatalogueState::default();
                let state = empty
                    .apply(&set, ids::LeaderTerm(1))
                    .expect("the catalogue is valid");
                assert_eq!(state.routes().count(), routes, "{folder}");
            } else {
                let parsed = settings::ProcessSettings::parse(&text);
                parsed.unwrap_or_else(|faults| panic!("{}: {faults:?}", path.display()));
                settings_files += 1;
            }
        }
        assert_eq!(settings_files, processes, "{folder}");
    }
}
