//! The bounded subsets of a whole fleet: how even they are, and what a change moves.

use super::fixture::{ZONES, read, whole_list};
use super::slope::{Over, Slope};
use std::collections::{BTreeMap, BTreeSet};
use weldhub::entries::BackendList;
use weldhub::interface::{BackendId, BackendState, IngressId};
use weldhub::subset::Subset;

/// What is measured at one size of the fleet.
#[derive(Debug, Default)]
struct Seen {
    sizes: Vec<usize>,
    holders: BTreeMap<BackendId, usize>,
    /// Of each backend, where every ingress spreads the same load over its subset.
    load: BTreeMap<BackendId, f64>,
    /// Ingresses that one backend's end concerns.
    moved_by_one: usize,
    /// Backends that come in at one ingress when a fifth of the ingresses dies, all together.
    moved_by_zone: usize,
}

/// Measures it over fleets of each size, before so many backends.
///
/// # Errors
/// Where a list cannot be read.
pub fn slopes(
    fleets: &[usize],
    backends: usize,
    size: usize,
    progress: &mut dyn FnMut(&str),
) -> Result<Vec<Slope>, String> {
    let slope = |name: &str, unit| Slope::new(&format!("subset-{name}"), unit, Over::Ingresses);
    let mut least = slope("smallest", "backends of the smallest subset");
    let mut most = slope("largest", "backends of the largest subset");
    let mut fewest_holders = slope("holders-fewest", "ingresses that hold the backend that fewest do");
    let mut most_holders = slope("holders-most", "ingresses that hold the backend that most do");
    let mut uneven = slope("uneven", "load of a backend: deviation as a part of the mean");
    let mut by_one = slope("moved-by-one", "ingresses that the end of one backend concerns");
    let mut by_zone = slope("moved-by-zone", "backends new to an ingress where a fifth of ingresses dies");
    let list = read(&whole_list(backends), None)?;
    for &ingresses in fleets {
        progress(&format!("subsets of {ingresses} ingresses"));
        let seen = measure(ingresses, size, &list);
        least.add(ingresses, seen.sizes.iter().copied().min().unwrap_or(0) as f64);
        most.add(ingresses, seen.sizes.iter().copied().max().unwrap_or(0) as f64);
        fewest_holders.add(ingresses, seen.holders.values().copied().min().unwrap_or(0) as f64);
        most_holders.add(ingresses, seen.holders.values().copied().max().unwrap_or(0) as f64);
        uneven.add(ingresses, unevenness(&seen.load));
        by_one.add(ingresses, seen.moved_by_one as f64);
        by_zone.add(ingresses, seen.moved_by_zone as f64 / (ingresses as f64 * 0.8));
    }
    Ok(vec![least, most, fewest_holders, most_holders, uneven, by_one, by_zone])
}

fn subset(number: usize, ingresses: usize, size: usize, list: &BackendList) -> Subset {
    let mut subset = Subset::new(IngressId(number as u16), ingresses as u16, size);
    subset.apply_list(0.0, list.clone());
    subset
}

fn measure(ingresses: usize, size: usize, list: &BackendList) -> Seen {
    let mut seen = Seen::default();
    let Some(mut gone) = list.entries.first().cloned() else { return seen };
    gone.entry.state = BackendState::Gone;
    let gone = BackendList { generation: 2, complete: false, entries: vec![gone] };
    // Numbers are given to zones in turn; the ingresses of one zone die.
    let living: Vec<bool> = (0..ingresses).map(|number| number % ZONES != 0).collect();
    for number in 0..ingresses {
        let mut one = subset(number, ingresses, size, list);
        let held: BTreeSet<BackendId> = one.ready_backends().collect();
        seen.sizes.push(held.len());
        for id in &held {
            *seen.holders.entry(*id).or_default() += 1;
            *seen.load.entry(*id).or_default() += 1.0 / held.len() as f64;
        }
        if living[number] {
            one.set_live_ingresses(Some(&living));
            seen.moved_by_zone += one.ready_backends().filter(|id| !held.contains(id)).count();
            one.set_live_ingresses(None);
        }
        seen.moved_by_one += usize::from(!one.apply_list(1.0, gone.clone()).entries.is_empty());
    }
    seen
}

/// The deviation of some loads, as a part of their mean.
fn unevenness(load: &BTreeMap<BackendId, f64>) -> f64 {
    let count = load.len().max(1) as f64;
    let mean = load.values().sum::<f64>() / count;
    let variance = load.values().map(|part| (part - mean).powi(2)).sum::<f64>() / count;
    variance.sqrt() / mean
}
