//! Groups of agents by policy weight. New flows are spread over the groups in proportion
//! to weight and size; within a group agents are compared by cost.

/// Agents of one weight.
#[derive(Clone, Copy, Debug)]
struct WeightGroup<T> {
    weight: f64,
    agents: usize,
    best: T,
}

/// Groups of agents by weight, in the order in which their weights were first seen.
/// Mostly there is one group, which needs no heap allocation.
#[derive(Debug)]
pub(super) struct WeightGroups<T> {
    first: Option<WeightGroup<T>>,
    others: Vec<WeightGroup<T>>,
}

impl<T> Default for WeightGroups<T> {
    fn default() -> Self {
        WeightGroups {
            first: None,
            others: Vec::new(),
        }
    }
}

impl<T: Default> WeightGroups<T> {
    /// Counts an agent of this weight, which is greater than zero. Returns the data of its
    /// group.
    pub(super) fn add(&mut self, weight: f64) -> &mut T {
        let new_group = || WeightGroup {
            weight,
            agents: 0,
            best: T::default(),
        };
        let first = self.first.get_or_insert_with(new_group);
        let group = if first.weight == weight {
            first
        } else {
            let position = self.others.iter().position(|it| it.weight == weight);
            let index = position.unwrap_or_else(|| {
                self.others.push(new_group());
                self.others.len() - 1
            });
            &mut self.others[index]
        };
        group.agents += 1;
        &mut group.best
    }

    /// Selects a group by a `point` from 0 to 1 on the sum of all weights. If that group has
    /// no agent that is likely to accept, the next group with such an agent is selected, or
    /// else the next group with any agent. `is_likely` returns whether a group has an agent
    /// that is likely to accept, or `None` if it has no agent at all.
    pub(super) fn select(&self, point: f64, is_likely: impl Fn(&T) -> Option<bool>) -> Option<&T> {
        let first = self.index_at(point);
        let count = self.groups().count();
        let from_first = || self.groups().cycle().skip(first).take(count);
        let likely = from_first().find(|group| is_likely(&group.best) == Some(true));
        let group = likely.or_else(|| from_first().find(|it| is_likely(&it.best).is_some()));
        group.map(|group| &group.best)
    }

    fn groups(&self) -> impl Iterator<Item = &WeightGroup<T>> + Clone {
        self.first.iter().chain(&self.others)
    }

    fn index_at(&self, point: f64) -> usize {
        let group_weight = |group: &WeightGroup<T>| group.weight * group.agents as f64;
        let total: f64 = self.groups().map(group_weight).sum();
        let mut remaining = point * total;
        let reaches = |group: &WeightGroup<T>| {
            remaining -= group_weight(group);
            remaining <= 0.0
        };
        // Rounding may leave a remainder, which belongs to the last group.
        self.groups().position(reaches).unwrap_or(self.others.len())
    }
}
