//! A memory budget for the messages that many connections buffer: each connection may buffer a whole message,
//! but all of them together must not exhaust the memory.

use crate::stats::{MemoryOwner, Stats};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

/// The number of connections to backends that a predecessor process still holds. It is at least 1 while that
/// process is live, and 0 otherwise.
pub type PredecessorConnections = Rc<Cell<usize>>;

/// A reservation of up to this many bytes is always granted, whatever the budget: the number of connections
/// bounds the sum of these.
const ALWAYS_GRANTED_BYTES: usize = 8 * 1024;

/// The largest piece of a body that is forwarded, in bytes.
pub const MAX_PIECE_BYTES: usize = 16 * 1024;
/// The most pieces of one body that are in memory at a time: one that is read or waits, one in the channel, and one that
/// is written.
const PIECES_IN_TRANSIT: usize = 3;
/// The smallest piece, in bytes: that many are always granted.
const MIN_PIECE_BYTES: usize = ALWAYS_GRANTED_BYTES / PIECES_IN_TRANSIT;

/// Bytes that are read ahead are granted only while the total is within the budget divided by this.
const READ_AHEAD_DIVISOR: usize = 2;

/// A reservation that asks for its share gets at most what is free, divided by this.
const FREE_SHARE_DIVISOR: usize = 8;

/// A budget in bytes that all connections share. Clones share one budget.
#[derive(Debug, Clone)]
pub struct MemoryBudget(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    max_bytes: usize,
    predecessor: PredecessorConnections,
    reserved_bytes: Cell<usize>,
    /// Where the reserved bytes are shown, and as whose.
    gauge: Option<(Arc<Stats>, MemoryOwner)>,
}

/// Bytes that are reserved of a budget. They are released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of `max_bytes`. Only half of it is available while a predecessor process is live,
    /// which uses the same memory.
    pub fn new(max_bytes: usize, predecessor: PredecessorConnections) -> Self {
        Self(Rc::new(Shared { max_bytes, predecessor, reserved_bytes: Cell::new(0), gauge: None }))
    }

    /// Creates a budget like [`new`](Self::new), whose reserved bytes `stats` show as those of `owner`.
    pub fn with_gauge(
        max_bytes: usize,
        predecessor: PredecessorConnections,
        stats: Arc<Stats>,
        owner: MemoryOwner,
    ) -> Self {
        let gauge = Some((stats, owner));
        Self(Rc::new(Shared { max_bytes, predecessor, reserved_bytes: Cell::new(0), gauge }))
    }

    fn available_bytes(&self) -> usize {
        if self.0.predecessor.get() > 0 { self.0.max_bytes / 2 } else { self.0.max_bytes }
    }

    fn set_reserved(&self, bytes: usize) {
        self.0.reserved_bytes.set(bytes);
        if let Some((stats, owner)) = &self.0.gauge {
            stats.set_memory(*owner, bytes);
        }
    }

    /// Returns whether half of the budget is reserved.
    pub fn is_half_taken(&self) -> bool {
        self.0.reserved_bytes.get() > self.available_bytes() / 2
    }

    /// Returns a reservation of 0 bytes.
    pub fn reserve(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

impl Reservation {
    /// Changes this reservation to `bytes` in total. Returns `false`, and changes nothing, if the budget does
    /// not allow it.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let always = bytes <= ALWAYS_GRANTED_BYTES.max(self.bytes);
        let fits = always || self.total_with(bytes) <= self.budget.available_bytes();
        fits && self.set(bytes)
    }

    /// Changes this reservation to `bytes` in total, whatever the budget: they are in memory already.
    pub fn hold(&mut self, bytes: usize) {
        self.set(bytes);
    }

    /// Reserves what forwarding a body in pieces takes, besides `held` other bytes, and returns the size of the pieces
    /// in bytes. The less of the budget is left, the smaller they are: half of it is left to whole messages.
    pub fn reserve_pieces(&mut self, held: usize) -> usize {
        let mut piece_bytes = MAX_PIECE_BYTES;
        while piece_bytes > MIN_PIECE_BYTES {
            if self.try_resize_read_ahead(held + piece_bytes * PIECES_IN_TRANSIT) {
                return piece_bytes;
            }
            piece_bytes /= 2;
        }
        self.hold(held + MIN_PIECE_BYTES * PIECES_IN_TRANSIT);
        MIN_PIECE_BYTES
    }

    /// Grows this reservation to `bytes` in total, or to as much as its share of what is free: the fewer bytes are free,
    /// the smaller. Returns the new total.
    pub fn grow_within_share(&mut self, bytes: usize) -> usize {
        let free = self.budget.available_bytes().saturating_sub(self.total_with(0));
        self.set(bytes.min(free / FREE_SHARE_DIVISOR).max(self.bytes));
        self.bytes
    }

    /// Returns the budget that this reservation belongs to.
    pub fn budget(&self) -> &MemoryBudget {
        &self.budget
    }

    /// Returns the number of bytes that are reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Moves up to `bytes` of this reservation to a new one.
    pub fn split(&mut self, bytes: usize) -> Self {
        let moved = bytes.min(self.bytes);
        self.bytes -= moved;
        Self { budget: self.budget.clone(), bytes: moved }
    }

    /// Like [`try_resize`](Self::try_resize), for bytes that may as well stay unread: half of the budget is
    /// left to messages that must be read. A smaller reservation is always granted.
    pub fn try_resize_read_ahead(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.bytes
            || self.total_with(bytes) <= self.budget.available_bytes() / READ_AHEAD_DIVISOR;
        fits && self.set(bytes)
    }

    /// Returns the total of all reservations if this one were `bytes`.
    fn total_with(&self, bytes: usize) -> usize {
        self.budget.0.reserved_bytes.get() - self.bytes + bytes
    }

    fn set(&mut self, bytes: usize) -> bool {
        if bytes != self.bytes {
            self.budget.set_reserved(self.total_with(bytes));
            self.bytes = bytes;
        }
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.set(0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn grants_large_reservations_within_the_budget_and_small_ones_always() {
        let predecessor = PredecessorConnections::default();
        let budget = MemoryBudget::new(100_000, predecessor.clone());
        let (mut one, mut two) = (budget.reserve(), budget.reserve());
        assert!(
            one.try_resize(60_000)
                && one.try_resize(95_000)
                && !two.try_resize(40_000)
                && two.try_resize(8000)
        );
        drop(one);
        assert!(two.try_resize(100_000) && !two.try_resize(100_001));
        assert!(two.try_resize(100_000), "what is held already is granted");
        drop(two);
        predecessor.set(1);
        let mut three = budget.reserve();
        assert!(!three.try_resize(50_001) && three.try_resize(50_000), "the predecessor has the other half");
    }

    #[test]
    fn read_ahead_leaves_half_of_the_budget_to_messages() {
        let budget = MemoryBudget::new(100_000, PredecessorConnections::default());
        let (mut ahead, mut message) = (budget.reserve(), budget.reserve());
        assert!(ahead.try_resize_read_ahead(50_000) && !ahead.try_resize_read_ahead(50_001));
        assert!(message.try_resize(50_000) && !message.try_resize(50_001));
        assert!(
            !ahead.try_resize_read_ahead(50_001) && ahead.try_resize_read_ahead(20_000),
            "a smaller reservation is always granted"
        );
        assert!(message.try_resize(80_000));
    }

    #[test]
    fn pieces_are_smaller_the_less_of_the_budget_is_left() {
        let budget = MemoryBudget::new(400_000, PredecessorConnections::default());
        let mut transfers: Vec<_> = (0..20).map(|_| budget.reserve()).collect();
        let sizes: Vec<_> = transfers.iter_mut().map(|transfer| transfer.reserve_pieces(0)).collect();
        assert_eq!((sizes[0], sizes[2], sizes[19]), (MAX_PIECE_BYTES, MAX_PIECE_BYTES, MIN_PIECE_BYTES));
        assert!(sizes.is_sorted_by(|a, b| a >= b), "{sizes:?}");
        let mut message = budget.reserve();
        assert!(message.try_resize(64 * 1024), "whole messages are still granted");
        drop(transfers);
        assert_eq!(budget.0.reserved_bytes.get(), 64 * 1024);
    }

    #[test]
    fn shares_shrink_with_what_is_free() {
        let budget = MemoryBudget::new(80_000, PredecessorConnections::default());
        let mut reservations: Vec<_> = (0..100).map(|_| budget.reserve()).collect();
        let shares: Vec<_> = reservations.iter_mut().map(|share| share.grow_within_share(50_000)).collect();
        assert_eq!((shares[0], shares[1]), (10_000, 8750));
        assert!(shares.is_sorted_by(|a, b| a >= b) && shares.iter().sum::<usize>() <= 80_000, "{shares:?}");
        assert!(budget.is_half_taken());
        assert_eq!(reservations[0].grow_within_share(4000), 10_000, "what is held already is kept");
        reservations.truncate(1);
        assert!(!budget.is_half_taken());
    }

    #[test]
    fn a_part_of_a_reservation_is_released_with_what_it_pays_for() {
        let budget = MemoryBudget::new(100_000, PredecessorConnections::default());
        let mut whole = budget.reserve();
        assert!(whole.try_resize(50_000));
        let part = whole.split(20_000);
        assert_eq!((whole.bytes, part.bytes, budget.0.reserved_bytes.get()), (30_000, 20_000, 50_000));
        drop(whole);
        assert_eq!(budget.0.reserved_bytes.get(), 20_000);
        drop(part);
        assert_eq!(budget.0.reserved_bytes.get(), 0);
    }
}
