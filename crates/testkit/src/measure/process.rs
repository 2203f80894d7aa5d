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
    /// Name and processor time of each thread, in the order of their start.
    pub threads: Vec<(String, Duration)>,
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
        let used = |(tid, (name, used)): (&u32, &(String, Duration))| {
            let before = earlier.threads.get(tid).map_or(Duration::ZERO, |(_, used)| *used);
            (name.clone(), used.saturating_sub(before))
        };
        ProcessUse { threads: self.threads.iter().map(used).collect() }
    }
}

impl ProcessUse {
    /// Processor time of all threads.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.threads.iter().map(|(_, used)| used).sum()
    }

    /// Processor time of the threads with this start of their name, without the
    /// `skip` ones that started first.
    #[must_use]
    pub fn of_later(&self, prefix: &str, skip: usize) -> Duration {
        let named = self.threads.iter().filter(|(name, _)| name.starts_with(prefix));
        named.skip(skip).map(|(_, used)| used).sum()
    }
}
