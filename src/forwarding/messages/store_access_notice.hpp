#pragma once

namespace samphire
{

/// Tells the daemons of a failure domain whether the sender reaches the store,
/// and so can do duties for the domain that need it. A daemon that has said
/// nothing on a connection reaches the store.
struct store_access_notice
{
    bool reaches_store_{true};

    friend bool operator==(
        store_access_notice const&, store_access_notice const&) = default;
};

} // namespace samphire
