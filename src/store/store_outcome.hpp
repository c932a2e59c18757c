#pragma once

#include "forwarding/forwarding_policy.hpp"
#include "store/object_defect.hpp"
#include "store/store_status.hpp"
#include "store/stored_upstream.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace samphire
{

/// Outcome of a call to the store, decoded from the HTTP answer.
struct store_outcome
{
    store_status status_{store_status::unknown};
    /// Era of the store, to which all revisions in the answer belong; 0 when
    /// the answer states none. Revisions of different eras cannot be compared:
    /// a store that comes back from a copy gives revisions out again.
    std::uint64_t store_era_{};
    /// Revision of the whole store; 0 when the answer states none.
    std::uint64_t store_revision_{};
    /// Revision of the object that was written.
    std::uint64_t object_revision_{};
    /// Whether the list of upstreams continues after the object
    /// `last_object_name_`.
    bool has_more_{};
    std::string last_object_name_{};
    std::vector<stored_upstream> upstreams_{};
    /// The operators' policy that was read; null when there is none.
    std::shared_ptr<forwarding_policy const> policy_{};
    /// Objects that were skipped. Any party may write to the store, and one bad
    /// object must not hide the others.
    std::vector<object_defect> object_defects_{};
    std::uint16_t http_status_{};

    friend bool
    operator==(store_outcome const&, store_outcome const&) = default;
};

} // namespace samphire
