//! Storage of the catalog's items, with the version of the last change of each item.

use std::collections::{BTreeMap, BTreeSet};

use kumquatlock_wire::distribution::{
    AccountItem, CatalogChange, ItemKind, RouteItem, ServiceItem, UpstreamItem,
    catalog_change::Kind,
};
use prost::Message;

use super::MAX_TOMBSTONES;
use crate::core::{SharedName, account_digest, route_digest, service_digest, upstream_digest};

/// Kind and name of an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ItemKey {
    pub(super) kind: ItemKind,
    pub(super) name: SharedName,
}

/// An item with its change version, digest and encoded size.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct StoredItem<I> {
    pub(super) item: I,
    pub(super) changed_at: u64,
    digest: u64,
    bytes: usize,
}

/// Record of a removed item.
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
    pub(super) accounts: BTreeMap<SharedName, StoredItem<AccountItem>>,
    /// Tombstones of removed items. A key is never both a tombstone and an item. At most
    /// [`MAX_TOMBSTONES`].
    pub(super) tombstones: BTreeMap<ItemKey, TombstoneRecord>,
    /// Tombstones ordered by version, so that the oldest can be dropped.
    tombstone_order: BTreeSet<(u64, ItemKey)>,
    /// All items and tombstones, ordered by the version of their last change.
    changes: BTreeSet<(u64, ItemKey)>,
    /// Lowest version from which a delta can be computed. Every tombstone that has been dropped was
    /// at or below this version.
    pub(super) min_delta_base: u64,
    /// Wrapping sum of the digests of all items.
    digest: u64,
    /// Sum of the encoded sizes of all items, in bytes.
    bytes: usize,
}

/// Interface that each kind of item implements for the store.
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
catalog_item!(AccountItem, Account, accounts, account_digest);
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

    /// Returns the size of the items in an encoded state, in bytes, without the framing of the
    /// message itself.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Stores an item that changed at `version`. If it equals the stored item, that item keeps its
    /// older version. Returns whether the item is new or different.
    pub(super) fn upsert<I: CatalogItem>(&mut self, item: I, version: u64) -> bool {
        let existing = I::map(self).get(item.name());
        if existing.is_some_and(|stored| stored.item == item) {
            return false;
        }
        self.insert_item(item, version);
        true
    }

    /// Stores an item that changed at `version`, even if it equals the stored item. A merged delta
    /// may contain an item that changed and changed back. A child that was attached to another
    /// parent before may have the state in between, so it must be sent the item.
    pub(super) fn insert_item<I: CatalogItem>(&mut self, item: I, version: u64) {
        let name: SharedName = item.name().into();
        self.take_item::<I>(&name);
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
            bytes: encoded_field_len(item.encoded_len()),
            item,
        };
        self.digest = self.digest.wrapping_add(stored.digest);
        self.bytes += stored.bytes;
        self.changes.insert((version, key));
        I::map_mut(self).insert(name, stored);
    }

    /// Removes an item and inserts a tombstone for it. Returns whether the item existed.
    pub(super) fn remove<I: CatalogItem>(&mut self, name: &str, version: u64) -> bool {
        let Some(stored) = self.take_item::<I>(name) else {
            return false;
        };
        let incarnation = stored.item.incarnation();
        self.insert_tombstone(I::KIND, name, version, incarnation);
        true
    }

    /// Inserts a tombstone for an item that is not in the store. A replica needs a tombstone even
    /// for an item that it never had, because its children may have that item.
    pub(super) fn insert_tombstone(
        &mut self,
        kind: ItemKind,
        name: &str,
        version: u64,
        incarnation: u64,
    ) {
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
            self.min_delta_base = self.min_delta_base.max(entry.0);
            self.tombstones.remove(&entry.1);
            self.changes.remove(&entry);
        }
    }

    fn take_item<I: CatalogItem>(&mut self, name: &str) -> Option<StoredItem<I>> {
        let (name, stored) = I::map_mut(self).remove_entry(name)?;
        self.digest = self.digest.wrapping_sub(stored.digest);
        self.bytes -= stored.bytes;
        let kind = I::KIND;
        self.changes
            .remove(&(stored.changed_at, ItemKey { kind, name }));
        Some(stored)
    }

    /// Returns the incarnation of a removed upstream, if its tombstone still exists.
    pub(super) fn tombstone_incarnation(&self, name: &str) -> Option<u64> {
        let key = ItemKey {
            kind: ItemKind::Upstream,
            name: name.into(),
        };
        Some(self.tombstones.get(&key)?.incarnation)
    }

    /// Returns the changes after version `base`, oldest first.
    pub(super) fn changes_after(&self, base: u64) -> impl Iterator<Item = CatalogChange> {
        let lowest = ItemKey {
            kind: ItemKind::Service,
            name: "".into(),
        };
        self.changes
            .range((base + 1, lowest)..)
            .map(|(_, key)| self.change_for(key))
    }

    fn change_for(&self, key: &ItemKey) -> CatalogChange {
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
            ItemKind::Account => match self.accounts.get(&key.name) {
                Some(stored) => Kind::UpsertAccount(AccountItem {
                    source: String::new(),
                    ..stored.item.clone()
                }),
                None => Kind::RemoveAccount(name()),
            },
        };
        CatalogChange { kind: Some(kind) }
    }
}

/// Returns the encoded size of one element of a repeated message field: tag, length and content.
pub(super) fn encoded_field_len(len: usize) -> usize {
    1 + prost::length_delimiter_len(len) + len
}
