//! A Kalman filter over quantities that are added to and dropped from it by their keys.

/// Estimates of quantities and their covariances.
#[derive(Debug)]
pub(super) struct Filter<K> {
    keys: Vec<K>,
    means: Vec<f64>,
    covariances: Vec<Vec<f64>>,
}

/// A quantity that is dropped, or looked up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Estimate {
    pub mean: f64,
    pub variance: f64,
}

impl<K> Default for Filter<K> {
    fn default() -> Self {
        Self {
            keys: Vec::new(),
            means: Vec::new(),
            covariances: Vec::new(),
        }
    }
}

impl<K: PartialEq> Filter<K> {
    /// The place of a quantity, valid until one is dropped.
    pub fn place(&self, key: &K) -> Option<usize> {
        self.keys.iter().position(|known| known == key)
    }

    /// The estimate of a quantity.
    pub fn get(&self, key: &K) -> Option<Estimate> {
        let at = self.place(key)?;
        Some(Estimate {
            mean: self.means[at],
            variance: self.covariances[at][at],
        })
    }

    /// The place of a quantity, which is added with `first` if it is not known.
    pub fn place_or_add(&mut self, key: K, first: Estimate) -> usize {
        if let Some(at) = self.place(&key) {
            return at;
        }
        let at = self.keys.len();
        self.keys.push(key);
        self.means.push(first.mean);
        for row in &mut self.covariances {
            row.push(0.0);
        }
        let mut row = vec![0.0; at + 1];
        row[at] = first.variance;
        self.covariances.push(row);
        at
    }

    /// Drops the quantities that `keeps` doesn't hold for, and returns them.
    pub fn retain(&mut self, keeps: impl Fn(&K) -> bool) -> Vec<(K, Estimate)> {
        let mut dropped = Vec::new();
        for at in (0..self.keys.len()).rev() {
            if keeps(&self.keys[at]) {
                continue;
            }
            let variance = self.covariances[at][at];
            self.covariances.remove(at);
            for row in &mut self.covariances {
                row.remove(at);
            }
            let mean = self.means.remove(at);
            dropped.push((self.keys.remove(at), Estimate { mean, variance }));
        }
        dropped
    }

    /// Every quantity with its estimate.
    pub fn iter(&self) -> impl Iterator<Item = (&K, Estimate)> {
        self.keys.iter().enumerate().map(|(at, key)| {
            let estimate = Estimate {
                mean: self.means[at],
                variance: self.covariances[at][at],
            };
            (key, estimate)
        })
    }

    /// Lets the quantity at `level` change by `time` times the one at `slope`, of which the share
    /// `kept` is left afterwards.
    pub fn flow(&mut self, level: usize, slope: usize, time: f64, kept: f64) {
        self.means[level] += time * self.means[slope];
        self.means[slope] *= kept;
        for at in 0..self.keys.len() {
            let change = time * self.covariances[slope][at];
            self.covariances[level][at] += change;
        }
        for row in &mut self.covariances {
            row[level] += time * row[slope];
        }
        for at in 0..self.keys.len() {
            self.covariances[slope][at] *= kept;
        }
        for row in &mut self.covariances {
            row[slope] *= kept;
        }
    }

    /// Adds to the variance of a quantity, up to `most`.
    pub fn blur(&mut self, at: usize, variance: f64, most: f64) {
        let known = self.covariances[at][at];
        self.covariances[at][at] = (known + variance).min(most.max(known));
    }

    /// Expected sum of quantities, each with its weight.
    pub fn expected(&self, parts: &[(usize, f64)]) -> f64 {
        parts
            .iter()
            .map(|(at, weight)| self.means[*at] * weight)
            .sum()
    }

    /// Takes an error of the expected sum, measured with the variance `noise`.
    pub fn correct(&mut self, parts: &[(usize, f64)], error: f64, noise: f64) {
        let with_sum =
            |row: &Vec<f64>| -> f64 { parts.iter().map(|(at, weight)| row[*at] * weight).sum() };
        let sums: Vec<f64> = self.covariances.iter().map(with_sum).collect();
        let total: f64 = noise
            + parts
                .iter()
                .map(|(at, weight)| sums[*at] * weight)
                .sum::<f64>();
        for (at, sum) in sums.iter().enumerate() {
            self.means[at] += sum / total * error;
            for (other, with) in sums.iter().enumerate() {
                self.covariances[at][other] -= sum * with / total;
            }
        }
    }

    /// Keeps a quantity within limits.
    pub fn clamp(&mut self, at: usize, least: f64, most: f64) {
        self.means[at] = self.means[at].clamp(least, most);
    }
}
