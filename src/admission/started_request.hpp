#pragma once

#include "admission/admission_request.hpp"

#include <absl/time/time.h>

namespace samphire
{

/// A request that holds a slot.
struct started_request
{
    admission_request const request_{};
    absl::Time const started_at_{};

    friend bool
    operator==(started_request const&, started_request const&) = default;
};

} // namespace samphire
