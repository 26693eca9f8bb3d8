//! Members that were declared lost.

use std::collections::{BTreeMap, VecDeque};

use agate_core::{Incarnation, Position};

/// A bounded set of lost members. The oldest entry is evicted first.
#[derive(Debug, Clone)]
pub(crate) struct LostMembers {
    limit: usize,
    order: VecDeque<Incarnation>,
    positions: BTreeMap<Incarnation, Position>,
}

impl LostMembers {
    pub(crate) const fn new(limit: usize) -> Self {
        Self {
            limit,
            order: VecDeque::new(),
            positions: BTreeMap::new(),
        }
    }

    /// Adds a member and returns whether it was new. A known member keeps its first position.
    pub(crate) fn insert(&mut self, member: Incarnation, position: Position) -> bool {
        if self.positions.contains_key(&member) {
            return false;
        }
        self.positions.insert(member, position);
        self.order.push_back(member);
        if self.order.len() > self.limit
            && let Some(oldest) = self.order.pop_front()
        {
            self.positions.remove(&oldest);
        }
        true
    }

    pub(crate) fn position_of(&self, member: Incarnation) -> Option<Position> {
        self.positions.get(&member).copied()
    }

    /// Returns the members in the order in which they were lost.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Incarnation, Position)> {
        let with_position = |member: &Incarnation| Some((*member, self.position_of(*member)?));
        self.order.iter().filter_map(with_position)
    }
}
