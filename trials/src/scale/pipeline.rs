//! The layers of one ingress between the discovery reader and the limiter, connected as in its engine but
//! without sockets: operators' maintenance, the optional subset of backends, the decisions.

use super::meter::measure;
use weldhub::Limiter;
use weldhub::entries::BackendList;
use weldhub::interface::{Action, Event, ListKind, Millis, Settings, TimerKey};
use weldhub::maintenance::Maintenance;
use weldhub::subset::Subset;

/// The number of backends that an ingress sends to; `None` if it sends to all.
pub type SubsetSize = Option<usize>;

/// The key of the limiter's periodic timer.
const TICK_TIMER: TimerKey = TimerKey(1);

/// The limiter of one ingress and the layers that a backend list passes on its way to it.
pub struct DecisionPipeline {
    maintenance: Maintenance,
    subset: Option<Subset>,
    limiter: Limiter,
}

/// The change of the bytes on the heap while a list is applied.
#[derive(Debug, Clone, Copy, Default)]
pub struct HeapGrowth {
    /// While the layers above the limiter take the list in.
    pub list_bytes: f64,
    /// While the limiter takes in the list that they pass on.
    pub limiter_bytes: f64,
}

impl DecisionPipeline {
    /// Creates a pipeline that has no backend list yet.
    ///
    /// # Errors
    /// Returns what is wrong with the settings.
    pub fn new(settings: Settings, subset_size: SubsetSize) -> Result<Self, String> {
        let seed = u64::from(settings.ingress.0) + 1;
        let subset = subset_size.map(|size| Subset::new(settings.ingress, settings.ingress_count, size));
        let limiter = Limiter::new(settings, seed).map_err(|e| e.to_string())?;
        Ok(Self { maintenance: Maintenance::default(), subset, limiter })
    }

    /// Passes an event to the limiter at time `now` and returns the actions that it asks for.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.limiter.handle(now, event, &mut actions);
        actions
    }

    /// Applies a full list, or changes of it, from discovery and returns the heap growth by layer.
    pub fn apply_list(&mut self, now: Millis, list: BackendList) -> HeapGrowth {
        let kind = if list.complete { ListKind::Full } else { ListKind::Changes };
        let (list, above) = measure(|| {
            let list = self.maintenance.apply_list(list);
            match &mut self.subset {
                Some(subset) => subset.apply_list(now, list),
                None => list,
            }
        });
        let entries = list.entries.iter().map(|entry| entry.entry).collect();
        let (_, below) = measure(|| self.handle(now, Event::BackendList(kind, entries)));
        HeapGrowth { list_bytes: above.heap_growth, limiter_bytes: below.heap_growth }
    }

    /// Runs the limiter's periodic timer.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        self.handle(now, Event::Timer(TICK_TIMER))
    }

    /// Returns the size in bytes of the state that the limiter hands to a successor on an upgrade.
    pub fn handover_bytes(&mut self) -> usize {
        let bytes = self.limiter.hand_over().len();
        self.limiter.resume();
        bytes
    }
}
