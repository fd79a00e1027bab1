//! Reads the settings again when their file changes or a signal requests it.

use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use petrellatch_core::Timestamp;

use super::settings::PassThroughSettings;

/// Interval between checks of the file's modification time.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Parses the text of a settings file, or returns a message about what is wrong in it.
pub type SettingsReader = Box<dyn Fn(&str) -> Result<PassThroughSettings, String>>;

/// A settings file, its reader and the time of its last known change.
pub struct SettingsWatcher {
    path: PathBuf,
    reader: SettingsReader,
    changed_at: Option<SystemTime>,
    next_check_at: Timestamp,
}

impl SettingsWatcher {
    /// Watches the file at `path`, without reading it yet.
    pub fn new(path: PathBuf, reader: SettingsReader) -> Self {
        SettingsWatcher {
            path,
            reader,
            changed_at: None,
            next_check_at: Timestamp::ZERO,
        }
    }

    /// Reads the settings.
    ///
    /// # Errors
    ///
    /// The file can't be read, or the reader refuses its text; the message begins with
    /// the path.
    pub fn read(&mut self) -> Result<PassThroughSettings, String> {
        self.changed_at = self.modified();
        let path = self.path.display();
        let text =
            std::fs::read_to_string(&self.path).map_err(|error| format!("{path}: {error}"))?;
        (self.reader)(&text).map_err(|message| format!("{path}: {message}"))
    }

    /// Reads the settings again if `force` is set or the file has changed.
    pub(super) fn poll(
        &mut self,
        now: Timestamp,
        force: bool,
    ) -> Option<Result<PassThroughSettings, String>> {
        if !force {
            if now < self.next_check_at {
                return None;
            }
            self.next_check_at = now + CHECK_INTERVAL;
            if self.modified() == self.changed_at {
                return None;
            }
        }
        Some(self.read())
    }

    fn modified(&self) -> Option<SystemTime> {
        std::fs::metadata(&self.path).ok()?.modified().ok()
    }
}
