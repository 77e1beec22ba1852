//! The bounded backend subsets of a whole fleet: how evenly they spread the load, and how much moves when a
//! backend or the ingresses of a zone are lost.

use super::fixture::{ZONES, full_list_line, parse_line};
use super::slope::{Dimension, Slope};
use std::collections::{BTreeMap, BTreeSet};
use weldhub::entries::BackendList;
use weldhub::interface::{BackendId, BackendState, IngressId};
use weldhub::subset::Subset;

/// The fraction of the ingresses that survives the loss of one of the [`ZONES`].
const SURVIVING_SHARE: f64 = 0.8;

/// The subsets of one fleet.
#[derive(Debug, Default)]
struct FleetSubsets {
    /// The number of backends in the subset of each ingress.
    sizes: Vec<usize>,
    /// The number of ingresses whose subset contains each backend.
    holders: BTreeMap<BackendId, usize>,
    /// The load of each backend if each ingress spreads a load of 1 evenly over its subset.
    load: BTreeMap<BackendId, f64>,
    /// The number of ingresses whose subset changes when one backend is withdrawn.
    moved_by_backend: usize,
    /// The number of backends that are new to a subset when the ingresses of one zone die, summed over the
    /// survivors.
    moved_by_zone: usize,
}

/// Measures subsets of about `subset_size` of `backends` backends in fleets of each size.
///
/// # Errors
/// Returns why the list could not be read.
pub fn slopes(
    fleet_sizes: &[usize],
    backends: usize,
    subset_size: usize,
    progress: &mut dyn FnMut(&str),
) -> Result<Vec<Slope>, String> {
    let slope = |name: &str, unit| Slope::new(&format!("subset-{name}"), unit, Dimension::Ingresses);
    let mut smallest = slope("smallest", "backends of the smallest subset");
    let mut largest = slope("largest", "backends of the largest subset");
    let mut fewest_holders = slope("holders-fewest", "ingresses that hold the backend that fewest do");
    let mut most_holders = slope("holders-most", "ingresses that hold the backend that most do");
    let mut deviation = slope("uneven", "load of a backend: deviation as a part of the mean");
    let mut by_backend = slope("moved-by-one", "ingresses that the end of one backend concerns");
    let mut by_zone = slope("moved-by-zone", "backends new to an ingress where a fifth of ingresses dies");
    let list = parse_line(&full_list_line(backends), None)?;
    for &ingresses in fleet_sizes {
        progress(&format!("subsets of {ingresses} ingresses"));
        let subsets = measure(ingresses, subset_size, &list);
        smallest.add(ingresses, subsets.sizes.iter().copied().min().unwrap_or(0) as f64);
        largest.add(ingresses, subsets.sizes.iter().copied().max().unwrap_or(0) as f64);
        fewest_holders.add(ingresses, subsets.holders.values().copied().min().unwrap_or(0) as f64);
        most_holders.add(ingresses, subsets.holders.values().copied().max().unwrap_or(0) as f64);
        deviation.add(ingresses, coefficient_of_variation(&subsets.load));
        by_backend.add(ingresses, subsets.moved_by_backend as f64);
        by_zone.add(ingresses, subsets.moved_by_zone as f64 / (ingresses as f64 * SURVIVING_SHARE));
    }
    Ok(vec![smallest, largest, fewest_holders, most_holders, deviation, by_backend, by_zone])
}

/// Returns the subset that one ingress of a fleet computes from a full list.
fn new_subset(ingress: usize, ingresses: usize, subset_size: usize, list: &BackendList) -> Subset {
    let mut subset = Subset::new(IngressId(ingress as u16), ingresses as u16, subset_size);
    subset.apply_list(0.0, list.clone());
    subset
}

/// Computes the subset of every ingress, then those after the loss of a zone and of a backend.
fn measure(ingresses: usize, subset_size: usize, list: &BackendList) -> FleetSubsets {
    let mut subsets = FleetSubsets::default();
    let Some(mut withdrawn) = list.entries.first().cloned() else { return subsets };
    withdrawn.entry.state = BackendState::Gone;
    let withdrawal = BackendList { generation: 2, complete: false, entries: vec![withdrawn] };
    // Ingress numbers are assigned to the zones in turn, so these are the survivors if zone 0 is lost.
    let survivors: Vec<bool> = (0..ingresses).map(|ingress| ingress % ZONES != 0).collect();
    for ingress in 0..ingresses {
        let mut subset = new_subset(ingress, ingresses, subset_size, list);
        let held: BTreeSet<BackendId> = subset.ready_backends().collect();
        subsets.sizes.push(held.len());
        for id in &held {
            *subsets.holders.entry(*id).or_default() += 1;
            *subsets.load.entry(*id).or_default() += 1.0 / held.len() as f64;
        }
        if survivors[ingress] {
            subset.set_live_ingresses(Some(&survivors));
            subsets.moved_by_zone += subset.ready_backends().filter(|id| !held.contains(id)).count();
            subset.set_live_ingresses(None);
        }
        subsets.moved_by_backend +=
            usize::from(!subset.apply_list(1.0, withdrawal.clone()).entries.is_empty());
    }
    subsets
}

/// Returns the standard deviation of the loads as a fraction of their mean.
fn coefficient_of_variation(loads: &BTreeMap<BackendId, f64>) -> f64 {
    let count = loads.len().max(1) as f64;
    let mean = loads.values().sum::<f64>() / count;
    let variance = loads.values().map(|load| (load - mean).powi(2)).sum::<f64>() / count;
    variance.sqrt() / mean
}
