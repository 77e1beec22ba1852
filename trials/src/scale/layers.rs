//! The layers of one ingress between discovery's reader and the decisions, as its engine puts them together, without
//! its sockets.

use super::meter::measure;
use weldhub::Limiter;
use weldhub::entries::BackendList;
use weldhub::interface::{Action, Event, ListKind, Millis, Settings, TimerKey};
use weldhub::maintenance::Maintenance;
use weldhub::subset::Subset;

/// How many backends an ingress sends to; all where it is not bounded.
pub type SubsetSize = Option<usize>;

/// The key of the decisions' regular timer.
const TICK: TimerKey = TimerKey(1);

/// The decisions of one ingress, and what lies between them and discovery.
pub struct Layers {
    maintenance: Maintenance,
    subset: Option<Subset>,
    limiter: Limiter,
}

/// Bytes that a list has left behind on the heap.
#[derive(Debug, Clone, Copy, Default)]
pub struct Kept {
    /// In the layers above the decisions.
    pub list: f64,
    /// In the decisions.
    pub decisions: f64,
}

impl Layers {
    /// Layers that have seen nothing.
    ///
    /// # Errors
    /// What is wrong with the settings.
    pub fn new(settings: Settings, subset: SubsetSize) -> Result<Self, String> {
        let seed = u64::from(settings.ingress.0) + 1;
        let subset = subset.map(|size| Subset::new(settings.ingress, settings.ingress_count, size));
        let limiter = Limiter::new(settings, seed).map_err(|e| e.to_string())?;
        Ok(Self { maintenance: Maintenance::default(), subset, limiter })
    }

    /// Gives the decisions an event; tells what they want done.
    pub fn feed(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.limiter.handle(now, event, &mut actions);
        actions
    }

    /// Takes in what discovery tells.
    pub fn listed(&mut self, now: Millis, list: BackendList) -> Kept {
        let kind = if list.complete { ListKind::Full } else { ListKind::Changes };
        let (list, above) = measure(|| {
            let list = self.maintenance.apply_list(list);
            match &mut self.subset {
                Some(subset) => subset.apply_list(now, list),
                None => list,
            }
        });
        let entries = list.entries.iter().map(|entry| entry.entry).collect();
        let (_, below) = measure(|| self.feed(now, Event::BackendList(kind, entries)));
        Kept { list: above.kept, decisions: below.kept }
    }

    /// The regular timer.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        self.feed(now, Event::Timer(TICK))
    }

    /// Bytes of what is handed to the process that takes over.
    pub fn hand_over(&mut self) -> usize {
        let bytes = self.limiter.hand_over().len();
        self.limiter.take_back();
        bytes
    }
}
