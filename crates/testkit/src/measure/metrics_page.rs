//! Parser for metrics pages in the Prometheus text format.

use std::collections::BTreeMap;

/// Samples of one metrics page.
#[derive(Clone, Debug, Default)]
pub struct MetricsPage {
    samples: BTreeMap<String, f64>,
}

impl MetricsPage {
    /// Parses a page and ignores lines that are not samples.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_testkit::measure::MetricsPage;
    ///
    /// let page = MetricsPage::parse("# HELP a\na{k=\"x\"} 1\na{k=\"y\"} 2\nb 5\n");
    /// assert_eq!(page.sum("a"), 3.0);
    /// assert_eq!(page.by_label("a", "k")["y"], 2.0);
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        let sample = |line: &str| {
            let (name, value) = line.rsplit_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        };
        Self { samples: lines.filter_map(sample).collect() }
    }

    /// Returns the sum of all samples of a metric.
    #[must_use]
    pub fn sum(&self, metric: &str) -> f64 {
        self.samples_of(metric).map(|(_, value)| value).sum()
    }

    /// Returns the sums of a metric by the value of a label.
    #[must_use]
    pub fn by_label(&self, metric: &str, label: &str) -> BTreeMap<String, f64> {
        let mut sums = BTreeMap::new();
        for (labels, value) in self.samples_of(metric) {
            let start = labels.find(&format!("{label}=\"")).map(|at| at + label.len() + 2);
            let text = start.and_then(|at| labels[at..].split('"').next());
            *sums.entry(text.unwrap_or_default().to_owned()).or_insert(0.0) += value;
        }
        sums
    }

    /// Returns the labels and values of a metric's samples.
    fn samples_of<'a>(&'a self, metric: &'a str) -> impl Iterator<Item = (&'a str, f64)> {
        self.samples.iter().filter_map(move |(name, value)| {
            let (name, labels) = name.split_once('{').unwrap_or((name, ""));
            (name == metric).then_some((labels, *value))
        })
    }
}
