//! A Kalman filter whose state variables are keyed and can be added and dropped.

/// Estimates of keyed quantities and their covariances.
#[derive(Debug)]
pub(super) struct KalmanFilter<K> {
    keys: Vec<K>,
    means: Vec<f64>,
    covariances: Vec<Vec<f64>>,
}

/// The estimate of a quantity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Estimate {
    pub mean: f64,
    pub variance: f64,
}

impl<K> Default for KalmanFilter<K> {
    fn default() -> Self {
        Self {
            keys: Vec::new(),
            means: Vec::new(),
            covariances: Vec::new(),
        }
    }
}

impl<K: PartialEq> KalmanFilter<K> {
    /// Returns the index of a quantity, valid until a quantity is dropped.
    pub fn index_of(&self, key: &K) -> Option<usize> {
        self.keys.iter().position(|known| known == key)
    }

    /// Returns the estimate of a quantity.
    pub fn get(&self, key: &K) -> Option<Estimate> {
        let index = self.index_of(key)?;
        Some(Estimate {
            mean: self.means[index],
            variance: self.covariances[index][index],
        })
    }

    /// Returns the index of a quantity, adding it with the estimate `first` if necessary.
    pub fn index_or_insert(&mut self, key: K, first: Estimate) -> usize {
        if let Some(index) = self.index_of(&key) {
            return index;
        }
        let index = self.keys.len();
        self.keys.push(key);
        self.means.push(first.mean);
        for row in &mut self.covariances {
            row.push(0.0);
        }
        let mut row = vec![0.0; index + 1];
        row[index] = first.variance;
        self.covariances.push(row);
        index
    }

    /// Drops the quantities for which `keep` returns false, and returns them.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool) -> Vec<(K, Estimate)> {
        let mut dropped = Vec::new();
        for index in (0..self.keys.len()).rev() {
            if keep(&self.keys[index]) {
                continue;
            }
            let variance = self.covariances[index][index];
            self.covariances.remove(index);
            for row in &mut self.covariances {
                row.remove(index);
            }
            let mean = self.means.remove(index);
            dropped.push((self.keys.remove(index), Estimate { mean, variance }));
        }
        dropped
    }

    /// Iterates over all quantities and their estimates.
    pub fn iter(&self) -> impl Iterator<Item = (&K, Estimate)> {
        self.keys.iter().enumerate().map(|(index, key)| {
            let estimate = Estimate {
                mean: self.means[index],
                variance: self.covariances[index][index],
            };
            (key, estimate)
        })
    }

    /// Predicts the state after `time`: `level` changes by `time` times `slope`, then `slope` is
    /// multiplied by `decay`.
    pub fn predict(&mut self, level: usize, slope: usize, time: f64, decay: f64) {
        self.means[level] += time * self.means[slope];
        self.means[slope] *= decay;
        for index in 0..self.keys.len() {
            let change = time * self.covariances[slope][index];
            self.covariances[level][index] += change;
        }
        for row in &mut self.covariances {
            row[level] += time * row[slope];
        }
        for index in 0..self.keys.len() {
            self.covariances[slope][index] *= decay;
        }
        for row in &mut self.covariances {
            row[slope] *= decay;
        }
    }

    /// Adds to the variance of a quantity, up to `limit`.
    pub fn add_variance(&mut self, index: usize, variance: f64, limit: f64) {
        let known = self.covariances[index][index];
        self.covariances[index][index] = (known + variance).min(limit.max(known));
    }

    /// Returns the expected weighted sum of quantities.
    pub fn expected_sum(&self, terms: &[(usize, f64)]) -> f64 {
        terms
            .iter()
            .map(|(index, weight)| self.means[*index] * weight)
            .sum()
    }

    /// Corrects the estimates by the error of an expected sum, measured with the variance `noise`.
    pub fn update(&mut self, terms: &[(usize, f64)], error: f64, noise: f64) {
        let with_sum = |row: &Vec<f64>| -> f64 {
            terms
                .iter()
                .map(|(index, weight)| row[*index] * weight)
                .sum()
        };
        let sums: Vec<f64> = self.covariances.iter().map(with_sum).collect();
        let total: f64 = noise
            + terms
                .iter()
                .map(|(index, weight)| sums[*index] * weight)
                .sum::<f64>();
        for (index, sum) in sums.iter().enumerate() {
            self.means[index] += sum / total * error;
            for (other, other_sum) in sums.iter().enumerate() {
                self.covariances[index][other] -= sum * other_sum / total;
            }
        }
    }

    /// Clamps the mean of a quantity.
    pub fn clamp(&mut self, index: usize, lower: f64, upper: f64) {
        self.means[index] = self.means[index].clamp(lower, upper);
    }
}
