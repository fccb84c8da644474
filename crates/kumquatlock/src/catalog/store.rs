//! Items of the catalog with the version of their last change.

use std::collections::{BTreeMap, BTreeSet};

use kumquatlock_wire::distribution::{
    CatalogChange, ItemKind, RouteItem, ServiceItem, UpstreamItem, catalog_change::Kind,
};
use prost::Message;

use super::MAX_TOMBSTONES;
use crate::core::{SharedName, route_digest, service_digest, upstream_digest};

/// Kind and name of an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ItemKey {
    pub(super) kind: ItemKind,
    pub(super) name: SharedName,
}

/// One item with what is derived from it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct StoredItem<I> {
    pub(super) item: I,
    pub(super) changed_at: u64,
    digest: u64,
    bytes: usize,
}

/// One removed item.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct TombstoneRecord {
    pub(super) version: u64,
    /// Incarnation of a removed upstream; zero for other kinds.
    pub(super) incarnation: u64,
}

/// Items, tombstones and the index of their changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ItemStore {
    pub(super) services: BTreeMap<SharedName, StoredItem<ServiceItem>>,
    pub(super) routes: BTreeMap<SharedName, StoredItem<RouteItem>>,
    pub(super) upstreams: BTreeMap<SharedName, StoredItem<UpstreamItem>>,
    /// A key is here or among the items, never in both. At most [`MAX_TOMBSTONES`].
    pub(super) tombstones: BTreeMap<ItemKey, TombstoneRecord>,
    /// Tombstones by version, to drop the oldest.
    tombstone_order: BTreeSet<(u64, ItemKey)>,
    /// Every item and tombstone by the version of its last change.
    changes: BTreeSet<(u64, ItemKey)>,
    /// Lowest base of a delta; below it tombstones have been dropped.
    pub(super) floor: u64,
    digest: u64,
    bytes: usize,
}

/// What the store needs to know of each kind of item.
pub(super) trait CatalogItem: Message + PartialEq + Clone + Sized {
    const KIND: ItemKind;
    fn name(&self) -> &str;
    fn digest(&self) -> u64;
    fn incarnation(&self) -> u64 {
        0
    }
    fn map(store: &ItemStore) -> &BTreeMap<SharedName, StoredItem<Self>>;
    fn map_mut(store: &mut ItemStore) -> &mut BTreeMap<SharedName, StoredItem<Self>>;
}

macro_rules! catalog_item {
    ($item:ident, $kind:ident, $field:ident, $digest:ident $(, $incarnation:item)?) => {
        impl CatalogItem for $item {
            const KIND: ItemKind = ItemKind::$kind;
            fn name(&self) -> &str {
                &self.name
            }
            fn digest(&self) -> u64 {
                $digest(self)
            }
            $($incarnation)?
            fn map(store: &ItemStore) -> &BTreeMap<SharedName, StoredItem<Self>> {
                &store.$field
            }
            fn map_mut(store: &mut ItemStore) -> &mut BTreeMap<SharedName, StoredItem<Self>> {
                &mut store.$field
            }
        }
    };
}

catalog_item!(ServiceItem, Service, services, service_digest);
catalog_item!(RouteItem, Route, routes, route_digest);
catalog_item!(
    UpstreamItem,
    Upstream,
    upstreams,
    upstream_digest,
    fn incarnation(&self) -> u64 {
        self.incarnation
    }
);

impl ItemStore {
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Size of the items in an encoded state, without framing of the message itself.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Stores an item that changed at `version`, unless it equals the held one, which then keeps
    /// its older version. Returns whether it differs.
    pub(super) fn upsert<I: CatalogItem>(&mut self, item: I, version: u64) -> bool {
        let held = I::map(self).get(item.name());
        if held.is_some_and(|stored| stored.item == item) {
            return false;
        }
        self.put(item, version);
        true
    }

    /// Stores an item that changed at `version`, even when it equals the held one. A merged delta
    /// may hold an item that changed and changed back, and a child from another parent may hold
    /// the state in between.
    pub(super) fn put<I: CatalogItem>(&mut self, item: I, version: u64) {
        let name: SharedName = item.name().into();
        self.drop_item::<I>(&name);
        let key = ItemKey {
            kind: I::KIND,
            name: name.clone(),
        };
        if let Some(tombstone) = self.tombstones.remove(&key) {
            let entry = (tombstone.version, key.clone());
            self.tombstone_order.remove(&entry);
            self.changes.remove(&entry);
        }
        let stored = StoredItem {
            changed_at: version,
            digest: item.digest(),
            bytes: encoded_bytes(item.encoded_len()),
            item,
        };
        self.digest = self.digest.wrapping_add(stored.digest);
        self.bytes += stored.bytes;
        self.changes.insert((version, key));
        I::map_mut(self).insert(name, stored);
    }

    /// Removes an item and leaves a tombstone. Returns whether it was held.
    pub(super) fn remove<I: CatalogItem>(&mut self, name: &str, version: u64) -> bool {
        let Some(stored) = self.drop_item::<I>(name) else {
            return false;
        };
        let incarnation = stored.item.incarnation();
        self.bury(I::KIND, name, version, incarnation);
        true
    }

    /// Leaves a tombstone for an item that is not held. A replica needs it even for items that
    /// it never held, because its children may hold them.
    pub(super) fn bury(&mut self, kind: ItemKind, name: &str, version: u64, incarnation: u64) {
        let name = name.into();
        let key = ItemKey { kind, name };
        let record = TombstoneRecord {
            version,
            incarnation,
        };
        if let Some(old) = self.tombstones.insert(key.clone(), record) {
            let entry = (old.version, key.clone());
            self.tombstone_order.remove(&entry);
            self.changes.remove(&entry);
        }
        self.tombstone_order.insert((version, key.clone()));
        self.changes.insert((version, key));
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some(entry) = self.tombstone_order.pop_first() else {
                break;
            };
            self.floor = self.floor.max(entry.0);
            self.tombstones.remove(&entry.1);
            self.changes.remove(&entry);
        }
    }

    fn drop_item<I: CatalogItem>(&mut self, name: &str) -> Option<StoredItem<I>> {
        let (name, stored) = I::map_mut(self).remove_entry(name)?;
        self.digest = self.digest.wrapping_sub(stored.digest);
        self.bytes -= stored.bytes;
        let kind = I::KIND;
        self.changes
            .remove(&(stored.changed_at, ItemKey { kind, name }));
        Some(stored)
    }

    /// Incarnation of a removed upstream that is still remembered.
    pub(super) fn buried_incarnation(&self, name: &str) -> Option<u64> {
        let key = ItemKey {
            kind: ItemKind::Upstream,
            name: name.into(),
        };
        Some(self.tombstones.get(&key)?.incarnation)
    }

    /// Changes after `base`, oldest first.
    pub(super) fn changes_after(&self, base: u64) -> impl Iterator<Item = CatalogChange> {
        let lowest = ItemKey {
            kind: ItemKind::Service,
            name: "".into(),
        };
        self.changes
            .range((base + 1, lowest)..)
            .map(|(_, key)| self.change_of(key))
    }

    fn change_of(&self, key: &ItemKey) -> CatalogChange {
        let name = || key.name.to_string();
        let kind = match key.kind {
            ItemKind::Service => match self.services.get(&key.name) {
                Some(stored) => Kind::UpsertService(ServiceItem {
                    source: String::new(),
                    ..stored.item.clone()
                }),
                None => Kind::RemoveService(name()),
            },
            ItemKind::Route => match self.routes.get(&key.name) {
                Some(stored) => Kind::UpsertRoute(RouteItem {
                    source: String::new(),
                    ..stored.item.clone()
                }),
                None => Kind::RemoveRoute(name()),
            },
            ItemKind::Upstream => match self.upstreams.get(&key.name) {
                Some(stored) => Kind::UpsertUpstream(stored.item.clone()),
                None => Kind::RemoveUpstream(name()),
            },
        };
        CatalogChange { kind: Some(kind) }
    }
}

/// Bytes of a repeated message field: tag, length and content.
pub(super) fn encoded_bytes(len: usize) -> usize {
    1 + prost::length_delimiter_len(len) + len
}
