//! A data folder of the real store, which can lose power during a write.

use std::{collections::BTreeMap, fs, path::Path};

use hazeltiller_engine::replication;
use hazeltiller_store::{LogStore, file};
use hazeltiller_wire::replication as wire;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Unit that a disk writes entirely or not at all.
const SECTOR_BYTES: usize = 512;

/// A data folder.
#[derive(Debug)]
pub(crate) struct FileDisk {
    folder: tempfile::TempDir,
    /// Open while the process runs.
    store: Option<file::FileStore>,
}

impl FileDisk {
    /// An open folder that holds only a hard state.
    pub(crate) fn new(hard: wire::HardState) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder is created");
        let opened = file::FileStore::open(folder.path(), || hard);
        let (store, ..) = opened.expect("an empty folder opens");
        Self {
            folder,
            store: Some(store),
        }
    }

    /// Opens the folder for a process that starts; `None` if the store refuses it.
    pub(crate) fn open(&mut self) -> Option<replication::RecoveredLog> {
        self.store = None;
        let opened = file::FileStore::open(self.folder.path(), wire::HardState::default);
        let (store, recovered, _) = opened.ok()?;
        self.store = Some(store);
        Some(recovered)
    }

    /// Writes and syncs batches.
    pub(crate) fn write(&mut self, batches: Vec<replication::PersistBatch>) {
        let Some(store) = &mut self.store else {
            return;
        };
        store.write(batches).expect("the folder is writable");
    }

    /// Loses power while batches are written. Of what is appended to the log any sectors stay; files
    /// that are replaced are the old or the new ones.
    pub(crate) fn write_torn(&mut self, batches: Vec<replication::PersistBatch>, luck: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(luck);
        let before = read_files(self.folder.path());
        self.write(batches);
        self.store = None;
        let after = read_files(self.folder.path());
        let (Some(old), Some(new)) = (before.get("log"), after.get("log")) else {
            return;
        };
        if new.starts_with(old) {
            let length = random.random_range(old.len()..=new.len());
            let is_extended = random.random_bool(0.7);
            let mut bytes = old.clone();
            bytes.resize(if is_extended { new.len() } else { length }, 0);
            let mut start = old.len();
            while start < bytes.len() {
                let end = (start + 1).next_multiple_of(SECTOR_BYTES).min(bytes.len());
                if random.random_bool(0.6) {
                    bytes[start..end].copy_from_slice(&new[start..end]);
                }
                start = end;
            }
            let path = self.folder.path().join("log");
            return fs::write(path, bytes).expect("the folder is writable");
        }
        if random.random_bool(0.5) {
            return;
        }
        for name in after.keys() {
            fs::remove_file(self.folder.path().join(name)).expect("the folder is writable");
        }
        for (name, bytes) in before {
            fs::write(self.folder.path().join(name), bytes).expect("the folder is writable");
        }
    }
}

fn read_files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = fs::read_dir(folder).expect("the folder is readable");
    let paths = entries.map(|entry| entry.expect("the folder is readable").path());
    let read = |path: std::path::PathBuf| {
        let name = path.file_name().expect("a file has a name");
        let bytes = fs::read(&path).expect("the file is readable");
        (name.to_string_lossy().into_owned(), bytes)
    };
    paths.map(read).collect()
}
