//! Indexes workers by free capacity, to find candidates without a scan.
//!
//! Free processors, memory and accelerators are rounded down to powers of two. Each cell holds the
//! workers of one combination, and each row has a bit mask of its non-empty cells. The number of
//! cells is fixed, so a lookup costs the same for ten workers as for 21,000.

use agate_core::Resources;
use rand::Rng;

use super::worker::WorkerKey;

/// Unit of the processor levels, in thousandths of a core.
const MILLICORES_UNIT: u32 = 125;
/// Unit of the memory levels.
const MEMORY_UNIT_MIB: u32 = 128;
/// Number of levels of processors and of memory: up to `2^18` units.
const LEVELS: usize = 20;
/// Number of accelerator levels: none, 1, 2, 4, and 8 or more.
const ACCELERATOR_LEVELS: usize = 5;

/// Position of a worker in the index.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Slot {
    cell: usize,
    position: usize,
}

/// An index of workers by free capacity.
#[derive(Debug)]
pub(crate) struct Index {
    cells: Vec<Vec<WorkerKey>>,
    /// Bit mask of the non-empty memory levels of each row of accelerators and processors.
    rows: Vec<u32>,
}

/// A worker that moved because another one was removed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Moved {
    pub(crate) worker: WorkerKey,
    pub(crate) slot: Slot,
}

impl Default for Index {
    fn default() -> Self {
        let rows = ACCELERATOR_LEVELS * LEVELS;
        Self {
            cells: vec![Vec::new(); rows * LEVELS],
            rows: vec![0; rows],
        }
    }
}

impl Index {
    pub(crate) fn insert(&mut self, worker: WorkerKey, available: Resources) -> Slot {
        let cell = cell_of(available);
        let position = self.cells[cell].len();
        self.cells[cell].push(worker);
        self.rows[cell / LEVELS] |= 1 << (cell % LEVELS);
        Slot { cell, position }
    }

    /// Removes a worker. Returns the worker that moved to its position, if any.
    pub(crate) fn remove(&mut self, slot: Slot) -> Option<Moved> {
        let cell = &mut self.cells[slot.cell];
        cell.swap_remove(slot.position);
        if cell.is_empty() {
            self.rows[slot.cell / LEVELS] &= !(1 << (slot.cell % LEVELS));
        }
        let &worker = cell.get(slot.position)?;
        Some(Moved { worker, slot })
    }

    /// Whether a worker with `available` capacity belongs in the cell of `slot`.
    pub(crate) fn is_at(slot: Slot, available: Resources) -> bool {
        slot.cell == cell_of(available)
    }

    /// Samples up to `wanted` workers that may have capacity for `demand`: the first half from the
    /// workers with the least free capacity, the rest from all. May return duplicates.
    pub(crate) fn sample(
        &self,
        demand: Resources,
        wanted: usize,
        rng: &mut impl Rng,
    ) -> Vec<WorkerKey> {
        let (cells, total) = self.cells_for(demand);
        let tight_count = wanted / 2;
        let mut drawn = Vec::with_capacity(wanted);
        if total == 0 {
            return drawn;
        }
        let tightest = total.min(tight_count * 2);
        for i in 0..wanted {
            let range = if i < tight_count { tightest } else { total };
            let at = rng.random_range(0..range);
            let position = cells.partition_point(|&(end, _)| end <= at);
            let (end, cell) = cells[position];
            let workers = &self.cells[cell];
            drawn.push(workers[workers.len() - (end - at)]);
        }
        drawn
    }

    /// Returns the cells whose workers may have enough capacity, least free capacity first, each
    /// with the cumulative number of workers. Workers with accelerators are included only if the
    /// task needs accelerators or no other workers are left.
    fn cells_for(&self, demand: Resources) -> (Vec<(usize, usize)>, usize) {
        let needed = accelerator_level(demand.accelerators);
        let mut cells = Vec::new();
        let mut total = 0;
        for accelerators in needed..ACCELERATOR_LEVELS {
            if total > 0 && accelerators == 1 {
                break;
            }
            total = self.add_rows(accelerators, demand, total, &mut cells);
        }
        (cells, total)
    }

    fn add_rows(
        &self,
        accelerators: usize,
        demand: Resources,
        mut total: usize,
        cells: &mut Vec<(usize, usize)>,
    ) -> usize {
        let from = level(demand.memory_mib, MEMORY_UNIT_MIB);
        for processors in level(demand.millicores, MILLICORES_UNIT)..LEVELS {
            let row = accelerators * LEVELS + processors;
            let mut mask = self.rows[row] & (u32::MAX << from);
            while mask != 0 {
                let memory = mask.trailing_zeros() as usize;
                mask &= mask - 1;
                let cell = row * LEVELS + memory;
                total += self.cells[cell].len();
                cells.push((total, cell));
            }
        }
        total
    }
}

fn cell_of(available: Resources) -> usize {
    let accelerators = accelerator_level(available.accelerators);
    let processors = level(available.millicores, MILLICORES_UNIT);
    (accelerators * LEVELS + processors) * LEVELS + level(available.memory_mib, MEMORY_UNIT_MIB)
}

fn level(amount: u32, unit: u32) -> usize {
    let level = (amount / unit).checked_ilog2().map_or(0, |log| log + 1);
    (level as usize).min(LEVELS - 1)
}

fn accelerator_level(count: u32) -> usize {
    let level = count.checked_ilog2().map_or(0, |log| log + 1);
    (level as usize).min(ACCELERATOR_LEVELS - 1)
}
