//! Processor time and memory of one process, from `/proc`.

use std::{collections::BTreeMap, fs, io, time::Duration};

/// Size of a page of memory in bytes.
const PAGE_BYTES: u64 = 4096;

/// State of one process at one moment.
#[derive(Clone, Debug, Default)]
pub struct ProcessSample {
    /// Processor time so far, by thread number, with the thread's name.
    threads: BTreeMap<u32, (String, Duration)>,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

/// What a process used between two samples.
#[derive(Clone, Debug, Default)]
pub struct ProcessUse {
    /// Processor time by name of thread.
    pub by_thread: BTreeMap<String, Duration>,
}

impl ProcessSample {
    /// Reads the state of a process.
    ///
    /// # Errors
    ///
    /// Fails if there is no such process.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_testkit::measure::ProcessSample;
    ///
    /// let sample = ProcessSample::read(std::process::id()).unwrap();
    /// assert!(sample.resident_bytes > 0);
    /// ```
    pub fn read(pid: u32) -> io::Result<Self> {
        let mut threads = BTreeMap::new();
        for entry in fs::read_dir(format!("/proc/{pid}/task"))? {
            let path = entry?.path();
            let tid = path.file_name().and_then(|name| name.to_str()?.parse().ok());
            let Some(tid) = tid else { continue };
            // A thread may end between the listing and the reading.
            let Ok(name) = fs::read_to_string(path.join("comm")) else { continue };
            let Ok(stat) = fs::read_to_string(path.join("schedstat")) else { continue };
            let ns = stat.split_whitespace().next().and_then(|ns| ns.parse().ok());
            let used = Duration::from_nanos(ns.unwrap_or_default());
            threads.insert(tid, (name.trim().to_owned(), used));
        }
        let statm = fs::read_to_string(format!("/proc/{pid}/statm"))?;
        let pages = statm.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok());
        Ok(Self { threads, resident_bytes: pages.unwrap_or_default() * PAGE_BYTES })
    }

    /// What was used since an earlier sample of the same process.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> ProcessUse {
        let mut by_thread: BTreeMap<String, Duration> = BTreeMap::new();
        for (tid, (name, used)) in &self.threads {
            let before = earlier.threads.get(tid).map_or(Duration::ZERO, |(_, used)| *used);
            *by_thread.entry(name.clone()).or_default() += used.saturating_sub(before);
        }
        ProcessUse { by_thread }
    }
}

impl ProcessUse {
    /// Processor time of all threads.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.by_thread.values().sum()
    }

    /// Processor time of the threads with this start of their name.
    #[must_use]
    pub fn of(&self, prefix: &str) -> Duration {
        let wanted = self.by_thread.iter().filter(|(name, _)| name.starts_with(prefix));
        wanted.map(|(_, used)| *used).sum()
    }
}
