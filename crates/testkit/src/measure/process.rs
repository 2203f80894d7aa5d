//! CPU time and memory of one process, read from `/proc`.

use std::{collections::BTreeMap, fs, io, time::Duration};

/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4096;

/// CPU time and memory of one process at one time.
#[derive(Clone, Debug, Default)]
pub struct ProcessSample {
    /// Thread name and CPU time since the thread's start, by thread ID.
    threads: BTreeMap<u32, (String, Duration)>,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

/// CPU time that a process used between two samples.
#[derive(Clone, Debug, Default)]
pub struct CpuUsage {
    /// Name and CPU time of each thread, by thread ID and thus in start order.
    pub threads: Vec<(String, Duration)>,
}

impl ProcessSample {
    /// Reads a sample of a process.
    ///
    /// # Errors
    ///
    /// Fails if the process does not exist.
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
            // The thread may have exited since the directory was listed.
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

    /// Returns the CPU time used since an earlier sample of the same process.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> CpuUsage {
        let used = |(tid, (name, used)): (&u32, &(String, Duration))| {
            let before = earlier.threads.get(tid).map_or(Duration::ZERO, |(_, used)| *used);
            (name.clone(), used.saturating_sub(before))
        };
        CpuUsage { threads: self.threads.iter().map(used).collect() }
    }
}

impl CpuUsage {
    /// Returns the CPU time of all threads.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.threads.iter().map(|(_, used)| used).sum()
    }

    /// Returns the CPU time of the threads whose names start with `prefix`,
    /// without the first `skip` of them.
    #[must_use]
    pub fn of_threads(&self, prefix: &str, skip: usize) -> Duration {
        let named = self.threads.iter().filter(|(name, _)| name.starts_with(prefix));
        named.skip(skip).map(|(_, used)| used).sum()
    }
}
