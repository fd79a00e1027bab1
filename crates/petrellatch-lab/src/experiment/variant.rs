//! The systems that are compared.

use petrellatch_core::admission::AdmissionMutations;

/// A hunting margin that no load reaches, so that a flow is passed on only when
/// its back end has no free slot.
const NO_MARGIN: u64 = u64::MAX / 2;

/// How the product is changed for a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProductVariant {
    /// Mechanisms that are switched off.
    pub mutations: AdmissionMutations,
    /// Replaces the hunting margin, in thousandths of a request.
    pub hunt_margin: Option<u64>,
    /// Replaces the limit of the expected wait, in milliseconds.
    pub wait_limit_millis: Option<u64>,
}

/// Another way to balance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineKind {
    /// Each balancer hashes new flows and remembers its flows in a table.
    HashWithFlowTable,
    /// Balancers keep no flows; tables name the present and one previous back
    /// end of each bucket, which machines ask in turn.
    OnePrevious,
    /// Of two random back ends the one whose last report shows less load gets
    /// the new flow. All balancers share one flow table without cost or delay,
    /// which no real system has.
    PowerOfTwo,
}

/// A system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemKind {
    /// The product, or a variant of it.
    Product(ProductVariant),
    /// Another way to balance.
    Baseline(BaselineKind),
}

/// A system with its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Variant {
    /// The name in tables.
    pub name: &'static str,
    /// What it is compared for.
    pub group: VariantGroup,
    /// The system.
    pub system: SystemKind,
}

/// What a variant is compared for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VariantGroup {
    /// The product as it is.
    Product,
    /// Another way to balance.
    Baseline,
    /// An earlier version of the product.
    Earlier,
    /// The product with another setting.
    Setting,
    /// The product without one mechanism.
    Ablation,
}

/// Returns all variants, the product first.
pub fn all() -> Vec<Variant> {
    let mut variants = vec![product(
        "product",
        VariantGroup::Product,
        ProductVariant::default(),
    )];
    variants.extend(baselines());
    variants.extend(earlier());
    variants.extend(ablations());
    variants
}

fn baselines() -> Vec<Variant> {
    let baseline = |name, kind| Variant {
        name,
        group: VariantGroup::Baseline,
        system: SystemKind::Baseline(kind),
    };
    vec![
        baseline("hash-flow-table", BaselineKind::HashWithFlowTable),
        baseline("one-previous", BaselineKind::OnePrevious),
        baseline("power-of-two", BaselineKind::PowerOfTwo),
    ]
}

/// Without hunting, the first version, is among the ablations.
fn earlier() -> Vec<Variant> {
    let when_full = ProductVariant {
        hunt_margin: Some(NO_MARGIN),
        ..ProductVariant::default()
    };
    let wait_shorter = ProductVariant {
        wait_limit_millis: Some(100),
        ..ProductVariant::default()
    };
    vec![
        product("hunt-when-full", VariantGroup::Earlier, when_full),
        product("wait-100-ms", VariantGroup::Setting, wait_shorter),
    ]
}

fn ablations() -> Vec<Variant> {
    let none = AdmissionMutations::default();
    let cases = [
        (
            "no-hunting",
            AdmissionMutations {
                no_hunting: true,
                ..none
            },
        ),
        (
            "ignore-lease",
            AdmissionMutations {
                ignore_lease: true,
                ..none
            },
        ),
        (
            "admit-before-release",
            AdmissionMutations {
                admit_before_release: true,
                ..none
            },
        ),
        (
            "forget-redirects",
            AdmissionMutations {
                forget_redirects: true,
                ..none
            },
        ),
        (
            "ignore-incarnation",
            AdmissionMutations {
                ignore_incarnation: true,
                ..none
            },
        ),
        (
            "retry-after-sent",
            AdmissionMutations {
                retry_after_sent: true,
                ..none
            },
        ),
        (
            "refuse-sent-as-not-run",
            AdmissionMutations {
                refuse_sent_as_not_run: true,
                ..none
            },
        ),
    ];
    cases
        .into_iter()
        .map(|(name, mutations)| {
            let variant = ProductVariant {
                mutations,
                ..ProductVariant::default()
            };
            product(name, VariantGroup::Ablation, variant)
        })
        .collect()
}

fn product(name: &'static str, group: VariantGroup, variant: ProductVariant) -> Variant {
    Variant {
        name,
        group,
        system: SystemKind::Product(variant),
    }
}
