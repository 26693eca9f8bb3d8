//! Workers by free room, so that candidates are found without a scan.
//!
//! Free processors and memory are rounded down to powers of two and accelerators likewise. Each cell
//! holds the workers of one combination; a bit mask per row tells which cells hold any. The number of
//! cells is fixed, so a lookup costs the same for ten workers and for 21,000.

use agate_core::Resources;
use rand::Rng;

use super::worker::WorkerKey;

/// Free processors of the first level, in thousandths of a core.
const MILLICORES_UNIT: u32 = 125;
/// Free memory of the first level in MiB.
const MEMORY_UNIT: u32 = 128;
/// Levels of processors and of memory: up to `2^18` units.
const LEVELS: usize = 20;
/// Levels of accelerators: none, 1, 2, 4, 8 and more.
const ACCELERATOR_LEVELS: usize = 5;

/// Place of a worker in the index.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Slot {
    cell: usize,
    place: usize,
}

/// The index.
#[derive(Debug)]
pub(crate) struct Index {
    cells: Vec<Vec<WorkerKey>>,
    /// Per row of accelerators and processors: which memory levels hold workers.
    rows: Vec<u32>,
}

/// A worker that another one's removal has moved.
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
        let place = self.cells[cell].len();
        self.cells[cell].push(worker);
        self.rows[cell / LEVELS] |= 1 << (cell % LEVELS);
        Slot { cell, place }
    }

    /// Takes a worker out. Another worker may take its place.
    pub(crate) fn remove(&mut self, slot: Slot) -> Option<Moved> {
        let cell = &mut self.cells[slot.cell];
        cell.swap_remove(slot.place);
        if cell.is_empty() {
            self.rows[slot.cell / LEVELS] &= !(1 << (slot.cell % LEVELS));
        }
        let &worker = cell.get(slot.place)?;
        Some(Moved { worker, slot })
    }

    /// Whether a worker with `room` belongs where `slot` is.
    pub(crate) fn is_at(slot: Slot, available: Resources) -> bool {
        slot.cell == cell_of(available)
    }

    /// Draws up to `wanted` workers that may have room for `demand`: first from those with the least
    /// room, then from all. The same worker may be drawn twice.
    pub(crate) fn sample(
        &self,
        demand: Resources,
        wanted: usize,
        rng: &mut impl Rng,
    ) -> Vec<WorkerKey> {
        let (cells, total) = self.cells_for(demand);
        let tight = wanted / 2;
        let mut drawn = Vec::with_capacity(wanted);
        if total == 0 {
            return drawn;
        }
        let tightest = total.min(tight * 2);
        for i in 0..wanted {
            let range = if i < tight { tightest } else { total };
            let at = rng.random_range(0..range);
            let place = cells.partition_point(|&(end, _)| end <= at);
            let (end, cell) = cells[place];
            let workers = &self.cells[cell];
            drawn.push(workers[workers.len() - (end - at)]);
        }
        drawn
    }

    /// Cells whose workers may have room, tightest first, each with the running count of workers up
    /// to its end. Workers with accelerators come up only if the task needs one or no other is left.
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
        let from = level(demand.memory_mib, MEMORY_UNIT);
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
    (accelerators * LEVELS + processors) * LEVELS + level(available.memory_mib, MEMORY_UNIT)
}

fn level(amount: u32, unit: u32) -> usize {
    let level = (amount / unit).checked_ilog2().map_or(0, |log| log + 1);
    (level as usize).min(LEVELS - 1)
}

fn accelerator_level(count: u32) -> usize {
    let level = count.checked_ilog2().map_or(0, |log| log + 1);
    (level as usize).min(ACCELERATOR_LEVELS - 1)
}
