#pragma once

#include "store/store_action.hpp"

#include <absl/time/time.h>

namespace samphire
{

/// A call to the store that has not ended yet.
struct pending_store_call
{
    store_action action_{};
    absl::Time started_at_{};

    friend bool
    operator==(pending_store_call const&, pending_store_call const&) = default;
};

} // namespace samphire
